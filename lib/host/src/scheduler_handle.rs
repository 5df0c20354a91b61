use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
    mpsc::{Receiver, SyncSender, sync_channel},
};

use tarragon_cell::{Answer, Cell, Command};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_leases::WorkerReport;
use tarragon_names::{JobId, LogIndex, Millis, Term, WorkerName};
use tarragon_scheduler::{Explanation, SchedEvent, Scheduler, WorkerView};
use tarragon_telemetry::{Event, EventSink};
use tokio::sync::oneshot;

use crate::{ApplySink, CellTime, PollTable};

/// Inputs that may wait for the scheduler's thread; it bounds the memory under overload.
const QUEUE: usize = 65_536;

/// A look at the scheduler from its own thread.
type Look = Box<dyn FnOnce(&Scheduler, Millis) + Send>;

/// Input of the scheduler's thread.
#[expect(
    clippy::large_enum_variant,
    reason = "nearly every input is the large variant"
)]
pub(crate) enum SchedInput {
    /// An event of the scheduler.
    Event(SchedEvent),
    /// A look at the scheduler.
    Inspect(Look),
    /// The end of the thread.
    Stop,
}

/// Access to the scheduler of this host from other threads.
#[derive(Clone, Debug)]
pub struct SchedulerHandle {
    tx: SyncSender<SchedInput>,
    /// Time before which no other host can be elected.
    leads_until: Arc<AtomicU64>,
}

impl SchedulerHandle {
    pub(crate) fn channel() -> (Self, Receiver<SchedInput>) {
        let (tx, rx) = sync_channel(QUEUE);
        (
            Self {
                tx,
                leads_until: Arc::default(),
            },
            rx,
        )
    }

    /// Passes on a report; it is lost when the queue is full, and the worker repeats it.
    pub fn report(&self, worker: WorkerName, report: WorkerReport) {
        let event = SchedEvent::Report { worker, report };
        let _lost = self.tx.try_send(SchedInput::Event(event));
    }

    /// Lists workers.
    pub async fn workers(&self) -> Outcome<Vec<WorkerView>> {
        self.inspect(|scheduler, _| scheduler.workers()).await
    }

    /// Says why a job is in its state.
    pub async fn explain(&self, job: JobId) -> Outcome<Explanation> {
        self.inspect(move |scheduler, now| scheduler.explain(now, job))
            .await?
    }

    pub(crate) fn leads_until(&self) -> Millis {
        Millis(self.leads_until.load(Ordering::Acquire))
    }

    pub(crate) fn stop(&self) {
        let _ended = self.tx.send(SchedInput::Stop);
    }

    async fn inspect<F, T>(&self, look: F) -> Outcome<T>
    where
        F: FnOnce(&Scheduler, Millis) -> T + Send + 'static,
        T: Send + 'static,
    {
        let (tx, rx) = oneshot::channel();
        let input = SchedInput::Inspect(Box::new(move |scheduler, now| {
            let _gone = tx.send(look(scheduler, now));
        }));
        self.tx
            .try_send(input)
            .map_err(|_full| Failure::of(Code::QueueFull))?;
        rx.await.map_err(|_stopped| Failure::of(Code::Stopping))
    }

    /// Passes on an event that must not be lost. The scheduler's thread never waits for the
    /// replica's, so this wait ends.
    fn must_send(&self, event: SchedEvent) {
        let _stopped = self.tx.send(SchedInput::Event(event));
    }
}

/// Passes the news of the replicated state on to the scheduler and to the table of polls.
#[derive(Debug)]
pub struct LeaderSink {
    scheduler: SchedulerHandle,
    polls: Arc<PollTable>,
    cell: Arc<Cell>,
    time: Arc<CellTime>,
    events: Arc<dyn EventSink>,
}

impl LeaderSink {
    /// A sink for one host.
    pub fn new(
        scheduler: SchedulerHandle,
        polls: Arc<PollTable>,
        cell: Arc<Cell>,
        time: Arc<CellTime>,
        events: Arc<dyn EventSink>,
    ) -> Self {
        Self {
            scheduler,
            polls,
            cell,
            time,
            events,
        }
    }
}

impl ApplySink for LeaderSink {
    fn applied(&self, index: LogIndex, command: &Command, answer: &Answer) {
        if let Some(event) = event_of(command, answer) {
            self.events.emit(&event.index(index));
        }
        let event = SchedEvent::Committed {
            command: command.clone(),
            answer: answer.clone(),
        };
        self.scheduler.must_send(event);
    }

    fn became_leader(&self, term: Term) {
        self.polls.became_leader(term);
        self.time.elected(self.cell.now_ms());
        self.scheduler.must_send(SchedEvent::BecameLeader {
            term,
            at_ms: self.time.now(),
        });
    }

    fn lost_leadership(&self, _: Term) {
        self.polls.lost_leadership();
        self.scheduler.must_send(SchedEvent::LostLeadership);
    }

    fn not_proposed(&self, commands: Vec<Command>) {
        self.scheduler.must_send(SchedEvent::NotProposed(commands));
    }

    fn leads_until(&self, until: Millis) {
        self.scheduler.leads_until.store(until.0, Ordering::Release);
    }
}

/// The event that the time line shows for a change of the replicated state, if it shows one.
///
/// Starts and ends of tasks are events of the scheduler.
fn event_of(command: &Command, answer: &Answer) -> Option<Event> {
    Some(match (command, answer) {
        (Command::AcceptJob { spec, .. }, Answer::Accepted(job)) => Event::debug("job_accepted")
            .job(*job)
            .detail(format!("{}, {} tasks", spec.name, spec.tasks)),
        (Command::Cancel { job }, Answer::Done) => Event::debug("job_cancelled").job(*job),
        (Command::Refuse { job, reason }, Answer::Done) => Event::debug("job_ended_by_refusal")
            .job(*job)
            .code(reason.code.number()),
        (Command::PutEntry { entry, .. }, Answer::Written(revision)) => {
            Event::info("catalogue_changed")
                .revision(*revision)
                .detail(entry.pattern.to_string())
        }
        (Command::DeleteEntry { pattern, .. }, Answer::Written(revision)) => {
            Event::info("catalogue_entry_deleted")
                .revision(*revision)
                .detail(pattern.to_string())
        }
        (Command::DrainWorker { worker, draining }, Answer::Done) => {
            Event::info("worker_drain_set")
                .worker(worker.clone())
                .detail(draining.to_string())
        }
        _ => return None,
    })
}

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
    mpsc::{Receiver, SyncSender, sync_channel},
};

use tarragon_codes::{Code, Failure, Outcome};
use tarragon_leases::WorkerReport;
use tarragon_names::{JobId, Millis, WorkerName};
use tarragon_scheduler::{Explanation, SchedEvent, Scheduler, WorkerView};
use tokio::sync::oneshot;

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

    /// Notes that no other host can be elected before `until`.
    pub(crate) fn set_leads_until(&self, until: Millis) {
        self.leads_until.store(until.0, Ordering::Release);
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
    pub(crate) fn must_send(&self, event: SchedEvent) {
        let _stopped = self.tx.send(SchedInput::Event(event));
    }
}

use std::sync::Arc;

use tarragon_cell::{Answer, Cell, Command};
use tarragon_names::{LogIndex, Term};
use tarragon_scheduler::SchedEvent;
use tarragon_telemetry::{Event, EventSink};

use crate::{CellClock, CellStateMachine, PollTable, SchedulerHandle};
use tarragon_replica::{ApplySink, LeaderLease};

/// Passes changes of the replicated state and of leadership on to the scheduler and the poll table.
#[derive(Debug)]
pub struct LeaderSink {
    scheduler: SchedulerHandle,
    polls: Arc<PollTable>,
    cell: Arc<Cell>,
    cell_clock: Arc<CellClock>,
    events: Arc<dyn EventSink>,
}

impl LeaderSink {
    /// Creates the sink for the replica of this host.
    pub fn new(
        scheduler: SchedulerHandle,
        polls: Arc<PollTable>,
        cell: Arc<Cell>,
        cell_clock: Arc<CellClock>,
        events: Arc<dyn EventSink>,
    ) -> Self {
        Self {
            scheduler,
            polls,
            cell,
            cell_clock,
            events,
        }
    }
}

impl ApplySink<CellStateMachine> for LeaderSink {
    fn applied(&self, index: LogIndex, command: &Command, answer: &Answer) {
        if let Some(event) = to_event(command, answer) {
            self.events.emit(&event.index(index));
        }
        let event = SchedEvent::Committed {
            command: command.clone(),
            answer: answer.clone(),
        };
        self.scheduler.send_blocking(event);
    }

    fn followed(&self, _: &Command) {}

    fn became_leader(&self, term: Term) {
        self.polls.became_leader(term);
        self.cell_clock.start_term_from(self.cell.now_ms());
        self.scheduler.send_blocking(SchedEvent::BecameLeader {
            term,
            at_ms: self.cell_clock.now(),
        });
    }

    fn lost_leadership(&self, _: Term) {
        self.polls.lost_leadership();
        self.scheduler.send_blocking(SchedEvent::LostLeadership);
    }

    fn not_proposed(&self, commands: Vec<Command>) {
        self.scheduler
            .send_blocking(SchedEvent::NotProposed(commands));
    }

    fn lease_updated(&self, lease: Option<LeaderLease>) {
        let until = lease.map(|lease| lease.until());
        self.scheduler.set_leads_until(until.unwrap_or_default());
    }
}

/// Converts a change of the replicated state to the event that the timeline tool shows, if any.
///
/// Starts and ends of tasks return `None`, because the scheduler emits events for them.
fn to_event(command: &Command, answer: &Answer) -> Option<Event> {
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

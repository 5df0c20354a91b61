use std::sync::Arc;

use tarragon_cell::{Answer, Cell, Command};
use tarragon_names::{LogIndex, Millis, Term};
use tarragon_scheduler::SchedEvent;
use tarragon_telemetry::{Event, EventSink};

use crate::{CellLog, CellTime, PollTable, SchedulerHandle};
use tarragon_replica::ApplySink;

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

impl ApplySink<CellLog> for LeaderSink {
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
        self.scheduler.set_leads_until(until);
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

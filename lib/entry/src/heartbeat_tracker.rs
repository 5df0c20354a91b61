use std::collections::HashMap;

use parking_lot::Mutex;
use tarragon_names::WorkerName;
use tarragon_workflow::{Command, WorkerIncarnation, WorkerRecord, WorkflowState};

use crate::WorkerReport;

/// Effect of a heartbeat on the replicated state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum HeartbeatEffect {
    /// The heartbeat is older than the recorded state and has no effect.
    Stale,
    /// The heartbeat repeats the recorded state.
    Unchanged,
    /// The commands record the changes; they are to be proposed in this order.
    Changed(Vec<Command>),
}

/// Compares heartbeats with the replicated state; they may arrive late and out of order.
#[derive(Debug, Default)]
pub(crate) struct HeartbeatTracker {
    /// Latest incarnation of each worker, with the highest sequence number received from it.
    sequences: Mutex<HashMap<WorkerName, (WorkerIncarnation, u64)>>,
}

impl HeartbeatTracker {
    /// Returns the effect of a heartbeat and records its sequence number.
    pub(crate) fn effect_of(
        &self,
        workflow_state: &WorkflowState,
        report: &WorkerReport,
    ) -> HeartbeatEffect {
        let mut record = report.record.clone();
        if workflow_state.is_outdated(&record.incarnation) {
            return HeartbeatEffect::Stale;
        }
        let known = workflow_state.worker(&record.incarnation.worker);
        if let Some(known) = &known
            && known.incarnation == record.incarnation
        {
            // Once an incarnation has announced that it leaves, it stays draining.
            record.is_draining |= known.is_draining;
            record.acknowledged = known.acknowledged;
            if !self.record_sequence(report) {
                return HeartbeatEffect::Stale;
            }
            if *known == record {
                return HeartbeatEffect::Unchanged;
            }
        }
        let others = workflow_state.workers();
        let others = others
            .iter()
            .filter(|other| other.incarnation.worker != record.incarnation.worker)
            .filter(|other| other.address == record.address);
        let mut commands = Vec::new();
        for other in others {
            // Two incarnations cannot share an address, so the one that started earlier has ended. If the
            // wall clock went back between their starts, the later one waits here until a poll for the
            // other one, which now meets the later one, has its record removed.
            if other.incarnation.started_ms > record.incarnation.started_ms {
                return HeartbeatEffect::Stale;
            }
            commands.push(Command::RemoveWorker(other.incarnation.clone()));
        }
        self.record_sequence(report);
        commands.push(Command::PutWorker(WorkerRecord {
            acknowledged: known
                .filter(|known| known.incarnation == record.incarnation)
                .map_or(0, |known| known.acknowledged),
            ..record
        }));
        HeartbeatEffect::Changed(commands)
    }

    /// Records the sequence number of a heartbeat.
    ///
    /// Returns false if a higher number was received from the same incarnation before.
    fn record_sequence(&self, report: &WorkerReport) -> bool {
        let mut sequences = self.sequences.lock();
        let incarnation = &report.record.incarnation;
        let (known, highest) = sequences
            .entry(incarnation.worker.clone())
            .or_insert_with(|| (incarnation.clone(), report.sequence));
        if known != incarnation {
            (*known, *highest) = (incarnation.clone(), report.sequence);
        }
        let is_newest = *highest <= report.sequence;
        *highest = report.sequence.max(*highest);
        is_newest
    }
}

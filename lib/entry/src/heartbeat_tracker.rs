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
    /// No pool of the configuration has the name in the heartbeat, or the incarnation belongs to another
    /// one. The heartbeat has no effect.
    UnknownPool,
    /// Another worker is recorded at the address. The heartbeat has no effect before a call to that worker
    /// is answered by another one.
    AddressTaken(WorkerIncarnation),
    /// The command records the change.
    Changed(Command),
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
            if known.pool != record.pool {
                return HeartbeatEffect::UnknownPool;
            }
            // Once an incarnation has announced that it leaves, it stays draining.
            record.is_draining |= known.is_draining;
            record.acknowledged = known.acknowledged;
            if !self.record_sequence(report) {
                return HeartbeatEffect::Stale;
            }
            if *known == record {
                return HeartbeatEffect::Unchanged;
            }
        } else if !is_configured(workflow_state, &record) {
            return HeartbeatEffect::UnknownPool;
        }
        // Two incarnations cannot share an address, so one of them has ended. Which one, only the worker
        // at that address can tell.
        if let Some(other) = other_at_address(workflow_state, &record) {
            return HeartbeatEffect::AddressTaken(other);
        }
        self.record_sequence(report);
        HeartbeatEffect::Changed(Command::PutWorker(WorkerRecord {
            acknowledged: known
                .filter(|known| known.incarnation == record.incarnation)
                .map_or(0, |known| known.acknowledged),
            ..record
        }))
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

/// Returns whether the configuration names the pool of a worker. Before the first configuration, any pool
/// may be named later.
fn is_configured(workflow_state: &WorkflowState, record: &WorkerRecord) -> bool {
    let configuration = workflow_state.configuration();
    let mut pools = configuration.pools.iter();
    configuration.version == 0 || pools.any(|pool| pool.pool == record.pool)
}

/// Returns the incarnation of another worker that is recorded at the address of this one.
fn other_at_address(
    workflow_state: &WorkflowState,
    record: &WorkerRecord,
) -> Option<WorkerIncarnation> {
    let workers = workflow_state.workers().into_iter();
    let mut others = workers.filter(|other| other.incarnation.worker != record.incarnation.worker);
    let other = others.find(|other| other.address == record.address);
    other.map(|other| other.incarnation)
}

use std::collections::HashMap;

use parking_lot::Mutex;
use tarragon_workflow::{Command, WorkerIncarnation, WorkerRecord, WorkflowState};

use crate::WorkerReport;

/// What a heartbeat of a worker means for the replicated state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Meaning {
    /// It is older than what is known.
    Stale,
    /// Nothing has changed.
    Unchanged,
    /// These commands record what has changed, in order.
    Changed(Vec<Command>),
}

/// Judges heartbeats, which may arrive late and out of order.
#[derive(Debug, Default)]
pub(crate) struct Heartbeats {
    /// Highest sequence number seen of each life.
    sequences: Mutex<HashMap<WorkerIncarnation, u64>>,
}

impl Heartbeats {
    pub(crate) fn judge(&self, flow: &WorkflowState, report: &WorkerReport) -> Meaning {
        let mut record = report.record.clone();
        let known = flow.worker(&record.incarnation.worker);
        if let Some(known) = &known {
            if known.incarnation.started_ms > record.incarnation.started_ms {
                return Meaning::Stale;
            }
            if known.incarnation == record.incarnation {
                // A worker that leaves does not come back in the same life.
                record.is_draining |= known.is_draining;
                record.acknowledged = known.acknowledged;
                if !self.is_newest(report) {
                    return Meaning::Stale;
                }
                if *known == record {
                    return Meaning::Unchanged;
                }
            }
        }
        let others = flow.workers();
        let others = others
            .iter()
            .filter(|other| other.incarnation.worker != record.incarnation.worker)
            .filter(|other| other.address == record.address);
        let mut commands = Vec::new();
        for other in others {
            // Two lives cannot hold one address: the later one tells that the earlier has ended.
            if other.incarnation.started_ms > record.incarnation.started_ms {
                return Meaning::Stale;
            }
            commands.push(Command::RemoveWorker(other.incarnation.clone()));
        }
        self.is_newest(report);
        commands.push(Command::PutWorker(WorkerRecord {
            acknowledged: known
                .filter(|known| known.incarnation == record.incarnation)
                .map_or(0, |known| known.acknowledged),
            ..record
        }));
        Meaning::Changed(commands)
    }

    /// Notes the sequence number; false if a later one of the same life was seen.
    fn is_newest(&self, report: &WorkerReport) -> bool {
        let mut sequences = self.sequences.lock();
        let worker = &report.record.incarnation.worker;
        sequences.retain(|life, _| life.worker != *worker || *life == report.record.incarnation);
        let seen = sequences
            .entry(report.record.incarnation.clone())
            .or_insert(report.sequence);
        let is_newest = *seen <= report.sequence;
        *seen = report.sequence.max(*seen);
        is_newest
    }
}

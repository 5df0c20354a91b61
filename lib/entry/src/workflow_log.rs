use std::sync::Arc;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::LogIndex;
use tarragon_replica::{Growth, StateMachine};
use tarragon_wire::{WireError, record};
use tarragon_workflow::{Answer, Command, TeamRecords, WorkflowSnapshot, WorkflowState};

/// State machine of the replicated log: applies commands to the jobs and the configuration.
#[derive(Clone, Debug)]
pub struct WorkflowLog(pub Arc<WorkflowState>);

impl StateMachine for WorkflowLog {
    type Command = Command;
    type Answer = Answer;

    fn growth(command: &Command) -> Growth {
        match command {
            Command::Submit { .. } | Command::SubmitForTeam { .. } => Growth::Work,
            Command::PutConfiguration(_)
            | Command::PutTeamConfiguration { .. }
            | Command::StartWave { .. } => Growth::Settings,
            _ => Growth::None,
        }
    }

    fn apply(&self, _: LogIndex, at_ms: u64, command: &Command) -> Answer {
        self.0.apply(at_ms, command)
    }

    fn snapshot(&self) -> Outcome<Bytes> {
        let snapshot = self.0.snapshot();
        let histories = snapshot.histories();
        let removed_workers = snapshot.removed_workers.clone();
        let successions = snapshot.successions.clone();
        let teams = snapshot.teams.clone();
        let unanswered_starts = snapshot.unanswered_starts.clone();
        let done_occurrences = snapshot.done_occurrences.clone();
        let unanswered_workers = snapshot.unanswered_workers.clone();
        let parts = (snapshot, histories, removed_workers, successions);
        // Parts at the end that hold nothing are left out, which is the form that earlier releases write.
        let encoded = if !unanswered_workers.is_empty() {
            record::encode(&(
                parts,
                teams,
                unanswered_starts,
                done_occurrences,
                unanswered_workers,
            ))
        } else if !done_occurrences.is_empty() {
            record::encode(&(parts, teams, unanswered_starts, done_occurrences))
        } else if !unanswered_starts.is_empty() {
            record::encode(&(parts, teams, unanswered_starts))
        } else if teams == TeamRecords::default() {
            record::encode(&parts)
        } else {
            record::encode(&(parts, teams))
        };
        encoded.map_err(|e| Failure::new(Code::Internal, e.to_string()))
    }

    fn restore(&self, state: &[u8]) -> Outcome<()> {
        let snapshot = if state.is_empty() {
            WorkflowSnapshot::default()
        } else {
            decode(state).map_err(|e| Failure::new(Code::CorruptRecord, e.to_string()))?
        };
        self.0.restore(snapshot);
        Ok(())
    }
}

fn decode(state: &[u8]) -> Result<WorkflowSnapshot, WireError> {
    let (mut snapshot, rest) = record::decode_first::<WorkflowSnapshot>(state)?;
    let (histories, rest) = decode_next(rest)?;
    snapshot.restore_histories(histories);
    let (removed_workers, rest) = decode_next(rest)?;
    snapshot.removed_workers = removed_workers.unwrap_or_default();
    let (successions, rest) = decode_next(rest)?;
    snapshot.successions = successions.unwrap_or_default();
    let (teams, rest) = decode_next(rest)?;
    snapshot.teams = teams.unwrap_or_default();
    let (unanswered_starts, rest) = decode_next(rest)?;
    snapshot.unanswered_starts = unanswered_starts.unwrap_or_default();
    let (done_occurrences, rest) = decode_next(rest)?;
    snapshot.done_occurrences = done_occurrences.unwrap_or_default();
    let (unanswered_workers, _) = decode_next(rest)?;
    snapshot.unanswered_workers = unanswered_workers.unwrap_or_default();
    Ok(snapshot)
}

/// Decodes the next part of a snapshot and returns the rest. Snapshots of earlier releases have fewer
/// parts.
fn decode_next<T>(rest: &[u8]) -> Result<(Option<T>, &[u8]), WireError>
where
    T: DeserializeOwned,
{
    if rest.is_empty() {
        return Ok((None, rest));
    }
    let (part, rest) = record::decode_first(rest)?;
    Ok((Some(part), rest))
}

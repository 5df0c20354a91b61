use std::sync::Arc;

use bytes::Bytes;
use tarragon_cell::{Answer, Cell, CellState, Command};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::LogIndex;
use tarragon_replica::{Growth, StateMachine};
use tarragon_wire::record;

/// State machine of the replicated log, which applies its commands to the state of the cell.
#[derive(Clone, Debug)]
pub struct CellStateMachine(pub Arc<Cell>);

impl StateMachine for CellStateMachine {
    type Command = Command;
    type Answer = Answer;

    fn growth(command: &Command) -> Growth {
        match command {
            // With a key or a request id, the command may ask for the result of an earlier one, and a
            // refusal would say that it was not run.
            Command::AcceptJob { key: None, .. } => Growth::Work,
            _ => Growth::None,
        }
    }

    fn apply(&self, index: LogIndex, at_ms: u64, command: &Command) -> Answer {
        self.0.apply(index, at_ms, command)
    }

    fn snapshot(&self) -> Outcome<Bytes> {
        record::encode(&self.0.snapshot()).map_err(|e| Failure::new(Code::Internal, e.to_string()))
    }

    fn restore(&self, state: &[u8]) -> Outcome<()> {
        let state = if state.is_empty() {
            CellState::default()
        } else {
            record::decode(state).map_err(|e| Failure::new(Code::CorruptRecord, e.to_string()))?
        };
        self.0.restore(state);
        Ok(())
    }
}

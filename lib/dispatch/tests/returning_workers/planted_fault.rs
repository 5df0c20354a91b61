use tarragon_dispatch::StartOrder;
use tarragon_names::Name;
use tarragon_workflow::{Command, RunEnd, RunEvent};

/// Numbers of runs that no worker runs.
const FORGED_RUNS: [u32; 2] = [100, 101];

/// A fault that the simulation plants in what the state and the workers are fed, so that a check that
/// finds nothing is noticed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlantedFault {
    /// After each failed end, two further runs are placed and end in the same way.
    FailureCountsOften,
    /// Failed ends are applied as stopped ones.
    FailureIsDropped,
    /// Ends `done` are applied as stopped ones.
    DoneIsDropped,
    /// Ends that are not `done` are applied as `done`.
    DoneIsForged,
    /// The first runs of tasks are declared lost as soon as they have begun.
    RunIsDeclaredLost,
    /// Ends carry a checkpoint that no run has saved.
    CheckpointIsForged,
    /// The start orders of every second member of a gang carry no checkpoint.
    GangCheckpointIsDropped,
    /// Start orders of a third run and later carry no checkpoint.
    CheckpointIsDropped,
    /// Records of ends `stopped` and `failed` are never applied.
    EndIsLost,
}

impl PlantedFault {
    /// Changes a command before it is applied.
    pub fn change_command(self, command: &mut Command) {
        let Command::RunEvents(events) = command else {
            return;
        };
        if self == Self::EndIsLost {
            events.retain(|event| {
                !matches!(
                    event,
                    RunEvent::Ended {
                        end: RunEnd::Stopped | RunEnd::Failed,
                        ..
                    }
                )
            });
        }
        for event in events.iter_mut() {
            match (self, event) {
                (
                    Self::FailureIsDropped,
                    RunEvent::Ended {
                        end: end @ RunEnd::Failed,
                        ..
                    },
                )
                | (
                    Self::DoneIsDropped,
                    RunEvent::Ended {
                        end: end @ RunEnd::Done,
                        ..
                    },
                ) => {
                    *end = RunEnd::Stopped;
                }
                (Self::DoneIsForged, RunEvent::Ended { end, .. }) => *end = RunEnd::Done,
                (Self::CheckpointIsForged, RunEvent::Ended { checkpoint, .. }) => {
                    *checkpoint = Some(Name::from("forged"));
                }
                _ => {}
            }
        }
        if self == Self::FailureCountsOften {
            let is_failure = |event: &&RunEvent| {
                matches!(
                    event,
                    RunEvent::Ended {
                        end: RunEnd::Failed,
                        ..
                    }
                )
            };
            let failures = events.iter().filter(is_failure);
            let again = failures
                .flat_map(|event| FORGED_RUNS.into_iter().flat_map(|run| forged(event, run)));
            let again = again.collect::<Vec<_>>();
            events.extend(again);
        }
    }

    /// Changes a start order before it is observed and sent.
    pub fn change_start(self, order: &mut StartOrder) {
        let is_dropped = match self {
            Self::GangCheckpointIsDropped => order.task.index % 2 == 1,
            Self::CheckpointIsDropped => order.run >= 3,
            _ => false,
        };
        if is_dropped {
            order.checkpoint = None;
        }
    }
}

/// Placement and end of a run that no worker runs, with the outcome of `event`.
fn forged(event: &RunEvent, number: u32) -> Vec<RunEvent> {
    let mut ended = event.clone();
    let RunEvent::Ended {
        incarnation,
        task,
        run,
        ..
    } = &mut ended
    else {
        return Vec::new();
    };
    *run = number;
    let placed = RunEvent::Placed {
        task: *task,
        run: number,
        incarnation: incarnation.clone(),
    };
    vec![placed, ended]
}

use std::str::FromStr;

use derive_more::Display;

/// What a stand-in worker does wrong.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum FaultKind {
    /// Every task fails soon after its start.
    #[display("fail_all")]
    FailAll,
    /// The worker does nothing at all, like a stopped process.
    #[display("pause")]
    Pause,
    /// The worker runs on, but none of its messages leaves or arrives.
    #[display("silent")]
    Silent,
    /// Reports of ended tasks are lost; heartbeats still leave.
    #[display("lose_answers")]
    LoseAnswers,
}

impl FaultKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::FailAll, Self::Pause, Self::Silent, Self::LoseAnswers];
}

impl FromStr for FaultKind {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.to_string() == s)
            .ok_or_else(|| "must be fail_all, pause, silent or lose_answers".to_owned())
    }
}

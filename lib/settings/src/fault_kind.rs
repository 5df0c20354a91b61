use std::str::FromStr;

use derive_more::Display;

/// Kind of fault that can be injected into a stand-in worker.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum FaultKind {
    /// Every task fails soon after its start.
    #[display("fail_all")]
    FailAll,
    /// The worker makes no progress, like a suspended process.
    #[display("pause")]
    Pause,
    /// The worker keeps running, but all messages to and from it are lost.
    #[display("silent")]
    Silent,
    /// Reports of ended tasks are lost; heartbeats are still sent.
    #[display("lose_answers")]
    LoseAnswers,
}

impl FaultKind {
    /// All kinds, for parsing.
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

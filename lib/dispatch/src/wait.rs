use derive_more::Display;

/// What the waiting tasks of a step wait for, as of the last attempt to place them.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Wait {
    #[default]
    #[display("a placement")]
    Placement,
    #[display("capacity that is left to more urgent steps")]
    Headroom,
    #[display("its team to fall below its cap")]
    TeamCap,
    #[display("its team to fall below twice its share")]
    TeamShare,
    #[display("a relay")]
    Relay,
    #[display("advice")]
    Advice,
    #[display("a worker with capacity")]
    Worker,
}

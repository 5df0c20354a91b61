/// What a failed task says about its worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Evidence {
    /// Nothing: the job fails everywhere, or the task failed slowly.
    Neutral,
    /// The worker is at fault, unless the job turns out to fail everywhere.
    Uncertain,
    /// The worker is at fault, because the job succeeded elsewhere.
    Certain,
}

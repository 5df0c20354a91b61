/// Outcome of an attempt, as reported by its worker.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum TaskEnd {
    /// The task exited by itself with this exit status; 0 is success.
    Exited(i32),
    /// The running task was stopped, by an order or because the lease ended.
    Stopped,
    /// The task saved a checkpoint and ended; a later attempt may resume on another worker.
    Checkpointed,
    /// The attempt was withdrawn before it began; the worker refuses to start it from now on.
    NeverBegan,
}

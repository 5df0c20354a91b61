/// How an attempt ended on its worker.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum TaskEnd {
    /// The task ran to its end with this exit status; 0 is success.
    Exited(i32),
    /// The task was running and was stopped by an order.
    Stopped,
    /// The task was checkpointed and ended; it may resume elsewhere.
    Checkpointed,
    /// The attempt never began and its start is refused from now on.
    NeverBegan,
}

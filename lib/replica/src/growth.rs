/// What a command may add to the replicated state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Growth {
    /// Nothing that lasts, or it makes room: such a command is never refused for want of room.
    None,
    /// Work of callers, which is refused first.
    Work,
    /// Settings of operators, which may also take the room that work leaves.
    Settings,
}

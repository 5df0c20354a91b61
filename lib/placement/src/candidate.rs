/// A worker found by a search.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    /// Position of the worker in its shard.
    pub(crate) position: usize,
    /// Score of the worker; lower is better.
    pub(crate) score: u64,
}

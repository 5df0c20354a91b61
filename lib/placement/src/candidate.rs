/// A worker that a search found.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) slot: usize,
    /// The lower the better.
    pub(crate) score: u64,
}

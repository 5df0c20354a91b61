use std::fmt::{self, Debug, Display, Formatter};

/// A violated invariant with the shortest trace to the state that violates it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation<S> {
    /// Text that [`Model::check`](crate::Model::check) returned.
    pub rule: String,
    /// Steps from an initial state to the violation.
    pub trace: Vec<S>,
}

impl<S> Display for Violation<S>
where
    S: Debug,
{
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.rule)?;
        for (number, step) in self.trace.iter().enumerate() {
            writeln!(f, "{:>4}. {step:?}", number + 1)?;
        }
        Ok(())
    }
}

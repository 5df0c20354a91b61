use std::fmt::{self, Debug, Display, Formatter};

/// A broken rule with the shortest trace that leads to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation<S> {
    /// The rule, as the model's check words it.
    pub rule: String,
    /// Steps from an initial state.
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

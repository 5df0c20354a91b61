use derive_more::Display;
use serde::{Deserialize, Serialize};
use tarragon_names::{JobName, Name};

/// Names that a catalogue entry covers. Written with a trailing `*` for a prefix.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(from = "String", into = "String")]
pub enum Pattern {
    /// One name.
    #[display("{_0}")]
    Exact(JobName),
    /// All names that begin with this text.
    #[display("{_0}*")]
    Prefix(Name),
}

impl From<String> for Pattern {
    fn from(text: String) -> Self {
        text.strip_suffix('*').map_or_else(
            || Self::Exact(text.as_str().into()),
            |prefix| Self::Prefix(prefix.into()),
        )
    }
}

impl From<Pattern> for String {
    fn from(pattern: Pattern) -> Self {
        pattern.to_string()
    }
}

use derive_more::Display;
use serde::{Deserialize, Serialize};
use tarragon_names::{JobName, Name};

/// Name or prefix that a catalogue entry covers. A prefix is written with a trailing `*`.
#[derive(Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(from = "String", into = "String")]
pub enum Pattern {
    /// Covers only this name.
    #[display("{_0}")]
    Exact(JobName),
    /// Covers all names that begin with this text, also the text itself.
    #[display("{_0}*")]
    Prefix(Name),
}

impl Pattern {
    /// Text of the name or the prefix, without the trailing `*`.
    pub fn text(&self) -> &str {
        match self {
            Self::Exact(name) => name.as_str(),
            Self::Prefix(prefix) => prefix.as_str(),
        }
    }

    /// Returns whether the pattern covers `name`.
    pub fn covers(&self, name: &JobName) -> bool {
        match self {
            Self::Exact(exact) => exact == name,
            Self::Prefix(prefix) => name.starts_with(prefix.as_str()),
        }
    }
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

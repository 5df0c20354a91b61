use std::str::FromStr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Priority class of the work that a catalogue entry covers, ordered from most to least urgent.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Must start within seconds; may preempt lower classes.
    #[display("urgent")]
    Urgent,
    /// Ordinary work.
    #[default]
    #[display("standard")]
    Standard,
    /// May wait for hours but must not be lost.
    #[display("overnight")]
    Overnight,
}

impl Class {
    /// All classes, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Standard, Self::Overnight];
}

impl FromStr for Class {
    type Err = ();

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|class| class.to_string() == s)
            .ok_or(())
    }
}

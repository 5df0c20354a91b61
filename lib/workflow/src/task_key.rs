use std::str::FromStr;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use tarragon_codes::{Code, Failure};

use crate::JobKey;

/// Identifier of one step of one occurrence of a job.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{job}.{occurrence}.{step}")]
pub struct StepKey {
    /// Job that the step belongs to.
    pub job: JobKey,
    /// Number of the occurrence, from 0; always 0 for a job that runs once.
    pub occurrence: u32,
    /// Number of the step in the job, from 0.
    pub step: u32,
}

/// Identifier of one task of a step.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{step}.{index}")]
pub struct TaskKey {
    /// Step that the task belongs to.
    pub step: StepKey,
    /// Number of the task in the step, from 0.
    pub index: u32,
}

impl FromStr for TaskKey {
    type Err = Failure;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let malformed = || Failure::new(Code::Malformed, format!("'{s}' is not a task name"));
        let mut parts = s.split('.');
        let mut part = || parts.next().ok_or_else(malformed);
        let job = part()?.parse()?;
        let mut number = || part()?.parse().map_err(|_parse| malformed());
        let step = StepKey {
            job,
            occurrence: number()?,
            step: number()?,
        };
        let index = number()?;
        match parts.next() {
            Some(_) => Err(malformed()),
            None => Ok(Self { step, index }),
        }
    }
}

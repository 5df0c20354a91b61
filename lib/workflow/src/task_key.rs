use std::str::FromStr;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use tarragon_codes::{Code, Failure};

use crate::JobKey;

/// One step of one occurrence of a job.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{job}.{occurrence}.{step}")]
pub struct StepKey {
    /// The job.
    pub job: JobKey,
    /// Number of the occurrence, 0 for a job that runs once.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u32,
}

/// One task of a step.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{step}.{index}")]
pub struct TaskKey {
    /// The step.
    pub step: StepKey,
    /// Number of the task in the step.
    pub index: u32,
}

impl FromStr for TaskKey {
    type Err = Failure;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let bad = || Failure::new(Code::Malformed, format!("'{s}' is not a task name"));
        let mut parts = s.split('.');
        let mut part = || parts.next().ok_or_else(bad);
        let job = part()?.parse()?;
        let mut number = || part()?.parse().map_err(|_parse| bad());
        let step = StepKey {
            job,
            occurrence: number()?,
            step: number()?,
        };
        let index = number()?;
        match parts.next() {
            Some(_) => Err(bad()),
            None => Ok(Self { step, index }),
        }
    }
}

use std::collections::HashMap;

use serde::Deserialize;
use tarragon_standin::RequestRecord;

/// Requests as recorded by the executors.
#[derive(Debug, Default)]
pub struct RequestHistory {
    /// Number of runs of each request, by the id at the start of its body.
    pub ran: HashMap<String, u32>,
    /// Number of requests beyond an executor's slots and connections beyond its limit.
    pub violations: u64,
}

#[derive(Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum Line {
    Request { record: RequestRecord },
    Executor { violations: u64 },
}

impl RequestHistory {
    /// Reads the request log of the stand-ins.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut history = Self::default();
        for line in text.lines() {
            match serde_json::from_str(line).map_err(|e| format!("request log: {e}: {line}"))? {
                Line::Request { record } => {
                    let id = record.body.split_inclusive(';').next().unwrap_or_default();
                    *history.ran.entry(id.to_owned()).or_default() += 1;
                }
                Line::Executor { violations } => history.violations += violations,
            }
        }
        Ok(history)
    }

    /// Returns how many times a request ran.
    pub(super) fn count(&self, id: &str) -> u32 {
        self.ran.get(id).copied().unwrap_or(0)
    }
}

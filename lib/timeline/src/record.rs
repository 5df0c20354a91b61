use serde_json::{Map, Value};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::Name;

use crate::EventId;

/// One event of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Its identity.
    pub id: EventId,
    /// Host of the process.
    pub host: Name,
    /// Name of the event.
    pub event: Name,
    /// Wall clock of its host in milliseconds.
    pub ts: u64,
    /// Monotonic clock of its process in milliseconds.
    pub mono: Option<u64>,
    /// Event of a message that it follows.
    pub after: Option<EventId>,
    /// All fields of the line.
    pub fields: Map<String, Value>,
}

impl Record {
    /// Reads a line of a log.
    ///
    /// What a collector wrote in front of the object, such as its own time, is left aside.
    ///
    /// Lines of the task log of stand-ins have no process and no count; for them the name of the
    /// file and the number of the line stand in.
    pub fn parse(line: &str, file: &str, number: u64) -> Outcome<Self> {
        let object = line.find('{').map_or(line, |at| &line[at..]);
        let fields: Map<String, Value> = serde_json::from_str(object)
            .map_err(|e| Failure::new(Code::Malformed, format!("{file} line {number}: {e}")))?;
        let text = |key| fields.get(key).and_then(Value::as_str);
        let count = |key| fields.get(key).and_then(Value::as_u64);
        let (Some(event), Some(ts)) = (text("event"), count("ts").or_else(|| count("ms"))) else {
            let cause = format!("{file} line {number}: no event or no time");
            return Err(Failure::new(Code::Malformed, cause));
        };
        Ok(Self {
            id: EventId {
                process: text("process").unwrap_or(file).into(),
                seq: count("seq").unwrap_or(number),
            },
            host: text("host")
                .or_else(|| text("worker"))
                .unwrap_or(file)
                .into(),
            event: event.into(),
            ts,
            mono: count("mono"),
            after: text("after").and_then(|after| after.parse().ok()),
            fields,
        })
    }

    /// A field as it is printed.
    pub fn field(&self, key: &str) -> Option<String> {
        match self.fields.get(key)? {
            Value::Null => None,
            Value::String(text) => Some(text.clone()),
            value => Some(value.to_string()),
        }
    }

    /// A field that is a number.
    pub fn number(&self, key: &str) -> Option<u64> {
        self.fields.get(key)?.as_u64()
    }

    /// The job, given itself or as part of the task.
    pub fn job(&self) -> Option<String> {
        let task = || Some(self.field("task")?.split('.').next()?.to_owned());
        self.field("job").or_else(task)
    }
}

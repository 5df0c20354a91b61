use serde_json::{Map, Value};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::Name;

use crate::EventId;

/// An event as read from a line of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Identifier by which other events refer to this one.
    pub id: EventId,
    /// Host of the process; the worker or else the file for lines without a host.
    pub host: Name,
    /// Name of the event.
    pub event: Name,
    /// Wall clock of the host in milliseconds since the Unix epoch; the field `ms` for a line of a task
    /// log of stand-ins.
    pub ts: u64,
    /// Milliseconds since the start of the process on its monotonic clock, if the line has this
    /// field.
    pub mono: Option<u64>,
    /// Event of another process whose message caused this one.
    pub after: Option<EventId>,
    /// All fields of the line, those above included.
    pub fields: Map<String, Value>,
}

impl Record {
    /// Parses a line of a log.
    ///
    /// Text in front of the JSON object is ignored, because log collectors add columns such as their
    /// own time.
    ///
    /// Lines of the task log of stand-ins have no process and no sequence number. The name of the
    /// file and the line number are used instead.
    pub fn parse(line: &str, file: &str, line_number: u64) -> Outcome<Self> {
        let object = line.find('{').map_or(line, |at| &line[at..]);
        let fields: Map<String, Value> = serde_json::from_str(object).map_err(|e| {
            Failure::new(Code::Malformed, format!("{file} line {line_number}: {e}"))
        })?;
        let text = |key| fields.get(key).and_then(Value::as_str);
        let number_of = |key| fields.get(key).and_then(Value::as_u64);
        let (Some(event), Some(ts)) = (text("event"), number_of("ts").or_else(|| number_of("ms")))
        else {
            let cause = format!("{file} line {line_number}: event name or time is missing");
            return Err(Failure::new(Code::Malformed, cause));
        };
        Ok(Self {
            id: EventId {
                process: text("process").unwrap_or(file).into(),
                seq: number_of("seq").unwrap_or(line_number),
            },
            host: text("host")
                .or_else(|| text("worker"))
                .unwrap_or(file)
                .into(),
            event: event.into(),
            ts,
            mono: number_of("mono"),
            after: text("after").and_then(|after| after.parse().ok()),
            fields,
        })
    }

    /// Returns a field in its printed form; `None` if it is absent or null.
    pub fn field(&self, key: &str) -> Option<String> {
        match self.fields.get(key)? {
            Value::Null => None,
            Value::String(text) => Some(text.clone()),
            value => Some(value.to_string()),
        }
    }

    /// Returns a field that is an unsigned number; `None` for other values.
    pub fn number(&self, key: &str) -> Option<u64> {
        self.fields.get(key)?.as_u64()
    }

    /// Returns the job, from the field `job` or else from the task identifier.
    pub fn job(&self) -> Option<String> {
        let task = || Some(self.field("task")?.split('.').next()?.to_owned());
        self.field("job").or_else(task)
    }
}

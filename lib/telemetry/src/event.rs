use slog::{KV, Key, Level, Record, Serializer};
use tarragon_names::{
    Attempt, ExecutorName, HostName, JobId, LogIndex, Name, Revision, TaskId, Term, WorkerName,
};

use crate::EventId;

/// A log event with the identifiers by which a reader filters it. Absent fields are not written.
#[derive(Clone, Debug)]
pub struct Event {
    /// Name of the event, in snake case; log filters match it.
    pub name: &'static str,
    /// Severity; a sink may discard events below its level.
    pub level: Level,
    /// Job that the event is about.
    pub job: Option<JobId>,
    /// Task that the event is about.
    pub task: Option<TaskId>,
    /// Attempt of the task.
    pub attempt: Option<Attempt>,
    /// Identifier of the service request that the event is about.
    pub request: Option<Name>,
    /// Worker that the event is about.
    pub worker: Option<WorkerName>,
    /// Executor that the event is about.
    pub executor: Option<ExecutorName>,
    /// Term of the leader, or epoch of an executor, which changes when its process restarts.
    pub epoch: Option<u64>,
    /// Index of an entry of the replicated log.
    pub index: Option<LogIndex>,
    /// Revision of the catalogue that applied.
    pub revision: Option<Revision>,
    /// Host at the other end of the connection or call.
    pub peer: Option<HostName>,
    /// Numeric result code.
    pub code: Option<u16>,
    /// Free text for a human reader.
    pub detail: Option<String>,
    /// Event of another process whose message caused this one.
    pub after: Option<EventId>,
}

macro_rules! setters {
    ($($(#[$doc:meta])* $field:ident: $type:ty;)*) => {
        impl Event {
            $(
                $(#[$doc])*
                #[must_use]
                pub fn $field<T>(mut self, value: T) -> Self
                where
                    T: Into<$type>,
                {
                    self.$field = Some(value.into());
                    self
                }
            )*
        }
    };
}

setters! {
    /// Sets the job.
    job: JobId;
    /// Sets the attempt of the task.
    attempt: Attempt;
    /// Sets the service request.
    request: Name;
    /// Sets the worker.
    worker: WorkerName;
    /// Sets the executor.
    executor: ExecutorName;
    /// Sets the epoch.
    epoch: u64;
    /// Sets the index of the entry of the replicated log.
    index: LogIndex;
    /// Sets the revision of the catalogue.
    revision: Revision;
    /// Sets the host at the other end of the connection or call.
    peer: HostName;
    /// Sets the numeric result code.
    code: u16;
    /// Sets the free text.
    detail: String;
    /// Sets the event that caused this one.
    after: EventId;
}

impl Event {
    /// Creates an event for a fault that needs an operator.
    pub fn error(name: &'static str) -> Self {
        Self::new(name, Level::Error)
    }

    /// Creates an event for a condition that the system handles but that should be rare.
    pub fn warning(name: &'static str) -> Self {
        Self::new(name, Level::Warning)
    }

    /// Creates an event for a change of state.
    pub fn info(name: &'static str) -> Self {
        Self::new(name, Level::Info)
    }

    /// Creates an event for a single step of a job or request.
    pub fn debug(name: &'static str) -> Self {
        Self::new(name, Level::Debug)
    }

    /// Sets the task, and the job from the task's identifier.
    #[must_use]
    pub fn task(mut self, task: TaskId) -> Self {
        self.job = Some(task.job);
        self.task = Some(task);
        self
    }

    /// Sets the epoch to a leader's term.
    #[must_use]
    pub fn term(mut self, term: Term) -> Self {
        self.epoch = Some(term.0);
        self
    }

    fn new(name: &'static str, level: Level) -> Self {
        Self {
            name,
            level,
            job: None,
            task: None,
            attempt: None,
            request: None,
            worker: None,
            executor: None,
            epoch: None,
            index: None,
            revision: None,
            peer: None,
            code: None,
            detail: None,
            after: None,
        }
    }
}

impl KV for Event {
    fn serialize(&self, _record: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        serializer.emit_str(Key::from("event"), self.name)?;
        serializer.emit_str(Key::from("level"), self.level.as_str())?;
        let optional_names = [
            ("request", self.request.as_deref()),
            ("worker", self.worker.as_deref()),
            ("executor", self.executor.as_deref()),
            ("peer", self.peer.as_deref()),
            ("detail", self.detail.as_deref()),
        ];
        for (key, value) in optional_names {
            if let Some(value) = value {
                serializer.emit_str(Key::from(key), value)?;
            }
        }
        let formatted = [
            ("job", self.job.map(|v| v.to_string())),
            ("task", self.task.map(|v| v.to_string())),
            (
                "after",
                self.after
                    .as_ref()
                    .filter(|id| id.seq > 0)
                    .map(EventId::to_string),
            ),
        ];
        for (key, value) in formatted {
            if let Some(value) = value {
                serializer.emit_str(Key::from(key), &value)?;
            }
        }
        let numbers = [
            ("attempt", self.attempt.map(|v| u64::from(v.0))),
            ("epoch", self.epoch),
            ("index", self.index.map(|v| v.0)),
            ("revision", self.revision.map(|v| v.0)),
            ("code", self.code.map(u64::from)),
        ];
        for (key, value) in numbers {
            if let Some(value) = value {
                serializer.emit_u64(Key::from(key), value)?;
            }
        }
        Ok(())
    }
}

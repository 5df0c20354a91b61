use slog::{KV, Key, Level, Record, Serializer};
use tarragon_names::{
    Attempt, ExecutorName, HostName, JobId, LogIndex, Name, Revision, TaskId, Term, WorkerName,
};

use crate::Mark;

/// Something that happened, with the identifiers that a reader filters by.
#[derive(Clone, Debug)]
pub struct Event {
    /// Name of the event, in snake case.
    pub name: &'static str,
    /// Severity.
    pub level: Level,
    /// Job concerned.
    pub job: Option<JobId>,
    /// Task concerned.
    pub task: Option<TaskId>,
    /// Attempt of the task.
    pub attempt: Option<Attempt>,
    /// Service request concerned.
    pub request: Option<Name>,
    /// Worker concerned.
    pub worker: Option<WorkerName>,
    /// Executor concerned.
    pub executor: Option<ExecutorName>,
    /// Term of the leader, or start of an executor's process.
    pub epoch: Option<u64>,
    /// Position in the replicated log.
    pub index: Option<LogIndex>,
    /// Revision of the catalogue.
    pub revision: Option<Revision>,
    /// Other host concerned.
    pub peer: Option<HostName>,
    /// Number of a result code.
    pub code: Option<u16>,
    /// Free text.
    pub detail: Option<String>,
    /// Event of a message that this one follows.
    pub after: Option<Mark>,
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
    /// Sets the position in the replicated log.
    index: LogIndex;
    /// Sets the revision of the catalogue.
    revision: Revision;
    /// Sets the other host.
    peer: HostName;
    /// Sets the number of a result code.
    code: u16;
    /// Sets the free text.
    detail: String;
    /// Sets the event of the message that this one follows.
    after: Mark;
}

impl Event {
    /// A fault that needs an operator.
    pub fn error(name: &'static str) -> Self {
        Self::new(name, Level::Error)
    }

    /// An event that the system handles but that should be rare.
    pub fn warning(name: &'static str) -> Self {
        Self::new(name, Level::Warning)
    }

    /// A change of state.
    pub fn info(name: &'static str) -> Self {
        Self::new(name, Level::Info)
    }

    /// A step of a job or request.
    pub fn debug(name: &'static str) -> Self {
        Self::new(name, Level::Debug)
    }

    /// Sets the task and with it the job.
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
        let names = [
            ("request", self.request.as_deref()),
            ("worker", self.worker.as_deref()),
            ("executor", self.executor.as_deref()),
            ("peer", self.peer.as_deref()),
            ("detail", self.detail.as_deref()),
        ];
        for (key, value) in names {
            if let Some(value) = value {
                serializer.emit_str(Key::from(key), value)?;
            }
        }
        let texts = [
            ("job", self.job.map(|v| v.to_string())),
            ("task", self.task.map(|v| v.to_string())),
            (
                "after",
                self.after
                    .as_ref()
                    .filter(|mark| mark.seq > 0)
                    .map(Mark::to_string),
            ),
        ];
        for (key, value) in texts {
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

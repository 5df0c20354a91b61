use derive_more::TryFrom;
use displaydoc::Display;
use serde::{Deserialize, Serialize};

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal, $advice:literal;)*) => {
        /// Kind of an error; its number stays the same between releases.
        #[derive(
            Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd,
            Serialize, TryFrom,
        )]
        #[repr(u16)]
        #[serde(into = "u16", try_from = "u16")]
        #[try_from(repr)]
        pub enum Code {
            $($(#[$doc])* $name = $number,)*
        }

        impl Code {
            /// All codes in ascending order.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// HTTP status of an answer with this code.
            pub fn http_status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)*
                }
            }

            /// What the caller or the operator can do about the error.
            pub fn advice(self) -> &'static str {
                match self {
                    $(Self::$name => $advice,)*
                }
            }
        }
    };
}

codes! {
    /// malformed request
    Malformed = 1001, 400, "Correct the request; the cause names the field.";
    /// request too large
    TooLarge = 1002, 413, "Send a smaller request; docs/http.md lists the limits.";
    /// no such call
    NoSuchCall = 1003, 404, "Check the path and the method against docs/http.md.";
    /// not authorized
    Unauthorized = 1004, 401, "Send the operator's token.";
    /// no such job
    NoSuchJob = 1005, 404, "Check the job id; ended jobs are kept for a limited time.";
    /// idempotency key already used with another request
    KeyReused = 1006, 422, "Use a new key for a new request.";
    /// no such worker, executor or host
    NoSuchTarget = 1007, 404, "List the known names and check the spelling.";
    /// request took too long to arrive
    SlowRequest = 1008, 408, "Send the whole request within the time limit.";
    /// unknown key, or none
    UnknownKey = 1009, 401, "Send a key of your team that is in force as 'Authorization: Bearer KEY'.";
    /// job of another team
    OtherTeam = 1010, 403, "Use a key of the team that submitted the job.";
    /// no catalogue entry for this name
    NoEntry = 2101, 404, "Ask an operator for a catalogue entry that covers the name.";
    /// revision conflict
    RevisionConflict = 2102, 409, "Read the entry again and repeat the change on its current revision.";
    /// catalogue entry contradicts itself
    BadEntry = 2103, 422, "Correct the entry; the cause names the contradiction.";
    /// catalogue entry does not allow this kind of work
    KindNotAllowed = 2104, 403, "Submit a kind of work that the entry allows, or change the entry.";
    /// queue full
    QueueFull = 3101, 503, "Try again after the time in Retry-After.";
    /// team's quota exceeded
    QuotaExceeded = 3102, 403, "Request fewer resources, or have the team's quota raised.";
    /// no free slot before the deadline
    NoSlot = 3103, 503, "Try again after the time in Retry-After.";
    /// task larger than any worker
    LargerThanAnyWorker = 3104, 422, "Request fewer resources for each task, or add larger workers.";
    /// catalogue entry's limits exceeded
    BeyondLimits = 3105, 422, "Stay within the limits of the catalogue entry, or change the entry.";
    /// idempotency key table full
    KeyTableFull = 3106, 503, "Try again after the time in Retry-After.";
    /// too many connections or requests from this caller
    TooManyRequests = 3107, 429, "Send fewer requests, and try again after the time in Retry-After.";
    /// replicated state full
    StateFull = 3108, 503, "Try again after the time in Retry-After; see 'state near its limit' in docs/OPERATIONS.md.";
    /// outcome not known; the request was not and will not be sent again
    OutcomeUnknown = 4201, 502, "Check the effect at the backend server before you decide to repeat it.";
    /// request with this key is still in progress
    InProgress = 4202, 409, "Ask again with the same key later.";
    /// answer cut short
    CutShort = 4203, 502, "The backend server answered only in part; check its effect before a repeat.";
    /// deadline passed before the request was sent
    DeadlinePassed = 4204, 504, "The request was not run; repeat it with a longer time limit.";
    /// task failed
    TaskFailed = 4205, 500, "Read the task's exit status and correct the job.";
    /// job was not run and never will be
    NotRun = 4206, 410, "Submit it again if it is still wanted.";
    /// no leader known
    NoLeader = 5101, 503, "Try again after the time in Retry-After; see 'tarragonctl hosts'.";
    /// this host is not the leader
    NotLeader = 5102, 503, "Ask the leader, or let the host forward the call.";
    /// catalogue not proven fresh on this host
    CatalogueNotFresh = 5103, 503, "Ask another host; this one is cut off from the leader.";
    /// host is stopping
    Stopping = 5104, 503, "Ask another host.";
    /// write not confirmed in time; it may still take effect
    NotConfirmed = 5105, 504, "Ask again with the same key or request id to learn the outcome.";
    /// no executor for this pool
    NoExecutor = 5106, 503, "Check that executors of the pool are running and announce themselves.";
    /// host cannot be reached
    HostUnreachable = 5107, 503, "Try another host; check the network between the hosts.";
    /// invalid settings file
    BadSettings = 6101, 500, "Correct each listed place in the settings file.";
    /// corrupt record in the data folder
    CorruptRecord = 7101, 500, "Replace the host's data: see 'lose a disk' in docs/OPERATIONS.md.";
    /// disk full
    DiskFull = 7102, 500, "Free space in the data folder; the host goes on by itself.";
    /// sync to disk failed
    SyncFailed = 7103, 500, "Check the disk; the host starts again from what the disk holds.";
    /// data folder owned by another host
    ForeignData = 7104, 500, "Point data_dir to this host's own folder.";
    /// data folder in use by another process
    FolderInUse = 7105, 500, "Start the host again once the other process has ended.";
    /// disk refuses writes for another reason than room
    DiskUnusable = 7106, 500, "Check the disk and the rights on the data folder; the host starts again and waits for it.";
    /// internal error
    Internal = 9001, 500, "Report it with the log lines of the request.";
}

impl Code {
    /// Number of the code, as sent in `x-tarragon-code`.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Returns whether a disk refused a write, which left its files as they were.
    pub fn is_refused_write(self) -> bool {
        matches!(self, Self::DiskFull | Self::DiskUnusable)
    }
}

impl From<Code> for u16 {
    fn from(code: Code) -> Self {
        code.number()
    }
}

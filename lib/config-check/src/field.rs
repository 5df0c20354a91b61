/// A setting that may differ between two configurations.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Field {
    /// Version of the configuration.
    Version,
    /// Maximum size of a request body, in bytes.
    MaxBody,
    /// Name of the route of a queue.
    Route,
    /// HTTP host name of a queue.
    Host,
    /// Path prefix of a queue.
    Prefix,
    /// Pool of a queue.
    Pool,
    /// Time limit of a request, in milliseconds.
    TimeLimit,
    /// Fixed part of the latency objective, in milliseconds.
    Objective,
    /// Proportional part of the latency objective, in thousandths.
    Stretch,
    /// Priority of a queue.
    Priority,
    /// Failed runs after which a job fails.
    MaxAttempts,
    /// Fixed duration of a call for advice, in microseconds.
    AdviceDecide,
    /// Duration of a call for advice for each worker, in microseconds.
    AdvicePerWorker,
    /// Validity of advice, in milliseconds.
    AdviceValid,
    /// Whether a queue accepts requests without a key.
    AllowsAnonymous,
    /// Whether the workers of a pool refuse tasks that exceed their free capacity.
    EnforcesCapacity,
    /// Whether the machines of a pool are switched off.
    PoweredOff,
    /// Weight of a team, in thousandths.
    Weight,
    /// Cap on processor time, in thousandths of a core; `u64::MAX` for none.
    CpuCap,
    /// Cap on memory, in megabytes; `u64::MAX` for none.
    MemoryCap,
    /// Cap on accelerators; `u64::MAX` for none.
    AcceleratorCap,
}

use std::hash::{DefaultHasher, Hash, Hasher};

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use tarragon_leases::TaskSpec;
use tarragon_names::{Attempt, Millis, Resources, TaskId, Workload};

/// Time from the start of a task over which its usage grows linearly to the full amount.
const RAMP_UP: Millis = Millis(2_000);

/// Run time of a task on a worker that fails every task.
const FAILING_RUN_TIME: Millis = Millis(50);

/// Attempt of a task that a stand-in worker pretends to run.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerTask {
    /// Number of this attempt among the attempts of the task.
    pub attempt: Attempt,
    /// Start of the attempt, by the clock of the worker.
    pub started_at: Millis,
    /// Time at which the task exits by itself; `None` for a service, which runs until it is stopped.
    pub ends_at: Option<Millis>,
    /// Status with which the task exits at `ends_at`.
    pub exit_status: i32,
    /// Resource usage after the ramp-up, possibly reduced by a throttle.
    pub usage: Resources,
}

impl WorkerTask {
    /// Starts a task whose actual run time and resource usage differ from the declared ones by at
    /// most `factor` in either direction. The same arguments always give the same task.
    pub fn start(
        now: Millis,
        seed: u64,
        factor: u32,
        task: TaskId,
        attempt: Attempt,
        spec: &TaskSpec,
    ) -> Self {
        // Tasks of the same name share most of the error, since they share the wrong declaration; the
        // rest differs from task to task.
        let name_error =
            [0, 1, 2].map(|quantity| signed_fraction(&(seed, spec.name.as_str(), quantity)));
        let task_error = [0, 1, 2].map(|quantity| signed_fraction(&(seed, task, quantity)));
        let ratio = |quantity: usize| {
            let exponent = 0.8 * name_error[quantity] + 0.2 * task_error[quantity];
            f64::from(factor).powf(exponent)
        };
        let scaled = |amount: u64, quantity| (amount as f64 * ratio(quantity)) as u64;
        let run = Millis(scaled(spec.run_ms, 0).max(1));
        Self {
            attempt,
            started_at: now,
            ends_at: (spec.workload != Workload::Service).then_some(now + run),
            exit_status: exit_status(&spec.payload),
            usage: Resources::new(
                scaled(spec.resources.cpu_milli, 1),
                scaled(spec.resources.memory_mb, 2),
                spec.resources.accelerators,
            ),
        }
    }

    /// Makes the task exit with status 1 shortly after its start.
    #[must_use]
    pub fn into_failing(mut self) -> Self {
        self.ends_at = Some(self.started_at + FAILING_RUN_TIME);
        self.exit_status = 1;
        self
    }

    /// Resource usage at the given time. Processor time and memory grow during the ramp-up;
    /// accelerators are in use from the start.
    pub fn usage_at(&self, time: Millis) -> Resources {
        let elapsed = time.since(self.started_at).0.min(RAMP_UP.0);
        let ramped = |amount: u64| amount * elapsed / RAMP_UP.0;
        Resources::new(
            ramped(self.usage.cpu_milli),
            ramped(self.usage.memory_mb),
            self.usage.accelerators,
        )
    }

    /// Limits the processor time, in thousandths of a core, and lengthens the rest of the run in
    /// proportion. A limit of 0 or at least the current usage has no effect.
    pub fn throttle(&mut self, now: Millis, cpu_milli: u64) {
        let used = self.usage.cpu_milli;
        if cpu_milli == 0 || cpu_milli >= used {
            return;
        }
        if let Some(ends_at) = &mut self.ends_at {
            *ends_at = now + Millis(ends_at.since(now).0 * used / cpu_milli);
        }
        self.usage.cpu_milli = cpu_milli;
    }
}

/// Exit status that the payload requests, as in `exit=3`; 0 for any other payload.
fn exit_status(payload: &[u8]) -> i32 {
    let text = str::from_utf8(payload).unwrap_or_default();
    text.strip_prefix("exit=")
        .and_then(|digits| digits.parse().ok())
        .unwrap_or(0)
}

/// Pseudorandom number from -1 to 1 that depends on `key` alone.
fn signed_fraction<K>(key: &K) -> f64
where
    K: Hash,
{
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    let mut rng = ChaCha8Rng::seed_from_u64(hasher.finish());
    2.0 * f64::from(rng.next_u32()) / f64::from(u32::MAX) - 1.0
}

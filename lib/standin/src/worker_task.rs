use std::hash::{DefaultHasher, Hash, Hasher};

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use tarragon_leases::TaskSpec;
use tarragon_names::{Attempt, Millis, Resources, TaskId, Workload};

/// Time until a task uses all that it will use.
const RAMP: Millis = Millis(2_000);

/// Time until a task on a failing worker ends.
const FAILS_AFTER: Millis = Millis(50);

/// A task that a stand-in worker pretends to run.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerTask {
    /// The attempt.
    pub attempt: Attempt,
    /// When it began.
    pub started_at: Millis,
    /// When it ends by itself; absent for a service.
    pub ends_at: Option<Millis>,
    /// Exit status at that time.
    pub exit_status: i32,
    /// What it uses in the end.
    pub usage: Resources,
}

impl WorkerTask {
    /// Begins a task whose true run time and sizes differ from the declared ones by at most
    /// `factor` in either direction, always the same for the same seed.
    pub fn start(
        now: Millis,
        seed: u64,
        factor: u32,
        task: TaskId,
        attempt: Attempt,
        spec: &TaskSpec,
    ) -> Self {
        // Most of the error belongs to the name, as a wrong declaration does; the rest to the task.
        let by_name = [0, 1, 2].map(|kind| unit(&(seed, spec.name.as_str(), kind)));
        let by_task = [0, 1, 2].map(|kind| unit(&(seed, task, kind)));
        let ratio = |kind: usize| {
            let exponent = 0.8 * by_name[kind] + 0.2 * by_task[kind];
            f64::from(factor).powf(exponent)
        };
        let scaled = |amount: u64, kind| (amount as f64 * ratio(kind)) as u64;
        let run = Millis(scaled(spec.run_ms, 0).max(1));
        Self {
            attempt,
            started_at: now,
            ends_at: (spec.workload != Workload::Service).then_some(now + run),
            exit_status: status(&spec.payload),
            usage: Resources::new(
                scaled(spec.resources.cpu_milli, 1),
                scaled(spec.resources.memory_mb, 2),
                spec.resources.accelerators,
            ),
        }
    }

    /// The same task on a worker that fails every task.
    #[must_use]
    pub fn failing(mut self) -> Self {
        self.ends_at = Some(self.started_at + FAILS_AFTER);
        self.exit_status = 1;
        self
    }

    /// What the task used at a time.
    pub fn usage_at(&self, time: Millis) -> Resources {
        let part = time.since(self.started_at).0.min(RAMP.0);
        let ramped = |amount: u64| amount * part / RAMP.0;
        Resources::new(
            ramped(self.usage.cpu_milli),
            ramped(self.usage.memory_mb),
            self.usage.accelerators,
        )
    }

    /// Limits the processor time, which lengthens the rest of the run.
    pub fn throttle(&mut self, now: Millis, cpu_milli: u64) {
        let used = self.usage.cpu_milli;
        if cpu_milli == 0 || cpu_milli >= used {
            return;
        }
        if let Some(ends) = &mut self.ends_at {
            *ends = now + Millis(ends.since(now).0 * used / cpu_milli);
        }
        self.usage.cpu_milli = cpu_milli;
    }
}

/// Exit status that a payload asks for, as in `exit=3`; 0 otherwise.
fn status(payload: &[u8]) -> i32 {
    let text = str::from_utf8(payload).unwrap_or_default();
    text.strip_prefix("exit=")
        .and_then(|digits| digits.parse().ok())
        .unwrap_or(0)
}

/// A number from -1 to 1 that depends on `key` alone.
fn unit<K>(key: &K) -> f64
where
    K: Hash,
{
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    let mut rng = ChaCha8Rng::seed_from_u64(hasher.finish());
    2.0 * f64::from(rng.next_u32()) / f64::from(u32::MAX) - 1.0
}

use tarragon_names::{Class, Millis, Resources, Workload};

use super::{deployment::Deployment, seeded_rng::SeededRng};

/// Jobs of one kind in a deployment's mix.
#[derive(Debug)]
pub(crate) struct JobProfile {
    pub(crate) name: &'static str,
    pub(crate) class: Class,
    pub(crate) workload: Workload,
    /// Share of these jobs in the total work, measured in the resource that they use most of.
    pub(crate) work_percent: u64,
    /// Median size of a task; the sizes of jobs differ from it by a factor of up to 1.5
    /// ([`MAX_SIZE_FACTOR`]).
    pub(crate) size: Resources,
    pub(crate) tasks: u32,
    /// Mean run time.
    pub(crate) run_time: Millis,
    /// Time from acceptance to the deadline, beyond the run time; `None` for jobs without deadline.
    pub(crate) slack: Option<Millis>,
}

/// How declared sizes and run times differ from the actual ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum DeclarationErrors {
    /// Declarations are exact.
    None,
    /// Random factors of up to 4 ([`MAX_DECLARATION_FACTOR`]), drawn for each job.
    Guess,
    /// Constant factors of up to 4 for each profile, from [`HABITUAL_FACTORS`].
    Habit,
}

impl DeclarationErrors {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::None => "true",
            Self::Guess => "guess",
            Self::Habit => "habit",
        }
    }

    fn factor(self, rng: &mut SeededRng, habit: f64) -> f64 {
        match self {
            Self::None => 1.0,
            Self::Guess => rng.log_uniform_factor(MAX_DECLARATION_FACTOR),
            Self::Habit => habit,
        }
    }
}

/// Maximum factor between a declared and an actual amount, in either direction.
const MAX_DECLARATION_FACTOR: f64 = 4.0;

/// Maximum factor between the size of a job and the median of its profile, in either direction.
const MAX_SIZE_FACTOR: f64 = 1.5;

/// Mean of the size factor: (f - 1/f) / (2 ln f) for f = [`MAX_SIZE_FACTOR`].
const MEAN_SIZE_FACTOR: f64 = 1.0276;

/// Declared CPU, memory and run time divided by the actual amounts, for each profile of a mix.
const HABITUAL_FACTORS: [[f64; 3]; 4] = [
    [4.0, 2.0, 3.0],
    [0.5, 1.5, 0.5],
    [2.0, 0.25, 1.5],
    [0.7, 3.0, 2.0],
];

/// Actual and declared size and run time of one job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JobShape {
    /// Index into [`JobMix::profiles`].
    pub(crate) profile: usize,
    pub(crate) tasks: u32,
    pub(crate) size: Resources,
    pub(crate) declared: Resources,
    /// Lower bound of the next reservation: the actual size once a task was stopped for exceeding
    /// its reservation, else zero.
    pub(crate) observed_usage: Resources,
    pub(crate) run_time: Millis,
    pub(crate) declared_run_time: Millis,
}

/// Job mix of a deployment. The sizes are assumptions: the descriptions of the deployments name the
/// kinds of jobs, but not their sizes.
#[derive(Debug)]
pub(crate) struct JobMix {
    pub(crate) deployment: Deployment,
    pub(crate) profiles: Vec<JobProfile>,
}

impl JobMix {
    pub(crate) fn kovacik() -> Self {
        Self {
            deployment: Deployment::KOVACIK,
            profiles: vec![
                profile(
                    "reels",
                    Class::Urgent,
                    Workload::Batch,
                    30,
                    (8, 16),
                    4,
                    240,
                    Some(1_800),
                ),
                profile(
                    "cut",
                    Class::Urgent,
                    Workload::AllOrNothing,
                    10,
                    (4, 24),
                    6,
                    180,
                    Some(1_800),
                ),
                profile(
                    "proofs",
                    Class::Standard,
                    Workload::Batch,
                    45,
                    (2, 12),
                    3,
                    300,
                    Some(7_200),
                ),
                profile(
                    "archive",
                    Class::Overnight,
                    Workload::Batch,
                    15,
                    (4, 32),
                    2,
                    900,
                    None,
                ),
            ],
        }
    }

    pub(crate) fn lukang() -> Self {
        Self {
            deployment: Deployment::LUKANG,
            profiles: vec![
                profile(
                    "dye_lots",
                    Class::Urgent,
                    Workload::Batch,
                    30,
                    (4, 4),
                    3,
                    120,
                    Some(900),
                ),
                profile(
                    "looms",
                    Class::Standard,
                    Workload::AllOrNothing,
                    10,
                    (2, 6),
                    6,
                    240,
                    Some(3_600),
                ),
                profile(
                    "ledgers",
                    Class::Standard,
                    Workload::Batch,
                    20,
                    (1, 4),
                    4,
                    200,
                    None,
                ),
                profile(
                    "restock",
                    Class::Overnight,
                    Workload::Batch,
                    40,
                    (3, 9),
                    4,
                    900,
                    None,
                ),
            ],
        }
    }

    /// Draws a job at random.
    pub(crate) fn draw_job(&self, rng: &mut SeededRng, errors: DeclarationErrors) -> JobShape {
        // The probability of a profile is its share of the work divided by the work of one job.
        let weights = self
            .profiles
            .iter()
            .map(|profile| profile.work_percent as f64 / self.profile_mean_work(profile))
            .collect::<Vec<_>>();
        let mut left = rng.uniform() * weights.iter().sum::<f64>();
        let index = weights
            .iter()
            .position(|weight| {
                left -= weight;
                left < 0.0
            })
            .unwrap_or(0);
        let profile = &self.profiles[index];
        let size = scale(
            &profile.size,
            rng.log_uniform_factor(MAX_SIZE_FACTOR),
            rng.log_uniform_factor(MAX_SIZE_FACTOR),
        );
        let run_time = Millis(
            rng.exponential(profile.run_time.0 as f64)
                .clamp(1_000.0, 4e6) as u64,
        );
        let [cpu, memory, time] = HABITUAL_FACTORS[index].map(|habit| errors.factor(rng, habit));
        let declared = scale(&size, cpu, memory);
        JobShape {
            profile: index,
            tasks: profile.tasks,
            size,
            declared: declared.min(&self.deployment.capacity),
            observed_usage: Resources::ZERO,
            run_time,
            declared_run_time: Millis((run_time.0 as f64 * time) as u64),
        }
    }

    /// Mean work of a job of the mix, in the resource that the mix uses most of. The unit is
    /// milliseconds of the whole deployment's capacity.
    pub(crate) fn mean_job_work(&self) -> f64 {
        let total = self.deployment.total_capacity();
        let (mut jobs, mut cpu, mut memory) = (0.0, 0.0, 0.0);
        for profile in &self.profiles {
            let weight = profile.work_percent as f64 / self.profile_mean_work(profile);
            let job_size = profile.size.times(u64::from(profile.tasks));
            let time = weight * profile.run_time.0 as f64;
            jobs += weight;
            cpu += time * job_size.cpu_milli as f64 / total.cpu_milli as f64;
            memory += time * job_size.memory_mb as f64 / total.memory_mb as f64;
        }
        cpu.max(memory) / jobs * MEAN_SIZE_FACTOR
    }

    /// Mean work of a job of this profile, in the resource that it uses most of. The unit is
    /// milliseconds of the whole deployment's capacity.
    pub(crate) fn profile_mean_work(&self, profile: &JobProfile) -> f64 {
        let total = self.deployment.total_capacity();
        let job_size = profile.size.times(u64::from(profile.tasks));
        let cpu = job_size.cpu_milli as f64 / total.cpu_milli as f64;
        let memory = job_size.memory_mb as f64 / total.memory_mb as f64;
        cpu.max(memory) * profile.run_time.0 as f64
    }
}

#[expect(
    clippy::too_many_arguments,
    reason = "the calls read as a table with one row per profile"
)]
fn profile(
    name: &'static str,
    class: Class,
    workload: Workload,
    work_percent: u64,
    (cores, gigabytes): (u64, u64),
    tasks: u32,
    run_s: u64,
    slack_s: Option<u64>,
) -> JobProfile {
    JobProfile {
        name,
        class,
        workload,
        work_percent,
        size: Resources::new(cores * 1_000, gigabytes * 1_024, 0),
        tasks,
        run_time: Millis(run_s * 1_000),
        slack: slack_s.map(|slack| Millis(slack * 1_000)),
    }
}

fn scale(size: &Resources, cpu: f64, memory: f64) -> Resources {
    Resources::new(
        ((size.cpu_milli as f64 * cpu) as u64).max(10),
        ((size.memory_mb as f64 * memory) as u64).max(16),
        size.accelerators,
    )
}

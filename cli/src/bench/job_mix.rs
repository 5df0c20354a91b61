use tarragon_names::{Class, Millis, Resources, Workload};

use super::{deployment::Deployment, draw::Draw};

/// One sort of work of a deployment.
#[derive(Debug)]
pub(crate) struct JobSort {
    pub(crate) name: &'static str,
    pub(crate) class: Class,
    pub(crate) kind: Workload,
    /// Part of the work that is of this sort, in percent of the scarcest resource.
    pub(crate) percent: u64,
    /// Median size of a task; sizes of jobs differ from it by a factor of up to 1.5.
    pub(crate) size: Resources,
    pub(crate) tasks: u32,
    /// Mean run time.
    pub(crate) run: Millis,
    /// Time from acceptance to the deadline, beyond the run time.
    pub(crate) slack: Option<Millis>,
}

/// How declared sizes and run times differ from the true ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Errors {
    /// Not at all.
    None,
    /// By a factor of up to 4 that is drawn for each job.
    Guess,
    /// By a constant factor of up to 4 for each sort.
    Habit,
}

impl Errors {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::None => "true",
            Self::Guess => "guess",
            Self::Habit => "habit",
        }
    }

    fn factor(self, draw: &mut Draw, habit: f64) -> f64 {
        match self {
            Self::None => 1.0,
            Self::Guess => draw.factor(MOST_OFF),
            Self::Habit => habit,
        }
    }
}

/// Greatest factor between a declared and a true amount.
const MOST_OFF: f64 = 4.0;

/// Greatest factor between the size of a job and the median of its sort.
const SIZE_FACTOR: f64 = 1.5;

/// Mean of that factor: (f - 1/f) / (2 ln f).
const MEAN_SIZE_FACTOR: f64 = 1.0276;

/// Factors of processor, memory and run time that each sort declares by habit.
const HABITS: [[f64; 3]; 4] = [
    [4.0, 2.0, 3.0],
    [0.5, 1.5, 0.5],
    [2.0, 0.25, 1.5],
    [0.7, 3.0, 2.0],
];

/// Size and run time of one job, as they are and as they are declared.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JobShape {
    pub(crate) sort: usize,
    pub(crate) tasks: u32,
    pub(crate) size: Resources,
    pub(crate) declared: Resources,
    /// Use that was seen before the job was stopped and waits again.
    pub(crate) known: Resources,
    pub(crate) run: Millis,
    pub(crate) declared_run: Millis,
}

/// Work of a deployment. The sizes are assumptions: the deployments give sorts, not sizes.
#[derive(Debug)]
pub(crate) struct JobMix {
    pub(crate) deployment: Deployment,
    pub(crate) sorts: Vec<JobSort>,
}

impl JobMix {
    pub(crate) fn kovacik() -> Self {
        Self {
            deployment: Deployment::KOVACIK,
            sorts: vec![
                sort(
                    "reels",
                    Class::Urgent,
                    Workload::Batch,
                    30,
                    (8, 16),
                    4,
                    240,
                    Some(1_800),
                ),
                sort(
                    "cut",
                    Class::Urgent,
                    Workload::AllOrNothing,
                    10,
                    (4, 24),
                    6,
                    180,
                    Some(1_800),
                ),
                sort(
                    "proofs",
                    Class::Standard,
                    Workload::Batch,
                    45,
                    (2, 12),
                    3,
                    300,
                    Some(7_200),
                ),
                sort(
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
            sorts: vec![
                sort(
                    "dye_lots",
                    Class::Urgent,
                    Workload::Batch,
                    30,
                    (4, 4),
                    3,
                    120,
                    Some(900),
                ),
                sort(
                    "looms",
                    Class::Standard,
                    Workload::AllOrNothing,
                    10,
                    (2, 6),
                    6,
                    240,
                    Some(3_600),
                ),
                sort(
                    "ledgers",
                    Class::Standard,
                    Workload::Batch,
                    20,
                    (1, 4),
                    4,
                    200,
                    None,
                ),
                sort(
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

    /// Draws a job.
    pub(crate) fn draw(&self, draw: &mut Draw, errors: Errors) -> JobShape {
        // Sorts are drawn by their part of the work divided by the work of one job.
        let weights = self
            .sorts
            .iter()
            .map(|sort| sort.percent as f64 / self.work(sort))
            .collect::<Vec<_>>();
        let mut left = draw.unit() * weights.iter().sum::<f64>();
        let index = weights
            .iter()
            .position(|weight| {
                left -= weight;
                left < 0.0
            })
            .unwrap_or(0);
        let sort = &self.sorts[index];
        let size = scale(
            &sort.size,
            draw.factor(SIZE_FACTOR),
            draw.factor(SIZE_FACTOR),
        );
        let run = Millis(draw.exponential(sort.run.0 as f64).clamp(1_000.0, 4e6) as u64);
        let [cpu, memory, time] = HABITS[index].map(|habit| errors.factor(draw, habit));
        let declared = scale(&size, cpu, memory);
        JobShape {
            sort: index,
            tasks: sort.tasks,
            size,
            declared: declared.min(&self.deployment.capacity),
            known: Resources::ZERO,
            run,
            declared_run: Millis((run.0 as f64 * time) as u64),
        }
    }

    /// Mean over jobs of the work of a job in the resource that the mix uses most of, in
    /// milliseconds of the whole deployment.
    pub(crate) fn mean_work(&self) -> f64 {
        let total = self.deployment.total();
        let (mut jobs, mut cpu, mut memory) = (0.0, 0.0, 0.0);
        for sort in &self.sorts {
            let part = sort.percent as f64 / self.work(sort);
            let all = sort.size.times(u64::from(sort.tasks));
            let time = part * sort.run.0 as f64;
            jobs += part;
            cpu += time * all.cpu_milli as f64 / total.cpu_milli as f64;
            memory += time * all.memory_mb as f64 / total.memory_mb as f64;
        }
        cpu.max(memory) / jobs * MEAN_SIZE_FACTOR
    }

    /// Mean work of one job as a part of the deployment's scarcest resource, in milliseconds.
    pub(crate) fn work(&self, sort: &JobSort) -> f64 {
        let total = self.deployment.total();
        let all = sort.size.times(u64::from(sort.tasks));
        let cpu = all.cpu_milli as f64 / total.cpu_milli as f64;
        let memory = all.memory_mb as f64 / total.memory_mb as f64;
        cpu.max(memory) * sort.run.0 as f64
    }
}

#[expect(
    clippy::too_many_arguments,
    reason = "one line for each sort reads as a table"
)]
fn sort(
    name: &'static str,
    class: Class,
    kind: Workload,
    percent: u64,
    (cores, gigabytes): (u64, u64),
    tasks: u32,
    run_s: u64,
    slack_s: Option<u64>,
) -> JobSort {
    JobSort {
        name,
        class,
        kind,
        percent,
        size: Resources::new(cores * 1_000, gigabytes * 1_024, 0),
        tasks,
        run: Millis(run_s * 1_000),
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

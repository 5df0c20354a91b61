use std::collections::BTreeMap;

use tarragon_names::Millis;
use tarragon_workflow::{JobKey, StepKey, StepSpec, TaskKey};

use super::Draw;
use crate::common::step;

/// Failed runs after which a job of the queue fails; that of the queues of the harness.
pub const MAX_ATTEMPTS: u32 = 3;

/// Work and failures of a task, or of all members of a gang.
#[derive(Clone, Debug)]
pub struct UnitPlan {
    /// Work of a task without failures.
    pub work_ms: u64,
    /// Number of runs that fail by their own fault before one succeeds.
    pub planned_failures: u32,
    /// Work after which such a run fails, counted from its start.
    pub fails_after_ms: u64,
    /// Number of members of a gang that fail in the same moment.
    pub failing_members: u32,
}

/// A job and what happens to its tasks.
#[derive(Clone, Debug)]
pub struct JobPlan {
    pub key: JobKey,
    pub steps: Vec<StepSpec>,
    /// Plans by task; a gang has one under its first task.
    pub units: BTreeMap<TaskKey, UnitPlan>,
    pub submit_at: u64,
    pub cancel_at: Option<u64>,
}

impl JobPlan {
    pub fn draw(key: u64, draw: &mut Draw, span_ms: u64) -> Self {
        let count = draw.between(1, 3) as u32;
        let steps = (0..count).map(|number| Self::draw_step(number, draw));
        let mut steps = steps.collect::<Vec<_>>();
        let lasts = draw.chance(12);
        if lasts {
            steps.truncate(1);
            steps[0].long_running = true;
            steps[0].gang = false;
        }
        let submit_at = draw.below(span_ms);
        let is_cancelled = lasts || draw.chance(12);
        let mut plan = Self {
            key: JobKey(key),
            steps,
            units: BTreeMap::new(),
            submit_at,
            cancel_at: is_cancelled.then(|| submit_at + draw.between(500, 30_000)),
        };
        for task in plan.tasks() {
            let unit = plan.unit(&task);
            if !plan.units.contains_key(&unit) {
                let unit_plan = Self::draw_unit(&plan.steps[unit.step.step as usize], draw);
                plan.units.insert(unit, unit_plan);
            }
        }
        plan
    }

    fn draw_step(number: u32, draw: &mut Draw) -> StepSpec {
        let is_gang = draw.chance(35);
        let depends_on = (0..number).filter(|_| draw.chance(50)).collect();
        StepSpec {
            gang: is_gang,
            checkpointing: draw.chance(60),
            depends_on,
            estimate: Millis(draw.between(300, 4_000)),
            ..step(draw.between(if is_gang { 2 } else { 1 }, 4) as u32, 1)
        }
    }

    fn draw_unit(step: &StepSpec, draw: &mut Draw) -> UnitPlan {
        let work_ms = step.estimate.0 * draw.between(60, 200) / 100;
        // Two failed runs and an end that counts again make the third.
        let planned_failures = match draw.below(100) {
            0..25 => 0,
            25..45 => 1,
            45..85 => 2,
            _ => MAX_ATTEMPTS,
        };
        UnitPlan {
            work_ms,
            planned_failures,
            fails_after_ms: draw.between(40, work_ms.max(41)),
            failing_members: draw.between(1, 2) as u32,
        }
    }

    pub fn spec(&self, task: &TaskKey) -> &StepSpec {
        &self.steps[task.step.step as usize]
    }

    /// Tasks of all steps.
    pub fn tasks(&self) -> Vec<TaskKey> {
        let steps = (0..).zip(&self.steps);
        let tasks = steps.flat_map(|(step, spec)| {
            let step = StepKey {
                job: self.key,
                occurrence: 0,
                step,
            };
            (0..spec.count).map(move |index| TaskKey { step, index })
        });
        tasks.collect()
    }

    /// The task itself, or the first task of its gang: failures, ends and checkpoints of a gang count
    /// for all its members.
    pub fn unit(&self, task: &TaskKey) -> TaskKey {
        TaskKey {
            index: if self.spec(task).gang { 0 } else { task.index },
            ..*task
        }
    }
}

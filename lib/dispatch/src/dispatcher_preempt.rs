//! Room for steps of urgent queues, made by stopping runs of less urgent ones.

use tarragon_names::{Millis, Resources, WorkerName};
use tarragon_workflow::{StepKey, TaskKey};

use crate::{
    DecisionEvent, Dispatcher,
    dispatcher_place::{Among, Claims},
    packing::Candidate,
    run_view::{StartState, StopState},
    seat::Seat,
};

/// Highest number of a run that is stopped for more urgent work, so that every task ends some time.
const LAST_PREEMPTED_RUN: u32 = 3;

/// Time beyond that of a stop until the end of the run is known.
const KNOWN_SLACK: Millis = Millis(200);

/// Time between two tries to make room for a step, which look at every run on its workers.
const TRY_PAUSE: Millis = Millis(100);

/// Tasks that a worker takes now, and once runs there were stopped.
struct Prospect {
    worker: WorkerName,
    now: u32,
    then: u32,
}

impl Dispatcher {
    /// Stops runs of less urgent queues where that makes room for the waiting tasks of a step, and
    /// keeps the room for them. Only runs that go on later from where they were are stopped.
    ///
    /// Returns whether room is on its way.
    pub(crate) fn preempt(&mut self, key: StepKey, among: Among, claims: &Claims) -> bool {
        let (now, now_ms, last) = (self.now, self.now_ms, self.last_priority);
        let Some(plan) = self.plans.get(&key) else {
            return false;
        };
        if now < plan.room_by {
            return true;
        }
        // Room that comes too late for the objective is not worth the delay of other work.
        let room_at = now_ms + (self.cfg.stop_time + KNOWN_SLACK + plan.step().estimate).0;
        let may_preempt = plan.queue.priority < last && room_at <= plan.objective_ms;
        if !may_preempt || now < plan.preempt_at {
            return false;
        }
        let step = plan.step();
        let (need, priority) = (step.reserved(), plan.queue.priority);
        let count = plan.waiting.len() as u32;
        let candidates = self.candidates(&key, among, claims);
        let mut prospects = candidates
            .into_iter()
            .filter_map(|candidate| self.prospect(candidate, &need, priority))
            .collect::<Vec<_>>();
        prospects.sort_by_key(|p| std::cmp::Reverse((p.then - p.now, p.now)));
        let at_once = prospects.iter().map(|p| p.now).sum::<u32>();
        let mut left = count.saturating_sub(at_once);
        let mut chosen = Vec::new();
        for prospect in prospects {
            let more = (prospect.then - prospect.now).min(left);
            left -= more;
            if prospect.now + more > 0 {
                chosen.push((prospect.worker, prospect.now + more));
            }
        }
        if chosen.is_empty() || (step.gang && left > 0) {
            let pause = if chosen.is_empty() {
                Millis(0)
            } else {
                TRY_PAUSE
            };
            if let Some(plan) = self.plans.get_mut(&key) {
                plan.preempt_at = now + pause;
            }
            return false;
        }
        let mut stopped = 0;
        for (worker, tasks) in &chosen {
            stopped += self.make_room(&key, worker, need.times(u64::from(*tasks)), priority);
        }
        self.reserve(&key, &chosen);
        let room_by = self.now + self.cfg.stop_time + KNOWN_SLACK;
        if let Some(plan) = self.plans.get_mut(&key) {
            plan.room_by = room_by;
        }
        let detail = format!(
            "step {key}, {count} tasks of {need}: {stopped} runs stopped, {} workers kept",
            chosen.len()
        );
        self.note(DecisionEvent::new("room_made", detail).job(key.job));
        true
    }

    /// Keeps the workers that have room for a task or, if none has, those that can have it.
    pub(crate) fn retain_prospects(
        &self,
        candidates: &mut Vec<Candidate>,
        need: &Resources,
        priority: u32,
    ) {
        if candidates.iter().any(|candidate| candidate.fits(need) > 0) {
            candidates.retain(|candidate| candidate.fits(need) > 0);
        } else if priority < self.last_priority {
            candidates
                .retain(|candidate| self.prospect(candidate.clone(), need, priority).is_some());
        } else {
            candidates.clear();
        }
    }

    fn prospect(&self, candidate: Candidate, need: &Resources, priority: u32) -> Option<Prospect> {
        let seat = self.seats.get(&candidate.worker)?;
        let now = candidate.fits(need);
        let freed = preemptible(seat, priority).map(|(_, need)| need);
        let then = Candidate {
            free: candidate.free + freed.sum::<Resources>(),
            ..candidate
        };
        Some(Prospect {
            now,
            then: then.fits(need),
            worker: then.worker,
        })
        .filter(|prospect| prospect.then > 0)
    }

    /// Stops as many runs on a worker as it takes to have `room` there for a step.
    fn make_room(
        &mut self,
        key: &StepKey,
        worker: &WorkerName,
        room: Resources,
        priority: u32,
    ) -> usize {
        let now = self.now;
        let Some(seat) = self.seats.get_mut(worker) else {
            return 0;
        };
        let mut free = seat.free_for(key);
        let mut victims = preemptible(seat, priority).collect::<Vec<_>>();
        // The least urgent go first, and of these the largest, so that few are stopped.
        victims.sort_by_key(|(task, need)| {
            std::cmp::Reverse((seat.runs[task].terms.priority, need.cpu_milli))
        });
        let mut stopped = Vec::new();
        for (task, need) in victims {
            if room.fits(&free) {
                break;
            }
            free += need;
            if let Some(view) = seat.runs.get_mut(&task) {
                view.want_stop(now);
                stopped.push((task, view.run));
            }
        }
        for (task, run) in &stopped {
            let note = DecisionEvent::new("run_preempted", format!("for step {key}"));
            self.note(note.task(*task, *run).worker(worker));
        }
        stopped.len()
    }
}

/// Runs on a worker that may be stopped for a queue of the given priority.
fn preemptible(seat: &Seat, priority: u32) -> impl Iterator<Item = (TaskKey, Resources)> {
    let runs = seat.runs.iter().filter(move |(_, view)| {
        view.terms.is_resumable
            && view.terms.priority > priority
            && view.run <= LAST_PREEMPTED_RUN
            && view.stop == StopState::NotWanted
            && matches!(view.start, StartState::Present { .. })
            && !view.is_ended
    });
    runs.map(|(task, view)| (*task, view.terms.need))
}

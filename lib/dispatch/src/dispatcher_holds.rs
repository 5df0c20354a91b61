//! Looks at workers: leases, ends, and what became of unanswered orders.

use std::collections::BTreeSet;

use tarragon_names::{Millis, WorkerName};
use tarragon_workflow::{JobKey, RunEnd, RunEvent, WorkerIncarnation};

use crate::{
    Dispatcher, FinishedRow, HoldAnswer, HoldCall, HoldOutcome, Note, Output, StopOrder,
    pace::Pace,
    run_view::{StartState, StopState},
};

/// Margin on the time in which a stopped run ends.
const STOP_MARGIN: Millis = Millis(300);

impl Dispatcher {
    pub(crate) fn heard(&mut self, life: &WorkerIncarnation, leaves_in: Option<Millis>) {
        let now = self.now;
        if let Some(seat) = self.seats.of_life(life) {
            seat.heard = now;
            if let Some(leaves_in) = leaves_in {
                seat.leaves_at = Some(now + leaves_in);
            }
        }
    }

    pub(crate) fn held(&mut self, life: &WorkerIncarnation, outcome: HoldOutcome) {
        let (now, cfg) = (self.now, self.cfg);
        let Some(seat) = self.seats.of_life(life) else {
            return;
        };
        let asked = seat.hold_sent.take().unwrap_or(now);
        let answer = match outcome {
            HoldOutcome::Answered(answer) => answer,
            HoldOutcome::OtherLife => {
                self.remove_life(life, "another life answers");
                return;
            }
            HoldOutcome::Fenced => {
                seat.leave_alone(now);
                let note = Note::new("worker_refuses_term", String::new());
                self.note(note.worker(&life.worker).warning());
                return;
            }
            HoldOutcome::Unanswered => {
                seat.hold_failures += 1;
                seat.hold_at = now + cfg.hold_retry;
                if seat.hold_failures == 1 {
                    let detail = format!("look sent {} ms ago", now.since(asked).0);
                    let note = Note::new("worker_silent", detail);
                    self.note(note.worker(&life.worker).warning());
                }
                return;
            }
        };
        let is_other_born = answer
            .born_ms
            .is_some_and(|born| life.started_ms != 0 && born != life.started_ms);
        if is_other_born {
            self.remove_life(life, "another life answers");
            return;
        }
        seat.read_clock(answer.clock_ms, now, &cfg);
        seat.heard = now;
        seat.hold_at = now;
        let is_back = seat.hold_failures > 0 || !seat.is_synced;
        seat.hold_failures = 0;
        seat.is_synced = true;
        seat.is_lapsed = false;
        if is_back {
            self.is_dirty = true;
            let detail = format!(
                "{} runs, {} ends listed",
                answer.running.len(),
                answer.finished.len()
            );
            self.note(Note::new("worker_answers", detail).worker(&life.worker));
        }
        self.take_ends(life, &answer.finished);
        self.take_running(life, &answer, asked);
        self.pace_fillers(&life.worker);
    }

    fn take_ends(&mut self, life: &WorkerIncarnation, finished: &[FinishedRow]) {
        for row in finished {
            let Some(seat) = self.seats.get_mut(&life.worker) else {
                return;
            };
            if row.number <= seat.proposed_end {
                continue;
            }
            seat.proposed_end = row.number;
            if row.end == RunEnd::Done {
                seat.done_at = self.now;
                let view = seat.runs.get(&row.task).filter(|view| view.run == row.run);
                if let Some(view) = view {
                    let ran = self.now.since(view.placed_at);
                    seat.pace.learn(ran, view.terms.estimate);
                }
            }
            let mut ran = Millis(0);
            let mut used = None;
            if let Some(view) = seat.runs.get(&row.task)
                && view.run == row.run
            {
                ran = self.now.since(view.placed_at);
                used = view.in_use;
                seat.set_ended(&row.task, true);
                self.is_dirty = true;
            }
            self.records.push(RunEvent::Ended {
                incarnation: life.clone(),
                number: row.number,
                task: row.task,
                run: row.run,
                end: row.end,
                checkpoint: row.saved.clone(),
            });
            let detail = format!(
                "{}, end {} there, after {} ms, last use {used:?}",
                row.end, row.number, ran.0
            );
            self.note(
                Note::new("run_ended", detail)
                    .task(row.task, row.run)
                    .worker(&life.worker),
            );
            self.judge(&row.task, &life.worker, row.end);
        }
    }

    fn take_running(&mut self, life: &WorkerIncarnation, answer: &HoldAnswer, asked: Millis) {
        let now = self.now;
        let Some(term) = self.term else { return };
        let Some(seat) = self.seats.get_mut(&life.worker) else {
            return;
        };
        let mut seen = BTreeSet::new();
        let mut strangers = Vec::new();
        for row in &answer.running {
            seen.insert(row.task);
            match seat.runs.get_mut(&row.task) {
                Some(view) if view.run == row.run => {
                    if !matches!(view.start, StartState::Present { .. }) {
                        view.start = StartState::Present { since: now };
                    }
                    if row.saved.is_some() {
                        view.saved.clone_from(&row.saved);
                    }
                    view.percent = row.percent;
                    view.in_use = row.figure;
                    view.is_listed = true;
                }
                _ => strangers.push((row.task, row.run)),
            }
        }
        let mut gone = Vec::new();
        for (task, view) in &mut seat.runs {
            if seen.contains(task) || view.is_ended {
                continue;
            }
            if let StopState::Taken { at } = view.stop
                && asked >= at + self.cfg.stop + STOP_MARGIN
                && !answer.is_cut
            {
                gone.push(*task);
            } else if let StartState::Present { since } = view.start
                && asked > since
                && !answer.is_cut
                && view.stop == StopState::NotWanted
            {
                gone.push(*task);
            } else if view.start == StartState::Inherited {
                view.want_stop(now);
            }
        }
        let address = seat.record.address.clone();
        for (task, run) in strangers {
            self.note(
                Note::new("unknown_run_stopped", String::new())
                    .task(task, run)
                    .worker(&life.worker)
                    .warning(),
            );
            self.out.push(Output::Stop(StopOrder {
                life: life.clone(),
                address: address.clone(),
                task,
                run,
                fence: term,
                limit: self.cfg.order_limit,
            }));
        }
        for task in gone {
            self.lose_run(task, &life.worker);
        }
    }

    /// Declares lost what ran on workers whose lease has certainly ended, and removes workers that
    /// have left without a word.
    fn expire(&mut self) {
        let (now, cfg) = (self.now, self.cfg);
        let mut lapsed = Vec::new();
        let mut gone = Vec::new();
        for (worker, seat) in self.seats.iter_mut() {
            if seat.hold_failures == 0 || !seat.is_lease_over(now, &cfg) {
                continue;
            }
            if !seat.is_lapsed {
                seat.is_lapsed = true;
                seat.is_synced = false;
                lapsed.push(worker.clone());
            } else if now.since(seat.heard) >= cfg.gone_after && seat.runs.is_empty() {
                seat.heard = now;
                gone.push(seat.record.incarnation.clone());
            }
        }
        for worker in lapsed {
            self.note(
                Note::new("worker_lease_over", String::new())
                    .worker(&worker)
                    .warning(),
            );
            let Some(seat) = self.seats.get(&worker) else {
                continue;
            };
            let runs = seat.runs.iter();
            let lost = runs
                .filter(|(_, view)| view.start != StartState::Committing)
                .map(|(task, _)| *task)
                .collect::<Vec<_>>();
            for task in lost {
                self.lose_run(task, &worker);
            }
        }
        for life in gone {
            self.remove_life(&life, "silent beyond its lease");
        }
    }

    pub(crate) fn tick(&mut self) {
        if self.now < self.expire_at {
            return;
        }
        self.seats.touch_all();
        self.expire_at = self.now + self.cfg.expire_every;
        self.is_dirty = true;
        self.expire();
        let paces = self.seats.iter().map(|(_, seat)| seat.pace.0);
        self.mean_pace = Pace(paces.sum::<u64>() / (self.seats.len() as u64).max(1));
        self.lanes.forget(self.now, self.cfg.host_silent);
        self.give_up_asks();
        let due = self.timed.iter().copied().collect::<Vec<JobKey>>();
        for job in due {
            self.refresh_job(job);
        }
        self.move_overdue();
    }

    /// Sends the looks that are due.
    pub(crate) fn drive_holds(&mut self, touched: &BTreeSet<WorkerName>) {
        let Some(term) = self.term else { return };
        let (now, cfg) = (self.now, self.cfg);
        let out = &mut self.out;
        self.seats.each_mut(touched, |_, seat| {
            let is_open = seat.hold_sent.is_some();
            let waits_for_commit = seat.proposed_end > seat.record.acknowledged;
            if is_open || now < seat.hold_at || waits_for_commit {
                return;
            }
            seat.hold_sent = Some(now);
            let is_calm = seat.is_synced && seat.hold_failures == 0;
            // A worker that does not answer gets no longer lease, so that its end stays in sight.
            let lease_until_ms = if is_calm {
                seat.grant(now, cfg.lease)
            } else {
                None
            };
            out.push(Output::Hold(HoldCall {
                life: seat.record.incarnation.clone(),
                address: seat.record.address.clone(),
                lease_until_ms,
                fence: term,
                acknowledged: seat.record.acknowledged,
                wait: if is_calm { cfg.hold_wait } else { Millis(0) },
            }));
        });
    }
}

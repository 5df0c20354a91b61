use std::{collections::VecDeque, sync::Arc};

use tarragon_dispatch::{
    FinishedOrder, Input, OrderOutcome, PollCall, PollOutcome, StartOrder, StopOrder,
};
use tarragon_names::Name;
use tarragon_workflow::{Command, JobPhase, JobSpec, WorkflowState};

use super::{
    Answer, Cut, Draw, Event, JobPlan, ModelWorker, Observer, PlantedFault, Rule, Transport,
    Violation, cluster_runs::ClusterRuns,
};
use crate::common::{Harness, QUEUE};

/// Step of the simulated time, in milliseconds.
pub const TICK_MS: u64 = 20;

/// Time during which faults begin, in milliseconds.
const FAULTS_MS: u64 = 45_000;

/// Time during which jobs are submitted, in milliseconds.
const SUBMISSIONS_MS: u64 = 25_000;

/// Time from the last fault or cancel until all jobs and runs have ended, in milliseconds.
const MAX_REST_MS: u64 = 120_000;

/// Time beyond the wait of a poll after which it counts as unanswered, in milliseconds.
const POLL_TIMEOUT_MS: u64 = 600;

/// Retention of ended jobs, in milliseconds; longer than a simulation.
const RETENTION_MS: u64 = 3_600_000;

/// How often faults occur.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Intensity {
    /// Never; tasks still fail by their own fault.
    Calm,
    /// Often, but a start order for the incarnation before that has lost its answer reaches a restarted
    /// worker only after the first poll that does.
    Faulty,
    /// Like `Faulty`, and late orders reach a restarted worker at once.
    LateOrdersAtOnce,
}

/// What a simulation went through.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Summary {
    pub starts: u64,
    /// Workers that returned as the same incarnation after their record was removed.
    pub returns: u64,
    /// Those that listed ends which a leader had received before.
    pub returns_with_listed_ends: u64,
    pub leaders: u64,
    pub refused_proposals: u64,
    /// Time from the last fault or cancel until all jobs and runs had ended, in milliseconds.
    pub rest_ms: u64,
}

/// A cell of workers under one leader after the other.
pub struct Simulation {
    pub(super) harness: Harness,
    pub(super) draw: Draw,
    pub(super) intensity: Intensity,
    pub(super) planted: Option<PlantedFault>,
    pub(super) workers: Vec<ModelWorker>,
    pub(super) runs: ClusterRuns,
    pub(super) observer: Observer,
    pub(super) transport: Transport,
    /// Proposed commands with the times of their commits.
    pub(super) log: VecDeque<(u64, Command)>,
    /// Time at which the next leader is elected; `None` while one leads.
    pub(super) next_leader_at: Option<u64>,
    /// Times at which crashed workers start again, by the index of the worker.
    pub(super) restarts: Vec<Option<u64>>,
    /// Time of the last fault or cancel.
    pub(super) calm_since: u64,
    pub(super) summary: Summary,
}

impl Simulation {
    pub fn new(seed: u64, intensity: Intensity, planted: Option<PlantedFault>) -> Self {
        let mut draw = Draw::new(seed);
        let mut harness = Harness::new(&[]);
        harness.is_log_paused = true;
        harness.workflow_state = restored(&harness.workflow_state);
        harness.elect_new_leader();
        let count = draw.between(3, 5);
        let workers = (1..=count).map(|number| ModelWorker::new(&format!("w{number}"), &mut draw));
        let workers = workers.collect::<Vec<_>>();
        let mut observer = Observer::default();
        for key in 1..=draw.between(5, 9) {
            observer.add_job(JobPlan::draw(key, &mut draw, SUBMISSIONS_MS));
        }
        Self {
            restarts: vec![None; workers.len()],
            harness,
            draw,
            intensity,
            planted,
            workers,
            runs: ClusterRuns::default(),
            observer,
            transport: Transport::default(),
            log: VecDeque::new(),
            next_leader_at: None,
            calm_since: 0,
            summary: Summary::default(),
        }
    }

    /// Runs until all jobs and runs have ended, and returns what broke a rule.
    pub fn run(mut self) -> (Vec<Violation>, Summary) {
        let cancels = self.observer.jobs().filter_map(|plan| plan.cancel_at);
        self.calm_since = cancels.max().unwrap_or(0).max(FAULTS_MS);
        while !self.is_over() {
            if self.now() > self.calm_since + MAX_REST_MS {
                let open = self.open_work();
                self.observer.report(Rule::Unfinished, open);
                break;
            }
            self.tick();
        }
        self.observer.finish();
        self.summary.starts = self.observer.start_count;
        self.summary.rest_ms = self.now().saturating_sub(self.calm_since);
        (self.observer.violations, self.summary)
    }

    pub(super) fn now(&self) -> u64 {
        self.harness.now
    }

    pub(super) fn has_leader(&self) -> bool {
        self.next_leader_at.is_none()
    }

    pub(super) fn has_faults(&self) -> bool {
        self.intensity != Intensity::Calm && self.now() < FAULTS_MS
    }

    fn phase_of(&self, plan: &JobPlan) -> Option<JobPhase> {
        self.harness.phase(plan.key.0)
    }

    fn is_over(&self) -> bool {
        let mut jobs = self.observer.jobs();
        let is_ended = |plan| self.phase_of(plan).is_some_and(JobPhase::is_final);
        let is_idle =
            |worker: &ModelWorker| worker.is_up && worker.runs.is_empty() && worker.ends.is_empty();
        self.now() > FAULTS_MS && jobs.all(is_ended) && self.workers.iter().all(is_idle)
    }

    fn open_work(&self) -> String {
        let jobs = self.observer.jobs();
        let jobs = jobs.map(|plan| (plan.key, self.phase_of(plan)));
        let workers = self.workers.iter().map(|worker| {
            let runs = worker.runs.keys().collect::<Vec<_>>();
            (worker.incarnation(), runs, worker.ends.len())
        });
        format!(
            "{:?}, {:?}",
            jobs.collect::<Vec<_>>(),
            workers.collect::<Vec<_>>()
        )
    }

    fn tick(&mut self) {
        self.harness.now += TICK_MS;
        let now = self.now();
        if self.has_faults() {
            self.begin_faults();
        }
        self.end_faults();
        if self.has_leader() {
            self.send_requests();
        }
        while let Some(event) = self.transport.pop(now) {
            self.handle(event);
        }
        self.runs
            .advance(now, &mut self.workers, &mut self.observer, &mut self.draw);
        for index in 0..self.workers.len() {
            self.answer_polls(index);
            self.send_heartbeat(index);
        }
        while self.has_leader() && self.log.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, command)) = self.log.pop_front() {
                self.commit(command);
            }
        }
        self.input(Input::Tick);
        self.take_outputs();
        self.check_phases();
    }

    /// Checks the states of the jobs. It matters whether they end before or after an acknowledgement
    /// is sent.
    fn check_phases(&mut self) {
        let plans = self
            .observer
            .jobs()
            .map(|plan| (plan.key, self.phase_of(plan)));
        for (key, phase) in plans.collect::<Vec<_>>() {
            if let Some(phase) = phase {
                self.observer.check_phase(key, phase);
            }
        }
    }

    pub(super) fn input(&mut self, input: Input) {
        if self.has_leader() {
            self.harness.input(input);
        }
    }

    fn begin_faults(&mut self) {
        let now = self.now();
        for index in 0..self.workers.len() {
            if self.draw.below(500) == 0 {
                self.cut_off(index);
            }
            if self.draw.below(3_000) == 0 && self.workers[index].is_up {
                let worker = &mut self.workers[index];
                for (task, run) in worker.runs.keys() {
                    self.observer.gone(*task, *run, worker.incarnation());
                }
                worker.crash();
                self.time_out_polls(index);
                self.restarts[index] = Some(now + self.draw.between(100, 12_000));
            }
        }
        if self.draw.below(600) == 0 && self.has_leader() {
            // Entries that reached a majority are committed under the next leader; the others are lost.
            let committed = self.draw.below(self.log.len() as u64 + 1) as usize;
            let unix_ms = self.harness.unix_ms();
            for (_, command) in std::mem::take(&mut self.log).into_iter().take(committed) {
                self.harness.workflow_state.apply(unix_ms, &command);
            }
            self.next_leader_at = Some(now + self.draw.below(2_500));
        }
    }

    /// Cuts a worker off for less than its lease, or for longer than its record is kept.
    pub(super) fn cut_off(&mut self, index: usize) {
        let now = self.now();
        let duration = match self.draw.below(100) {
            0..35 => self.draw.between(200, 3_000),
            35..55 => self.draw.between(3_000, 9_500),
            _ => self.draw.between(9_500, 25_000),
        };
        let cut = Cut {
            until: (now + duration).min(FAULTS_MS),
            loses_calls: self.draw.chance(50),
            loses_heartbeats: self.draw.chance(80),
        };
        self.workers[index].cut.get_or_insert(cut);
    }

    fn end_faults(&mut self) {
        let now = self.now();
        for index in 0..self.workers.len() {
            self.workers[index].end_cut(now);
            let is_due = self.restarts[index].is_some_and(|at| at <= now || now >= FAULTS_MS);
            if is_due {
                self.restarts[index] = None;
                self.workers[index].restart(now, &mut self.draw);
            }
        }
        if self.next_leader_at.is_some_and(|at| at <= now) {
            self.next_leader_at = None;
            if self.draw.chance(50) {
                self.harness.workflow_state = restored(&self.harness.workflow_state);
            }
            self.harness.elect_new_leader();
            self.summary.leaders += 1;
        }
    }

    fn send_requests(&mut self) {
        let now = self.now();
        let mut commands = Vec::new();
        for plan in self.observer.jobs() {
            let phase = self.phase_of(plan);
            if phase.is_none() && plan.submit_at <= now {
                commands.push(Command::Submit {
                    job: plan.key,
                    queue: Name::from(QUEUE),
                    spec: JobSpec {
                        payload: Name::from("work"),
                        steps: plan.steps.clone(),
                        ..JobSpec::default()
                    },
                });
            }
            let is_cancelled = plan.cancel_at.is_some_and(|at| at <= now);
            if is_cancelled && phase.is_some_and(|phase| !phase.is_final()) {
                commands.push(Command::Cancel { job: plan.key });
            }
        }
        for command in commands {
            self.commit(command);
        }
    }

    fn commit(&mut self, mut command: Command) {
        if let Some(planted) = self.planted {
            planted.change_command(&mut command);
        }
        self.harness.commit(command);
        self.check_phases();
    }

    /// Sends what the dispatcher has ordered, and queues or refuses what it has proposed.
    fn take_outputs(&mut self) {
        let now = self.now();
        for call in std::mem::take(&mut self.harness.polls) {
            self.observer
                .acknowledged(&call.incarnation, call.acknowledged);
            let times_out_at = now + call.wait.0 + POLL_TIMEOUT_MS;
            let at = now + self.latency();
            self.transport
                .push(at, Event::PollArrives { call, times_out_at });
        }
        for mut order in std::mem::take(&mut self.harness.starts) {
            if let Some(planted) = self.planted {
                planted.change_start(&mut order);
            }
            self.observer.start_ordered(&order);
            let timeout = order.timeout.0;
            let input = |outcome| start_input(&order, outcome);
            self.send(timeout, input, |answer| Event::StartArrives {
                order: order.clone(),
                answer,
            });
        }
        for order in std::mem::take(&mut self.harness.stops) {
            let timeout = order.timeout.0;
            let input = |outcome| stop_input(&order, outcome);
            self.send(timeout, input, |answer| Event::StopArrives {
                order: order.clone(),
                answer,
            });
        }
        self.harness.throttles.clear();
        for command in std::mem::take(&mut self.harness.uncommitted) {
            if self.has_faults() && self.draw.chance(3) {
                self.summary.refused_proposals += 1;
                let input = Input::NotProposed(vec![command]);
                let delay = self.draw.between(TICK_MS, 400);
                self.schedule_input(self.harness.term, now + delay, input);
                continue;
            }
            self.append(command);
        }
    }

    /// Appends a command to the log, to be committed soon or late.
    pub(super) fn append(&mut self, command: Command) {
        let delay = if self.has_faults() && self.draw.chance(4) {
            self.draw.between(100, 1_500)
        } else {
            self.draw.between(0, 2) * TICK_MS
        };
        let earliest = self.log.back().map_or(0, |(at, _)| *at);
        let at = earliest.max(self.now() + delay);
        self.log.push_back((at, command));
    }

    pub(super) fn latency(&mut self) -> u64 {
        self.draw.between(1, 2) * TICK_MS
    }

    /// Sends an order: at once, late, twice, or not at all.
    fn send<I, E>(&mut self, timeout: u64, input: I, event: E)
    where
        I: Fn(OrderOutcome) -> Input,
        E: Fn(Answer) -> Event,
    {
        let now = self.now();
        let soon = now + self.latency();
        let late = now + self.draw.between(2_000, 12_000);
        let fate = if self.has_faults() {
            self.draw.below(100)
        } else {
            100
        };
        let times_out_at = now + timeout;
        match fate {
            0..6 => self.transport.push(late, event(Answer::Lost)),
            6..10 => {
                self.transport.push(soon, event(Answer::Lost));
                self.transport.push(late, event(Answer::Lost));
            }
            10..13 => self.transport.push(soon, event(Answer::Lost)),
            13..15 => {}
            15..18 => {
                return self.schedule_input(self.harness.term, soon, input(OrderOutcome::NotSent));
            }
            _ => {
                return self
                    .transport
                    .push(soon, event(Answer::Sent { times_out_at }));
            }
        }
        let unanswered = input(OrderOutcome::Unanswered);
        self.schedule_input(self.harness.term, times_out_at, unanswered);
    }

    /// Lets the leader of a term receive an input, unless it no longer leads then.
    pub(super) fn schedule_input(&mut self, term: u64, at: u64, input: Input) {
        let input = Box::new(input);
        self.transport.push(at, Event::LeaderInput { term, input });
    }
}

fn restored(state: &WorkflowState) -> Arc<WorkflowState> {
    let restored = WorkflowState::new(RETENTION_MS);
    restored.restore(state.snapshot());
    Arc::new(restored)
}

pub(super) fn poll_input(call: &PollCall, outcome: PollOutcome) -> Input {
    Input::PollFinished {
        fence: call.fence,
        incarnation: call.incarnation.clone(),
        outcome,
    }
}

pub(super) fn start_input(order: &StartOrder, outcome: OrderOutcome) -> Input {
    Input::StartOrderFinished(FinishedOrder {
        fence: order.fence,
        incarnation: order.incarnation.clone(),
        task: order.task,
        run: order.run,
        outcome,
    })
}

pub(super) fn stop_input(order: &StopOrder, outcome: OrderOutcome) -> Input {
    Input::StopOrderFinished(FinishedOrder {
        fence: order.fence,
        incarnation: order.incarnation.clone(),
        task: order.task,
        run: order.run,
        outcome,
    })
}

//! The begin and the end of a term in which this host leads.

use crate::{
    AdviceRelays, DecisionEvent, Dispatcher,
    dispatcher_place::Claims,
    headroom::Headroom,
    run_rate::RunRate,
    run_view::{RunView, START_ORDER_LIFETIME, StartState},
    team_quotas::TeamQuotas,
};

impl Dispatcher {
    /// Becomes the leader. Runs that an earlier leader placed are looked for on their workers
    /// before anything is placed there.
    pub(crate) fn start_leading(&mut self, term: u64) {
        self.forget_all();
        self.term = Some(term);
        self.leading_since = self.now;
        self.read_priorities();
        for record in self.workflow_state.workers() {
            self.add_worker(record);
        }
        self.update_quotas();
        let mut jobs = Vec::new();
        let mut placements = Vec::new();
        self.workflow_state.for_each_job(|job| {
            let placed = job.placements();
            // A job that was cancelled or has failed may still have runs. The earlier leader may not
            // have reached their workers, so their stops are ordered again.
            if !job.phase.is_final() || !placed.is_empty() {
                jobs.push(job.key);
            }
            placements.extend(placed);
        });
        for (task, placement) in placements {
            let spec = self.run_spec(&task);
            // An order to start the run may still reach a later incarnation under the same name.
            if let Some(state) = self.workers.get_mut(&placement.incarnation.worker) {
                let mut view = RunView::new(placement.run, spec, self.now);
                view.start = StartState::Inherited;
                if *state.incarnation() != placement.incarnation {
                    // The earlier leader recorded the restart and has not heard of the run since.
                    state.earlier_lease.granted_until = self.now + START_ORDER_LIFETIME;
                    view.transferred_from = Some(placement.incarnation.clone());
                }
                if self
                    .recent_placements
                    .contains(&task, placement.run, self.now)
                {
                    view.start_attempts = 1;
                    state.last_lease_call_at = self.now;
                }
                view.start_may_arrive_until = self.now + START_ORDER_LIFETIME;
                if view.spec.is_best_effort {
                    view.rate = RunRate::unknown();
                }
                state.insert_run(task, view);
                self.placed.insert((task, placement.incarnation.worker));
            } else {
                self.record_lost(task, placement.run, None);
            }
        }
        self.inherit_unanswered_starts();
        for job in jobs {
            self.refresh_job(job);
        }
        self.needs_placement = true;
        self.emit(DecisionEvent::new(
            "dispatch_started",
            format!("term {term}, {} workers", self.workers.len()),
        ));
    }

    pub(crate) fn stop_leading(&mut self) {
        if self.term.is_some() {
            self.emit(DecisionEvent::new("dispatch_stopped", String::new()));
        }
        self.term = None;
        self.forget_all();
    }

    fn forget_all(&mut self) {
        self.workers.clear();
        self.team_quotas = TeamQuotas::default();
        self.capped_teams.clear();
        self.last_removed_token = 0;
        self.open_polls.clear();
        self.placed.clear();
        self.plans.clear();
        self.new_steps.clear();
        self.gang_claims = (u32::MAX, Claims::new());
        self.headroom = Headroom::default();
        self.late_orders.clear();
        self.unanswered_starts.clear();
        self.new_unanswered_starts.clear();
        self.unaccepted_stops = 0;
        self.scheduled_jobs.clear();
        self.open_occurrences.clear();
        self.pending_requests.clear();
        self.relays = AdviceRelays::default();
        self.records.clear();
        self.forget_interference();
    }
}

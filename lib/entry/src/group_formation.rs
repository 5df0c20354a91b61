//! Forms the group of voters where the seeds cannot, because they have no disk.

use std::{
    collections::BTreeSet,
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use parking_lot::Mutex;
use tarragon_membership::{FormationStep, FormationView, formation_step};
use tarragon_names::HostName;
use tarragon_telemetry::Event;

use crate::{EntryHost, Reply, Request};

/// Interval between two announcements of a host that may be needed to form the group.
const FORMING_HELLO_INTERVAL: Duration = Duration::from_millis(250);

/// Time after the first start of a host for which it announces itself so often.
const FORMING_TIME: Duration = Duration::from_secs(10);

/// Time after the start without any leader that is reported.
const LEADERLESS_REPORT_TIME: Duration = Duration::from_secs(5);

/// Timeout of a read of the own replica's member list.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a request for the consent of a seed.
const CONSENT_TIMEOUT: Duration = Duration::from_millis(700);

/// What a host has done so that the group is formed.
#[derive(Debug, Default)]
pub(crate) struct GroupFormation {
    /// Host to which this one, as a seed without a replica, has left it to form the group.
    consented: Mutex<Option<HostName>>,
    /// Whether the missing leader was reported.
    is_reported: AtomicBool,
}

impl GroupFormation {
    /// Leaves it to `host` to form the group; returns false if it was left to another host.
    fn consent(&self, host: &HostName) -> bool {
        let mut consented = self.consented.lock();
        consented.get_or_insert_with(|| host.clone()) == host
    }
}

impl EntryHost {
    /// Time until the host announces itself again.
    pub(crate) fn hello_pause(&self) -> Duration {
        let is_involved = self.replica.is_some() || self.seeds().contains(&self.cfg.host);
        let is_forming = self.cfg.is_first_start
            && self.directory.silence().is_none()
            && self.directory.age() < FORMING_TIME;
        if is_involved && is_forming {
            FORMING_HELLO_INTERVAL
        } else {
            self.cfg.timing.hello_interval()
        }
    }

    /// Answers a host that asks whether it may form the group: [`Reply::Done`] if it may.
    pub(crate) fn answer_formation(&self, host: &HostName) -> Reply {
        let leader = self.known_leader();
        let has_leader = leader.is_some() || self.directory.silence().is_some();
        let may_consent = self.cfg.is_first_start && self.replica.is_none() && !has_leader;
        if may_consent && self.formation.consent(host) {
            Reply::Done
        } else {
            Reply::NotLeader { leader }
        }
    }

    /// Forms the group with this host as its only voter if no other host can; the voters that are missing
    /// join it afterwards.
    pub(crate) async fn form_group(&self) {
        if self.directory.silence().is_some() || self.known_leader().is_some() {
            return;
        }
        self.report_missing_leader();
        let Some(active) = &self.replica else { return };
        let Ok(status) = active.handle.status(STATUS_TIMEOUT).await else {
            return;
        };
        let view = FormationView {
            own: &self.cfg.host,
            members: &status.members,
            seeds: &self.seeds(),
            is_first_start: self.cfg.is_first_start,
        };
        let lacks_replica = |host: &HostName| self.directory.has_replica(host) == Some(false);
        match formation_step(view, lacks_replica) {
            FormationStep::Wait => return,
            FormationStep::FormAlone => {}
            FormationStep::AskForConsent(seeds) => {
                if !self.have_consent(&seeds).await {
                    return;
                }
            }
        }
        let formed = active.handle.form_alone(self.cfg.host.clone());
        let event = match formed {
            Ok(()) => Event::info("group_formed_alone"),
            Err(failure) => Event::warning("group_not_formed").code(failure.code.number()),
        };
        self.events.emit(&event);
    }

    /// Asks the seeds in their order, which is the same for all hosts, so that only one host gets the
    /// consent of the first and goes on to the others.
    async fn have_consent(&self, seeds: &BTreeSet<HostName>) -> bool {
        let host = self.cfg.host.clone();
        let request = Request::FormGroup { host };
        for seed in seeds {
            let reply = self.mesh.call(seed, &request, CONSENT_TIMEOUT).await;
            if reply != Ok(Reply::Done) {
                return false;
            }
        }
        true
    }

    /// Tells the operator once that there is no leader, and which seeds could form the group.
    fn report_missing_leader(&self) {
        if self.directory.age() < LEADERLESS_REPORT_TIME {
            return;
        }
        if self.formation.is_reported.swap(true, Ordering::Relaxed) {
            return;
        }
        let seeds = self.seeds().into_iter().map(|seed| {
            let state = match self.directory.has_replica(&seed) {
                _ if seed == self.cfg.host => "is this host",
                Some(true) => "has a replica",
                Some(false) => "has no replica",
                None => "has not announced itself here",
            };
            format!("{seed} {state}")
        });
        let detail = seeds.collect::<Vec<_>>().join(", ");
        self.events
            .emit(&Event::warning("leader_missing").detail(format!("seeds: {detail}")));
    }
}

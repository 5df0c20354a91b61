use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tarragon_names::HostName;
use tarragon_telemetry::Event;
use tokio::time::interval;
use tokio_util::sync::CancellationToken;

use crate::{Reply, Request, entry_host::EntryHost};

/// Time limit of an announcement.
const LIMIT: Duration = Duration::from_millis(700);

/// Hosts that are asked at the same time while no leader is known.
const ASKED_AT_ONCE: usize = 4;

/// Announcements to the leader for each one to the seeds.
const SEED_ROUNDS: usize = 4;

/// Callers that are remembered; more than any deployment has hosts.
const MOST_CALLERS: usize = 1_000;

/// What a host knows of the others, and when it last heard from the leader.
#[derive(Debug, Default)]
pub(crate) struct Presence {
    /// Hosts that hold a replica.
    members: Mutex<BTreeSet<HostName>>,
    /// Hosts that announced themselves here.
    callers: Mutex<BTreeSet<HostName>>,
    heard: Mutex<Option<Instant>>,
}

impl Presence {
    /// Time since the leader last answered.
    pub(crate) fn silence(&self) -> Option<Duration> {
        self.heard.lock().map(|heard| heard.elapsed())
    }

    fn welcomed(&self, members: BTreeSet<HostName>) -> bool {
        *self.members.lock() = members;
        let before = self.heard.lock().replace(Instant::now());
        before.is_none()
    }

    /// Takes note of a host that announced itself here.
    ///
    /// The seeds may be hosts that know nobody, so that whoever asks them is all they can find.
    pub(crate) fn called_by(&self, host: &HostName) {
        let mut callers = self.callers.lock();
        if callers.len() < MOST_CALLERS {
            callers.insert(host.clone());
        }
    }

    fn known(&self) -> BTreeSet<HostName> {
        let mut known = self.members.lock().clone();
        known.extend(self.callers.lock().iter().cloned());
        known
    }
}

/// Announces the host to the leader until the stop, and looks for the leader while none is known.
pub(crate) async fn announce(host: Arc<EntryHost>, stop: CancellationToken) {
    let mut due = interval(host.cfg.timing.hello_interval());
    let mut round = 0;
    let mut was_ready = false;
    while stop.run_until_cancelled(due.tick()).await.is_some() {
        let leader = host.hint.get();
        let asked = match leader {
            Some(leader) if round % SEED_ROUNDS == 0 => {
                let seeds = host.seeds().into_iter();
                let others = seeds.filter(|seed| *seed != leader && *seed != host.cfg.host);
                others.chain([leader.clone()]).collect()
            }
            Some(leader) => vec![leader],
            None => candidates(&host, round),
        };
        round += 1;
        for host_name in asked {
            let host = Arc::clone(&host);
            tokio::spawn(async move { hello(&host, &host_name).await });
        }
        let is_ready = host.is_ready();
        if is_ready != was_ready {
            was_ready = is_ready;
            let silence = host.presence.silence();
            let detail = format!("leader answered {silence:?} ago");
            let event = if is_ready {
                Event::info("leader_regained")
            } else {
                Event::warning("leader_lost")
            };
            host.events.emit(&event.detail(detail));
        }
    }
}

/// Some of the hosts that may know the leader, others in each round.
fn candidates(host: &EntryHost, round: usize) -> Vec<HostName> {
    let seeds = host.seeds();
    let mut all = host.presence.known();
    all.extend(seeds);
    all.remove(&host.cfg.host);
    let all = all.into_iter().collect::<Vec<_>>();
    let count = all.len();
    (0..count.min(ASKED_AT_ONCE))
        .map(|i| all[(round * ASKED_AT_ONCE + i) % count].clone())
        .collect()
}

async fn hello(host: &EntryHost, to: &HostName) {
    let request = Request::Hello(host.hello());
    let reply = if *to == host.cfg.host {
        host.answer_here(request).await
    } else {
        host.mesh.call(to, &request, LIMIT).await
    };
    match reply {
        Ok(Reply::Welcome { term, members }) => {
            host.hint.set(term, to);
            let members = members.into_iter().map(|member| member.host);
            let members = members.collect::<BTreeSet<_>>();
            for member in &members {
                host.mesh.connect(member);
            }
            if host.presence.welcomed(members) {
                let event = Event::info("leader_found").peer(to.clone()).term(term);
                host.events.emit(&event);
            }
        }
        Ok(Reply::NotLeader { leader }) => {
            host.hint.forget(to);
            if host.hint.get().is_some() {
                return;
            }
            if let Some((term, leader)) = leader
                && leader != *to
            {
                host.hint.set(term, &leader);
            }
        }
        Ok(_) => {}
        Err(failure) => {
            host.hint.forget(to);
            let event = Event::debug("hello_failed").peer(to.clone());
            host.events.emit(&event.code(failure.code.number()));
        }
    }
}

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

/// Timeout of an announcement.
const HELLO_TIMEOUT: Duration = Duration::from_millis(700);

/// Number of hosts that are called in one round while no leader is known.
const HELLOS_PER_ROUND: usize = 4;

/// Number of announcements to the leader per announcement to the seeds.
const ROUNDS_PER_SEED_HELLO: usize = 4;

/// Maximum number of hosts that are remembered because they announced themselves; more than any
/// deployment has.
const MAX_ANNOUNCED_HOSTS: usize = 1_000;

/// Other hosts that a host knows, and the time of the last answer of the leader.
#[derive(Debug, Default)]
pub(crate) struct HostDirectory {
    /// Hosts that hold a replica, as the leader last listed them.
    members: Mutex<BTreeSet<HostName>>,
    /// Hosts that announced themselves to this host.
    announced: Mutex<BTreeSet<HostName>>,
    /// Time of the last answer of the leader; `None` before the first one.
    last_contact: Mutex<Option<Instant>>,
}

impl HostDirectory {
    /// Returns the time since the last answer of the leader; `None` before the first one.
    pub(crate) fn silence(&self) -> Option<Duration> {
        self.last_contact.lock().map(|at| at.elapsed())
    }

    /// Records an answer of the leader and returns whether it is the first one.
    fn record_welcome(&self, members: BTreeSet<HostName>) -> bool {
        *self.members.lock() = members;
        let previous = self.last_contact.lock().replace(Instant::now());
        previous.is_none()
    }

    /// Remembers a host that announced itself to this host.
    ///
    /// A restarted seed without a replica knows no member of the group, so it can find the leader
    /// only through the hosts that call it.
    pub(crate) fn add_announced_host(&self, host: &HostName) {
        let mut announced = self.announced.lock();
        if announced.len() < MAX_ANNOUNCED_HOSTS {
            announced.insert(host.clone());
        }
    }

    fn known_hosts(&self) -> BTreeSet<HostName> {
        let mut hosts = self.members.lock().clone();
        hosts.extend(self.announced.lock().iter().cloned());
        hosts
    }
}

/// Announces the host to the leader in each interval until `stop` is cancelled.
///
/// While no leader is known, the host announces itself to some of the other hosts, whose answers
/// name the leader.
pub(crate) async fn announce(host: Arc<EntryHost>, stop: CancellationToken) {
    let mut ticks = interval(host.cfg.timing.hello_interval());
    let mut round = 0;
    let mut was_ready = false;
    while stop.run_until_cancelled(ticks.tick()).await.is_some() {
        let leader = host.known_leader().map(|(_, leader)| leader);
        let targets = match leader {
            Some(leader) if round % ROUNDS_PER_SEED_HELLO == 0 => {
                let seeds = host.seeds().into_iter();
                let others = seeds.filter(|seed| *seed != leader && *seed != host.cfg.host);
                others.chain([leader.clone()]).collect()
            }
            Some(leader) => vec![leader],
            None => leader_candidates(&host, round),
        };
        round += 1;
        for target in targets {
            let host = Arc::clone(&host);
            tokio::spawn(async move { send_hello(&host, &target).await });
        }
        let is_ready = host.is_ready();
        if is_ready != was_ready {
            was_ready = is_ready;
            let silence = host.directory.silence();
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

/// Returns up to [`HELLOS_PER_ROUND`] hosts that may know the leader; successive rounds return
/// different ones.
fn leader_candidates(host: &EntryHost, round: usize) -> Vec<HostName> {
    let seeds = host.seeds();
    let mut all = host.directory.known_hosts();
    all.extend(seeds);
    all.remove(&host.cfg.host);
    let all = all.into_iter().collect::<Vec<_>>();
    let count = all.len();
    (0..count.min(HELLOS_PER_ROUND))
        .map(|i| all[(round * HELLOS_PER_ROUND + i) % count].clone())
        .collect()
}

/// Announces the host to `to` and updates the leader hint from the answer.
async fn send_hello(host: &EntryHost, to: &HostName) {
    let request = Request::Hello(host.hello());
    let reply = if *to == host.cfg.host {
        host.answer_here(request).await
    } else {
        host.mesh.call(to, &request, HELLO_TIMEOUT).await
    };
    match reply {
        Ok(Reply::Welcome { term, members }) => {
            host.leader_hint.set(term, to);
            let members = members.into_iter().map(|member| member.host);
            let members = members.collect::<BTreeSet<_>>();
            for member in &members {
                host.mesh.connect(member);
            }
            if host.directory.record_welcome(members) {
                let event = Event::info("leader_found").peer(to.clone()).term(term);
                host.events.emit(&event);
            }
        }
        Ok(Reply::NotLeader { leader }) => {
            host.leader_hint.forget(to);
            if host.known_leader().is_some() {
                return;
            }
            if let Some((term, leader)) = leader
                && leader != *to
            {
                host.leader_hint.set(term, &leader);
            }
        }
        Ok(_) => {}
        Err(failure) => {
            host.leader_hint.forget(to);
            let event = Event::debug("hello_failed").peer(to.clone());
            host.events.emit(&event.code(failure.code.number()));
        }
    }
}

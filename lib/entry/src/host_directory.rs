use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tarragon_codes::Code;
use tarragon_discovery::{HostTable, LeaderAnswer};
use tarragon_names::HostName;
use tarragon_telemetry::Event;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::{Hello, Reply, Request, entry_host::EntryHost};

/// Timeout of an announcement.
const HELLO_TIMEOUT: Duration = Duration::from_millis(700);

/// Other hosts that a host knows, and the time of the last answer of the leader.
#[derive(Debug)]
pub(crate) struct HostDirectory {
    created_at: Instant,
    hosts: Mutex<HostTable>,
    /// Time of the last answer of the leader; `None` before the first one.
    last_contact: Mutex<Option<Instant>>,
}

impl Default for HostDirectory {
    fn default() -> Self {
        Self {
            created_at: Instant::now(),
            hosts: Mutex::default(),
            last_contact: Mutex::default(),
        }
    }
}

impl HostDirectory {
    /// Returns the time since the last answer of the leader; `None` before the first one.
    pub(crate) fn silence(&self) -> Option<Duration> {
        self.last_contact.lock().map(|at| at.elapsed())
    }

    /// Returns the time since the start of the host.
    pub(crate) fn age(&self) -> Duration {
        self.created_at.elapsed()
    }

    /// Returns whether a host holds a replica; `None` if it has not announced itself to this host.
    pub(crate) fn has_replica(&self, host: &HostName) -> Option<bool> {
        self.hosts.lock().has_replica(host)
    }

    /// Records an answer of the leader. Returns whether it is the first one, and the time since the one
    /// before or since the start.
    fn record_welcome(&self, members: BTreeSet<HostName>) -> (bool, Duration) {
        self.hosts.lock().set_members(members);
        let previous = self.last_contact.lock().replace(Instant::now());
        let silence = previous.unwrap_or(self.created_at).elapsed();
        (previous.is_none(), silence)
    }

    /// Remembers a host that announced itself to this host.
    pub(crate) fn add_announced_host(&self, hello: &Hello) {
        let has_replica = hello.member.is_some();
        self.hosts.lock().add_announced(&hello.host, has_replica);
    }
}

/// Announces the host to the leader in each interval until `stop` is cancelled.
///
/// While no leader is known, the host announces itself to some of the other hosts, whose answers
/// name the leader.
pub(crate) async fn announce(host: Arc<EntryHost>, stop: CancellationToken) {
    let mut pause = Duration::ZERO;
    let mut round = 0;
    let mut was_ready = false;
    while stop.run_until_cancelled(sleep(pause)).await.is_some() {
        stop.run_until_cancelled(host.form_group()).await;
        pause = host.hello_pause();
        let leader = host.known_leader().map(|(_, leader)| leader);
        let targets = {
            let hosts = host.directory.hosts.lock();
            let (leader, is_in_touch) = (leader.as_ref(), host.is_in_touch());
            hosts.targets(&host.cfg.host, &host.seeds(), leader, is_in_touch, round)
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

/// Announces the host to `to` and updates the leader hint from the answer.
async fn send_hello(host: &EntryHost, to: &HostName) {
    let request = Request::Hello(host.hello());
    let reply = if *to == host.cfg.host {
        host.answer_here(request).await
    } else {
        host.mesh.call(to, &request, HELLO_TIMEOUT).await
    };
    let code = reply.as_ref().err().map(|failure| failure.code);
    let answer = match reply {
        Ok(Reply::Welcome { term, members }) => {
            let members = members.into_iter().map(|member| member.host);
            let members = members.collect::<BTreeSet<_>>();
            for member in &members {
                host.mesh.connect(member);
            }
            let (is_first, silence) = host.directory.record_welcome(members);
            if is_first || silence >= host.cfg.timing.leader_silence_limit() {
                host.metrics
                    .leader_search_time
                    .observe(silence.as_secs_f64());
            }
            if is_first {
                let event = Event::info("leader_found").peer(to.clone()).term(term);
                let detail = format!("after {} ms", silence.as_millis());
                host.events.emit(&event.detail(detail));
            }
            LeaderAnswer::Leads(term)
        }
        Ok(Reply::NotLeader { leader }) => LeaderAnswer::Knows(leader),
        Ok(_) => return,
        Err(failure) => {
            let event = Event::debug("hello_failed").peer(to.clone());
            host.events.emit(&event.code(failure.code.number()));
            LeaderAnswer::Missing
        }
    };
    // What this host answered itself may be out of date by now.
    let is_own = *to == host.cfg.host;
    if is_own && !matches!(answer, LeaderAnswer::Leads(_)) {
        return;
    }
    host.apply_leader_answer(to, &answer, "hello", code.unwrap_or(Code::NotLeader));
}

use std::collections::BTreeMap;

use tarragon_names::{Fence, Millis, Session, Term, WorkerName};

/// Result of a heartbeat at the leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatOutcome {
    /// The session is known and its lease is renewed.
    Renewed,
    /// First heartbeat of a session, which proves that the worker has left all earlier sessions;
    /// the lease is renewed.
    Confirmed,
    /// The session is unknown, or its lease may have ended.
    Unknown,
}

/// Lease of one worker, as known to the leader.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct WorkerLease {
    /// Session in which orders are sent.
    confirmed: Option<Session>,
    /// Session that was granted but has not sent a heartbeat.
    pending: Option<Session>,
    /// Time from which the lease has certainly ended.
    ends_at: Millis,
    /// Number of orders sent in the confirmed session.
    seq: u64,
}

/// Leader's side of the worker leases.
///
/// The leader counts a lease from the time at which it sends the reply that renews the lease. The
/// worker counts from the time at which it sent the heartbeat, which is earlier, so the lease ends
/// first at the worker. A new leader does not know which leases its predecessor granted and counts
/// every lease from its own election.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct WorkerLeases {
    term: Term,
    lease: Millis,
    sessions_granted: u64,
    workers: BTreeMap<WorkerName, WorkerLease>,
}

impl WorkerLeases {
    /// Creates the leases of the leader of `term`, each with the duration `lease`.
    pub fn new(term: Term, lease: Millis) -> Self {
        Self {
            term,
            lease,
            sessions_granted: 0,
            workers: BTreeMap::new(),
        }
    }

    /// Term of the leader.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Duration of the leases.
    pub fn lease(&self) -> Millis {
        self.lease
    }

    /// Adds a worker to which an earlier leader may have granted a lease until the election at
    /// `now`.
    pub fn inherit(&mut self, now: Millis, worker: WorkerName) {
        let until = now + self.lease.with_clock_margin();
        self.workers.entry(worker).or_default().ends_at = until;
    }

    /// Grants a session to a worker that registers. The lease counts from the answer, sent at
    /// `now`.
    ///
    /// A registration that is repeated before the first heartbeat of the session gets the same
    /// session. The previous session stays valid until that heartbeat, so a registration that
    /// arrives after later messages has no effect.
    pub fn register(&mut self, now: Millis, worker: &WorkerName) -> Session {
        let until = now + self.lease.with_clock_margin();
        let lease = self.workers.entry(worker.clone()).or_default();
        lease.ends_at = lease.ends_at.max(until);
        *lease.pending.get_or_insert_with(|| {
            self.sessions_granted += 1;
            Session {
                term: self.term,
                counter: self.sessions_granted,
            }
        })
    }

    /// Processes a heartbeat. The caller sends the answer, which renews the lease unless the result
    /// is [`HeartbeatOutcome::Unknown`].
    pub fn heartbeat(
        &mut self,
        now: Millis,
        worker: &WorkerName,
        session: Session,
    ) -> HeartbeatOutcome {
        let Some(lease) = self.workers.get_mut(worker) else {
            return HeartbeatOutcome::Unknown;
        };
        if now >= lease.ends_at {
            return HeartbeatOutcome::Unknown;
        }
        let outcome = if lease.confirmed == Some(session) {
            HeartbeatOutcome::Renewed
        } else if lease.pending == Some(session) {
            lease.confirmed = lease.pending.take();
            lease.seq = 0;
            HeartbeatOutcome::Confirmed
        } else {
            return HeartbeatOutcome::Unknown;
        };
        lease.ends_at = lease.ends_at.max(now + self.lease.with_clock_margin());
        outcome
    }

    /// Removes and returns the workers whose lease has certainly ended.
    pub fn expire(&mut self, now: Millis) -> Vec<WorkerName> {
        let over = self
            .workers
            .iter()
            .filter(|(_, lease)| now >= lease.ends_at);
        let over = over.map(|(worker, _)| worker.clone()).collect::<Vec<_>>();
        for worker in &over {
            self.workers.remove(worker);
        }
        over
    }

    /// Session in which the worker accepts orders; None before the first heartbeat of a session.
    pub fn session(&self, worker: &WorkerName) -> Option<Session> {
        self.workers.get(worker)?.confirmed
    }

    /// Returns whether the lease may still be valid, so that tasks may run on the worker.
    pub fn may_run(&self, now: Millis, worker: &WorkerName) -> bool {
        self.workers
            .get(worker)
            .is_some_and(|lease| now < lease.ends_at)
    }

    /// Creates the fencing token for the next order to a worker; None without a confirmed session.
    pub fn fence(&mut self, worker: &WorkerName) -> Option<Fence> {
        let lease = self.workers.get_mut(worker)?;
        let session = lease.confirmed?;
        lease.seq += 1;
        Some(Fence {
            term: self.term,
            session,
            seq: lease.seq,
        })
    }
}

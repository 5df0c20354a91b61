use std::collections::BTreeMap;

use tarragon_names::{Fence, Millis, Session, Term, WorkerName};

/// What a heartbeat means to the leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Beat {
    /// The session is known and its lease renewed.
    Renewed,
    /// The first heartbeat of the session, which proves that the worker has left all older ones.
    Confirmed,
    /// The session is not known, or its lease may have ended.
    Unknown,
}

/// What the leader knows of the lease of one worker.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct Held {
    /// Session in which orders are sent.
    confirmed: Option<Session>,
    /// Session that was granted but from which no heartbeat has arrived.
    pending: Option<Session>,
    /// Time from which the lease has certainly ended.
    until: Millis,
    /// Orders sent in the confirmed session.
    seq: u64,
}

/// Leader's side of the worker leases.
///
/// A lease counts from the sending of the reply that renews it, while the worker counts from the
/// sending of its heartbeat, which is earlier. A new leader does not know what its predecessor
/// granted and counts every lease from its own election.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct WorkerLeases {
    term: Term,
    lease: Millis,
    granted: u64,
    workers: BTreeMap<WorkerName, Held>,
}

impl WorkerLeases {
    /// Leases of the leader of `term`, each of length `lease`.
    pub fn new(term: Term, lease: Millis) -> Self {
        Self {
            term,
            lease,
            granted: 0,
            workers: BTreeMap::new(),
        }
    }

    /// Term of the leader.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Length of the leases.
    pub fn lease(&self) -> Millis {
        self.lease
    }

    /// Notes a worker to which a predecessor may have granted a lease up to the election at `now`.
    pub fn inherit(&mut self, now: Millis, worker: WorkerName) {
        let until = now + self.lease.with_clock_margin();
        self.workers.entry(worker).or_default().until = until;
    }

    /// Grants a session to a worker that registers; its lease is renewed by this answer.
    ///
    /// A registration that is repeated before the session's first heartbeat gets the same session.
    /// The session that is in use stays valid until then, so a registration that was overtaken by
    /// later messages changes nothing.
    pub fn register(&mut self, now: Millis, worker: &WorkerName) -> Session {
        let until = now + self.lease.with_clock_margin();
        let held = self.workers.entry(worker.clone()).or_default();
        held.until = held.until.max(until);
        *held.pending.get_or_insert_with(|| {
            self.granted += 1;
            Session {
                term: self.term,
                counter: self.granted,
            }
        })
    }

    /// Takes a heartbeat; the lease is renewed by the answer unless the session is unknown.
    pub fn heartbeat(&mut self, now: Millis, worker: &WorkerName, session: Session) -> Beat {
        let Some(held) = self.workers.get_mut(worker) else {
            return Beat::Unknown;
        };
        if now >= held.until {
            return Beat::Unknown;
        }
        let beat = if held.confirmed == Some(session) {
            Beat::Renewed
        } else if held.pending == Some(session) {
            held.confirmed = held.pending.take();
            held.seq = 0;
            Beat::Confirmed
        } else {
            return Beat::Unknown;
        };
        held.until = held.until.max(now + self.lease.with_clock_margin());
        beat
    }

    /// Takes out the workers whose lease has certainly ended.
    pub fn expire(&mut self, now: Millis) -> Vec<WorkerName> {
        let over = self.workers.iter().filter(|(_, held)| now >= held.until);
        let over = over.map(|(worker, _)| worker.clone()).collect::<Vec<_>>();
        for worker in &over {
            self.workers.remove(worker);
        }
        over
    }

    /// Session in which the worker takes orders.
    pub fn session(&self, worker: &WorkerName) -> Option<Session> {
        self.workers.get(worker)?.confirmed
    }

    /// Tells whether the worker may still run tasks.
    pub fn may_run(&self, now: Millis, worker: &WorkerName) -> bool {
        self.workers
            .get(worker)
            .is_some_and(|held| now < held.until)
    }

    /// Fencing token for the next order to a worker.
    pub fn fence(&mut self, worker: &WorkerName) -> Option<Fence> {
        let held = self.workers.get_mut(worker)?;
        let session = held.confirmed?;
        held.seq += 1;
        Some(Fence {
            term: self.term,
            session,
            seq: held.seq,
        })
    }
}

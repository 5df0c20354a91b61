use std::{
    sync::mpsc::{SyncSender, TrySendError},
    time::Duration,
};

use bytes::Bytes;
use serde::Serialize;
use tarragon_agreement::{Event, Members, PeerMsg};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{HostName, MemberId};
use tarragon_wire::record::Record;
use tokio::{sync::oneshot, time::timeout};

use crate::{ReplicaStatus, StateMachine, input::Input, waiters::ProposalWaiter};

/// Wait told to callers whose write finds the queue of the replica full, in milliseconds.
const FULL_RETRY_MS: u64 = 500;

/// Access to the replica of this host from other threads.
#[derive(Debug)]
pub struct ReplicaHandle<S>
where
    S: StateMachine,
{
    tx: SyncSender<Input<S>>,
}

impl<S> Clone for ReplicaHandle<S>
where
    S: StateMachine,
{
    fn clone(&self) -> Self {
        Self {
            tx: self.tx.clone(),
        }
    }
}

impl<S> ReplicaHandle<S>
where
    S: StateMachine,
{
    pub(crate) fn new(tx: SyncSender<Input<S>>) -> Self {
        Self { tx }
    }

    /// Passes on a message of another replica; it is lost when the queue is full.
    pub fn receive(&self, host: HostName, from: MemberId, msg: PeerMsg) {
        let _lost = self.tx.try_send(Input::Message { host, from, msg });
    }

    /// Proposes a command of the scheduler, which learns of its result as it is applied.
    pub fn propose_for_scheduler(&self, at_ms: u64, command: S::Command) -> Outcome<()> {
        let record = encode::<S::Command>(at_ms, command.clone())?;
        let waiter = ProposalWaiter::Scheduler(Box::new(command));
        self.send(Input::Propose { record, waiter })
    }

    /// Proposes a command and waits for the result of applying it.
    pub async fn propose(
        &self,
        at_ms: u64,
        command: S::Command,
        limit: Duration,
    ) -> Outcome<S::Answer> {
        let (tx, rx) = oneshot::channel();
        self.send(Input::Propose {
            record: encode::<S::Command>(at_ms, command)?,
            waiter: ProposalWaiter::Call(tx),
        })?;
        match timeout(limit, rx).await {
            Ok(Ok(result)) => result,
            _ => Err(Failure::of(Code::NotConfirmed)),
        }
    }

    /// Waits until the state on this host reflects everything committed before the call.
    pub async fn read(&self, limit: Duration) -> Outcome<()> {
        let (tx, rx) = oneshot::channel();
        self.send(Input::Read(tx))?;
        wait(rx, limit).await
    }

    /// Changes the member list.
    pub async fn change_members(&self, members: Members, limit: Duration) -> Outcome<()> {
        let (tx, rx) = oneshot::channel();
        self.send(Input::Change {
            members,
            waiter: tx,
        })?;
        wait(rx, limit).await
    }

    /// Adds a learner.
    pub async fn join(&self, id: MemberId, host: HostName, limit: Duration) -> Outcome<()> {
        let (tx, rx) = oneshot::channel();
        self.send(Input::Join {
            id,
            host,
            waiter: tx,
        })?;
        wait(rx, limit).await
    }

    /// State of the replica group.
    pub async fn status(&self, limit: Duration) -> Outcome<ReplicaStatus> {
        let (tx, rx) = oneshot::channel();
        self.send(Input::Inspect(Box::new(move |replica, now| {
            let _gone = tx.send(Ok(ReplicaStatus {
                id: replica.id(),
                term: replica.term(),
                leader: replica.leader_host(),
                members: replica.members().clone(),
                member_status: replica.member_status(now),
            }));
        })))?;
        wait(rx, limit).await
    }

    /// Asks the replica to hand leadership over, if it leads.
    pub fn transfer_leadership(&self) {
        let _lost = self.tx.try_send(Input::Event(Event::TransferLeadership));
    }

    /// Ends the thread.
    pub fn stop(&self) {
        let _ended = self.tx.send(Input::Stop);
    }

    fn send(&self, input: Input<S>) -> Outcome<()> {
        self.tx.try_send(input).map_err(|e| match e {
            TrySendError::Full(_) => Failure::of(Code::QueueFull).retry_after(FULL_RETRY_MS),
            TrySendError::Disconnected(_) => Failure::of(Code::Stopping),
        })
    }
}

fn encode<C>(at_ms: u64, command: C) -> Outcome<Bytes>
where
    C: Serialize,
{
    Record::new(at_ms, command)
        .encode()
        .map_err(|e| Failure::new(Code::Internal, e.to_string()))
}

async fn wait<T>(rx: oneshot::Receiver<Outcome<T>>, limit: Duration) -> Outcome<T> {
    match timeout(limit, rx).await {
        Ok(Ok(result)) => result,
        _ => Err(Failure::of(Code::NoLeader)),
    }
}

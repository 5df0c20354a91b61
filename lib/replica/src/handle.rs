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

use crate::{Growth, ReplicaStatus, StateMachine, input::Input, waiters::ProposalWaiter};

/// Retry delay returned to callers when the input queue of the replica is full, in milliseconds.
const QUEUE_FULL_RETRY_MS: u64 = 500;

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

    /// Passes on a message that the member `from` sent from `host`; dropped if the queue is full.
    pub fn receive(&self, host: HostName, from: MemberId, msg: PeerMsg) {
        let _send_result = self.tx.try_send(Input::Message { host, from, msg });
    }

    /// Proposes a command for the scheduler, which observes the result through the `ApplySink`.
    pub fn propose_for_scheduler(&self, at_ms: u64, command: S::Command) -> Outcome<()> {
        let record = encode::<S::Command>(at_ms, command.clone())?;
        self.send(Input::Propose {
            record,
            growth: Growth::None,
            waiter: ProposalWaiter::Scheduler(Box::new(command)),
        })
    }

    /// Proposes a command and waits for the result of applying it.
    ///
    /// After a failure with `NotConfirmed` the command may still take effect.
    pub async fn propose(
        &self,
        at_ms: u64,
        command: S::Command,
        call_timeout: Duration,
    ) -> Outcome<S::Answer> {
        let (tx, rx) = oneshot::channel();
        let growth = S::growth(&command);
        self.send(Input::Propose {
            record: encode::<S::Command>(at_ms, command)?,
            growth,
            waiter: ProposalWaiter::Call(tx),
        })?;
        match timeout(call_timeout, rx).await {
            Ok(Ok(result)) => result,
            _ => Err(Failure::of(Code::NotConfirmed)),
        }
    }

    /// Waits until the state on this host reflects everything committed before the call.
    /// Fails if this host is not the leader.
    pub async fn read(&self, call_timeout: Duration) -> Outcome<()> {
        let (tx, rx) = oneshot::channel();
        self.send(Input::Read(tx))?;
        wait_for(rx, call_timeout).await
    }

    /// Replaces the member list with `members` and waits until the change is committed.
    pub async fn change_members(&self, members: Members, call_timeout: Duration) -> Outcome<()> {
        let (tx, rx) = oneshot::channel();
        self.send(Input::Change {
            members,
            waiter: tx,
        })?;
        wait_for(rx, call_timeout).await
    }

    /// Adds the member `id` on `host` as a learner and waits until the change is committed.
    pub async fn join(&self, id: MemberId, host: HostName, call_timeout: Duration) -> Outcome<()> {
        let (tx, rx) = oneshot::channel();
        self.send(Input::Join {
            id,
            host,
            waiter: tx,
        })?;
        wait_for(rx, call_timeout).await
    }

    /// Returns the state of the replica group as known to this replica.
    pub async fn status(&self, call_timeout: Duration) -> Outcome<ReplicaStatus> {
        let (tx, rx) = oneshot::channel();
        self.send(Input::Inspect(Box::new(move |replica, now| {
            let _send_result = tx.send(Ok(ReplicaStatus {
                id: replica.id(),
                term: replica.term(),
                leader: replica.leader_host(),
                members: replica.members().clone(),
                member_status: replica.member_status(now),
            }));
        })))?;
        wait_for(rx, call_timeout).await
    }

    /// Tells the replica that no other one can form the group; `host` is its own host.
    pub fn form_alone(&self, host: HostName) -> Outcome<()> {
        self.send(Input::Event(Event::FormAlone { host }))
    }

    /// Asks the replica to transfer leadership to another voter, if it is the leader.
    pub fn transfer_leadership(&self) {
        let _send_result = self.tx.try_send(Input::Event(Event::TransferLeadership));
    }

    /// Asks the replica's thread to end; blocks while the input queue is full.
    pub fn stop(&self) {
        let _send_result = self.tx.send(Input::Stop);
    }

    fn send(&self, input: Input<S>) -> Outcome<()> {
        self.tx.try_send(input).map_err(|e| match e {
            TrySendError::Full(_) => Failure::of(Code::QueueFull).retry_after(QUEUE_FULL_RETRY_MS),
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

async fn wait_for<T>(rx: oneshot::Receiver<Outcome<T>>, call_timeout: Duration) -> Outcome<T> {
    match timeout(call_timeout, rx).await {
        Ok(Ok(result)) => result,
        _ => Err(Failure::of(Code::NoLeader)),
    }
}

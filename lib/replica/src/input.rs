use bytes::Bytes;
use tarragon_agreement::{Event, Members, PeerMsg, Replica};
use tarragon_names::{HostName, MemberId, Millis};

use crate::{
    Growth, StateMachine,
    waiters::{CompletionWaiter, ProposalWaiter},
};

/// Callback that reads the replica on the replica's thread; it also gets the stalled members and the
/// current time.
type Inspection = Box<dyn FnOnce(&Replica, Vec<MemberId>, Millis) + Send>;

/// Input of the replica's thread, sent through a `ReplicaHandle`.
pub(crate) enum Input<S>
where
    S: StateMachine,
{
    /// Passes an event to the consensus state machine.
    Event(Event),
    /// Passes on a message that the member `from` sent from `host`.
    Message {
        host: HostName,
        from: MemberId,
        msg: PeerMsg,
    },
    /// Proposes a record for the log.
    Propose {
        record: Bytes,
        growth: Growth,
        waiter: ProposalWaiter<S>,
    },
    /// Requests a linearizable read.
    Read(CompletionWaiter),
    /// Changes the member list.
    Change {
        members: Members,
        waiter: CompletionWaiter,
    },
    /// Adds a learner.
    Join {
        id: MemberId,
        host: HostName,
        waiter: CompletionWaiter,
    },
    /// Runs a callback that reads the replica.
    Inspect(Inspection),
    /// Ends the thread; proposals of the same batch and all later inputs are discarded.
    Stop,
}

use bytes::Bytes;
use tarragon_agreement::{Event, Members, PeerMsg, Replica};
use tarragon_names::{HostName, MemberId, Millis};

use crate::{
    StateMachine,
    waiters::{DoneWaiter, ProposalWaiter},
};

/// A look at the replica from its own thread.
type Look = Box<dyn FnOnce(&Replica, Millis) + Send>;

/// Input of the replica's thread.
pub(crate) enum Input<S>
where
    S: StateMachine,
{
    /// An event of the agreement.
    Event(Event),
    /// A message of another replica and the host that it came from.
    Message {
        host: HostName,
        from: MemberId,
        msg: PeerMsg,
    },
    /// A record to append.
    Propose {
        record: Bytes,
        waiter: ProposalWaiter<S>,
    },
    /// A read of the state.
    Read(DoneWaiter),
    /// A change of the member list.
    Change {
        members: Members,
        waiter: DoneWaiter,
    },
    /// A new learner.
    Join {
        id: MemberId,
        host: HostName,
        waiter: DoneWaiter,
    },
    /// A look at the replica.
    Inspect(Look),
    /// The end of the thread.
    Stop,
}

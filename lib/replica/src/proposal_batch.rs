use bytes::Bytes;

use crate::{StateMachine, waiters::ProposalWaiter};

/// Records to propose together, with the origins of each, in the same order.
pub(crate) struct ProposalBatch<S>
where
    S: StateMachine,
{
    pub(crate) records: Vec<Bytes>,
    pub(crate) waiters: Vec<ProposalWaiter<S>>,
}

impl<S> Default for ProposalBatch<S>
where
    S: StateMachine,
{
    fn default() -> Self {
        Self {
            records: Vec::new(),
            waiters: Vec::new(),
        }
    }
}

impl<S> ProposalBatch<S>
where
    S: StateMachine,
{
    pub(crate) fn push(&mut self, record: Bytes, waiter: ProposalWaiter<S>) {
        self.records.push(record);
        self.waiters.push(waiter);
    }
}

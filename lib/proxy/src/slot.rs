use std::{fmt, mem, sync::Arc};

use tarragon_routing::{Grant, RequestEnd};

use crate::dispatch::Dispatch;

/// A slot of an executor that is held for one request and given back when it is dropped.
pub(crate) struct Slot {
    dispatch: Arc<Dispatch>,
    grant: Grant,
    end: RequestEnd,
    returned: bool,
}

impl Slot {
    pub(crate) fn new(dispatch: Arc<Dispatch>, grant: Grant) -> Self {
        Self {
            dispatch,
            grant,
            end: RequestEnd::NotSent,
            returned: false,
        }
    }

    pub(crate) fn grant(&self) -> &Grant {
        &self.grant
    }

    /// Sets how the request would end if the slot were dropped now.
    pub(crate) fn set_end(&mut self, end: RequestEnd) {
        self.end = end;
    }

    /// Gives the slot back with this end.
    pub(crate) fn finish(mut self, end: RequestEnd) {
        self.end = end;
    }

    /// Gives an unused slot back without looking for a request that waits for it.
    pub(crate) fn put_back(mut self) {
        self.returned = true;
        self.dispatch.put_back(&self.grant);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !mem::replace(&mut self.returned, true) {
            self.dispatch.finish(&self.grant, self.end);
        }
    }
}

impl fmt::Debug for Slot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Slot")
            .field("grant", &self.grant)
            .field("end", &self.end)
            .finish_non_exhaustive()
    }
}

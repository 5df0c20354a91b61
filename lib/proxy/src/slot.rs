use std::{fmt, mem, sync::Arc};

use tarragon_routing::{Grant, RequestEnd};

use crate::dispatcher::Dispatcher;

/// A slot of an executor that is reserved for one request. Dropping it releases the slot.
pub(crate) struct Slot {
    dispatcher: Arc<Dispatcher>,
    grant: Grant,
    end: RequestEnd,
    is_released: bool,
}

impl Slot {
    pub(crate) fn new(dispatcher: Arc<Dispatcher>, grant: Grant) -> Self {
        Self {
            dispatcher,
            grant,
            end: RequestEnd::NotSent,
            is_released: false,
        }
    }

    pub(crate) fn grant(&self) -> &Grant {
        &self.grant
    }

    /// Sets the end that is reported if the slot is dropped before the next change.
    pub(crate) fn set_end(&mut self, end: RequestEnd) {
        self.end = end;
    }

    /// Releases the slot with this end of the request.
    pub(crate) fn release(mut self, end: RequestEnd) {
        self.end = end;
    }

    /// Releases an unused slot without assigning it to a waiting request.
    pub(crate) fn release_unused(mut self) {
        self.is_released = true;
        self.dispatcher.release_unused(&self.grant);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !mem::replace(&mut self.is_released, true) {
            self.dispatcher.release_slot(&self.grant, self.end);
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

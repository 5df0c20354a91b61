/// Late answers to the start orders of one run, which count only once no other order is under way.
///
/// As long as the last order may be carried out, the unanswered ones before it have to stand for it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LateAnswers {
    is_order_under_way: bool,
    deferred: u32,
}

impl LateAnswers {
    /// Notes that an order was sent.
    pub(crate) fn order_sent(&mut self) {
        self.is_order_under_way = true;
    }

    /// Defers a late answer to an earlier order. Returns false if the answer counts at once.
    pub(crate) fn defer(&mut self) -> bool {
        self.deferred += u32::from(self.is_order_under_way);
        self.is_order_under_way
    }

    /// Notes the result of the last order, and returns the number of late answers that now count.
    pub(crate) fn order_finished(&mut self) -> u32 {
        self.is_order_under_way = false;
        std::mem::take(&mut self.deferred)
    }
}

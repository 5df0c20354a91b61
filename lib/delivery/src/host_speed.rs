use tarragon_names::Millis;

/// Time after which an answer counts as late: half of the shortest timeout of an order.
const LATE_ANSWER: Millis = Millis(100);

/// Answers in one period from which a host is judged.
const MIN_ANSWERS: u32 = 8;

/// Share of late answers above which a host gets fewer workers, in percent.
const MAX_LATE_PERCENT: u32 = 25;

/// Least share of its announced capacity that a host is counted with, in percent.
const MIN_PERCENT: u64 = 25;

/// Rise of the share in a period without too many late answers, in percentage points.
const RECOVERY_PERCENT: u64 = 5;

/// Share of its announced capacity that a host is counted with, from the times that its orders take.
///
/// A host may have less than it announces: its machine is slow, or its callers take the rest.
#[derive(Clone, Copy, Debug)]
pub struct HostSpeed {
    percent: u64,
    answers: u32,
    late_answers: u32,
}

impl Default for HostSpeed {
    fn default() -> Self {
        Self {
            percent: 100,
            answers: 0,
            late_answers: 0,
        }
    }
}

impl HostSpeed {
    /// Records an order that was answered after `time`.
    pub fn record_answer(&mut self, time: Millis) {
        self.answers += 1;
        self.late_answers += u32::from(time > LATE_ANSWER);
    }

    /// Judges the answers since the last call.
    pub fn end_period(&mut self) {
        let is_slow = self.late_answers * 100 > self.answers * MAX_LATE_PERCENT;
        if is_slow && self.answers >= MIN_ANSWERS {
            self.percent = (self.percent * 3 / 4).max(MIN_PERCENT);
        } else if !is_slow {
            self.percent = (self.percent + RECOVERY_PERCENT).min(100);
        }
        self.answers = 0;
        self.late_answers = 0;
    }

    /// Share of the announced capacity that the host is counted with, in percent.
    pub fn percent(&self) -> u64 {
        self.percent
    }
}

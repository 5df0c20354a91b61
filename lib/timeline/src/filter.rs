use crate::Record;

/// Conditions that an event must meet to be shown. A condition that is `None` holds for every event.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Filter {
    /// Events of this job or of one of its tasks.
    pub job: Option<String>,
    /// Events of this service request.
    pub request: Option<String>,
    /// Events of this worker.
    pub worker: Option<String>,
    /// Events of this epoch.
    pub epoch: Option<u64>,
}

impl Filter {
    /// Returns whether the event meets all conditions.
    pub fn matches(&self, record: &Record) -> bool {
        let is_met = |expected: &Option<String>, actual: Option<String>| {
            expected.is_none() || expected.as_ref() == actual.as_ref()
        };
        is_met(&self.job, record.job())
            && is_met(&self.request, record.field("request"))
            && is_met(&self.worker, record.field("worker"))
            && (self.epoch.is_none() || self.epoch == record.number("epoch"))
    }
}

use crate::Record;

/// Which events to show. An absent condition holds for every event.
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
    /// Tells whether an event is to be shown.
    pub fn matches(&self, record: &Record) -> bool {
        let holds = |wanted: &Option<String>, found: Option<String>| {
            wanted.is_none() || wanted.as_ref() == found.as_ref()
        };
        holds(&self.job, record.job())
            && holds(&self.request, record.field("request"))
            && holds(&self.worker, record.field("worker"))
            && (self.epoch.is_none() || self.epoch == record.number("epoch"))
    }
}

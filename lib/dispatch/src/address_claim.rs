use tarragon_names::Millis;
use tarragon_workflow::WorkerRecord;

/// Announcement of a worker at an address at which another one is recorded.
///
/// It proves nothing by itself, because it may come from another writer or late. Once another worker
/// answers the calls to the recorded one, that one has ended.
#[derive(Clone, Debug)]
pub(crate) struct AddressClaim {
    pub(crate) record: WorkerRecord,
    pub(crate) received_at: Millis,
}

use serde::{Deserialize, Serialize};

use crate::worker_order::{OrderResult, WorkerOrder};

/// Orders that the leader sends to a delivering host in one frame.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct OrderBatch {
    /// Orders with their numbers, which the results repeat.
    pub(crate) orders: Vec<(u64, WorkerOrder)>,
}

/// Results of orders, from the delivering host.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ResultBatch {
    pub(crate) results: Vec<(u64, OrderResult)>,
}

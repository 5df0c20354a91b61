use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
    mpsc::{Receiver, SyncSender, sync_channel},
};

use tarragon_codes::{Code, Failure, Outcome};
use tarragon_leases::WorkerReport;
use tarragon_names::{JobId, Millis, WorkerName};
use tarragon_scheduler::{Explanation, SchedEvent, Scheduler, WorkerView};
use tokio::sync::oneshot;

/// Maximum number of inputs queued for the scheduler's thread; bounds the memory under overload.
const INPUT_QUEUE_CAPACITY: usize = 65_536;

/// Function that reads the scheduler on the scheduler's thread.
type InspectFn = Box<dyn FnOnce(&Scheduler, Millis) + Send>;

/// Input of the scheduler's thread.
#[expect(
    clippy::large_enum_variant,
    reason = "nearly every input is the large variant"
)]
pub(crate) enum SchedInput {
    /// Passes an event to the scheduler.
    Event(SchedEvent),
    /// Runs a function that reads the scheduler.
    Inspect(InspectFn),
    /// Ends the thread.
    Stop,
}

/// Access to the scheduler of this host from other threads.
#[derive(Clone, Debug)]
pub struct SchedulerHandle {
    tx: SyncSender<SchedInput>,
    /// Time before which no other host can be elected, in milliseconds.
    leads_until: Arc<AtomicU64>,
}

impl SchedulerHandle {
    pub(crate) fn channel() -> (Self, Receiver<SchedInput>) {
        let (tx, rx) = sync_channel(INPUT_QUEUE_CAPACITY);
        (
            Self {
                tx,
                leads_until: Arc::default(),
            },
            rx,
        )
    }

    /// Passes on a worker's report. It is dropped if the queue is full; the worker repeats it.
    pub fn report(&self, worker: WorkerName, report: WorkerReport) {
        let event = SchedEvent::Report { worker, report };
        let _queue_full = self.tx.try_send(SchedInput::Event(event));
    }

    /// Lists the workers known to the scheduler.
    pub async fn workers(&self) -> Outcome<Vec<WorkerView>> {
        self.inspect(|scheduler, _| scheduler.workers()).await
    }

    /// Explains why a job is in its state.
    pub async fn explain(&self, job: JobId) -> Outcome<Explanation> {
        self.inspect(move |scheduler, now| scheduler.explain(now, job))
            .await?
    }

    /// Records that no other host can be elected before `until`.
    pub(crate) fn set_leads_until(&self, until: Millis) {
        self.leads_until.store(until.0, Ordering::Release);
    }

    pub(crate) fn leads_until(&self) -> Millis {
        Millis(self.leads_until.load(Ordering::Acquire))
    }

    pub(crate) fn stop(&self) {
        let _thread_stopped = self.tx.send(SchedInput::Stop);
    }

    async fn inspect<F, T>(&self, read: F) -> Outcome<T>
    where
        F: FnOnce(&Scheduler, Millis) -> T + Send + 'static,
        T: Send + 'static,
    {
        let (tx, rx) = oneshot::channel();
        let input = SchedInput::Inspect(Box::new(move |scheduler, now| {
            let _receiver_dropped = tx.send(read(scheduler, now));
        }));
        self.tx
            .try_send(input)
            .map_err(|_full| Failure::of(Code::QueueFull))?;
        rx.await.map_err(|_stopped| Failure::of(Code::Stopping))
    }

    /// Passes on an event that must not be lost, and blocks while the queue is full.
    ///
    /// It cannot deadlock with its caller, the replica's thread, because the scheduler's thread
    /// never waits for the replica's thread.
    pub(crate) fn send_blocking(&self, event: SchedEvent) {
        let _thread_stopped = self.tx.send(SchedInput::Event(event));
    }
}

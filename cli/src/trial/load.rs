use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use futures::{StreamExt, stream};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use tarragon_cell::{AttemptEnd, JobSpec, JobState, TaskState, TaskView};
use tarragon_client::Client;
use tarragon_codes::{Code, Failure};
use tarragon_names::{IdempotencyKey, JobId, Resources, Workload};
use tokio::{
    sync::Mutex,
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

use super::{
    ReportedJob, ReportedOutcomes, ReportedRequest, example::Example, job_template::JobTemplate,
    request_template::RequestTemplate,
};

/// Longest delay from the acceptance of a job to its cancellation.
const MAX_CANCEL_DELAY_MS: u64 = 2_000;

/// Maximum number of job status requests in flight.
const MAX_STATUS_REQUESTS: usize = 16;

/// Interval between two rounds of job status requests.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Callers of a trial, which send the mix of an example at its configured rates regardless of the
/// answers.
#[derive(Debug)]
pub struct Load {
    clients: Vec<Client>,
    rng: ChaCha8Rng,
    reported: Arc<Mutex<ReportedOutcomes>>,
    sent: u64,
}

#[derive(Clone, Debug)]
enum Arrival<'a> {
    Job(&'a JobTemplate),
    Request(&'a RequestTemplate),
}

impl Load {
    /// Creates callers that spread over the hosts; each of `clients` starts with a different host.
    pub fn new(clients: Vec<Client>, seed: u64) -> Self {
        Self {
            clients,
            rng: ChaCha8Rng::seed_from_u64(seed),
            reported: Arc::default(),
            sent: 0,
        }
    }

    /// Sends the mix for this long and waits for the answers.
    pub async fn run(mut self, example: &Example, length: Duration) -> ReportedOutcomes {
        let arrivals = self.arrivals(example, length);
        let start = Instant::now();
        let mut calls = JoinSet::new();
        for (at, arrival) in arrivals {
            sleep_until(start + at).await;
            self.sent += 1;
            let host = self.below(self.clients.len() as u64) as usize;
            let client = self.clients[host].clone();
            let reported = Arc::clone(&self.reported);
            match arrival {
                Arrival::Job(template) => {
                    let spec = self.spec(template);
                    let key = IdempotencyKey::from(format!("trial-job-{}", self.sent));
                    let cancelled = self.below(100) < u64::from(example.mix.cancel_percent);
                    let delay = Duration::from_millis(self.below(MAX_CANCEL_DELAY_MS));
                    let cancel = cancelled.then_some(delay);
                    calls.spawn(async move {
                        let job = submit(&client, spec, key, cancel).await;
                        reported.lock().await.jobs.push(job);
                    });
                }
                Arrival::Request(template) => {
                    let id = format!("trial-request-{};", self.sent);
                    let keyed = self.below(100) < u64::from(template.keyed_percent);
                    let repeatable = example.is_repeatable(&template.name);
                    let template = template.clone();
                    calls.spawn(async move {
                        let request = request(&client, &template, id, keyed, repeatable).await;
                        reported.lock().await.requests.push(request);
                    });
                }
            }
        }
        while calls.join_next().await.is_some() {}
        std::mem::take(&mut *self.reported.lock().await)
    }

    /// Generates random arrivals in order of time, reproducible from the seed.
    fn arrivals<'a>(
        &mut self,
        example: &'a Example,
        length: Duration,
    ) -> Vec<(Duration, Arrival<'a>)> {
        let jobs = example.mix.jobs.iter();
        let requests = example.mix.requests.iter();
        let sources: Vec<_> = jobs
            .map(|job| (job.per_second, Arrival::Job(job)))
            .chain(requests.map(|request| (request.per_second, Arrival::Request(request))))
            .collect();
        let mut arrivals = Vec::new();
        for (per_second, arrival) in sources {
            let mut at = self.gap(per_second);
            while at < length {
                arrivals.push((at, arrival.clone()));
                at += self.gap(per_second);
            }
        }
        arrivals.sort_by_key(|(at, _)| *at);
        arrivals
    }

    /// Draws the time to the next arrival of a Poisson process.
    fn gap(&mut self, per_second: f64) -> Duration {
        let part = (f64::from(self.rng.next_u32()) + 1.0) / (f64::from(u32::MAX) + 1.0);
        Duration::from_secs_f64(-part.ln() / per_second)
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound.max(1)
    }

    fn between(&mut self, (least, most): (u64, u64)) -> u64 {
        least + self.below(most - least + 1)
    }

    fn spec(&mut self, template: &JobTemplate) -> JobSpec {
        JobSpec {
            name: template.name.clone(),
            kind: template.kind,
            tasks: self.between(template.tasks) as u32,
            resources: Resources::new(
                self.between(template.cpu_milli),
                self.between(template.memory_mb),
                0,
            ),
            run_ms: self.between(template.run_ms),
            deadline_ms: template.deadline_ms,
            payload: template.payload.as_str().into(),
        }
    }
}

/// Stops the services so that every job can end, then polls until all jobs have ended or the time
/// is over.
pub async fn settle(client: &Client, reported: &mut ReportedOutcomes, timeout: Duration) {
    let end = Instant::now() + timeout;
    loop {
        stream::iter(reported.jobs.iter_mut().filter(|job| !has_ended(job)))
            .for_each_concurrent(MAX_STATUS_REQUESTS, |job| async move {
                job.last = match job.accepted {
                    Ok(id) => client.job(id).await,
                    Err(_) => client.job_by_key(&job.key).await,
                };
                let service = job
                    .last
                    .as_ref()
                    .ok()
                    .filter(|v| v.kind == Workload::Service);
                if let Some(view) = service
                    && matches!(view.state, JobState::Queued | JobState::Running)
                {
                    // The next round shows whether the cancellation succeeded.
                    let _state = client.cancel(view.job).await;
                }
            })
            .await;
        if reported.jobs.iter().all(has_ended) || Instant::now() >= end {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns whether the state of a job is final.
///
/// A cancelled job stays unknown permanently if a lost worker may or may not have started it,
/// so this state counts as final.
pub(super) fn has_ended(job: &ReportedJob) -> bool {
    match &job.last {
        Ok(view) => match view.state {
            JobState::Ran | JobState::Stopped | JobState::NotRun => true,
            JobState::Unknown => {
                let lost = |task: &TaskView| task.state == TaskState::Ended(AttemptEnd::LeaseEnded);
                let ended = |task: &TaskView| matches!(task.state, TaskState::Ended(_));
                view.tasks.iter().any(lost) && view.tasks.iter().all(ended)
            }
            JobState::Queued | JobState::Running | JobState::Cancelling => false,
        },
        Err(failure) => failure.code == Code::NoSuchJob,
    }
}

async fn submit(
    client: &Client,
    spec: JobSpec,
    key: IdempotencyKey,
    cancel: Option<Duration>,
) -> ReportedJob {
    let submitted = unix_ms();
    let answer = client.submit(&spec, Some(&key)).await;
    let accepted: Result<JobId, _> = answer.map(|done| done.job);
    if let (Ok(job), Some(delay)) = (&accepted, cancel) {
        sleep(delay).await;
        // A lost cancellation leaves the job unchanged; the last status of the job counts.
        let _state = client.cancel(*job).await;
    }
    ReportedJob {
        name: spec.name,
        key,
        submitted,
        accepted,
        last: Err(Failure::of(Code::NotConfirmed)),
    }
}

async fn request(
    client: &Client,
    template: &RequestTemplate,
    id: String,
    keyed: bool,
    repeatable: bool,
) -> ReportedRequest {
    let mut body = id.clone().into_bytes();
    body.resize(template.bytes.max(body.len()), b'.');
    let body = Bytes::from(body);
    let key = keyed.then(|| IdempotencyKey::from(id.as_str()));
    let start = Instant::now();
    let answer = client
        .request(&template.name, body.clone(), key.as_ref(), None)
        .await;
    ReportedRequest {
        id,
        repeatable,
        answer: answer.map(|reply| (reply.status, reply.body == body)),
        took: start.elapsed(),
    }
}

fn unix_ms() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    time.map_or(0, |time| time.as_millis() as u64)
}

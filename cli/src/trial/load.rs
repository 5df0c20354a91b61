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
    JobTold, RequestTold, Told, example::Example, job_template::JobTemplate,
    request_template::RequestTemplate,
};

/// Longest delay from the acceptance of a job to its cancellation.
const CANCEL_WITHIN_MS: u64 = 2_000;

/// Jobs that are asked about at a time.
const ASKED_AT_ONCE: usize = 16;

/// Time between two rounds of questions about jobs.
const ASK_AGAIN: Duration = Duration::from_millis(200);

/// Callers of a trial: they send the mix of an example at its rates, whatever comes back.
#[derive(Debug)]
pub struct Load {
    clients: Vec<Client>,
    rng: ChaCha8Rng,
    told: Arc<Mutex<Told>>,
    sent: u64,
}

#[derive(Clone, Debug)]
enum Arrival<'a> {
    Job(&'a JobTemplate),
    Request(&'a RequestTemplate),
}

impl Load {
    /// Callers that spread over the hosts; each of `clients` begins with another one.
    pub fn new(clients: Vec<Client>, seed: u64) -> Self {
        Self {
            clients,
            rng: ChaCha8Rng::seed_from_u64(seed),
            told: Arc::default(),
            sent: 0,
        }
    }

    /// Sends the mix for this long and waits for the answers.
    pub async fn run(mut self, example: &Example, length: Duration) -> Told {
        let arrivals = self.arrivals(example, length);
        let start = Instant::now();
        let mut calls = JoinSet::new();
        for (at, arrival) in arrivals {
            sleep_until(start + at).await;
            self.sent += 1;
            let host = self.below(self.clients.len() as u64) as usize;
            let client = self.clients[host].clone();
            let told = Arc::clone(&self.told);
            match arrival {
                Arrival::Job(template) => {
                    let spec = self.spec(template);
                    let key = IdempotencyKey::from(format!("trial-job-{}", self.sent));
                    let cancelled = self.below(100) < u64::from(example.mix.cancel_percent);
                    let delay = Duration::from_millis(self.below(CANCEL_WITHIN_MS));
                    let cancel = cancelled.then_some(delay);
                    calls.spawn(async move {
                        let job = submit(&client, spec, key, cancel).await;
                        told.lock().await.jobs.push(job);
                    });
                }
                Arrival::Request(template) => {
                    let id = format!("trial-request-{};", self.sent);
                    let keyed = self.below(100) < u64::from(template.keyed_percent);
                    let repeatable = example.is_repeatable(&template.name);
                    let template = template.clone();
                    calls.spawn(async move {
                        let request = request(&client, &template, id, keyed, repeatable).await;
                        told.lock().await.requests.push(request);
                    });
                }
            }
        }
        while calls.join_next().await.is_some() {}
        std::mem::take(&mut *self.told.lock().await)
    }

    /// Arrivals in order of time, at random but the same for the same seed.
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

    /// Time to the next arrival of a Poisson process.
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

/// Stops the services, so that every job can end, and asks until all have or the time is over.
pub async fn settle(client: &Client, told: &mut Told, limit: Duration) {
    let end = Instant::now() + limit;
    loop {
        stream::iter(told.jobs.iter_mut().filter(|job| !has_ended(job)))
            .for_each_concurrent(ASKED_AT_ONCE, |job| async move {
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
                    // The next round shows what came of it.
                    let _state = client.cancel(view.job).await;
                }
            })
            .await;
        if told.jobs.iter().all(has_ended) || Instant::now() >= end {
            return;
        }
        sleep(ASK_AGAIN).await;
    }
}

/// Tells whether nothing more will happen to a job.
///
/// A cancelled job stays unknown for good if a lost worker may or may not have begun it.
pub(super) fn has_ended(job: &JobTold) -> bool {
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
) -> JobTold {
    let submitted = unix_ms();
    let answer = client.submit(&spec, Some(&key)).await;
    let accepted: Result<JobId, _> = answer.map(|done| done.job);
    if let (Ok(job), Some(delay)) = (&accepted, cancel) {
        sleep(delay).await;
        // A cancellation that is lost leaves the job as it was; its last view counts.
        let _state = client.cancel(*job).await;
    }
    JobTold {
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
) -> RequestTold {
    let mut body = id.clone().into_bytes();
    body.resize(template.bytes.max(body.len()), b'.');
    let body = Bytes::from(body);
    let key = keyed.then(|| IdempotencyKey::from(id.as_str()));
    let start = Instant::now();
    let answer = client
        .request(&template.name, body.clone(), key.as_ref(), None)
        .await;
    RequestTold {
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

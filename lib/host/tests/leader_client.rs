//! Submissions that are repeated because the leader did not answer in time.

use std::{
    collections::VecDeque,
    fs::{self, Permissions},
    os::unix::fs::PermissionsExt,
    sync::Arc,
    time::Duration,
};

use futures::{FutureExt, future::ready};
use parking_lot::Mutex;
use tarpc::client::RpcError;
use tarragon_cell::Answer;
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_discovery::LeaderHint;
use tarragon_host::{ControlClients, LeaderClient, LinkMeter};
use tarragon_names::{JobId, Term};
use tarragon_settings::HostSettings;
use tarragon_telemetry::Metrics;
use yare::parameterized;

const TIMEOUT: Duration = Duration::from_secs(10);

const SETTINGS: &str = include_str!("../../../examples/kovacik/hosts/banska-1.toml");

fn settings() -> HostSettings {
    let folder = tempfile::tempdir().expect("a folder");
    let hosts = folder.path().join("hosts");
    fs::create_dir(&hosts).expect("a folder");
    let token = folder.path().join("token");
    fs::write(&token, "token-of-the-test").expect("a file");
    fs::set_permissions(&token, Permissions::from_mode(0o600)).expect("a private file");
    let file = hosts.join("banska-1.toml");
    fs::write(&file, SETTINGS).expect("a file");
    HostSettings::load(file).expect("the example is valid")
}

/// Client of a host that leads.
fn client() -> LeaderClient {
    let cfg = settings();
    let hint = Arc::new(LeaderHint::default());
    hint.follow(Term(1), &cfg.name);
    let hosts = cfg.hosts.iter();
    let hosts = hosts.map(|host| (host.name.clone(), host.domain.clone()));
    let meter = LinkMeter::new(cfg.name.clone(), &cfg.domain, hosts, &Metrics::new());
    let clients = ControlClients::new(&cfg, Arc::new(meter));
    LeaderClient::new(cfg.name, Vec::new(), hint, Arc::new(clients))
}

fn code_of(answer: &Outcome<Answer>) -> Option<Code> {
    match answer {
        Ok(Answer::Failed(refusal)) | Err(refusal) => Some(refusal.code),
        Ok(_) => None,
    }
}

fn refused(code: Code) -> Answer {
    Answer::Failed(Failure::of(code))
}

fn failed(code: Code) -> Outcome<Answer> {
    Err(Failure::of(code))
}

/// Guards against a job that runs although its caller was told that it did not and never will: the
/// second attempt is refused, and the first one, which got no answer in time, is accepted later.
#[parameterized(
    refused_at_once = { vec![Ok(refused(Code::QueueFull))], Some(Code::QueueFull) },
    no_effect_before = { vec![failed(Code::NotLeader), Ok(refused(Code::QueueFull))], Some(Code::QueueFull) },
    accepted_again = { vec![failed(Code::NotConfirmed), Ok(Answer::Accepted(JobId(1)))], None },
    refused_by_the_state = {
        vec![failed(Code::NotConfirmed), Ok(refused(Code::QueueFull))], Some(Code::NotConfirmed)
    },
    refused_for_want_of_room = {
        vec![failed(Code::NotConfirmed), failed(Code::StateFull)], Some(Code::NotConfirmed)
    },
)]
fn refusal_of_a_repeated_submission(answers: Vec<Outcome<Answer>>, expected: Option<Code>) {
    let answers = Mutex::new(VecDeque::from(answers));
    let local = |_| {
        let answer = answers.lock().pop_front();
        ready(answer.expect("no attempt after the last answer")).boxed()
    };
    let remote = |_, _| ready(Err::<Outcome<Answer>, _>(RpcError::Shutdown)).boxed();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build();
    let runtime = runtime.expect("a runtime");
    let answer = runtime.block_on(client().submit(TIMEOUT, local, remote));
    assert_eq!(code_of(&answer), expected);
}

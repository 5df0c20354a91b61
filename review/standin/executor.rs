//! Sound executors that speak as `PROTOCOL.md` says, with one incarnation ("life") at a time behind an
//! address.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Answer, Request, Server},
    json::Json,
    record::Recorder,
};

const HEARTBEAT: Duration = Duration::from_millis(1_500);
const HEARTBEAT_LIMIT: Duration = Duration::from_secs(1);
const MAX_HOLD_MS: u64 = 10_000;
const MOST_ENDS: usize = 500;
const GANG_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Time that a stopped run takes to end; at most `stop_ms` (900).
const STOP_TIME: Duration = Duration::from_millis(100);

/// Time from the start of a task that lasts until it is at work.
const STARTUP: Duration = Duration::from_millis(300);

/// What the executors saw, in order.
#[derive(Clone, Debug)]
pub enum Seen {
    Start { at: Instant, executor: String, life: u64, task: String, run: u64, spec: String },
    End { at: Instant, executor: String, life: u64, task: String, run: u64, how: &'static str },
    /// `ack_cursor` has reached the end; whether the lease lapsed in between.
    Noted { at: Instant, task: String, run: u64, how: &'static str, has_lapsed: bool },
    Crash { at: Instant, executor: String, life: u64 },
}

pub type Ledger = Arc<Mutex<Vec<Seen>>>;

/// What the network does with a request on its way to the executor.
pub enum Transit {
    Deliver,
    /// The request gets no answer and is delivered this much later, to whoever listens there then.
    DeliverLate(Duration),
}

pub type Network = Arc<dyn Fn(&Request) -> Transit + Send + Sync>;

#[derive(Clone)]
pub struct Setup {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub hosts: Vec<SocketAddr>,
}

struct Run {
    number: u64,
    begun: Instant,
    /// `None` for a task that lasts.
    work: Option<Duration>,
    /// Whether the run fails at the end of its work.
    fails: bool,
    /// Number of members, if the run is one of a gang.
    members: Option<usize>,
    stop_at: Option<Instant>,
}

/// A run of a gang, which its executors know together.
#[derive(Default)]
struct Gang {
    present: BTreeSet<String>,
    complete_at: Option<Instant>,
    /// How its first member ended, and whether that ends the others well.
    ended: Option<&'static str>,
}

/// Gangs by step and run.
pub type Gangs = Arc<Mutex<HashMap<(String, u64), GangCell>>>;

#[derive(Default)]
pub struct GangCell(Gang);

/// What the text of a job tells its executors: "work MS", or "lasts"; "fail PERCENT"; "gang STEP COUNT".
#[derive(Default)]
struct Spec {
    work: Option<Duration>,
    fail_percent: u64,
    gangs: Vec<(u64, usize)>,
}

impl Spec {
    fn parse(text: &str) -> Self {
        let mut spec = Self::default();
        let mut words = text.split(' ');
        while let Some(word) = words.next() {
            let mut number = || words.next().and_then(|word| word.parse::<u64>().ok()).unwrap_or(0);
            match word {
                "work" => spec.work = Some(Duration::from_millis(number())),
                "fail" => spec.fail_percent = number(),
                "gang" => {
                    let step = number();
                    spec.gangs.push((step, number() as usize));
                }
                _ => {}
            }
        }
        spec
    }
}

fn gang_key(task: &str, run: u64) -> (String, u64) {
    let step = task.rsplit_once('.').map_or(task, |(step, _)| step);
    (step.to_owned(), run)
}

struct End {
    number: u64,
    /// Number of lapses of the lease before the end.
    lapses: u64,
    task: String,
    run: u64,
    how: &'static str,
}

struct State {
    fence: u64,
    lease_until: u64,
    runs: BTreeMap<String, Run>,
    /// Highest run of each task that was stopped or has ended here.
    over: BTreeMap<String, u64>,
    ends: Vec<End>,
    next_end: u64,
    lapses: u64,
    is_lapsed: bool,
}

/// One incarnation of an executor.
struct Life {
    setup: Setup,
    born: u64,
    begun: Instant,
    is_alive: AtomicBool,
    is_cut: AtomicBool,
    is_draining: AtomicBool,
    state: Mutex<State>,
    gangs: Gangs,
    ledger: Ledger,
    record: Recorder,
}

/// An executor at a fixed address, with its present incarnation.
pub struct Executor {
    pub setup: Setup,
    current: Arc<Mutex<Option<Arc<Life>>>>,
    server: Mutex<Option<Server>>,
    network: Network,
    gangs: Gangs,
    ledger: Ledger,
    record: Recorder,
    last_born: AtomicU64,
}

impl Executor {
    pub fn new(setup: Setup, network: Network, gangs: Gangs, ledger: Ledger, record: Recorder) -> Arc<Self> {
        Arc::new(Self {
            setup,
            current: Arc::default(),
            server: Mutex::new(None),
            network,
            gangs,
            ledger,
            record,
            last_born: AtomicU64::new(0),
        })
    }

    /// Starts an incarnation, under the same id and at the same address as any before.
    pub fn start(&self) -> std::io::Result<()> {
        self.start_as(&self.setup.id)
    }

    /// Starts an incarnation under an id.
    pub fn start_as(&self, id: &str) -> std::io::Result<()> {
        let born = unix_ms().max(self.last_born.load(Ordering::SeqCst) + 1);
        self.last_born.store(born, Ordering::SeqCst);
        let life = Arc::new(Life {
            setup: Setup { id: id.to_owned(), ..self.setup.clone() },
            born,
            begun: Instant::now(),
            is_alive: AtomicBool::new(true),
            is_cut: AtomicBool::new(false),
            state: Mutex::new(State {
                fence: 0,
                lease_until: 0,
                runs: BTreeMap::new(),
                over: BTreeMap::new(),
                ends: Vec::new(),
                next_end: 1,
                lapses: 0,
                is_lapsed: true,
            }),
            is_draining: AtomicBool::new(false),
            gangs: Arc::clone(&self.gangs),
            ledger: Arc::clone(&self.ledger),
            record: self.record.clone(),
        });
        *self.current.lock().expect("no panics") = Some(Arc::clone(&life));
        let (current, network, record) = (Arc::clone(&self.current), Arc::clone(&self.network), self.record.clone());
        let server = Server::start(self.setup.address, Arc::new(move |request| {
            match network(&request) {
                Transit::Deliver => {
                    let life = current.lock().expect("no panics").clone()?;
                    life.answer(&request)
                }
                Transit::DeliverLate(delay) => {
                    let (current, record) = (Arc::clone(&current), record.clone());
                    thread::spawn(move || {
                        thread::sleep(delay);
                        let life = current.lock().expect("no panics").clone();
                        let answer = life.and_then(|life| life.answer(&request));
                        record.line(&format!("network: delivered late: {} {} -> {answer:?}", request.path, request.body));
                    });
                    None
                }
            }
        }))?;
        *self.server.lock().expect("no panics") = Some(server);
        let working = Arc::clone(&life);
        thread::spawn(move || working.work());
        thread::spawn(move || life.beat());
        self.record.line(&format!("executor {id}: starts, born {born}, at {}", self.setup.address));
        Ok(())
    }

    /// Ends the incarnation as a crash does: nothing is said, everything that runs is gone.
    pub fn crash(&self) {
        let life = self.current.lock().expect("no panics").take();
        if let Some(life) = life {
            life.is_alive.store(false, Ordering::SeqCst);
            let state = life.state.lock().expect("no panics");
            for (task, run) in state.runs.iter().filter(|(_, run)| run.members.is_some()) {
                life.leave_gang(task, run.number, "crashed");
            }
            drop(state);
            life.see(Seen::Crash { at: Instant::now(), executor: life.setup.id.clone(), life: life.born });
            self.record.line(&format!("executor {}: crashes", life.setup.id));
        }
        if let Some(server) = self.server.lock().expect("no panics").take() {
            server.close();
        }
    }

    /// Announces that the executor leaves; true once a host has acknowledged it.
    pub fn drain(&self) -> bool {
        let life = self.current.lock().expect("no panics").clone();
        let Some(life) = life else { return false };
        life.is_draining.store(true, Ordering::SeqCst);
        self.record.line(&format!("executor {}: drains", life.setup.id));
        (0..10).any(|_| life.send_heartbeat(rand_index(life.setup.hosts.len()), u64::MAX >> 12))
    }

    /// Sends the last word of a leaving executor and ends it.
    pub fn leave(&self) {
        let life = self.current.lock().expect("no panics").clone();
        if let Some(life) = life {
            let path = format!("/v1/instances/{}", life.setup.id);
            let host = life.setup.hosts[rand_index(life.setup.hosts.len())];
            let answer = http::call(host, "DELETE", &path, &[], "", HEARTBEAT_LIMIT);
            self.record.line(&format!("executor {}: leaves -> {:?}", life.setup.id, answer.ok()));
        }
        self.crash();
    }

    /// Id of the present incarnation.
    pub fn id(&self) -> Option<String> {
        self.current.lock().expect("no panics").as_ref().map(|life| life.setup.id.clone())
    }

    pub fn is_up(&self) -> bool {
        self.current.lock().expect("no panics").is_some()
    }

    /// Cuts the executor off from all hosts, in both directions; it runs on.
    pub fn set_cut(&self, is_cut: bool) {
        if let Some(life) = &*self.current.lock().expect("no panics") {
            life.is_cut.store(is_cut, Ordering::SeqCst);
        }
        if let Some(server) = &*self.server.lock().expect("no panics") {
            server.set_cut(is_cut);
        }
        let what = if is_cut { "cut off" } else { "reachable again" };
        self.record.line(&format!("executor {}: {what}", self.setup.id));
    }

    /// Runs of a task here now, and the executor's lease that is left.
    pub fn runs(&self, job: &str) -> Vec<(String, u64, u64)> {
        let current = self.current.lock().expect("no panics").clone();
        let Some(life) = current else { return Vec::new() };
        let clock = life.clock();
        let state = life.state.lock().expect("no panics");
        let runs = state.runs.iter().filter(|(task, _)| task.starts_with(job));
        let left = state.lease_until.saturating_sub(clock);
        runs.map(|(task, run)| (task.clone(), run.number, left)).collect()
    }

    /// Whether the task is at work here.
    pub fn is_at_work(&self, job: &str) -> bool {
        let current = self.current.lock().expect("no panics").clone();
        let Some(life) = current else { return false };
        let state = life.state.lock().expect("no panics");
        let runs = state.runs.iter().filter(|(task, _)| task.starts_with(job));
        runs.into_iter().any(|(_, run)| run.begun.elapsed() >= STARTUP && run.stop_at.is_none())
    }
}

impl Life {
    fn clock(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    fn see(&self, seen: Seen) {
        self.ledger.lock().expect("no panics").push(seen);
    }

    fn beat(&self) {
        let mut host = self.setup.hosts.len() / 2;
        let mut seq = 0;
        while self.is_alive.load(Ordering::SeqCst) {
            seq += 1;
            // An executor that is cut off reaches no host.
            let is_cut = self.is_cut.load(Ordering::SeqCst);
            if !is_cut && self.send_heartbeat(host, seq) {
                thread::sleep(HEARTBEAT);
            } else {
                host = (host + 1) % self.setup.hosts.len();
                thread::sleep(Duration::from_millis(100));
            }
        }
    }

    /// Returns whether the heartbeat was acknowledged.
    fn send_heartbeat(&self, host: usize, seq: u64) -> bool {
        let setup = &self.setup;
        let labels = setup.labels.iter().map(|label| format!("\"{label}\""));
        let state = if self.is_draining.load(Ordering::SeqCst) {
            "\"draining\",\"remaining_ms\":3000"
        } else {
            "\"ready\""
        };
        let body = format!(
            "{{\"service\":\"order-desk\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
             \"state\":{state},\"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":{},\"mem_mb\":65536,\"gpu\":0}},\
             \"labels\":[{}],\"clock_ms\":{},\"seq\":{seq},\"born\":{}}}",
            setup.address,
            setup.zone,
            setup.cpu,
            labels.collect::<Vec<_>>().join(","),
            self.clock(),
            self.born
        );
        let path = format!("/v1/instances/{}", setup.id);
        let answer = http::call(setup.hosts[host], "PUT", &path, &[], &body, HEARTBEAT_LIMIT);
        answer.is_ok_and(|(status, _)| (200..300).contains(&status))
    }

    /// Ends a run's part in its gang.
    fn leave_gang(&self, task: &str, run: u64, how: &'static str) {
        let mut gangs = self.gangs.lock().expect("no panics");
        let gang = &mut gangs.entry(gang_key(task, run)).or_default().0;
        gang.ended.get_or_insert(how);
    }

    /// How a member of a gang ends now, if it does.
    fn gang_end(&self, task: &str, run: &Run, members: usize) -> Option<&'static str> {
        let mut gangs = self.gangs.lock().expect("no panics");
        let gang = &mut gangs.entry(gang_key(task, run.number)).or_default().0;
        if gang.present.len() >= members && gang.ended.is_none() {
            gang.complete_at.get_or_insert(Instant::now());
        }
        match (gang.ended, gang.complete_at) {
            (Some("done"), _) => Some("done"),
            (Some(_), _) => Some("broken"),
            (None, Some(at)) if run.work.is_some_and(|work| at.elapsed() >= work) => {
                let how = if run.fails { "failed" } else { "done" };
                gang.ended = Some(how);
                Some(how)
            }
            (None, None) if run.begun.elapsed() > GANG_TIMEOUT => {
                gang.ended = Some("alone");
                Some("alone")
            }
            _ => None,
        }
    }

    /// Ends runs whose work is done, that were stopped, or whose lease is over.
    fn work(&self) {
        while self.is_alive.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
            let mut state = self.state.lock().expect("no panics");
            let now = Instant::now();
            let has_lapsed = self.clock() > state.lease_until;
            if has_lapsed && !state.is_lapsed {
                state.lapses += 1;
            }
            state.is_lapsed = has_lapsed;
            let lapses = state.lapses;
            let over = state.runs.iter().filter_map(|(task, run)| {
                let is_done = run.work.is_some_and(|work| run.begun + work <= now);
                let is_stopped = run.stop_at.is_some_and(|at| at <= now);
                let how = match run.members {
                    _ if has_lapsed => "lapsed",
                    Some(members) if !is_stopped => self.gang_end(task, run, members)?,
                    None if is_done && run.fails => "failed",
                    None if is_done => "done",
                    _ if is_stopped => "stopped",
                    _ => return None,
                };
                if run.members.is_some() {
                    self.leave_gang(task, run.number, how);
                }
                Some((task.clone(), run.number, how))
            });
            for (task, run, how) in over.collect::<Vec<_>>() {
                state.runs.remove(&task);
                let highest = state.over.entry(task.clone()).or_default();
                *highest = run.max(*highest);
                let number = state.next_end;
                state.next_end += 1;
                state.ends.push(End { number, lapses, task: task.clone(), run, how });
                let executor = self.setup.id.clone();
                self.record.line(&format!("executor {executor}: run {run} of {task} ends {how}"));
                self.see(Seen::End { at: now, executor, life: self.born, task, run, how });
            }
        }
    }

    fn answer(&self, request: &Request) -> Option<Answer> {
        if !self.is_alive.load(Ordering::SeqCst) {
            return None;
        }
        let expected = request.header("expect-instance");
        if expected.is_some_and(|expected| expected != self.setup.id) {
            return Some((421, format!("{{\"clock_ms\":{}}}", self.clock())));
        }
        let Some(body) = Json::parse(&request.body) else {
            return Some((400, format!("{{\"clock_ms\":{}}}", self.clock())));
        };
        match request.path.as_str() {
            "/v1/run-start" => Some(self.start_run(&body)),
            "/v1/run-stop" => Some(self.stop_run(&body)),
            "/v1/hold" => self.hold(&body),
            "/v1/pace" => Some((200, format!("{{\"clock_ms\":{}}}", self.clock()))),
            "/health" => Some((200, "{}".to_owned())),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn refuse(&self, reason: &str) -> Answer {
        (409, format!("{{\"clock_ms\":{},\"reason\":\"{reason}\"}}", self.clock()))
    }

    /// Takes the fencing token of a call; false if it is too low.
    fn take_fence(state: &mut State, body: &Json) -> bool {
        let fence = body.get("fence_token").number().unwrap_or(0);
        if fence < state.fence {
            return false;
        }
        state.fence = fence;
        true
    }

    fn take_deadline(&self, state: &mut State, body: &Json) {
        if let Some(until) = body.get("deadline_ms").number() {
            let until = until.min(self.clock() + MAX_HOLD_MS);
            state.lease_until = state.lease_until.max(until);
        }
    }

    fn start_run(&self, body: &Json) -> Answer {
        let mut state = self.state.lock().expect("no panics");
        if !Self::take_fence(&mut state, body) {
            return self.refuse("fence");
        }
        self.take_deadline(&mut state, body);
        let task = body.get("task").text().unwrap_or_default().to_owned();
        let number = body.get("run").number().unwrap_or(0);
        if state.runs.get(&task).is_some_and(|run| run.number == number) {
            return (200, format!("{{\"clock_ms\":{}}}", self.clock()));
        }
        let is_old = state.over.get(&task).is_some_and(|highest| number <= *highest)
            || state.runs.get(&task).is_some_and(|run| number < run.number);
        if is_old {
            return self.refuse("old");
        }
        if body.get("deadline_ms").number().unwrap_or(0) <= self.clock() {
            return self.refuse("late");
        }
        let spec = body.get("spec").text().unwrap_or_default().to_owned();
        let told = Spec::parse(&spec);
        let step = task.split('.').nth(2).and_then(|step| step.parse::<u64>().ok());
        let members = told.gangs.iter().find(|(of, _)| Some(*of) == step).map(|(_, members)| *members);
        if members.is_some() {
            let mut gangs = self.gangs.lock().expect("no panics");
            let gang = &mut gangs.entry(gang_key(&task, number)).or_default().0;
            gang.present.insert(task.clone());
        }
        let run = Run {
            number,
            begun: Instant::now(),
            work: told.work,
            fails: hash(&(&task, number)) % 100 < told.fail_percent,
            members,
            stop_at: None,
        };
        state.runs.insert(task.clone(), run);
        let executor = self.setup.id.clone();
        self.record.line(&format!("executor {executor} (born {}): run {number} of {task} starts ({spec})", self.born));
        self.see(Seen::Start { at: Instant::now(), executor, life: self.born, task, run: number, spec });
        (200, format!("{{\"clock_ms\":{}}}", self.clock()))
    }

    fn stop_run(&self, body: &Json) -> Answer {
        let mut state = self.state.lock().expect("no panics");
        if !Self::take_fence(&mut state, body) {
            return self.refuse("fence");
        }
        let task = body.get("task").text().unwrap_or_default().to_owned();
        let number = body.get("run").number().unwrap_or(0);
        let highest = state.over.entry(task.clone()).or_default();
        *highest = number.max(*highest);
        if let Some(run) = state.runs.get_mut(&task).filter(|run| run.number <= number) {
            run.stop_at.get_or_insert(Instant::now() + STOP_TIME);
        }
        self.record.line(&format!("executor {}: told to stop run {number} of {task}", self.setup.id));
        (200, format!("{{\"clock_ms\":{}}}", self.clock()))
    }

    fn hold(&self, body: &Json) -> Option<Answer> {
        let wait = Duration::from_millis(body.get("wait_ms").number().unwrap_or(0).min(2_000));
        let asked = Instant::now();
        let mut is_taken = false;
        loop {
            if !self.is_alive.load(Ordering::SeqCst) {
                return None;
            }
            let mut state = self.state.lock().expect("no panics");
            if !is_taken {
                is_taken = true;
                if !Self::take_fence(&mut state, body) {
                    return Some(self.refuse("fence"));
                }
                self.take_deadline(&mut state, body);
                let cursor = body.get("ack_cursor").number().unwrap_or(0);
                let noted = state.ends.iter().filter(|end| end.number <= cursor);
                for end in noted {
                    self.see(Seen::Noted {
                        at: Instant::now(),
                        task: end.task.clone(),
                        run: end.run,
                        how: end.how,
                        has_lapsed: state.lapses > end.lapses,
                    });
                }
                state.ends.retain(|end| end.number > cursor);
            }
            if state.ends.is_empty() && asked.elapsed() < wait {
                drop(state);
                thread::sleep(Duration::from_millis(10));
                continue;
            }
            let running = state.runs.iter().map(|(task, run)| {
                let begun = run.begun.elapsed();
                let percent = match run.work {
                    Some(_) if run.members.is_some() => 50 + begun.as_millis() / 100 % 50,
                    Some(work) => (begun.as_millis() * 100 / work.as_millis().max(1)).min(100),
                    None if begun >= STARTUP => 100,
                    None => 0,
                };
                format!("[\"{task}\",{},\"\",{percent},1000]", run.number)
            });
            let running = running.collect::<Vec<_>>().join(",");
            let ends = state.ends.iter().take(MOST_ENDS).map(|end| {
                format!("[{},\"{}\",{},\"{}\",\"\"]", end.number, end.task, end.run, end.how)
            });
            let ends = ends.collect::<Vec<_>>().join(",");
            return Some((
                200,
                format!(
                    "{{\"clock_ms\":{},\"born\":{},\"running\":[{running}],\"finished\":[{ends}]}}",
                    self.clock(),
                    self.born
                ),
            ));
        }
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

pub fn hash<T: Hash>(value: &T) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

fn rand_index(count: usize) -> usize {
    hash(&SystemTime::now()) as usize % count
}

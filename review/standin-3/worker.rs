//! A stand-in executor, as PROTOCOL.md describes it: orders by request, leases on its own clock,
//! fencing tokens, ends that are listed until they are acknowledged, heartbeats.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    cell::broke_down,
    http::{self, Message, Reply, Server},
    json::{Json, quote},
    world::{Run, World, unix_ms},
};

const HEARTBEAT_MS: u64 = 1_500;
const MAX_HOLD_MS: u64 = 10_000;
/// Time that a stop takes; the pages allow 900 ms.
const STOP_MS: u64 = 150;
/// Time until a lasting task is at work.
const STARTUP_MS: u64 = 300;

/// Returns how late an order is to be carried out; `None` for at once.
pub type Trouble = Arc<dyn Fn(usize, &str, &Json) -> Option<Duration> + Send + Sync>;

struct Work {
    run: u32,
    from: Instant,
    /// Time that the task works; `None` for one that lasts.
    work: Option<Duration>,
    stop_at: Option<Instant>,
}

/// One life of an executor; it knows nothing of earlier ones.
struct Life {
    id: String,
    born: u64,
    from: Instant,
    fence: u64,
    deadline: u64,
    running: BTreeMap<String, Work>,
    finished: Vec<(u64, String, u32, &'static str)>,
    last_end: u64,
    /// Highest run of a task that was stopped or ended here.
    over: HashMap<String, u32>,
    seq: u64,
}

impl Life {
    fn clock(&self) -> u64 {
        1_000 + self.from.elapsed().as_millis() as u64
    }
}

pub struct Worker {
    pub index: usize,
    pub addr: SocketAddr,
    pub zone: String,
    pub rack: String,
    pub service: String,
    pub cpu: u64,
    pub mem_mb: u64,
    pub control: Vec<String>,
    world: Arc<World>,
    life: Mutex<Option<Life>>,
    changed: Condvar,
    server: Mutex<Option<Server>>,
    trouble: Mutex<Option<Trouble>>,
    over: AtomicBool,
    /// Whether nothing passes between the executor and the hosts.
    cut: AtomicBool,
    lives: Mutex<u32>,
}

impl Worker {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        world: Arc<World>,
        index: usize,
        addr: SocketAddr,
        zone: &str,
        rack: &str,
        service: &str,
        (cpu, mem_mb): (u64, u64),
        control: Vec<String>,
    ) -> Arc<Worker> {
        let worker = Arc::new(Worker {
            index,
            addr,
            zone: zone.to_owned(),
            rack: rack.to_owned(),
            service: service.to_owned(),
            cpu,
            mem_mb,
            control,
            world,
            life: Mutex::default(),
            changed: Condvar::new(),
            server: Mutex::default(),
            trouble: Mutex::default(),
            over: AtomicBool::new(false),
            cut: AtomicBool::new(false),
            lives: Mutex::default(),
        });
        let ticking = Arc::clone(&worker);
        thread::spawn(move || {
            while !ticking.over.load(Ordering::Acquire) {
                ticking.tick();
                thread::sleep(Duration::from_millis(5));
            }
        });
        let beating = Arc::clone(&worker);
        thread::spawn(move || beating.beat());
        worker
    }

    pub fn set_trouble(&self, trouble: Option<Trouble>) {
        *self.trouble.lock().unwrap() = trouble;
    }

    pub fn set_cut(&self, cut: bool) {
        self.world.note(&format!("w{} is {}", self.index, if cut { "cut off" } else { "connected again" }));
        self.cut.store(cut, Ordering::Release);
    }

    pub fn is_up(&self) -> bool {
        self.life.lock().unwrap().is_some()
    }

    pub fn id(&self) -> Option<String> {
        self.life.lock().unwrap().as_ref().map(|l| l.id.clone())
    }

    /// Starts a life, under the id that the executor had or a new one.
    pub fn start(self: &Arc<Self>, same_id: bool) {
        let mut lives = self.lives.lock().unwrap();
        if !same_id || *lives == 0 {
            *lives += 1;
        }
        let id = format!("i-{:04x}{:04x}", self.index + 1, *lives);
        drop(lives);
        let life = Life {
            id: id.clone(),
            born: unix_ms(),
            from: Instant::now(),
            fence: 0,
            deadline: 0,
            running: BTreeMap::new(),
            finished: Vec::new(),
            last_end: 0,
            over: HashMap::new(),
            seq: 0,
        };
        self.world.note(&format!("worker w{} starts as {id}, born {}, at {}", self.index, life.born, self.addr));
        *self.life.lock().unwrap() = Some(life);
        let answering = Arc::clone(self);
        let handler: http::Handler = Arc::new(move |req| answering.answer(req));
        match Server::start(self.addr, handler) {
            Ok(server) => *self.server.lock().unwrap() = Some(server),
            Err(e) => broke_down(&format!("worker at {}: {e}", self.addr)),
        }
    }

    /// Ends the life at once; everything that runs ends with it.
    pub fn crash(&self, how: &'static str) {
        let life = self.life.lock().unwrap().take();
        if let Some(life) = life {
            self.world.note(&format!("worker w{} ends ({how})", self.index));
            for (task, work) in &life.running {
                self.world.run_ended(task, work.run, self.index, life.born, how);
            }
        }
        self.changed.notify_all();
        if let Some(mut server) = self.server.lock().unwrap().take() {
            server.stop();
        }
    }

    pub fn finish(&self) {
        self.over.store(true, Ordering::Release);
        self.crash("script over");
    }

    fn beat(&self) {
        let mut preferred: Option<String> = None;
        let mut at = self.index;
        while !self.over.load(Ordering::Acquire) {
            let beat = {
                let mut life = self.life.lock().unwrap();
                life.as_mut().map(|l| {
                    l.seq += 1;
                    let body = format!(
                        "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":{},\"mem_mb\":{},\"gpu\":0}},\"labels\":[\"a\",{}],\"clock_ms\":{},\"born\":{},\"seq\":{}}}",
                        quote(&self.service),
                        self.addr,
                        quote(&self.zone),
                        self.cpu,
                        self.mem_mb,
                        quote(&self.rack),
                        l.clock(),
                        l.born,
                        l.seq
                    );
                    (l.id.clone(), body)
                })
            };
            let Some((id, body)) = beat.filter(|_| !self.cut.load(Ordering::Acquire)) else {
                thread::sleep(Duration::from_millis(20));
                continue;
            };
            let mut is_acknowledged = false;
            for _ in 0..self.control.len() {
                let addr = preferred.clone().unwrap_or_else(|| self.control[at % self.control.len()].clone());
                let path = format!("/v1/instances/{id}");
                let answer = http::call(&addr, "PUT", &path, &[], &body, Duration::from_secs(1));
                if let Some(answer) = answer.filter(|a| (200..300).contains(&a.status())) {
                    let next = Json::parse(&answer.body);
                    let next = next.as_ref().map_or("", |n| n.text("heartbeat_addr"));
                    preferred = (!next.is_empty()).then(|| next.to_owned());
                    is_acknowledged = true;
                    break;
                }
                preferred = None;
                at += 1;
                thread::sleep(Duration::from_millis(50));
            }
            let wait = if is_acknowledged { HEARTBEAT_MS } else { 200 };
            let until = Instant::now() + Duration::from_millis(wait);
            while Instant::now() < until && !self.over.load(Ordering::Acquire) {
                thread::sleep(Duration::from_millis(20));
                let current = self.life.lock().unwrap().as_ref().map(|l| l.id.clone());
                if current.as_ref() != Some(&id) {
                    break;
                }
            }
        }
    }

    /// Ends what is done, stopped or no longer covered by a lease.
    fn tick(&self) {
        let mut guard = self.life.lock().unwrap();
        let Some(life) = guard.as_mut() else { return };
        let clock = life.clock();
        let has_lapsed = clock > life.deadline;
        let mut ended = Vec::new();
        for (task, work) in &life.running {
            if has_lapsed {
                ended.push((task.clone(), work.run, "lapsed"));
            } else if work.stop_at.is_some_and(|at| at <= Instant::now()) {
                ended.push((task.clone(), work.run, "stopped"));
            } else if work.work.is_some_and(|w| work.from.elapsed() >= w) {
                ended.push((task.clone(), work.run, "done"));
            }
        }
        if ended.is_empty() {
            return;
        }
        for (task, run, how) in ended {
            life.running.remove(&task);
            life.last_end += 1;
            life.finished.push((life.last_end, task.clone(), run, how));
            let over = life.over.entry(task.clone()).or_default();
            *over = run.max(*over);
            self.world.run_ended(&task, run, self.index, life.born, how);
        }
        drop(guard);
        self.changed.notify_all();
    }

    fn answer(self: &Arc<Self>, req: &Message) -> Reply {
        if self.cut.load(Ordering::Acquire) {
            return Reply::Silence;
        }
        let path = req.path().to_owned();
        if path == "/health" {
            return Reply::Answer(200, "{}".to_owned());
        }
        let Some(body) = Json::parse(&req.body) else {
            return Reply::Answer(400, "{}".to_owned());
        };
        let expected = req.header("Expect-Instance").map(str::to_owned);
        let trouble = self.trouble.lock().unwrap().clone();
        if let Some(late) = trouble.and_then(|t| t(self.index, &path, &body)) {
            self.world.note(&format!(
                "w{} leaves {path} {} run {} unanswered and carries it out {} ms later",
                self.index,
                body.text("task"),
                body.u64("run"),
                late.as_millis()
            ));
            let worker = Arc::clone(self);
            thread::spawn(move || {
                thread::sleep(late);
                // A proxy on the machine of the executor holds the order and hands it to the life that is up then.
                while !worker.is_up() && !worker.over.load(Ordering::Acquire) {
                    thread::sleep(Duration::from_micros(200));
                }
                worker.carry_out(&path, expected.as_deref(), &body, true);
            });
            return Reply::Silence;
        }
        let reply = self.carry_out(&path, expected.as_deref(), &body, false);
        if self.cut.load(Ordering::Acquire) {
            return Reply::Silence;
        }
        reply
    }

    fn carry_out(&self, path: &str, expected: Option<&str>, body: &Json, late: bool) -> Reply {
        let mut guard = self.life.lock().unwrap();
        let Some(life) = guard.as_mut() else {
            return Reply::Silence;
        };
        if expected.is_some_and(|id| id != life.id) {
            return Reply::Answer(421, "{}".to_owned());
        }
        let refuse = |life: &Life, reason: &str| {
            let (clock, born) = (life.clock(), life.born);
            Reply::Answer(409, format!("{{\"clock_ms\":{clock},\"born\":{born},\"reason\":\"{reason}\"}}"))
        };
        let fence = body.u64("fence_token");
        if fence < life.fence {
            if path != "/v1/hold" {
                self.world.note(&format!("w{} refuses {path} {} run {}: fence {fence} < {}{}", self.index, body.text("task"), body.u64("run"), life.fence, if late { ", late" } else { "" }));
            }
            return refuse(life, "fence");
        }
        life.fence = fence;
        let clock = life.clock();
        if let Some(until) = body.num("deadline_ms") {
            let until = (until as u64).min(clock + MAX_HOLD_MS);
            if path == "/v1/run-start" && until <= clock {
                return refuse(life, "late");
            }
            life.deadline = life.deadline.max(until);
        }
        let (task, run) = (body.text("task").to_owned(), body.u64("run") as u32);
        match path {
            "/v1/run-start" => {
                if let Some(work) = life.running.get(&task) {
                    if work.run != run {
                        return refuse(life, "old");
                    }
                } else if life.over.get(&task).is_some_and(|over| run <= *over) {
                    self.world.note(&format!("w{} refuses {task} run {run}: old{}", self.index, if late { ", late" } else { "" }));
                    return refuse(life, "old");
                } else {
                    let spec = body.text("spec");
                    let work = spec.strip_prefix("work=").and_then(|w| w.parse().ok());
                    let work = Work {
                        run,
                        from: Instant::now(),
                        work: work.map(Duration::from_millis),
                        stop_at: None,
                    };
                    life.running.insert(task.clone(), work);
                    self.world.run_began(Run {
                        task,
                        run,
                        worker: self.index,
                        born: life.born,
                        from: self.world.now(),
                        to: None,
                        how: String::new(),
                        late,
                        acked: false,
                    });
                }
            }
            "/v1/run-stop" => {
                match life.running.get_mut(&task) {
                    Some(work) if work.run <= run => {
                        let at = Instant::now() + Duration::from_millis(STOP_MS);
                        work.stop_at.get_or_insert(at);
                    }
                    _ => {}
                }
                if !life.running.contains_key(&task) {
                    let over = life.over.entry(task.clone()).or_default();
                    *over = run.max(*over);
                }
                self.world.note(&format!("w{} stops {task} run {run}{}", self.index, if late { ", late" } else { "" }));
            }
            "/v1/hold" => {
                let acknowledged = body.u64("ack_cursor");
                for (_, task, run, _) in life.finished.iter().filter(|(n, ..)| *n <= acknowledged) {
                    self.world.run_acked(task, *run, self.index, life.born);
                }
                life.finished.retain(|(n, ..)| *n > acknowledged);
                let wait = Duration::from_millis(body.u64("wait_ms").min(2_000));
                let born = life.born;
                let until = Instant::now() + wait;
                loop {
                    let Some(life) = guard.as_ref().filter(|l| l.born == born) else {
                        return Reply::Silence;
                    };
                    let left = until.saturating_duration_since(Instant::now());
                    if !life.finished.is_empty() || left.is_zero() {
                        return Reply::Answer(200, lists(life));
                    }
                    guard = self.changed.wait_timeout(guard, left.min(Duration::from_millis(20))).unwrap().0;
                }
            }
            "/v1/pace" => {}
            _ => return Reply::Answer(404, "{}".to_owned()),
        }
        Reply::Answer(200, format!("{{\"clock_ms\":{clock},\"born\":{}}}", life.born))
    }
}

fn lists(life: &Life) -> String {
    let running = life.running.iter().map(|(task, work)| {
        let worked = work.from.elapsed().as_millis() as u64;
        let percent = match work.work {
            Some(w) => (worked * 100 / (w.as_millis() as u64).max(1)).min(99),
            None if worked < STARTUP_MS => 0,
            None => 100,
        };
        format!("[{},{},\"\",{percent},100]", quote(task), work.run)
    });
    let finished = life.finished.iter().take(500).map(|(n, task, run, how)| {
        format!("[{n},{},{run},\"{how}\",\"\"]", quote(task))
    });
    format!(
        "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
        life.clock(),
        life.born,
        running.collect::<Vec<_>>().join(","),
        finished.collect::<Vec<_>>().join(",")
    )
}

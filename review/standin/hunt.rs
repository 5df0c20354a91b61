//! A random search, not a case: jobs of all kinds and drawn faults, checked from what clients and executors
//! saw. `SEED`, `SECONDS` and `FAULTS` (a list of the letters below) stand in the environment.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Breaks,
    cloud::Cloud,
    executor::{Executor, Network, Seen, Transit, hash, unix_ms},
    hosts::{SIGCONT, SIGSTOP, SIGTERM},
    http,
    json::Json,
    play::{CLOUD, CLOUD_PORT, Failed, Play, pause},
    record::Recorder,
};

struct Rng(u64);

impl Rng {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        hash(&self.0)
    }

    fn below(&mut self, end: u64) -> u64 {
        self.next() % end
    }
}

#[derive(Clone, Debug, Default)]
struct Step {
    count: u64,
    cpu: u64,
    is_gang: bool,
    lasts: bool,
    max_unavailable: Option<u64>,
    after: Vec<u64>,
}

#[derive(Clone, Debug, Default)]
struct Job {
    steps: Vec<Step>,
    /// Number of times that all steps run, the time of the first, and the time between two.
    repeat_count: u64,
    start_at_ms: u64,
    interval_ms: u64,
    is_accepted: bool,
    was_unknown: bool,
    cancel_acked: Option<Instant>,
    was_cancelled: bool,
    last_state: String,
    problems: Vec<String>,
}

type Jobs = Arc<Mutex<BTreeMap<String, Job>>>;

const MAX_ATTEMPTS: usize = 4;
const EXECUTORS: u8 = 14;
const CPU: u64 = 32_000;
const LIMIT: Duration = Duration::from_millis(3_000);
/// Time that jobs have after the faults.
const PATIENCE: Duration = Duration::from_secs(70);

pub fn play(record: Recorder, _: bool) -> Result<Breaks, Failed> {
    let var = |name: &str, default: &str| std::env::var(name).unwrap_or_else(|_| default.to_owned());
    let seed = var("SEED", "1").parse::<u64>().map_err(|e| e.to_string())?;
    let seconds = var("SECONDS", "40").parse::<u64>().map_err(|e| e.to_string())?;
    let kinds = var("FAULTS", "kftwrcxydl").into_bytes();
    let is_late = Arc::new(AtomicBool::new(false));
    let (late, late_rng) = (Arc::clone(&is_late), Mutex::new(Rng(seed ^ 77)));
    let network: Network = Arc::new(move |request| {
        let is_order = request.path != "/v1/hold";
        if is_order && late.load(Ordering::SeqCst) {
            let mut rng = late_rng.lock().expect("no panics");
            if rng.below(100) < 6 {
                return Transit::DeliverLate(Duration::from_millis(2_000 + rng.below(10_000)));
            }
        }
        Transit::Deliver
    });
    let has_waves = std::env::var_os("WAVES").is_some();
    let mut play = Play::start(record.clone(), has_waves)?;
    play.configure()?;
    play.add_executors(EXECUTORS, |number| format!("r1-{}", number / 4), &network)?;
    pause(3.0);
    let jobs = Jobs::default();
    let fronts = play.hosts.all.iter().map(|host| host.front()).collect::<Vec<_>>();
    let faults_end = Instant::now() + Duration::from_secs(seconds);
    let is_over = Arc::new(AtomicBool::new(false));
    let load = {
        let (jobs, over) = (Arc::clone(&jobs), Arc::clone(&is_over));
        thread::spawn(move || {
            let mut rng = Rng(seed);
            let mut clients = Vec::new();
            let mut number = 0;
            // Clients that hand in one short job after the other, so that the log grows fast.
            let fast = std::env::var("FAST").ok().and_then(|count| count.parse::<u64>().ok()).unwrap_or(0);
            for lane in 0..fast {
                let (jobs, fronts) = (Arc::clone(&jobs), fronts.clone());
                clients.push(thread::spawn(move || fast_client(seed, lane, &fronts, &jobs, faults_end)));
            }
            while Instant::now() < faults_end {
                number += 1;
                let (jobs, fronts, over) = (Arc::clone(&jobs), fronts.clone(), Arc::clone(&over));
                let own = Rng(rng.next());
                clients.push(thread::spawn(move || client(seed, number, own, &fronts, &jobs, faults_end, &over)));
                thread::sleep(Duration::from_millis(60 + rng.below(120)));
            }
            for client in clients {
                let _ended = client.join();
            }
        })
    };
    let wave_breaks = Arc::new(Mutex::new(Vec::new()));
    let mut waves = None;
    let _server = if has_waves {
        let cloud = Cloud::new(&play.executors, record.clone());
        let server = cloud.serve(play.hosts.other(CLOUD, CLOUD_PORT)).map_err(|e| e.to_string())?;
        let (jobs, ledger, found) = (Arc::clone(&jobs), Arc::clone(&play.ledger), Arc::clone(&wave_breaks));
        let ordered = Mutex::new(BTreeSet::new());
        cloud.set_on_begin(Box::new(move |machine, executor| {
            let jobs = jobs.lock().expect("no panics").clone();
            let ledger = ledger.lock().expect("no panics").clone();
            let mut ordered = ordered.lock().expect("no panics");
            let breaks = check_upkeep(&ledger, &jobs, machine, executor, &mut ordered);
            found.lock().expect("no panics").extend(breaks);
        }));
        let (found, controls, lines) = (Arc::clone(&wave_breaks), play.hosts.controls(), record.clone());
        let seen = Arc::clone(&cloud);
        waves = Some(thread::spawn(move || operate(Rng(seed ^ 9), &controls, &seen, &found, &lines, faults_end)));
        Some(server)
    } else {
        None
    };
    inject(&mut play, Rng(seed ^ 5), &kinds, &is_late, faults_end)?;
    let calm_at = Instant::now();
    record.line("no more faults");
    let _ended = load.join();
    if let Some(waves) = waves {
        let _ended = waves.join();
    }
    record.line("clients have ended");
    // Cancelled jobs must be gone by now.
    let jobs = jobs.lock().expect("no panics").clone();
    let mut breaks = Vec::new();
    for executor in &play.executors {
        for (task, run, _) in executor.runs("") {
            let job = task.split('.').next().unwrap_or_default();
            let is_cancelled = jobs.get(job).is_some_and(|job| job.cancel_acked.is_some());
            if is_cancelled && calm_at.elapsed() > Duration::from_secs(8) {
                breaks.push(format!("UNASKED: run {run} of {task} on {} goes on, its job is cancelled", executor.setup.id));
            }
        }
    }
    breaks.extend(check(&play.ledger.lock().expect("no panics"), &jobs));
    breaks.extend(wave_breaks.lock().expect("no panics").drain(..));
    for (id, job) in &jobs {
        breaks.extend(job.problems.iter().map(|problem| format!("{id}: {problem}")));
    }
    let count = |is: &dyn Fn(&Job) -> bool| jobs.values().filter(|job| is(job)).count();
    let starts = play.ledger.lock().expect("no panics").iter().filter(|seen| matches!(seen, Seen::Start { .. })).count();
    record.line(&format!(
        "seed {seed}: {} jobs, {} accepted, {} completed, {} failed, {} cancelled, {starts} starts",
        jobs.len(),
        count(&|job| job.is_accepted),
        count(&|job| job.last_state == "completed"),
        count(&|job| job.last_state == "failed"),
        count(&|job| job.cancel_acked.is_some()),
    ));
    Ok(breaks)
}

fn client(
    seed: u64,
    number: u64,
    mut rng: Rng,
    fronts: &[std::net::SocketAddr],
    jobs: &Jobs,
    faults_end: Instant,
    _over: &AtomicBool,
) {
    let id = format!("{:016x}", (seed << 32) | number);
    let path = format!("/plan/{id}");
    let mut job = Job::default();
    let work = [100, 300, 800, 1_500, 3_000, 6_000][rng.below(6) as usize];
    let mut spec = format!("work {work}");
    let is_gang = rng.below(4) == 0;
    let lasts = !is_gang && rng.below(15) == 0;
    if lasts {
        spec = "lasts".to_owned();
    }
    if rng.below(3) == 0 {
        spec += &format!(" fail {}", [5, 20, 60][rng.below(3) as usize]);
    }
    let steps = if lasts { 1 } else { 1 + rng.below(3) };
    for step in 0..steps {
        let after = if step > 0 && rng.below(2) == 0 { vec![step - 1] } else { Vec::new() };
        let is_gang = is_gang && rng.below(2) == 0;
        let count = 1 + rng.below(5);
        if is_gang {
            spec += &format!(" gang {step} {count}");
        }
        let max_unavailable = lasts.then(|| 1 + rng.below(2));
        job.steps.push(Step { count, cpu: 500 + rng.below(7_000), is_gang, lasts, max_unavailable, after });
    }
    let texts = job.steps.iter().map(|step| {
        format!(
            "{{\"count\":{},\"cpu\":{},\"mem_mb\":100,\"estimate_ms\":{work},\"depends_on\":{:?},\"gang\":{},\"long_running\":{}{}}}",
            step.count,
            step.cpu,
            step.after,
            step.is_gang,
            step.lasts,
            step.max_unavailable.map(|most| format!(",\"max_unavailable\":{most}")).unwrap_or_default()
        )
    });
    let texts = texts.collect::<Vec<_>>().join(",");
    let mut body = format!("{{\"spec\":\"{spec}\",\"steps\":[{texts}]}}");
    if !lasts && rng.below(6) == 0 {
        job.repeat_count = 1 + rng.below(4);
        job.interval_ms = 300 + rng.below(3_000);
        job.start_at_ms = unix_ms() + rng.below(3_000);
        body.pop();
        body += &format!(
            ",\"start_at_ms\":{},\"interval_ms\":{},\"repeat_count\":{}}}",
            job.start_at_ms, job.interval_ms, job.repeat_count
        );
    }
    jobs.lock().expect("no panics").insert(id.clone(), job.clone());
    let headers = [("Host", "desk.example"), ("Deadline-Ms", "3000")];
    let send = |method: &str, body: &str, rng: &mut Rng| {
        let front = fronts[rng.below(fronts.len() as u64) as usize];
        http::call(front, method, &path, &headers, body, LIMIT)
    };
    for _ in 0..5 {
        match send("POST", &body, &mut rng) {
            Ok((200, _)) => {
                job.is_accepted = true;
                break;
            }
            Ok((429 | 503, _)) => {}
            Ok((status @ 400..500, _)) => {
                job.problems.push(format!("refused with {status}"));
                break;
            }
            _ => job.was_unknown = true,
        }
        thread::sleep(Duration::from_millis(200));
    }
    jobs.lock().expect("no panics").insert(id.clone(), job.clone());
    let must_cancel = lasts || rng.below(6) == 0;
    let cancel_at = Instant::now() + Duration::from_millis(rng.below(if lasts { 30_000 } else { 6_000 }));
    while Instant::now() < faults_end + PATIENCE {
        thread::sleep(Duration::from_millis(400 + rng.below(400)));
        if must_cancel && job.cancel_acked.is_none() && Instant::now() > cancel_at {
            job.was_cancelled = true;
            match send("DELETE", "", &mut rng) {
                Ok((200, _)) => job.cancel_acked = Some(Instant::now()),
                Ok((410, _)) if job.is_accepted => job.problems.push("LOST: 410 to a cancel".to_owned()),
                Ok((410, _)) => break,
                _ => {}
            }
            jobs.lock().expect("no panics").insert(id.clone(), job.clone());
            continue;
        }
        match send("GET", "", &mut rng) {
            Ok((200, text)) => {
                let state = Json::parse(&text).and_then(|body| body.get("state").text().map(str::to_owned));
                job.last_state = state.unwrap_or_default();
                let is_final = ["completed", "failed", "cancelled"].contains(&job.last_state.as_str());
                if job.last_state == "cancelled" && !job.was_cancelled {
                    job.problems.push("shown as cancelled without cause".to_owned());
                }
                if is_final && (!must_cancel || job.cancel_acked.is_some()) {
                    break;
                }
            }
            Ok((410, _)) if job.is_accepted => {
                job.problems.push("LOST: 410 for an accepted job".to_owned());
                break;
            }
            Ok((410, _)) => break,
            _ => {}
        }
    }
    let is_final = ["completed", "failed", "cancelled"].contains(&job.last_state.as_str());
    if job.is_accepted && !is_final {
        job.problems.push(format!("LOST: accepted and still '{}' long after the faults: {body}", job.last_state));
    }
    jobs.lock().expect("no panics").insert(id, job);
}

/// Hands in short jobs one after the other until the end of the faults.
fn fast_client(seed: u64, lane: u64, fronts: &[std::net::SocketAddr], jobs: &Jobs, faults_end: Instant) {
    let mut rng = Rng(seed ^ (lane << 20));
    let headers = [("Host", "desk.example"), ("Deadline-Ms", "3000")];
    let mut number = 0;
    while Instant::now() < faults_end {
        number += 1;
        let id = format!("{:016x}", (seed << 40) | ((lane + 1) << 24) | number);
        let path = format!("/plan/{id}");
        let step = Step { count: 2, cpu: 300, ..Step::default() };
        let mut job = Job { steps: vec![step], ..Job::default() };
        let body = "{\"spec\":\"work 20\",\"steps\":[{\"count\":2,\"cpu\":300,\"mem_mb\":10,\"estimate_ms\":20}]}";
        jobs.lock().expect("no panics").insert(id.clone(), job.clone());
        for _ in 0..6 {
            let front = fronts[rng.below(fronts.len() as u64) as usize];
            match http::call(front, "POST", &path, &headers, body, LIMIT) {
                Ok((200, _)) => {
                    job.is_accepted = true;
                    break;
                }
                Ok((429 | 503, _)) => {}
                _ => job.was_unknown = true,
            }
            thread::sleep(Duration::from_millis(100));
        }
        let patience = Instant::now() + Duration::from_secs(30);
        while job.is_accepted {
            let front = fronts[rng.below(fronts.len() as u64) as usize];
            let answer = http::call(front, "GET", &path, &headers, "", LIMIT);
            match answer {
                Ok((200, text)) if text.contains("completed") => {
                    job.last_state = "completed".to_owned();
                    break;
                }
                Ok((200, text)) if text.contains("failed") || text.contains("cancelled") => {
                    job.problems.push(format!("shown as {text}"));
                    break;
                }
                Ok((410, _)) => {
                    job.problems.push("LOST: 410 for an accepted job".to_owned());
                    break;
                }
                _ if Instant::now() > patience => {
                    job.problems.push("LOST: accepted and not completed within 30 s".to_owned());
                    break;
                }
                _ => thread::sleep(Duration::from_millis(30)),
            }
        }
        jobs.lock().expect("no panics").insert(id, job);
    }
}

/// Draws faults until `end`; machines with a disk are lost one at a time.
fn inject(play: &mut Play, mut rng: Rng, kinds: &[u8], is_late: &AtomicBool, end: Instant) -> Result<(), Failed> {
    let mut disk_free_at = Instant::now();
    let mut back = Vec::<(Instant, usize, u8)>::new();
    let mut executor_back = Vec::<(Instant, usize, u8)>::new();
    let catch_up = Duration::from_secs(4);
    let mut next = Instant::now();
    let mut busy = BTreeSet::new();
    let mut lives = 1;
    loop {
        let now = Instant::now();
        for (_, at, kind) in extract(&mut back, now) {
            match kind {
                b'f' => play.hosts.all[at].signal(SIGCONT),
                b't' => {
                    play.hosts.all[at].wait();
                    play.hosts.start_one(at, false).map_err(|e| e.to_string())?;
                }
                _ => play.hosts.start_one(at, false).map_err(|e| e.to_string())?,
            }
            busy.remove(&at);
            if at < 4 {
                disk_free_at = Instant::now() + catch_up;
            }
            play.record.line(&format!("front-{} is back", at + 1));
        }
        for (_, at, kind) in extract(&mut executor_back, now) {
            let executor = &play.executors[at];
            match kind {
                b'x' => executor.set_cut(false),
                b'd' => {
                    executor.leave();
                    lives += 1;
                    executor.start_as(&format!("i-{}-{lives}", at + 1)).map_err(|e| e.to_string())?;
                }
                b'y' => executor.start().map_err(|e| e.to_string())?,
                _ => {
                    lives += 1;
                    executor.start_as(&format!("i-{}-{lives}", at + 1)).map_err(|e| e.to_string())?;
                }
            }
            busy.remove(&(100 + at));
        }
        if now >= end {
            if back.is_empty() && executor_back.is_empty() {
                is_late.store(false, Ordering::SeqCst);
                return Ok(());
            }
            pause(0.02);
            continue;
        }
        if now < next {
            pause(0.02);
            continue;
        }
        next = now + Duration::from_millis(200 + rng.below(1_500));
        let kind = kinds[rng.below(kinds.len() as u64) as usize];
        let millis = Duration::from_millis(300 + rng.below(4_500));
        match kind {
            b'k' | b'f' | b't' | b'w' | b'r' => {
                let mut at = rng.below(play.hosts.all.len() as u64) as usize;
                if rng.below(2) == 0 {
                    at = play.hosts.leader().unwrap_or(at);
                }
                if busy.contains(&at) || (at < 4 && (now < disk_free_at || (0..4).any(|disk| busy.contains(&disk)))) {
                    continue;
                }
                if kind == b'w' && at >= 4 {
                    continue;
                }
                play.record.line(&format!("front-{}: {} for {millis:?}", at + 1, char::from(kind)));
                match kind {
                    b'f' => play.hosts.all[at].signal(SIGSTOP),
                    b't' => play.hosts.all[at].signal(SIGTERM),
                    _ => play.hosts.all[at].kill(),
                }
                if kind == b'w' {
                    play.hosts.all[at].wipe();
                }
                busy.insert(at);
                let until = if kind == b't' { Duration::from_millis(4_500) } else { millis };
                back.push((now + until, at, kind));
            }
            b'c' | b'x' | b'y' | b'd' => {
                let at = rng.below(play.executors.len() as u64) as usize;
                if busy.contains(&(100 + at)) || busy.iter().filter(|at| **at >= 100).count() >= 3 {
                    continue;
                }
                let executor = &play.executors[at];
                if !executor.is_up() {
                    continue;
                }
                match kind {
                    b'x' => executor.set_cut(true),
                    b'd' => {
                        if !executor.drain() {
                            play.record.line("no host acknowledged that an executor drains");
                        }
                    }
                    _ => executor.crash(),
                }
                busy.insert(100 + at);
                executor_back.push((now + millis, at, kind));
            }
            b'l' => is_late.store(!is_late.load(Ordering::SeqCst), Ordering::SeqCst),
            _ => {}
        }
    }
}

fn extract<T: Clone>(list: &mut Vec<(Instant, usize, T)>, now: Instant) -> Vec<(Instant, usize, T)> {
    let due = list.iter().filter(|(at, ..)| *at <= now).cloned().collect();
    list.retain(|(at, ..)| *at > now);
    due
}

fn check(ledger: &[Seen], jobs: &BTreeMap<String, Job>) -> Breaks {
    let mut breaks = Vec::new();
    // Ends that are taken note of at any time.
    let mut noted = HashMap::new();
    for seen in ledger {
        if let Seen::Noted { task, run, how, has_lapsed, .. } = seen {
            noted.insert((task.clone(), *run, *how), *has_lapsed);
        }
    }
    let mut running = BTreeMap::<(String, u64, String), (String, u64)>::new();
    let mut done = HashMap::<String, u64>::new();
    let mut ended_done = BTreeSet::<String>::new();
    let mut failures = HashMap::<String, BTreeSet<u64>>::new();
    let mut last_fence = 0;
    let _ = &mut last_fence;
    let step_of = |task: &str| {
        let mut words = task.split('.');
        let job = words.next().and_then(|job| jobs.get(job))?;
        let step = words.nth(1)?.parse::<usize>().ok()?;
        Some((job.clone(), step))
    };
    for seen in ledger {
        match seen {
            Seen::Start { at, executor, life, task, run, .. } => {
                let Some((job, step)) = step_of(task) else {
                    breaks.push(format!("UNASKED: {task} was never sent"));
                    continue;
                };
                if job.repeat_count > 0 {
                    let occurrence = task.split('.').nth(1).and_then(|k| k.parse::<u64>().ok()).unwrap_or(0);
                    let due = job.start_at_ms + occurrence * job.interval_ms;
                    if at_ms(*at) + 250 < due || occurrence >= job.repeat_count {
                        breaks.push(format!("ORDER: {task} starts {} ms before its time", due - at_ms(*at)));
                    }
                }
                if !job.is_accepted && !job.was_unknown {
                    breaks.push(format!("REFUSED: {task} starts"));
                }
                for ((other, other_life, other_task), (_, other_run)) in
                    running.iter().map(|((e, l, t), (j, r))| ((e, l, t), (j, r)))
                {
                    if other_task == task && !(other == executor && other_life == life) {
                        breaks.push(format!("TWICE: run {run} of {task} starts on {executor}, run {other_run} goes on at {other}"));
                    }
                }
                if let Some(before) = done.get(task) {
                    breaks.push(format!("TWICE: run {run} of {task} starts on {executor} after run {before} was done"));
                }
                let failed = failures.get(task).map_or(0, BTreeSet::len);
                if failed >= MAX_ATTEMPTS && !job.steps[step].lasts && !job.steps[step].is_gang {
                    breaks.push(format!("BUDGET: run {run} of {task} starts after {failed} failures"));
                }
                for after in &job.steps[step].after {
                    let prefix = task.split('.').take(2).collect::<Vec<_>>().join(".");
                    let missing = (0..job.steps[*after as usize].count)
                        .map(|index| format!("{prefix}.{after}.{index}"))
                        .find(|earlier| !ended_done.contains(earlier));
                    let is_gang = job.steps[*after as usize].is_gang;
                    if let Some(missing) = missing.filter(|_| !is_gang) {
                        breaks.push(format!("ORDER: {task} starts before {missing} is done"));
                    }
                }
                running.insert((executor.clone(), *life, task.clone()), (task.clone(), *run));
                let used = running.keys().filter(|(e, l, _)| e == executor && l == life);
                let used = used.filter_map(|(_, _, task)| step_of(task)).map(|(job, step)| job.steps[step].cpu);
                let used = used.sum::<u64>();
                if used > CPU {
                    breaks.push(format!("LIMIT: {task} brings {executor} to {used}"));
                }
            }
            Seen::End { executor, life, task, run, how, .. } => {
                running.remove(&(executor.clone(), *life, task.clone()));
                if *how == "done" {
                    ended_done.insert(task.clone());
                    let lasts = step_of(task).is_some_and(|(job, step)| job.steps[step].lasts);
                    if noted.get(&(task.clone(), *run, "done")) == Some(&false) && !lasts {
                        done.insert(task.clone(), *run);
                    }
                }
                if *how == "failed" && noted.contains_key(&(task.clone(), *run, "failed")) {
                    failures.entry(task.clone()).or_default().insert(*run);
                }
            }
            Seen::Crash { executor, life, .. } => {
                running.retain(|(e, l, _), _| e != executor || l != life);
            }
            Seen::Noted { .. } => {}
        }
    }
    for (id, job) in jobs {
        if job.last_state == "completed" {
            let all = (0..job.repeat_count.max(1)).flat_map(|k| job.steps.iter().enumerate().map(move |(at, step)| (k, at, step)));
            for (k, at, step) in all {
                let is_done = |index: u64| ended_done.contains(&format!("{id}.{k}.{at}.{index}"));
                let missing = (0..step.count).filter(|index| !is_done(*index)).count() as u64;
                if missing > 0 && !(step.is_gang && missing < step.count) {
                    breaks.push(format!("MIXED: {id} is completed, step {k}.{at} lacks {missing}"));
                }
            }
        }
        if job.last_state == "failed" {
            let has_cause = job.steps.iter().enumerate().any(|(at, step)| {
                (0..job.repeat_count.max(1)).any(|k| {
                    let prefix = format!("{id}.{k}.{at}.");
                    let most = failures.iter().filter(|(task, _)| task.starts_with(&prefix));
                    if step.is_gang {
                        most.flat_map(|(_, runs)| runs.iter().copied()).collect::<BTreeSet<_>>().len() >= MAX_ATTEMPTS
                    } else {
                        most.map(|(_, runs)| runs.len()).max().unwrap_or(0) >= MAX_ATTEMPTS
                    }
                })
            });
            if !has_cause {
                breaks.push(format!("LOST: {id} is shown as failed without cause"));
            }
        }
    }
    breaks
}

/// Unix time of an instant in the past.
fn at_ms(at: Instant) -> u64 {
    unix_ms().saturating_sub(at.elapsed().as_millis() as u64)
}

const NOTICE: Duration = Duration::from_millis(4_500);

/// Checks AVAIL as an upkeep is about to end the runs of an executor.
fn check_upkeep(
    ledger: &[Seen],
    jobs: &BTreeMap<String, Job>,
    machine: &str,
    executor: &Executor,
    ordered: &mut BTreeSet<(String, u64)>,
) -> Breaks {
    // The last run of each task that lasts: where it is, since when it works, and since when it is away.
    struct Task {
        executor: String,
        life: u64,
        run: u64,
        works_from: Instant,
        ended_at: Option<Instant>,
    }
    let mut tasks = BTreeMap::<String, Task>::new();
    for seen in ledger {
        match seen {
            Seen::Start { at, executor, life, task, run, .. } => {
                let works_from = *at + Duration::from_millis(300);
                let (executor, life, run) = (executor.clone(), *life, *run);
                tasks.insert(task.clone(), Task { executor, life, run, works_from, ended_at: None });
            }
            Seen::End { at, task, run, .. } => {
                if let Some(known) = tasks.get_mut(task).filter(|known| known.run == *run) {
                    known.ended_at.get_or_insert(*at);
                }
            }
            Seen::Crash { at, executor, life } => {
                for known in tasks.values_mut().filter(|known| known.executor == *executor && known.life == *life) {
                    known.ended_at.get_or_insert(*at);
                }
            }
            Seen::Noted { .. } => {}
        }
    }
    let now = Instant::now();
    let id = executor.id().unwrap_or_default();
    let mut breaks = Vec::new();
    for (job_id, job) in jobs.iter().filter(|(_, job)| !job.was_cancelled && job.is_accepted) {
        for (at, step) in job.steps.iter().enumerate() {
            let Some(most) = step.max_unavailable else { continue };
            let name = |index: u64| format!("{job_id}.0.{at}.{index}");
            let is_at_work = |task: &Task| task.ended_at.is_none() && task.works_from <= now;
            let here = (0..step.count).filter(|index| {
                tasks.get(&name(*index)).is_some_and(|task| task.executor == id && is_at_work(task))
            });
            let here = here.collect::<Vec<_>>();
            let mut away = 0;
            for index in (0..step.count).filter(|index| !here.contains(index)) {
                let Some(task) = tasks.get(&name(index)) else { continue };
                if is_at_work(task) {
                    continue;
                }
                let by_order = ordered.contains(&(name(index), task.run));
                // A run that starts up counts from the end of the one before, which is not kept here.
                let for_long = task.ended_at.is_some_and(|at| now.duration_since(at) >= NOTICE);
                if by_order || for_long {
                    away += 1;
                }
            }
            for (before, index) in here.iter().enumerate() {
                let run = tasks[&name(*index)].run;
                ordered.insert((name(*index), run));
                if away + before as u64 >= most {
                    breaks.push(format!(
                        "AVAIL: upkeep of {machine} ends {} with {} others away, {most} may be",
                        name(*index),
                        away + before as u64
                    ));
                }
            }
        }
    }
    breaks
}

/// Orders one wave after the other and checks the number of machines that are down.
fn operate(
    mut rng: Rng,
    controls: &[std::net::SocketAddr],
    cloud: &Cloud,
    found: &Mutex<Vec<String>>,
    record: &Recorder,
    end: Instant,
) {
    let limit = Duration::from_millis(1_000);
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let all = cloud.machines.lock().expect("no panics").keys().cloned().collect::<Vec<_>>();
        let machines = all.into_iter().filter(|_| rng.below(2) == 0).collect::<Vec<_>>();
        if machines.is_empty() {
            continue;
        }
        let cap = 1 + rng.below(3);
        let deadline = 6 + rng.below(12);
        let names = machines.iter().map(|name| format!("\"{name}\"")).collect::<Vec<_>>().join(",");
        let body = format!("{{\"wave\":{number},\"machines\":[{names}],\"deadline_s\":{deadline},\"cap\":{cap}}}");
        record.line(&format!("operator: wave {body}"));
        let call = |rng: &mut Rng, method: &str, path: &str, body: &str| {
            let control = controls[rng.below(controls.len() as u64) as usize];
            http::call(control, method, path, &[], body, limit)
        };
        while !call(&mut rng, "POST", "/v1/wave-start", &body).is_ok_and(|(status, _)| status == 200) {
            if Instant::now() > end + PATIENCE {
                found.lock().expect("no panics").push(format!("wave {number} is not acknowledged"));
                return;
            }
            thread::sleep(Duration::from_millis(200));
        }
        let begun = Instant::now();
        loop {
            thread::sleep(Duration::from_millis(300));
            let answer = call(&mut rng, "GET", &format!("/v1/wave-get/{number}"), "");
            if answer.is_ok_and(|(status, text)| status == 200 && text.contains("completed")) {
                let all = cloud.begun.lock().expect("no panics");
                for machine in &machines {
                    if !all.iter().any(|begun| begun.wave == number && begun.machine == *machine) {
                        found.lock().expect("no panics").push(format!("MIXED: wave {number} is completed without {machine}"));
                    }
                }
                break;
            }
            if Instant::now() > end && begun.elapsed() > Duration::from_secs(60) {
                found.lock().expect("no panics").push(format!("wave {number} does not end"));
                break;
            }
        }
        let all = cloud.begun.lock().expect("no panics");
        for begun in all.iter().filter(|begun| begun.wave == number && begun.others_down.len() as u64 >= cap) {
            found.lock().expect("no panics").push(format!("LIMIT: wave {number}, cap {cap}: {begun:?}"));
        }
    }
}

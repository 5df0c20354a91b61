//! Control overhead of real processes on loopback: messages, bytes, CPU time and memory by role.

use std::{
    env, fs,
    path::{Path, PathBuf},
    sync::Arc,
    time::{Duration, Instant},
};

use serde_json::json;
use tarragon_cell::JobSpec;
use tarragon_front::HostView;
use tarragon_names::{Resources, Workload};
use tokio::{runtime::Builder, time::sleep};
use toml::{Table, Value};

use super::{
    options::Options,
    report::{Report, row},
};
use crate::trial::{Deployment, Example, Session, own_folder};

/// Cases: number of entry hosts, workers and running tasks.
const CASES: [(usize, i64, u32); 6] = [
    (3, 50, 0),
    (5, 50, 0),
    (9, 50, 0),
    (9, 200, 0),
    (9, 500, 0),
    (9, 500, 11_500),
];

/// Time between the two samples of the counters, unless `--limit-s` is shorter.
const SAMPLE_DURATION: Duration = Duration::from_secs(10);

/// Time for connections and elections to settle.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Tasks are submitted in jobs of at most this size.
const MAX_TASKS_PER_JOB: u32 = 500;

/// Maximum wait for all tasks to start.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Clock ticks per second in `/proc/PID/stat`; fixed by the kernel's interface on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Measures the control overhead of each case.
pub(crate) fn run(options: &Options) -> Report {
    let sample = options.case_limit.min(SAMPLE_DURATION);
    let setting = json!({"sample_s": sample.as_secs(), "network": "loopback", "executors": 3});
    let mut report = Report::new(options, &setting);
    let Ok(runtime) = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
    else {
        return report;
    };
    for (hosts, workers, tasks) in CASES {
        let case = Case {
            hosts,
            workers,
            tasks,
            sample,
        };
        if let Err(cause) = runtime.block_on(case.measure(&mut report)) {
            eprintln!("{hosts} hosts, {workers} workers, {tasks} tasks: {cause}");
        }
    }
    report
}

struct Case {
    hosts: usize,
    workers: i64,
    tasks: u32,
    sample: Duration,
}

#[derive(Clone, Debug, Default)]
struct Counters {
    bytes: f64,
    messages: f64,
    cpu_seconds: f64,
    resident_bytes: f64,
}

impl Case {
    async fn measure(&self, report: &mut Report) -> Result<(), String> {
        let folder = env::temp_dir().join(format!("tarragon-bench-{}", std::process::id()));
        let outcome = self.measure_in(&folder, report).await;
        let _removed = fs::remove_dir_all(&folder);
        outcome
    }

    async fn measure_in(&self, folder: &Path, report: &mut Report) -> Result<(), String> {
        let example = self.example()?;
        let deployment = Deployment::prepare(&example, folder, 1).map_err(|e| e.to_string())?;
        let mut session = Session::start(deployment, &own_folder()?).await?;
        session
            .configure(&example)
            .await
            .map_err(|f| f.to_string())?;
        session.start_standins().await?;
        let start_rate = self.start_tasks(&session).await?;
        sleep(SETTLE_TIME).await;

        let host_views = session
            .client(0)
            .host_views()
            .await
            .map_err(|f| f.to_string())?;
        let standin_pid = session.process("workers").map_or(0, |process| process.id());
        let standin_cpu_before = process_cpu_seconds(standin_pid);
        let before = self.counters(&mut session).await;
        let start = Instant::now();
        sleep(self.sample).await;
        let after = self.counters(&mut session).await;
        let seconds = start.elapsed().as_secs_f64();
        let standin_cpu_seconds = process_cpu_seconds(standin_pid) - standin_cpu_before;
        report.push(row! {
            "hosts" => self.hosts,
            "workers" => self.workers,
            "tasks" => self.tasks,
            "role" => "stand-in worker",
            "core_percent" => (standin_cpu_seconds / seconds / self.workers as f64 * 1e6).round() / 1e4,
            "resident_kb" => (process_resident_bytes(standin_pid) / self.workers as f64 / 1e3).round(),
        });
        for role in ["leader", "voter", "learner", "entry"] {
            self.report_role(
                report,
                role,
                &host_views,
                [&before, &after],
                seconds,
                start_rate,
            );
        }
        session.stop().await;
        Ok(())
    }

    /// The example deployment, reduced to the hosts and workers of this case.
    fn example(&self) -> Result<Example, String> {
        let mut example = Example::load(&PathBuf::from("examples/kovacik"))?;
        let host_order = [
            "zilina-1", "banska-1", "martin-1", "zilina-2", "banska-2", "martin-2", "zilina-3",
            "banska-3", "martin-3",
        ];
        let host_names = &host_order[..self.hosts];
        let is_included = |table: &Table| {
            table
                .get("name")
                .and_then(Value::as_str)
                .is_some_and(|name| host_names.contains(&name))
        };
        let voters = host_names
            .iter()
            .take(5)
            .map(|name| Value::from(*name))
            .collect::<Vec<_>>();
        example.hosts.retain(is_included);
        for host in &mut example.hosts {
            host.insert("initial_voters".to_owned(), voters.clone().into());
            retain_tables(host, "hosts", is_included);
        }
        retain_tables(&mut example.standin, "hosts", is_included);
        set_counts(&mut example.standin, "workers", self.workers);
        set_counts(&mut example.standin, "executors", 3);
        Ok(example)
    }

    /// Starts the tasks of the case and returns the number of starts per second.
    async fn start_tasks(&self, session: &Session) -> Result<f64, String> {
        if self.tasks == 0 {
            return Ok(0.0);
        }
        let client = Arc::new(session.client(0));
        let start = Instant::now();
        let mut remaining = self.tasks;
        while remaining > 0 {
            let tasks = remaining.min(MAX_TASKS_PER_JOB);
            remaining -= tasks;
            let spec = JobSpec {
                name: "web/bench".into(),
                kind: Workload::Service,
                tasks,
                resources: Resources::new(500, 1_000, 0),
                run_ms: 0,
                deadline_ms: None,
                payload: "".into(),
            };
            client
                .submit(&spec, None)
                .await
                .map_err(|f| f.to_string())?;
        }
        loop {
            let workers = client.workers().await.map_err(|f| f.to_string())?;
            let started = workers.iter().map(|worker| worker.tasks).sum::<u32>();
            if started >= self.tasks {
                return Ok(f64::from(self.tasks) / start.elapsed().as_secs_f64());
            }
            if start.elapsed() > START_TIMEOUT {
                return Err(format!("{started} of {} tasks started", self.tasks));
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    async fn counters(&self, session: &mut Session) -> Vec<(String, Counters)> {
        let mut all = Vec::new();
        for host in session.hosts().to_vec() {
            let page = session
                .client(0)
                .with_host(host.http)
                .metrics()
                .await
                .unwrap_or_default();
            let Some(process) = session.process(&host.name) else {
                continue;
            };
            let pid = process.id();
            let counters = Counters {
                bytes: sum_metric(&page, "tarragon_control_bytes_total")
                    + sum_metric(&page, "tarragon_control_inbound_bytes_total"),
                messages: sum_metric(&page, "tarragon_control_messages_total"),
                cpu_seconds: process_cpu_seconds(pid),
                resident_bytes: process_resident_bytes(pid),
            };
            all.push((host.name, counters));
        }
        all
    }

    /// Reports the means over the hosts of one role.
    fn report_role(
        &self,
        report: &mut Report,
        role: &str,
        host_views: &[HostView],
        [before, after]: [&[(String, Counters)]; 2],
        seconds: f64,
        start_rate: f64,
    ) {
        let is_role = |name: &str| {
            host_views
                .iter()
                .any(|view| view.name.as_str() == name && view.role == role)
        };
        let mut total = Counters::default();
        let mut count = 0.0;
        for ((name, earlier), (_, later)) in before.iter().zip(after) {
            if is_role(name) {
                count += 1.0;
                total.bytes += later.bytes - earlier.bytes;
                total.messages += later.messages - earlier.messages;
                total.cpu_seconds += later.cpu_seconds - earlier.cpu_seconds;
                total.resident_bytes += later.resident_bytes;
            }
        }
        if count > 0.0 {
            report.push(row! {
                "hosts" => self.hosts,
                "workers" => self.workers,
                "tasks" => self.tasks,
                "role" => role,
                "bytes_s" => (total.bytes / seconds / count).round(),
                "opened_msgs_s" => (total.messages / seconds / count).round(),
                "core_percent" => (total.cpu_seconds / seconds / count * 1e4).round() / 1e2,
                "resident_mb" => (total.resident_bytes / count / 1e5).round() / 10.0,
                "starts_s" => start_rate.round(),
            });
        }
    }
}

fn retain_tables<F>(table: &mut Table, key: &str, keep: F)
where
    F: Fn(&Table) -> bool,
{
    if let Some(Value::Array(items)) = table.get_mut(key) {
        items.retain(|item| item.as_table().is_some_and(&keep));
    }
}

/// Spreads `total` evenly over the groups of stand-ins under `key`.
fn set_counts(standin: &mut Table, key: &str, total: i64) {
    let Some(Value::Array(groups)) = standin.get_mut(key) else {
        return;
    };
    let count = groups.len() as i64;
    for (n, group) in groups.iter_mut().enumerate() {
        let share = total / count + i64::from((n as i64) < total % count);
        if let Some(group) = group.as_table_mut() {
            group.insert("count".to_owned(), share.into());
        }
    }
}

/// Sums the samples of a metric over all label sets of a metrics page.
fn sum_metric(page: &str, name: &str) -> f64 {
    let values = page.lines().filter_map(|line| {
        let rest = line.strip_prefix(name)?;
        let value = rest
            .strip_prefix(' ')
            .or_else(|| rest.split_once("} ").map(|(_, v)| v))?;
        value.trim().parse::<f64>().ok()
    });
    values.sum()
}

fn process_cpu_seconds(id: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let after_name = stat.rsplit_once(") ").map_or("", |(_, rest)| rest);
    // User and system time are fields 14 and 15; the first field after the name is field 3.
    let ticks = after_name
        .split(' ')
        .skip(11)
        .take(2)
        .filter_map(|n| n.parse::<f64>().ok());
    ticks.sum::<f64>() / TICKS_PER_SECOND
}

fn process_resident_bytes(id: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) * 1_024.0
}

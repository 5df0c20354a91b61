//! `tarragon-standin`: one process of stand-in workers and executors.
//!
//! Exit codes: 0 done, 1 a file could not be written, 2 wrong usage or settings.

use std::{
    fs::File,
    io::{self, BufWriter, Write},
    net::SocketAddr,
    path::Path,
    process::ExitCode,
    sync::Arc,
    time::Duration,
};

use getopts::Options;
use serde_json::json;
use tarragon_settings::{ExecutorGroup, StandinHost, StandinSettings};
use tarragon_standin::{ExecutorConfig, StandinExecutor, StandinWorker, TaskLog, WorkerConfig};
use tarragon_telemetry::{EventSink, JsonEventSink, Level};
use tokio::{
    runtime::Builder,
    signal::unix::{SignalKind, signal},
    sync::watch,
    task::JoinSet,
    time::sleep,
};

use crate::command_line::CommandLine;

/// Longest time that executors take to let their requests end.
const LEAVE_MAX: Duration = Duration::from_secs(3);

/// Runs one command line until a signal or the end of its time.
pub fn run(args: &[String]) -> ExitCode {
    let mut options = Options::new();
    options
        .optopt("", "config", "settings file", "FILE")
        .optflag("", "check-config", "check the settings file only");
    let line = CommandLine::new("tarragon-standin", "--config FILE", options);
    let matches = match line.parse(args) {
        Ok(matches) => matches,
        Err(code) => return code,
    };
    let Some(path) = matches.opt_str("config") else {
        return line.refuse("give --config FILE");
    };
    let settings = match StandinSettings::load(&path) {
        Ok(settings) => settings,
        Err(faults) => {
            let faults: Vec<_> = faults.iter().map(ToString::to_string).collect();
            return line.refuse(&format!("{path}:\n{}", faults.join("\n")));
        }
    };
    if matches.opt_present("check-config") {
        return ExitCode::SUCCESS;
    }
    match start(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("tarragon-standin: {e}");
            ExitCode::FAILURE
        }
    }
}

fn start(settings: &StandinSettings) -> io::Result<()> {
    let events = events(settings)?;
    let log = settings.task_log.as_deref();
    let log = log.map(TaskLog::to_file).transpose()?.unwrap_or_default();
    let runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let (stop, stopped) = watch::channel(false);
        let mut running = JoinSet::new();
        for cfg in WorkerConfig::from_settings(settings) {
            let worker = StandinWorker::new(cfg, log.clone(), Arc::clone(&events));
            running.spawn(worker.run(stopped.clone()));
        }
        let executors = executors(settings).await?;
        wait_for_end(Duration::from_millis(settings.stop_after.0)).await?;
        stop.send_replace(true);
        futures::future::join_all(executors.iter().map(StandinExecutor::leave)).await;
        write_requests(settings, &executors)?;
        while let Some(ended) = running.join_next().await {
            ended.map_err(io::Error::other)??;
        }
        Ok(())
    })
}

/// Starts all executors, each with the hosts of its own failure domain first.
async fn executors(settings: &StandinSettings) -> io::Result<Vec<StandinExecutor>> {
    let mut executors = Vec::new();
    for group in &settings.executors {
        for n in 0..group.count {
            let name = format!("{}-{n:03}", group.prefix);
            let hosts = homes(&settings.hosts, group, n);
            let cfg = ExecutorConfig {
                domain: group.domain.clone(),
                listen: settings.listen,
                slots: group.slots,
                connections: group.connections,
                service_time: Duration::from_millis(group.service_time.0),
                seed: settings.seed + u64::from(n),
                leave_timeout: LEAVE_MAX,
                ..ExecutorConfig::new(name, group.pool.clone(), hosts)
            };
            executors.push(StandinExecutor::start(cfg).await?);
        }
    }
    Ok(executors)
}

fn homes(hosts: &[StandinHost], group: &ExecutorGroup, n: u32) -> Vec<SocketAddr> {
    let (mut near, far): (Vec<_>, Vec<_>) =
        hosts.iter().partition(|host| host.domain == group.domain);
    let shift = n as usize % near.len().max(1);
    near.rotate_left(shift);
    near.into_iter().chain(far).map(|host| host.http).collect()
}

/// Writes what each executor ran, one line a request and one an executor.
fn write_requests(settings: &StandinSettings, executors: &[StandinExecutor]) -> io::Result<()> {
    let Some(path) = &settings.request_log else {
        return Ok(());
    };
    let mut file = BufWriter::new(File::create(path)?);
    for executor in executors {
        let address = executor.address();
        for record in executor.records() {
            let line = json!({"event": "request", "executor": address, "record": record});
            writeln!(file, "{line}")?;
        }
        let line = json!({
            "event": "executor", "executor": address, "ran": executor.started_requests(),
            "peak": executor.peak(), "violations": executor.violations(),
        });
        writeln!(file, "{line}")?;
    }
    file.flush()
}

fn events(settings: &StandinSettings) -> io::Result<Arc<dyn EventSink>> {
    let level = settings.log.level.to_string();
    let level = level.parse().unwrap_or(Level::Info);
    let (host, domain) = ("standin".into(), "standin".into());
    Ok(Arc::new(match &settings.log.file {
        Some(path) => JsonEventSink::to_file(&host, &domain, Path::new(path), level)?,
        None => JsonEventSink::to_stderr(&host, &domain, level),
    }))
}

async fn wait_for_end(limit: Duration) -> io::Result<()> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
        () = sleep(limit) => {}
    }
    Ok(())
}

//! `tarragon-entryd`: daemon of an entry host on the users' platform.
//!
//! Its addresses and bounds come from the platform's settings file, the rest from a file of its
//! own. Exit codes: 0 stopped as planned, 1 failed, 2 wrong usage or settings, 3 the disk failed.

mod listeners;
mod reload;

pub(crate) use listeners::BODY_BYTES;

use std::{path::Path, process::ExitCode, sync::Arc, time::Instant};

use getopts::Options;
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_entry::{EntryConfig, EntryHost, EntryMetrics, EntryParts, ExternalServices};
use tarragon_platform::{
    AdviceClient, HttpClient, MachineClient, PlatformSettings, WorkerClient, settings_path,
};
use tarragon_replica::SystemClock;
use tarragon_settings::EntrySettings;
use tarragon_storage::LocalDisk;
use tarragon_telemetry::{Event, EventSink, JsonEventSink, LineBudget, Metrics};
use tokio::{
    runtime::Builder,
    signal::unix::{SignalKind, signal},
    time::sleep,
};
use tokio_util::sync::CancellationToken;

use crate::{
    command_line::CommandLine,
    daemon::slog_level,
    entryd::{
        listeners::Listeners,
        reload::{Reload, hangups},
    },
};

/// Runs one command line until the daemon has stopped.
pub fn run(args: &[String]) -> ExitCode {
    let mut options = Options::new();
    options
        .optopt("", "config", "settings file of the daemon's own", "FILE")
        .optflag("", "check-config", "check both settings files and exit");
    let line = CommandLine::new("tarragon-entryd", "--config FILE [--check-config]", options);
    let matches = match line.parse(args) {
        Ok(matches) => matches,
        Err(code) => return code,
    };
    let Some(path) = matches.opt_str("config") else {
        return line.refuse("give --config FILE");
    };
    let own = match EntrySettings::load(Path::new(&path)) {
        Ok(own) => own,
        Err(faults) => {
            let faults = faults.iter().map(ToString::to_string).collect::<Vec<_>>();
            return line.refuse(&format!("{path}:\n{}", faults.join("\n")));
        }
    };
    let platform = match PlatformSettings::load(&settings_path()) {
        Ok(platform) => platform,
        Err(failure) => return line.refuse(&failure.to_string()),
    };
    if matches.opt_present("check-config") {
        return ExitCode::SUCCESS;
    }
    match start(Path::new(&path), own, platform) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("tarragon-entryd: {failure}\n{}", failure.code.advice());
            ExitCode::FAILURE
        }
    }
}

fn start(path: &Path, own: EntrySettings, platform: PlatformSettings) -> Outcome<()> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(own.worker_threads as usize)
        .enable_all()
        .build()
        .map_err(|e| Failure::new(Code::Internal, e.to_string()))?;
    let events = Arc::new(JsonEventSink::new(
        &platform.name,
        &platform.entry.domain,
        Box::new(std::io::stdout()),
        slog_level(own.log_level),
    ));
    let begun = Instant::now();
    let now = move || begun.elapsed().as_millis() as u64;
    let lines = own.log_lines_per_s;
    let budget = Arc::new(LineBudget::new(Arc::clone(&events) as _, lines, now));
    let logs = Logs { events, budget };
    let events = Arc::clone(&logs.events);
    let outcome = runtime.block_on(serve(path, own, platform, logs));
    if let Err(failure) = &outcome {
        let event = Event::error("failed").code(failure.code.number());
        events.emit(&event.detail(failure.cause.clone()));
    }
    events.flush();
    outcome
}

/// Where events go, and what counts those that were dropped.
#[derive(Clone)]
pub(crate) struct Logs {
    pub(crate) events: Arc<JsonEventSink>,
    pub(crate) budget: Arc<LineBudget>,
}

impl Logs {
    /// Events dropped because the writer did not keep up, or beyond the lines of a second.
    pub(crate) fn dropped(&self) -> u64 {
        self.events.dropped() + self.budget.suppressed_lines()
    }
}

async fn serve(
    path: &Path,
    own: EntrySettings,
    platform: PlatformSettings,
    logs: Logs,
) -> Outcome<()> {
    let events = Arc::clone(&logs.budget) as Arc<dyn EventSink>;
    // Before anything else, since the signal would end the process.
    let hangup = hangups().map_err(|e| Failure::new(Code::Internal, e.to_string()))?;
    let reloaded = logs.clone();
    let http = HttpClient::new(Arc::clone(&events));
    let metrics = EntryMetrics::new()?;
    let replica_metrics = Arc::new(Metrics::new());
    let parts = EntryParts {
        clock: Arc::new(SystemClock::start()),
        events: Arc::clone(&events),
        metrics: metrics.clone(),
        replica_metrics: Arc::clone(&replica_metrics),
        external: ExternalServices {
            workers: Arc::new(WorkerClient::new(http.clone())),
            advice: Arc::new(AdviceClient::new(http.clone(), platform.advice)),
            machines: Arc::new(MachineClient::new(http, platform.machines)),
        },
        disk: Arc::new(LocalDisk),
    };
    let entry = EntryConfig {
        avoids_interference: own.avoids_interference,
        ..platform.entry.clone()
    };
    let host = EntryHost::start(entry, parts).await?;
    let listeners =
        Listeners::start(&own, &platform, &host, logs, metrics, replica_metrics).await?;
    let detail = format!(
        "control {}, disk: {}, first start: {}, pid {}",
        platform.control,
        platform.entry.data_dir.is_some(),
        platform.entry.is_first_start,
        std::process::id()
    );
    events.emit(&Event::info("started").detail(detail));
    let stop = CancellationToken::new();
    let reload = Reload {
        host: Arc::clone(&host),
        logs: reloaded,
        own: path.to_owned(),
    };
    tokio::spawn(stop.clone().run_until_cancelled_owned(reload.run(hangup)));
    wait_for_stop().await?;
    stop.cancel();
    host.begin_stop();
    // The balancer needs this long to see that the host is not ready.
    sleep(platform.entry.timing.listener_drain_time()).await;
    listeners.finish().await;
    host.stop();
    Ok(())
}

/// Waits for the signal that announces the planned stop.
async fn wait_for_stop() -> Outcome<()> {
    let failed = |e: std::io::Error| Failure::new(Code::Internal, e.to_string());
    let mut term = signal(SignalKind::terminate()).map_err(failed)?;
    let mut int = signal(SignalKind::interrupt()).map_err(failed)?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}

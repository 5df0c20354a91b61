//! `tarragond`: daemon of an entry host.
//!
//! Exit codes: 0 stopped as planned, 1 failed, 2 wrong usage or settings, 3 the disk failed.

use std::{path::Path, process::ExitCode, sync::Arc};

use getopts::{Matches, Options};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_front::LogLevelSetter;
use tarragon_host::{DaemonParts, find_leader, init_replica, run as run_host};
use tarragon_settings::{HostSettings, LogLevel};
use tarragon_telemetry::{Event, EventSink, JsonEventSink, Level};
use tokio::{
    runtime::{Builder, Runtime},
    signal::unix::{SignalKind, signal},
};
use tokio_util::sync::CancellationToken;

use crate::command_line::CommandLine;

/// Exit code after a second signal: requests in flight may have been cut off.
const EXIT_CUT_OFF: i32 = 4;

/// Runs one command line until the daemon has stopped.
pub fn run(args: &[String]) -> ExitCode {
    let line = CommandLine::new(
        "tarragond",
        "--config FILE [--init | --check-config]",
        options(),
    );
    let matches = match line.parse(args) {
        Ok(matches) => matches,
        Err(code) => return code,
    };
    let Some(path) = matches.opt_str("config") else {
        return line.refuse("give --config FILE");
    };
    let cfg = match HostSettings::load(Path::new(&path)) {
        Ok(cfg) => cfg,
        Err(faults) => {
            let faults = faults.iter().map(ToString::to_string).collect::<Vec<_>>();
            return line.refuse(&format!(
                "{}: {path}:\n{}",
                Code::BadSettings.number(),
                faults.join("\n")
            ));
        }
    };
    if matches.opt_present("check-config") {
        return ExitCode::SUCCESS;
    }
    match start(cfg, &matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("tarragond: {failure}\n{}", failure.code.advice());
            ExitCode::FAILURE
        }
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options
        .optopt("", "config", "settings file", "FILE")
        .optflag(
            "",
            "init",
            "create the data folder of an initial voter and exit",
        )
        .optflag("", "check-config", "check the settings file and exit");
    options
}

fn start(cfg: HostSettings, matches: &Matches) -> Outcome<()> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(cfg.limits.worker_threads as usize)
        .enable_all()
        .build()
        .map_err(|e| Failure::new(Code::Internal, e.to_string()))?;
    if matches.opt_present("init") {
        return init(&cfg, &runtime);
    }
    let events = Arc::new(open_events(&cfg)?);
    let stop = CancellationToken::new();
    let parts = DaemonParts {
        events: Arc::clone(&events) as Arc<dyn EventSink>,
        log_level: level_setter(Arc::clone(&events)),
        stop: stop.clone(),
    };
    let outcome = runtime.block_on(async {
        let signals = tokio::spawn(stop_on_signal(stop, Arc::clone(&events)));
        let outcome = run_host(cfg, parts).await;
        signals.abort();
        outcome
    });
    if let Err(failure) = &outcome {
        let event = Event::error("failed").code(failure.code.number());
        events.emit(&event.detail(failure.cause.clone()));
    }
    events.flush();
    outcome
}

/// Creates the data folder, unless the group exists already: a host that lost its disk must not
/// vote under its old identity.
fn init(cfg: &HostSettings, runtime: &Runtime) -> Outcome<()> {
    if let Some(leader) = runtime.block_on(find_leader(cfg)) {
        return Err(Failure::new(
            Code::ForeignData,
            format!("the cell is led by {leader}; start without --init to join as a new member"),
        ));
    }
    let id = init_replica(cfg)?;
    println!("{} is member {id}", cfg.name);
    Ok(())
}

fn open_events(cfg: &HostSettings) -> Outcome<JsonEventSink> {
    let level = slog_level(cfg.log.level);
    let Some(file) = &cfg.log.file else {
        return Ok(JsonEventSink::to_stderr(&cfg.name, &cfg.domain, level));
    };
    JsonEventSink::to_file(&cfg.name, &cfg.domain, file, level)
        .map_err(|e| Failure::new(Code::DiskFull, format!("{}: {e}", file.display())))
}

fn level_setter(events: Arc<JsonEventSink>) -> LogLevelSetter {
    Arc::new(move |name| {
        let Ok(level) = name.parse::<LogLevel>() else {
            return false;
        };
        events.set_level(slog_level(level));
        true
    })
}

pub(crate) fn slog_level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}

/// Begins the planned stop at the first signal and ends the process at the second.
///
/// Everything that was answered is on disk already, so the sudden end loses no accepted work.
async fn stop_on_signal(stop: CancellationToken, events: Arc<JsonEventSink>) {
    let (Ok(mut term), Ok(mut int)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return;
    };
    for _ in 0..2 {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        if stop.is_cancelled() {
            events.emit(&Event::warning("ended_by_second_signal"));
            events.flush();
            std::process::exit(EXIT_CUT_OFF);
        }
        stop.cancel();
    }
}

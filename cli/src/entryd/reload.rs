use std::{
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use tarragon_entry::EntryHost;
use tarragon_platform::{PlatformSettings, settings_path};
use tarragon_settings::EntrySettings;
use tarragon_telemetry::{Event, EventSink};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time::interval,
};

use crate::{daemon::slog_level, entryd::Logs};

/// Time between two looks at the settings files, which may change without a signal.
const LOOK: Duration = Duration::from_secs(1);

/// Takes in changes of both settings files while the process runs: the seeds from that of the
/// platform, and the log level and the lines of a second from that of the daemon.
pub(crate) struct Reload {
    pub(crate) host: Arc<EntryHost>,
    pub(crate) logs: Logs,
    /// The daemon's own settings file.
    pub(crate) own: PathBuf,
}

impl Reload {
    /// Looks at the files until the stop; `hangup` asks for a look at once.
    pub(crate) async fn run(self, mut hangup: Signal) {
        let platform = settings_path();
        let mut known = (read(&platform), read(&self.own));
        let mut due = interval(LOOK);
        loop {
            let is_signalled = tokio::select! {
                _ = hangup.recv() => true,
                _ = due.tick() => false,
            };
            let found = (read(&platform), read(&self.own));
            if found.0 != known.0 || is_signalled {
                self.take_platform(found.0.as_deref());
            }
            if found.1 != known.1 || is_signalled {
                self.take_own();
            }
            known = found;
        }
    }

    fn take_platform(&self, text: Option<&str>) {
        let Some(text) = text else {
            self.failed(Event::warning("reload_failed"), "the file cannot be read");
            return;
        };
        match PlatformSettings::parse(text) {
            Ok(settings) => {
                let detail = format!("seeds {:?}", settings.entry.seeds);
                self.host.set_seeds(settings.entry.seeds);
                self.emit(&Event::info("reloaded").detail(detail));
            }
            Err(failure) => {
                let event = Event::warning("reload_failed").code(failure.code.number());
                self.failed(event, &failure.cause);
            }
        }
    }

    fn take_own(&self) {
        match EntrySettings::load(&self.own) {
            Ok(own) => {
                self.logs.events.set_level(slog_level(own.log_level));
                self.logs.budget.set_lines_per_s(own.log_lines_per_s);
                let detail = format!(
                    "log level {:?}, {} lines a second",
                    own.log_level, own.log_lines_per_s
                );
                self.emit(&Event::info("log_settings_reloaded").detail(detail));
            }
            Err(faults) => {
                let faults = faults.iter().map(ToString::to_string).collect::<Vec<_>>();
                let event = Event::warning("reload_failed");
                self.failed(event, &faults.join("; "));
            }
        }
    }

    fn failed(&self, event: Event, cause: &str) {
        self.emit(&event.detail(format!("{cause}; the old settings stay")));
    }

    fn emit(&self, event: &Event) {
        self.logs.budget.emit(event);
    }
}

/// The signal that asks for a reload.
pub(crate) fn hangups() -> std::io::Result<Signal> {
    signal(SignalKind::hangup())
}

fn read(path: &Path) -> Option<String> {
    std::fs::read_to_string(path).ok()
}

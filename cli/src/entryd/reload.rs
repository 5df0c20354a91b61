use std::{path::Path, sync::Arc, time::Duration};

use tarragon_entry::EntryHost;
use tarragon_platform::{PlatformSettings, settings_path};
use tarragon_telemetry::{Event, EventSink};
use tokio::{
    signal::unix::{SignalKind, signal},
    time::interval,
};

/// Time between two looks at the settings file, which may change without a signal.
const LOOK: Duration = Duration::from_secs(1);

/// Takes in changes of the platform's settings file.
///
/// Only the seeds can change while the process runs; the file is otherwise read at the start.
pub(crate) async fn reload_settings(host: Arc<EntryHost>, events: Arc<dyn EventSink>) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        events.emit(&Event::warning("reload_without_signal"));
        return;
    };
    let path = settings_path();
    let mut known = read(&path);
    let mut due = interval(LOOK);
    loop {
        let is_signalled = tokio::select! {
            _ = hangup.recv() => true,
            _ = due.tick() => false,
        };
        let text = read(&path);
        if text == known && !is_signalled {
            continue;
        }
        known = text;
        let Some(text) = &known else {
            events.emit(
                &Event::warning("reload_failed").detail("the file cannot be read".to_owned()),
            );
            continue;
        };
        match PlatformSettings::parse(text) {
            Ok(settings) => {
                let detail = format!("seeds {:?}", settings.entry.seeds);
                host.set_seeds(settings.entry.seeds);
                events.emit(&Event::info("reloaded").detail(detail));
            }
            Err(failure) => {
                let event = Event::warning("reload_failed").code(failure.code.number());
                events.emit(&event.detail(format!("{}; the old settings stay", failure.cause)));
            }
        }
    }
}

fn read(path: &Path) -> Option<String> {
    std::fs::read_to_string(path).ok()
}

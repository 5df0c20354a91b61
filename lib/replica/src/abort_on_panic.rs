use std::{process, thread};

/// Guard that aborts the process when the thread that holds it panics.
///
/// Without the guard, a host would keep answering calls after its replica or scheduler thread
/// ended.
#[derive(Debug)]
pub struct AbortOnPanic;

impl Drop for AbortOnPanic {
    fn drop(&mut self) {
        if thread::panicking() {
            process::abort();
        }
    }
}

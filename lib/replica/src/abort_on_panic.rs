use std::{process, thread};

/// Ends the process when the thread that holds it panics.
///
/// A host without its replica or its scheduler would go on answering as if nothing had happened.
#[derive(Debug)]
pub struct AbortOnPanic;

impl Drop for AbortOnPanic {
    fn drop(&mut self) {
        if thread::panicking() {
            process::abort();
        }
    }
}

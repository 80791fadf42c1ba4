//! Output for operators, which must not hold up a process that nobody reads.

use std::{
    fmt,
    io::{
        self,
        Write as _, //
    },
    sync::mpsc,
    thread,
    time::Duration, //
};

/// Time for which a line waits for its reader.
const LINE_TIMEOUT: Duration = Duration::from_millis(50);

/// Writes on a thread of its own, and waits for it for at most `limit`.
pub fn within(limit: Duration, write: impl FnOnce() + Send + 'static) {
    let (done, written) = mpsc::channel();
    let write = move || {
        write();
        // The caller may have stopped waiting.
        let _ = done.send(());
    };
    if thread::Builder::new().spawn(write).is_ok() {
        let _ = written.recv_timeout(limit);
    }
}

/// Writes a line to standard error beside the log, which may not have been started.
pub fn line(text: fmt::Arguments<'_>) {
    let line = format!("{text}\n");
    within(LINE_TIMEOUT, move || {
        // Nothing is left to do if it fails.
        let _ = io::stderr().write_all(line.as_bytes());
    });
}

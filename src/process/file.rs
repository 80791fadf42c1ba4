//! Files that may be written while they are read.

use std::{
    fs,
    io::{
        self,
        ErrorKind, //
    },
    path::Path,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use tokio::{
    sync::oneshot,
    time::{
        sleep,
        timeout, //
    },
};

/// Time for which a file has to stay as it is until its fault counts.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Time after which a fault counts even if the file still changes.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Time between reads.
const READ_INTERVAL: Duration = Duration::from_millis(20);

/// Reads a file on a thread of its own, as the read may take as long as it likes.
async fn read(path: &Path) -> io::Result<String> {
    let (sender, text) = oneshot::channel();
    let path = path.to_owned();
    let read = move || sender.send(fs::read_to_string(path));
    thread::Builder::new().spawn(read)?;
    let ended = |_| Err(io::Error::other("the thread that reads has ended"));
    text.await.unwrap_or_else(ended)
}

/// Reads a file and parses its text, also if it is absent or incomplete for a while.
///
/// Calls `on_wait` with the first fault, before it waits.
pub async fn read_settled<T, F>(
    path: &Path,
    parse: impl Fn(io::Result<String>) -> Result<T, F>,
    on_wait: impl FnOnce(&F),
) -> Result<T, F> {
    let start = Instant::now();
    let mut on_wait = Some(on_wait);
    let mut last = None;
    let mut changed = start;
    loop {
        let left = MAX_WAIT.saturating_sub(start.elapsed());
        let read = timeout(left, read(path)).await;
        let text = read.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()));
        let seen = text.as_ref().ok().cloned();
        let fault = match parse(text) {
            Ok(parsed) => return Ok(parsed),
            Err(fault) => fault,
        };
        if let Some(on_wait) = on_wait.take() {
            on_wait(&fault);
        }
        if seen != last {
            (last, changed) = (seen, Instant::now());
        }
        if changed.elapsed() >= SETTLE_TIME || start.elapsed() >= MAX_WAIT {
            return Err(fault);
        }
        sleep(READ_INTERVAL).await;
    }
}

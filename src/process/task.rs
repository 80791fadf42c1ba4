//! Tasks that run as long as the process, and panics.

use std::{
    backtrace::{
        Backtrace,
        BacktraceStatus, //
    },
    fmt,
    future::Future,
    panic,
    pin::Pin,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use futures_util::{
    future::pending,
    stream::FuturesUnordered,
    StreamExt as _, //
};
use tokio::{
    task::JoinError,
    time::sleep, //
};

use super::{
    output,
    tally,
    End, //
};

/// Time before a task that ended is started again, at first and at most.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_secs(10);

/// Time for which a start waits for a thread.
const THREADS_TIMEOUT: Duration = Duration::from_secs(10);

/// Name of the thread that `main` runs on.
const MAIN_THREAD: &str = "main";

/// Logs and counts panics, in place of the message of the standard library.
pub fn report_panics() {
    panic::set_hook(Box::new(|info| {
        let current = thread::current();
        tally::PANICS.add(match current.name() {
            Some(MAIN_THREAD) => MAIN_THREAD,
            _ => "other",
        });
        let name = current.name().unwrap_or_default();
        log::error!(thread = name; "process: {info}");
        let trace = Backtrace::capture();
        output::line(format_args!("process: thread {name}: {info}"));
        if trace.status() == BacktraceStatus::Captured {
            output::line(format_args!("{trace}"));
        }
    }));
}

/// Waits until a thread can be started; the machine may lack them for the moment.
pub async fn wait_for_threads() -> Result<(), End> {
    let start = Instant::now();
    loop {
        let error = match thread::Builder::new().spawn(|| {}) {
            Ok(_) => return Ok(()),
            Err(error) => error,
        };
        if start.elapsed() >= THREADS_TIMEOUT {
            return Err(anyhow::Error::from(error)
                .context("no thread can be started")
                .into());
        }
        tally::START_RETRIES.add("threads");
        sleep(FIRST_PAUSE).await;
    }
}

/// Runs a task on the current thread as long as the process runs. If it panics or ends, `start` returns
/// its next run, after a pause that grows with each run that was short.
pub fn supervise<F>(name: &'static str, start: impl FnMut() -> F + 'static)
where
    F: Future<Output = ()> + 'static,
{
    run(name, start, |_| true);
}

/// Like [`supervise`], but for a task that may end: only a panic makes it run again.
pub fn supervise_until_end<F>(name: &'static str, start: impl FnMut() -> F + 'static)
where
    F: Future<Output = ()> + 'static,
{
    run(name, start, |ended| ended.is_err());
}

fn run<F>(
    name: &'static str,
    mut start: impl FnMut() -> F + 'static,
    again: impl Fn(&Result<(), JoinError>) -> bool + 'static,
) where
    F: Future<Output = ()> + 'static,
{
    actix_web::rt::spawn(async move {
        let mut pause = FIRST_PAUSE;
        loop {
            let started = Instant::now();
            let ended = actix_web::rt::spawn(start()).await;
            if !again(&ended) {
                return;
            }
            if started.elapsed() > MAX_PAUSE {
                pause = FIRST_PAUSE;
            }
            let how = if ended.is_ok() { "ended" } else { "panicked" };
            tally::TASK_ENDS.add(name);
            log::error!(task = name; "process: a task {how}; starting it again after a pause");
            sleep(pause).await;
            pause = (pause * 2).min(MAX_PAUSE);
        }
    });
}

/// Acts if a task panics before it is dropped.
pub struct OnPanic<F: Fn()>(pub F);

impl<F: Fn()> Drop for OnPanic<F> {
    fn drop(&mut self) {
        if thread::panicking() {
            (self.0)();
        }
    }
}

/// Tasks without which the process serves nothing.
#[derive(Default)]
pub struct Essential(FuturesUnordered<Pin<Box<dyn Future<Output = &'static str>>>>);

impl Essential {
    /// Starts a task on the current thread.
    pub fn spawn<E>(
        &mut self,
        name: &'static str,
        task: impl Future<Output = Result<(), E>> + 'static,
    ) where
        E: fmt::Display + 'static,
    {
        let task = actix_web::rt::spawn(task);
        self.0.push(Box::pin(async move {
            match task.await {
                Ok(Ok(())) => log::error!(task = name; "process: a needed task ended"),
                Ok(Err(error)) => {
                    log::error!(task = name, error:%; "process: a needed task failed");
                }
                Err(_) => log::error!(task = name; "process: a needed task panicked"),
            }
            name
        }));
    }

    /// Waits until a task has ended, and returns its name; safe to cancel.
    pub async fn ended(&mut self) -> &'static str {
        match self.0.next().await {
            Some(name) => name,
            None => pending().await,
        }
    }
}

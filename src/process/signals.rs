//! Signals that a process handles, from the start of `main` on.

use std::io;

use nix::sys::signal::{
    SigSet,
    Signal as Number, //
};
use tokio::signal::unix::{
    signal,
    Signal,
    SignalKind, //
};

use super::tally;

/// Signals that end a process without a handler: those that operators send, and the one for a log beyond
/// the limit on the size of files.
const HANDLED: [Number; 7] = [
    Number::SIGHUP,
    Number::SIGINT,
    Number::SIGQUIT,
    Number::SIGTERM,
    Number::SIGUSR1,
    Number::SIGUSR2,
    Number::SIGXFSZ,
];

/// What a signal requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Request {
    /// Stop gracefully.
    Stop(&'static str),
    /// Read the settings again.
    Reload,
}

/// Defers the handled signals until [`Signals::install`], so that none ends a process that starts.
///
/// Other threads have to start later, as they inherit the mask.
pub fn defer() -> nix::Result<()> {
    handled().thread_block()
}

fn handled() -> SigSet {
    HANDLED.into_iter().collect()
}

/// Handlers of signals.
pub struct Signals {
    hangup: Signal,
    interrupt: Signal,
    quit: Signal,
    terminate: Signal,
    ignored: [Signal; 3],
    /// Whether a reload was requested that [`Self::next`] has not returned yet.
    reload: bool,
}

impl Signals {
    /// Installs the handlers, and lets deferred signals arrive.
    pub fn install() -> io::Result<Self> {
        let signals = Self {
            hangup: signal(SignalKind::hangup())?,
            interrupt: signal(SignalKind::interrupt())?,
            quit: signal(SignalKind::quit())?,
            terminate: signal(SignalKind::terminate())?,
            ignored: [
                signal(SignalKind::user_defined1())?,
                signal(SignalKind::user_defined2())?,
                signal(SignalKind::from_raw(Number::SIGXFSZ as i32))?,
            ],
            reload: false,
        };
        handled().thread_unblock()?;
        Ok(signals)
    }

    /// Waits for the next signal that requests something; safe to cancel.
    pub async fn next(&mut self) -> Request {
        match std::mem::take(&mut self.reload) {
            true => Request::Reload,
            false => self.arrival().await,
        }
    }

    /// Waits for a signal that requests something.
    async fn arrival(&mut self) -> Request {
        let [user1, user2, file_size] = &mut self.ignored;
        loop {
            let (name, request) = tokio::select! {
                _ = self.terminate.recv() => ("SIGTERM", Some(Request::Stop("SIGTERM"))),
                _ = self.interrupt.recv() => ("SIGINT", Some(Request::Stop("SIGINT"))),
                _ = self.quit.recv() => ("SIGQUIT", Some(Request::Stop("SIGQUIT"))),
                _ = self.hangup.recv() => ("SIGHUP", Some(Request::Reload)),
                _ = user1.recv() => ("SIGUSR1", None),
                _ = user2.recv() => ("SIGUSR2", None),
                _ = file_size.recv() => ("SIGXFSZ", None),
            };
            // An ignored signal is only counted: a line in the log may be what caused it.
            tally::SIGNALS.add(name);
            if let Some(request) = request {
                return request;
            }
        }
    }

    /// Waits for a signal that requests a stop, and returns its name; safe to cancel. A reload that is
    /// requested meanwhile is returned by [`Self::next`] later.
    pub async fn stop(&mut self) -> &'static str {
        loop {
            match self.arrival().await {
                Request::Stop(name) => return name,
                Request::Reload => self.reload = true,
            }
        }
    }
}

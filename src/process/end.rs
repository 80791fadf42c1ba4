//! Why a process ends, and the status that it exits with.

use std::{
    fmt,
    net::SocketAddr,
    process::ExitCode,
    time::Duration, //
};

use super::output;
use crate::logs;

/// Time for which a process that ends waits for the reader of its log.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// Why a process ends.
#[derive(Debug)]
pub enum End {
    /// A signal requested a stop. Records may be left to append.
    Stopped(&'static str),
    /// The settings can't be used.
    Settings(String),
    /// An address can't be listened on.
    Listen {
        /// What the address is for.
        purpose: &'static str,
        /// The address.
        address: SocketAddr,
        /// Error of the last attempt.
        error: std::io::Error,
    },
    /// A task without which the process serves nothing has ended.
    Task(&'static str),
    /// Another step of the start failed.
    Start(anyhow::Error),
}

impl End {
    /// Returns the exit status.
    pub fn status(&self) -> u8 {
        match self {
            Self::Stopped(_) => 0,
            Self::Start(_) => 1,
            Self::Settings(_) => 2,
            Self::Listen { .. } => 3,
            Self::Task(_) => 4,
        }
    }

    /// Returns the value of the label of the counter.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Stopped(_) => "signal",
            Self::Start(_) => "start",
            Self::Settings(_) => "settings",
            Self::Listen { .. } => "listen",
            Self::Task(_) => "task",
        }
    }

    /// Writes the last line of the process, and returns its exit status.
    ///
    /// The line goes to the log and to standard error, as the log may not have been started.
    pub fn report(&self) -> ExitCode {
        let status = self.status();
        log::info!(status; "process: exits: {self}");
        logs::flush(FLUSH_TIMEOUT);
        output::line(format_args!("process: exits with status {status}: {self}"));
        ExitCode::from(status)
    }
}

impl From<anyhow::Error> for End {
    fn from(error: anyhow::Error) -> Self {
        Self::Start(error)
    }
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Stopped(signal) => write!(f, "stopped by {signal}"),
            Self::Settings(fault) => write!(f, "settings are invalid: {fault}"),
            Self::Listen {
                purpose,
                address,
                error,
            } => write!(f, "cannot listen for {purpose} on {address}: {error}"),
            Self::Task(name) => write!(f, "task {name} ended"),
            Self::Start(error) => write!(f, "start failed: {error:#}"),
        }
    }
}

impl std::error::Error for End {}

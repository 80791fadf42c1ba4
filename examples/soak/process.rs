//! Processes of instances, and checks of how they end.

use std::{
    fs,
    io::{
        Read as _,
        Seek as _,
        SeekFrom, //
    },
    os::unix::process::ExitStatusExt as _,
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Child,
        Command,
        ExitStatus,
        Stdio, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use anyhow::Context as _;
use nix::{
    sys::signal::{
        kill,
        Signal, //
    },
    time::clock_getcpuclockid,
    unistd::Pid,
};

use crate::check::Kind;

/// Lines of the log that a finding has, and their length.
const TAIL_LINES: usize = 6;
const TAIL_CHARS: usize = 300;

/// Processor time from the start of the runtime on after which `main` runs.
const MAIN_TIME: Duration = Duration::from_micros(500);

/// Words of the log of a process in which a thread or a task panicked.
const PANIC: &str = "panicked";

/// Time in which a process that starts has to be ready while what it needs is sound.
pub const READY_TIMEOUT: Duration = Duration::from_secs(12);

/// A finding: its kind and details.
pub type Found = (Kind, String);

/// What was sent to a process to end it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Stop {
    /// SIGTERM.
    pub terminated: bool,
    /// SIGKILL.
    pub killed: bool,
}

impl Stop {
    /// Checks the status of a process that ended.
    pub fn check(self, status: ExitStatus) -> Result<(), Kind> {
        let by_kill = status.signal() == Some(Signal::SIGKILL as i32);
        match self {
            Self { killed: true, .. } if by_kill => Ok(()),
            Self {
                terminated: true, ..
            } => match status.success() {
                true => Ok(()),
                false => Err(Kind::Status),
            },
            _ => Err(Kind::Ended),
        }
    }
}

/// A start that is not ready yet.
pub struct Wait {
    /// Start, or the last time at which what the start needs was not sound.
    since: Instant,
    found: bool,
}

impl Wait {
    /// Returns the wait of a process that starts now.
    pub fn new(now: Instant) -> Self {
        Self {
            since: now,
            found: false,
        }
    }

    /// Checks the time, once beyond the limit; `sound` tells whether the start has what it needs.
    pub fn check(&mut self, now: Instant, sound: bool) -> Result<(), Kind> {
        if !sound {
            self.since = now;
        }
        if self.found || now - self.since <= READY_TIMEOUT {
            return Ok(());
        }
        self.found = true;
        Err(Kind::NotReady)
    }
}

/// A process with its log.
pub struct Process {
    child: Child,
    started: Instant,
    stop: Stop,
    log: PathBuf,
    /// Length of the log at the start.
    log_start: u64,
    /// Whether it exceeded its memory.
    exceeded: bool,
}

impl Process {
    /// Starts a process that appends both outputs to a log.
    pub fn start(command: &mut Command, log: &Path) -> anyhow::Result<Self> {
        let file = fs::OpenOptions::new().create(true).append(true).open(log)?;
        let log_start = file.metadata()?.len();
        let child = command
            .stdin(Stdio::null())
            .stdout(file.try_clone()?)
            .stderr(file)
            .spawn()
            .with_context(|| format!("{command:?} can't be started"))?;
        Ok(Self {
            child,
            started: Instant::now(),
            stop: Stop::default(),
            log: log.to_owned(),
            log_start,
            exceeded: false,
        })
    }

    /// Sends a signal.
    pub fn signal(&mut self, signal: Signal) {
        match signal {
            Signal::SIGTERM => self.stop.terminated = true,
            Signal::SIGKILL => self.stop.killed = true,
            _ => {}
        }
        // It may have ended already; the child is not reaped, so that no other process has its number.
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }

    /// Returns whether the process ended, with a finding if it must not have ended so.
    pub fn ended(&mut self) -> Option<Option<Found>> {
        match self.child.try_wait() {
            Ok(None) => None,
            Ok(Some(status)) => Some(self.check(status)),
            Err(error) => Some(Some((Kind::Ended, format!("can't be waited for: {error}")))),
        }
    }

    /// Kills the process; returns a finding if it ended before.
    pub fn kill(&mut self) -> Option<Found> {
        if let Some(ended) = self.ended() {
            return ended;
        }
        self.signal(Signal::SIGKILL);
        match self.child.wait() {
            Ok(status) => self.check(status),
            Err(error) => Some((Kind::Ended, format!("can't be waited for: {error}"))),
        }
    }

    /// Kills the process after the grace period; returns a finding also if it had not ended.
    pub fn kill_late(&mut self) -> Option<Found> {
        let ended = self.ended();
        if let Some(ended) = ended {
            return ended;
        }
        let details = self.describe("did not end within the grace period");
        self.kill();
        Some((Kind::Overdue, details))
    }

    /// Waits until the program runs code of its own, as a signal before that ends any process.
    ///
    /// The runtime installs a handler of SIGSEGV before `main`, and the program's name is that of its file
    /// once another one that starts it has gone. A busy machine may halt the process between the runtime
    /// and `main`, so that some processor time has to pass as well.
    pub fn wait_runs(&self, program: &Path, limit: Duration) -> bool {
        let name = program.file_name().unwrap_or_default().to_string_lossy();
        let name: String = name.chars().take(15).collect();
        let until = Instant::now() + limit;
        let mut first = None;
        while Instant::now() < until {
            if first.is_none() && self.handles(Signal::SIGSEGV) && self.is_named(&name) {
                first = self.used();
            }
            let first = first.zip(self.used());
            if first.is_some_and(|(first, now)| now >= first + MAIN_TIME) {
                return true;
            }
            thread::sleep(Duration::from_micros(200));
        }
        false
    }

    fn handles(&self, signal: Signal) -> bool {
        let caught = self.field("SigCgt:");
        let caught = caught.and_then(|mask| u64::from_str_radix(&mask, 16).ok());
        caught.is_some_and(|mask| mask >> (signal as i32 - 1) & 1 == 1)
    }

    fn is_named(&self, name: &str) -> bool {
        self.field("Name:").is_some_and(|field| field == name)
    }

    /// Returns the processor time that the process has used.
    fn used(&self) -> Option<Duration> {
        let clock = clock_getcpuclockid(Pid::from_raw(self.child.id() as i32));
        clock.and_then(|clock| clock.now()).ok().map(Duration::from)
    }

    /// Returns a finding if the resident memory exceeds a limit in MiB, once, and the memory in KiB.
    pub fn memory(&mut self, limit_mb: u64) -> (u64, Option<Found>) {
        let used = self.field("VmRSS:").and_then(|field| field.parse().ok());
        let used: u64 = used.unwrap_or(0);
        if used <= limit_mb << 10 || self.exceeded {
            return (used, None);
        }
        self.exceeded = true;
        let details = self.describe(&format!("has {used} KiB, of {limit_mb} MiB"));
        (used, Some((Kind::Memory, details)))
    }

    /// Describes the process, with the last lines of its log.
    pub fn describe(&self, state: &str) -> String {
        let (pid, seconds) = (self.child.id(), self.started.elapsed().as_secs_f64());
        let tail = tail(&self.log, self.log_start);
        format!("process {pid} {state}, {seconds:.3} s after its start; log: {tail}")
    }

    fn check(&self, status: ExitStatus) -> Option<Found> {
        let Stop { terminated, killed } = self.stop;
        let kind = self.stop.check(status).err()?;
        let state = format!("ended with {status}, SIGTERM sent {terminated}, SIGKILL {killed}");
        Some((kind, self.describe(&state)))
    }

    /// Returns the first word of a field of the status that the kernel has of the process.
    fn field(&self, name: &str) -> Option<String> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let field = status.lines().find_map(|line| line.strip_prefix(name))?;
        Some(field.split_whitespace().next()?.to_owned())
    }
}

/// Returns the last lines of a log from a position on.
fn tail(log: &Path, start: u64) -> String {
    let text = fs::File::open(log).and_then(|mut file| {
        let mut text = Vec::new();
        file.seek(SeekFrom::Start(start))?;
        file.read_to_end(&mut text)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    });
    let text = match text {
        Ok(text) if text.is_empty() => return "no line".to_owned(),
        Ok(text) => text,
        Err(error) => return format!("can't be read: {error}"),
    };
    let mut lines: Vec<String> = text
        .lines()
        .rev()
        .take(TAIL_LINES)
        .map(|line| line.chars().take(TAIL_CHARS).collect())
        .collect();
    lines.reverse();
    lines.join(" | ")
}

/// Returns findings for the lines of a log that tell of a panic.
pub fn panics(log: &str) -> Vec<Found> {
    let lines = log.lines().filter(|line| line.contains(PANIC));
    let lines = lines.map(|line| line.chars().take(TAIL_CHARS).collect());
    lines.map(|line| (Kind::Panic, line)).collect()
}

//! Logging setup.

use std::time::Duration;

use log::LevelFilter as MaxLevel;
use logforth::{
    append::{
        asynchronous::AsyncBuilder,
        Stderr,
        Stdout, //
    },
    bridge::log::LogBridge,
    filter::rustlog::{
        RustLogFilter,
        RustLogFilterBuilder, //
    },
    layout::{
        JsonLayout,
        TextLayout, //
    },
    record::{
        Level as Severity,
        LevelFilter, //
    },
    Append,
    Layout, //
};

use crate::{
    config::{
        Format,
        Level,
        Logs, //
    },
    process::output,
};

/// Maximum lines waiting to be written; further ones are dropped, so that logging never blocks.
const MAX_BUFFERED_LINES: usize = 1_024;

/// Starts logging to standard error; fails if logging has already been started.
pub fn start(settings: &Logs) -> Result<(), log::SetLoggerError> {
    install(
        settings,
        Stderr::default().with_layout(layout(settings.format)),
    )
}

/// Starts logging to standard output; fails if logging has already been started.
pub fn start_stdout(settings: &Logs) -> Result<(), log::SetLoggerError> {
    install(
        settings,
        Stdout::default().with_layout(layout(settings.format)),
    )
}

/// Writes the lines that wait, as far as their reader takes them within `limit`.
pub fn flush(limit: Duration) {
    output::within(limit, || log::logger().flush());
}

/// Installs a logger that writes from a thread of its own: an output that is not read must not block
/// requests, and one that is broken must not make the threads panic that log.
fn install(settings: &Logs, output: impl Append) -> Result<(), log::SetLoggerError> {
    let append = AsyncBuilder::new("logs")
        .buffered_lines_limit(Some(MAX_BUFFERED_LINES))
        .overflow_drop_incoming()
        .append(output)
        .build();
    let logger = logforth::core::builder()
        .dispatch(|dispatch| dispatch.filter(filter(settings.level)).append(append))
        .build();
    log::set_boxed_logger(Box::new(LogBridge::new(logger)))?;
    // Reduces the cost of lines below the level to one comparison.
    log::set_max_level(max_level(settings.level));
    Ok(())
}

/// Returns the layout of a format.
pub fn layout(format: Format) -> Box<dyn Layout> {
    match format {
        Format::Text => TextLayout::default().no_color().into(),
        Format::Json => JsonLayout::default().into(),
    }
}

/// Returns a filter that passes lines of this program that are at least as severe as `level`.
///
/// Lines of libraries pass from warnings on; at `error` and `trace`, `level` applies to them too.
pub fn filter(level: Level) -> RustLogFilter {
    let program = severity(level);
    let libraries = match level {
        Level::Error | Level::Trace => program,
        _ => Severity::Warn,
    };
    RustLogFilterBuilder::default()
        .filter_level(LevelFilter::MoreSevereEqual(libraries))
        .filter_module("gypsumlever", LevelFilter::MoreSevereEqual(program))
        .build()
}

fn severity(level: Level) -> Severity {
    match level {
        Level::Error => Severity::Error,
        Level::Warn => Severity::Warn,
        Level::Info => Severity::Info,
        Level::Debug => Severity::Debug,
        Level::Trace => Severity::Trace,
    }
}

fn max_level(level: Level) -> MaxLevel {
    match level {
        Level::Error => MaxLevel::Error,
        Level::Warn => MaxLevel::Warn,
        Level::Info => MaxLevel::Info,
        Level::Debug => MaxLevel::Debug,
        Level::Trace => MaxLevel::Trace,
    }
}

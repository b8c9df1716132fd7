//! Logs: short sentences with a fixed prefix a part.
//!
//! Neither a caller's key nor a prompt or an answer may be passed to these macros. Requests are
//! named by their id, callers by their declared name.

use std::{
    fmt,
    sync::Arc, //
};

use anyhow::Context;
use spdlog::{
    Level,
    LevelFilter,
    Logger,
    formatter::{
        JsonFormatter,
        PatternFormatter,
        pattern, //
    },
    sink::StdStreamSink,
    terminal_style::StyleMode, //
};
pub use stair_config::LogLevel;
use stair_config::TelemetrySettings;

/// The part of a process that logs; its text is the prefix of the line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// The agent's start, stop and registration.
    Agent,
    /// Callers and their requests.
    Callers,
    /// Versions of the configuration.
    Config,
    /// Choice of a target for a request.
    Dispatch,
    /// Orders to the model engine and its answers.
    Engine,
    /// The entry's start and stop.
    Entry,
    /// Grants and their moves.
    Grants,
    /// Links between processes.
    Links,
    /// Loading and unloading of models.
    Loads,
    /// VMs, live and leaving.
    Members,
    /// The operator's listener.
    Operator,
    /// Calls to the platform.
    Platform,
    /// Waiting requests.
    Queue,
    /// Plain services.
    Services,
    /// Stand-ins of `dandelionstair dev` and of tests.
    Standin,
}

impl Part {
    /// Returns the prefix.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Agent => "agent",
            Self::Callers => "callers",
            Self::Config => "config",
            Self::Dispatch => "dispatch",
            Self::Engine => "engine",
            Self::Entry => "entry",
            Self::Grants => "grants",
            Self::Links => "links",
            Self::Loads => "loads",
            Self::Members => "members",
            Self::Operator => "operator",
            Self::Platform => "platform",
            Self::Queue => "queue",
            Self::Services => "services",
            Self::Standin => "standin",
        }
    }
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Sends this process's logs to standard error from now on.
///
/// # Errors
///
/// When standard error cannot be set up as a sink.
pub fn init(settings: &TelemetrySettings) -> anyhow::Result<()> {
    let sink = StdStreamSink::builder()
        .stderr()
        .style_mode(StyleMode::Never);
    let sink = if settings.json {
        sink.formatter(JsonFormatter::new()).build_arc()
    } else {
        let line = pattern!("{date} {time}.{millisecond} {level} {payload}{eol}");
        sink.formatter(PatternFormatter::new(line)).build_arc()
    };
    let sink = sink.context("cannot log to standard error")?;
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level_of(settings.level)))
        .build()
        .context("cannot make the logger")?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Writes one line; the macros of this crate call it.
pub fn write(level: LogLevel, part: Part, message: fmt::Arguments<'_>) {
    spdlog::log!(level_of(level), "{part}: {message}");
}

/// Tells whether a line of this level would be written, to spare the work of making it.
pub fn enabled(level: LogLevel) -> bool {
    spdlog::default_logger().should_log(level_of(level))
}

fn level_of(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
        LogLevel::Trace => Level::Trace,
    }
}

/// Logs that something is broken and stays so.
#[macro_export]
macro_rules! error {
    ($part:expr, $($message:tt)+) => {
        $crate::log::write($crate::log::LogLevel::Error, $part, format_args!($($message)+))
    };
}

/// Logs that something failed and is being handled.
#[macro_export]
macro_rules! warn {
    ($part:expr, $($message:tt)+) => {
        $crate::log::write($crate::log::LogLevel::Warn, $part, format_args!($($message)+))
    };
}

/// Logs a change of state that an operator wants to see.
#[macro_export]
macro_rules! info {
    ($part:expr, $($message:tt)+) => {
        $crate::log::write($crate::log::LogLevel::Info, $part, format_args!($($message)+))
    };
}

/// Logs a detail of a decision.
#[macro_export]
macro_rules! debug {
    ($part:expr, $($message:tt)+) => {
        $crate::log::write($crate::log::LogLevel::Debug, $part, format_args!($($message)+))
    };
}

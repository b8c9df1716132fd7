//! Free-text logs with a fixed prefix per component.
//!
//! Never pass a caller's key, a prompt or a response to these macros. Requests are identified by
//! their id, callers by their declared name.

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

/// The component of a process that logs; its text is the prefix of the line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// Start, stop and registration of the agent.
    Agent,
    /// Callers and their requests.
    Callers,
    /// Configuration versions.
    Config,
    /// Selection of a target for a request.
    Dispatch,
    /// Orders to the engine and its replies.
    Engine,
    /// Start and stop of the entry.
    Entry,
    /// Grants and their transfers.
    Grants,
    /// Connections between processes.
    Links,
    /// Loading and unloading of models.
    Loads,
    /// Membership of VMs, live and draining.
    Members,
    /// The HTTP listener for operators.
    Operator,
    /// Calls to the platform.
    Platform,
    /// Queued requests.
    Queue,
    /// Plain services.
    Services,
    /// Stand-ins of `dandelionstair dev` and of tests.
    Standin,
}

impl Part {
    /// Returns the prefix of the lines.
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

/// Installs the default logger, which writes to standard error as text or JSON.
///
/// # Errors
///
/// Fails when the sink or the logger cannot be built.
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

/// Writes one line; called by the macros of this crate.
pub fn write(level: LogLevel, part: Part, message: fmt::Arguments<'_>) {
    spdlog::log!(level_of(level), "{part}: {message}");
}

/// Returns whether lines of this level are written, so that callers can skip formatting them.
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

/// Logs a failure that persists without intervention.
#[macro_export]
macro_rules! error {
    ($part:expr, $($message:tt)+) => {
        $crate::log::write($crate::log::LogLevel::Error, $part, format_args!($($message)+))
    };
}

/// Logs a failure that the process handles.
#[macro_export]
macro_rules! warn {
    ($part:expr, $($message:tt)+) => {
        $crate::log::write($crate::log::LogLevel::Warn, $part, format_args!($($message)+))
    };
}

/// Logs a state change that is relevant to an operator.
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

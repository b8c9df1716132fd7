//! Structured log lines: one JSON object per decision and per change of a process's view of others.
//!
//! A separate thread writes the lines to standard output. Under load a process must neither block
//! on a slow reader nor spend its processor time on logging, so the lines are rate-limited, and a
//! full queue drops them. Dropped lines are counted and reported as `log.dropped`, at most once a
//! second.

use std::{
    fmt::{
        self,
        Write, //
    },
    io::{
        BufWriter,
        stdout, //
    },
    sync::{
        Mutex,
        PoisonError,
        atomic::{
            AtomicU64,
            Ordering, //
        },
        mpsc::{
            Receiver,
            RecvTimeoutError,
            SyncSender,
            sync_channel, //
        }, //
    },
    thread,
    time::{
        Duration,
        Instant,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use anyhow::Context;
use spdlog::{
    Logger,
    formatter::{
        PatternFormatter,
        pattern, //
    },
    sink::WriteSink,
};

/// Average rate limit, which bounds the cost of bursts. Forty requests a second with four lines
/// each stay below it.
const LINES_PER_SECOND: f64 = 250.0;

/// Lines accepted in one burst after an idle period.
const BURST_LINES: f64 = 500.0;

/// Lines that may wait for the logging thread.
const QUEUE_CAPACITY: usize = 1024;

/// Interval between flushes of the buffer. Buffering saves a system call per line; the interval
/// bounds what a killed process loses.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);

static DROPPED: AtomicU64 = AtomicU64::new(0);
static WRITER: Mutex<Option<Writer>> = Mutex::new(None);

/// Token bucket in front of the queue to the logging thread.
struct Writer {
    /// The name of the process, as a JSON string.
    process: Box<str>,
    start: Instant,
    refilled_at: Instant,
    tokens: f64,
    tx: SyncSender<Message>,
    reported_at: Instant,
}

/// Starts writing lines to standard output, each with this process name.
///
/// Lines written before this call are discarded.
///
/// # Errors
///
/// Fails when the logger cannot be built or its thread cannot be started.
pub fn init(process: &str) -> anyhow::Result<()> {
    let line = pattern!("{payload}{eol}");
    let out = WriteSink::builder()
        .target(BufWriter::new(stdout()))
        .formatter(PatternFormatter::new(line))
        .build_arc()
        .context("cannot log to standard output")?;
    let logger = Logger::builder()
        .sink(out)
        .build()
        .context("cannot make the logger")?;
    let (tx, rx) = sync_channel(QUEUE_CAPACITY);
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&logger, &rx))
        .context("cannot start the thread that logs")?;
    let now = Instant::now();
    *writer() = Some(Writer {
        process: serde_json::to_string(process)?.into(),
        start: now,
        refilled_at: now,
        tokens: BURST_LINES,
        tx,
        reported_at: now,
    });
    Ok(())
}

/// A message to the logging thread.
enum Message {
    Line(String),
    /// Requests a reply once all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Flushes the queued lines.
///
/// Returns after three flush intervals (300 ms) even if the lines are not written yet.
pub fn flush() {
    let (tx, rx) = sync_channel(1);
    let queued = writer()
        .as_ref()
        .is_some_and(|w| w.tx.try_send(Message::Flush(tx)).is_ok());
    if queued {
        // A blocked reader must not keep the process from stopping.
        let _ = rx.recv_timeout(FLUSH_INTERVAL * 3);
    }
}

fn write_lines(logger: &Logger, rx: &Receiver<Message>) {
    let mut flushed = Instant::now();
    loop {
        if flushed.elapsed() >= FLUSH_INTERVAL {
            logger.flush();
            flushed = Instant::now();
        }
        match rx.recv_timeout(FLUSH_INTERVAL) {
            Ok(Message::Line(line)) => spdlog::info!(logger: logger, "{line}"),
            Ok(Message::Flush(tx)) => {
                logger.flush();
                // `flush` may have timed out.
                let _ = tx.send(());
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

fn writer() -> std::sync::MutexGuard<'static, Option<Writer>> {
    WRITER.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Priority of a line under the rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weight {
    /// Dropped when the rate limit is exceeded or the queue is full.
    Usual,
    /// A failure or a state change: exempt from the rate limit, dropped only when the queue is
    /// full.
    Failure,
}

/// Builder of a structured line.
#[must_use = "a line is written by `write`"]
pub struct Line {
    buf: String,
    weight: Weight,
}

impl Line {
    /// Begins a line with the name of the event.
    pub fn new(event: &'static str) -> Self {
        let mut buf = String::with_capacity(256);
        let _ = write!(buf, "\"event\":\"{event}\"");
        Self {
            buf,
            weight: Weight::Usual,
        }
    }

    /// Begins a line about a failure or a state change, which is exempt from the rate limit.
    pub fn failure(event: &'static str) -> Self {
        Self {
            weight: Weight::Failure,
            ..Self::new(event)
        }
    }

    /// Adds a text field.
    pub fn text(mut self, name: &'static str, value: &str) -> Self {
        let _ = write!(self.buf, ",\"{name}\":");
        match serde_json::to_string(value) {
            Ok(text) => self.buf.push_str(&text),
            Err(_) => self.buf.push_str("\"\""),
        }
        self
    }

    /// Adds the `Display` output of a value as a text field.
    pub fn show(self, name: &'static str, value: impl fmt::Display) -> Self {
        self.text(name, &value.to_string())
    }

    /// Adds an integer field.
    pub fn num(mut self, name: &'static str, value: impl Into<i128>) -> Self {
        let _ = write!(self.buf, ",\"{name}\":{}", value.into());
        self
    }

    /// Adds a duration in milliseconds, with one decimal.
    pub fn ms(mut self, name: &'static str, value: Duration) -> Self {
        let _ = write!(self.buf, ",\"{name}\":{:.1}", value.as_secs_f64() * 1000.0);
        self
    }

    /// Adds a boolean field.
    pub fn flag(mut self, name: &'static str, value: bool) -> Self {
        let _ = write!(self.buf, ",\"{name}\":{value}");
        self
    }

    /// Queues the line without blocking, or drops it when the rate limit or the queue is exceeded.
    pub fn write(self) {
        let mut guard = writer();
        let Some(writer) = guard.as_mut() else {
            return;
        };
        let now = Instant::now();
        writer.refill(now);
        if writer.tokens < 1.0 && self.weight == Weight::Usual {
            DROPPED.fetch_add(1, Ordering::Relaxed);
            return;
        }
        writer.tokens -= 1.0;
        writer.send(now, &self.buf);
        writer.report_dropped(now);
    }
}

impl Writer {
    fn refill(&mut self, now: Instant) {
        let passed = now.duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + passed * LINES_PER_SECOND).min(BURST_LINES);
    }

    fn send(&self, now: Instant, fields: &str) {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let up = now.duration_since(self.start);
        let line = format!(
            "{{\"ts\":{:.4},\"up\":{:.4},\"process\":{},{fields}}}",
            wall.as_secs_f64(),
            up.as_secs_f64(),
            self.process
        );
        if self.tx.try_send(Message::Line(line)).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn report_dropped(&mut self, now: Instant) {
        if now.duration_since(self.reported_at) < Duration::from_secs(1) {
            return;
        }
        self.reported_at = now;
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let fields = format!("\"event\":\"log.dropped\",\"lines\":{dropped}");
            self.send(now, &fields);
        }
    }
}

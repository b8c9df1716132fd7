//! Structured lines: one JSON object for each decision and each change of what a process believes.
//!
//! Lines go to standard output from a thread of their own. Under load a process must neither wait
//! for whoever reads them nor spend its processor on them, so their number a second is bounded and
//! a full queue drops lines; both are counted, and the count is a line of its own once a second.

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

/// Lines a second on average: forty requests a second with four lines each stay below it. A bound
/// on the cost under bursts; the processor time of a line was not measured.
const LINES_PER_SECOND: f64 = 250.0;

/// Lines that may come at once after a quiet time.
const BURST_LINES: f64 = 500.0;

/// Lines waiting for the thread that writes them.
const QUEUE_CAPACITY: usize = 1024;

/// Longest time that a line stays in the buffer. Written one by one, lines cost a system call each;
/// what a killed process loses is bounded by this.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);

static DROPPED: AtomicU64 = AtomicU64::new(0);
static WRITER: Mutex<Option<Writer>> = Mutex::new(None);

struct Writer {
    /// The name, as JSON.
    process: Box<str>,
    start: Instant,
    refilled_at: Instant,
    tokens: f64,
    tx: SyncSender<Message>,
    reported_at: Instant,
}

/// Sends this process's lines to standard output from now on, each with the process's name. Before,
/// they are dropped.
///
/// # Errors
///
/// When standard output cannot be set up as a sink.
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

/// What the thread that logs is given.
enum Message {
    Line(String),
    /// Asks to be told when all before it is written.
    Flush(SyncSender<()>),
}

/// Writes out what is queued, and returns when it is written or cannot be for a while.
pub fn flush() {
    let (tx, rx) = sync_channel(1);
    let queued = writer()
        .as_ref()
        .is_some_and(|w| w.tx.try_send(Message::Flush(tx)).is_ok());
    if queued {
        // A reader that stands still must not keep the process from ending.
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
                // Who asked may have gone on.
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

/// How much a line matters when there are too many.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weight {
    /// Dropped first.
    Usual,
    /// Failures and changes of belief: kept until the queue itself is full.
    Failure,
}

/// A line being made.
#[must_use = "a line is written by `write`"]
pub struct Line {
    buf: String,
    weight: Weight,
}

impl Line {
    /// Begins a line about what happened.
    pub fn new(event: &'static str) -> Self {
        let mut buf = String::with_capacity(256);
        let _ = write!(buf, "\"event\":\"{event}\"");
        Self {
            buf,
            weight: Weight::Usual,
        }
    }

    /// Begins a line about a failure or a change of belief.
    pub fn failure(event: &'static str) -> Self {
        Self {
            weight: Weight::Failure,
            ..Self::new(event)
        }
    }

    /// Adds a text.
    pub fn text(mut self, name: &'static str, value: &str) -> Self {
        let _ = write!(self.buf, ",\"{name}\":");
        match serde_json::to_string(value) {
            Ok(text) => self.buf.push_str(&text),
            Err(_) => self.buf.push_str("\"\""),
        }
        self
    }

    /// Adds whatever displays itself, as a text.
    pub fn show(self, name: &'static str, value: impl fmt::Display) -> Self {
        self.text(name, &value.to_string())
    }

    /// Adds a whole number.
    pub fn num(mut self, name: &'static str, value: impl Into<i128>) -> Self {
        let _ = write!(self.buf, ",\"{name}\":{}", value.into());
        self
    }

    /// Adds a time in milliseconds.
    pub fn ms(mut self, name: &'static str, value: Duration) -> Self {
        let _ = write!(self.buf, ",\"{name}\":{:.1}", value.as_secs_f64() * 1000.0);
        self
    }

    /// Adds a yes or no.
    pub fn flag(mut self, name: &'static str, value: bool) -> Self {
        let _ = write!(self.buf, ",\"{name}\":{value}");
        self
    }

    /// Writes the line, or drops it when there are too many.
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

//! One process of the shipped binary.

use std::{
    fs::{
        self,
        File, //
    },
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
    process::{
        ExitStatus,
        Stdio, //
    },
};

use nix::{
    sys::signal::{
        Signal,
        kill, //
    },
    unistd::Pid,
};
use serde_json::Value;
use tokio::{
    io::{
        AsyncBufReadExt,
        BufReader, //
    },
    process::{
        Child,
        ChildStdout,
        Command, //
    },
    time::timeout,
};

use super::LIMIT;

/// How often, and for how long altogether, the end of a killed process is looked for.
const ENDING_CHECKS: u32 = 5_000;
const ENDING_CHECK: std::time::Duration = std::time::Duration::from_millis(1);

/// A running process; dropping it kills it.
pub(crate) struct Process {
    child: Child,
    out: BufReader<ChildStdout>,
    log: PathBuf,
}

impl Process {
    /// Starts `dandelionstair VERB --settings FILE`.
    pub(crate) fn start(verb: &str, settings: &Path) -> Self {
        let log = settings.with_extension("log");
        let stderr = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .expect("the log can be written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_dandelionstair"))
            .arg(verb)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(stderr)
            .kill_on_drop(true)
            .spawn()
            .expect("the shipped binary starts");
        let out = child.stdout.take().expect("standard output is piped");
        Self {
            child,
            out: BufReader::new(out),
            log,
        }
    }

    /// Waits for the line that names the addresses.
    pub(crate) async fn ready(&mut self) -> Ready {
        let mut line = String::new();
        let reading = timeout(LIMIT, self.out.read_line(&mut line)).await;
        let value: Value = match reading {
            Ok(Ok(n)) if n > 0 => serde_json::from_str(&line).expect("the line is JSON"),
            _ => panic!("the process did not become ready:\n{}", self.log()),
        };
        Ready(value["ready"].clone())
    }

    /// Kills it at once, as a VM that is reclaimed.
    pub(crate) async fn kill(&mut self) {
        self.signal(Signal::SIGKILL);
        self.ended().await;
    }

    /// Freezes it, as a VM that is paused.
    pub(crate) fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets a frozen process go on.
    pub(crate) fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks it to stop gracefully.
    pub(crate) fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Waits until it has ended.
    pub(crate) async fn ended(&mut self) -> ExitStatus {
        timeout(LIMIT, self.child.wait())
            .await
            .unwrap_or_else(|_| panic!("the process did not end"))
            .expect("the process can be waited for")
    }

    /// Tells whether it has ended already.
    pub(crate) fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Returns its id.
    pub(crate) fn id(&self) -> u32 {
        self.child.id().expect("it has not ended")
    }

    /// Returns what it has logged.
    pub(crate) fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn signal(&self, signal: Signal) {
        let Some(id) = self.child.id() else {
            return;
        };
        let pid = Pid::from_raw(id.try_into().expect("process ids are small"));
        kill(pid, signal).expect("the process is ours");
    }
}

impl Drop for Process {
    /// Waits until the process is gone: an agent that is still being ended holds the lock of its
    /// target's address, and another test may be given that port in the same moment.
    fn drop(&mut self) {
        let _ = self.child.start_kill();
        for _ in 0..ENDING_CHECKS {
            if self.has_ended() {
                break;
            }
            std::thread::sleep(ENDING_CHECK);
        }
        if std::thread::panicking() {
            eprintln!("--- {}\n{}", self.log.display(), self.log());
        }
    }
}

/// The addresses that a process said it has bound.
pub(crate) struct Ready(Value);

impl Ready {
    /// Returns an address by its field.
    pub(crate) fn addr(&self, field: &str) -> SocketAddr {
        let text = self.0[field].as_str().expect("the field is there");
        text.parse().expect("it is an address")
    }
}

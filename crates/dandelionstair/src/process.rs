//! What the long-running programs share: runtime, signals, keys, platform.

use std::{
    io::Write,
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
    process::ExitCode, //
};

use anyhow::Context;
use clap::ArgMatches;
use serde_json::{
    Value,
    json, //
};
use stair_config::{
    TlsSettings,
    problem::Problems, //
};
use stair_link::Keys;
use stair_platform::{
    HttpStore,
    http, //
};
use stair_telemetry::event::Line;
use tokio::{
    runtime::{
        Builder,
        Runtime, //
    },
    signal::unix::{
        SignalKind,
        signal, //
    },
    sync::watch,
};

use crate::exit;

/// Threads for traffic. Entry VMs are thin, and an agent shares its VM with an engine that needs
/// the other cores.
const TRAFFIC_THREADS: usize = 2;

/// Reads the file of `--settings`, or prints every problem in it and returns the exit code.
pub(crate) fn settings<T, F>(matches: &ArgMatches, read: F) -> Result<T, ExitCode>
where
    F: FnOnce(&Path) -> Result<T, Problems>,
{
    let Some(path) = matches.get_one::<PathBuf>("settings") else {
        return Err(exit::USAGE.into());
    };
    read(path).map_err(|problems| {
        eprintln!("{problems}");
        exit::USAGE.into()
    })
}

/// Makes the runtime for traffic.
pub(crate) fn runtime() -> anyhow::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(TRAFFIC_THREADS)
        .thread_name("traffic")
        .enable_all()
        .build()
        .context("the runtime cannot be started")
}

/// Makes the runtime of a process that has a fifth of a core: one thread, since a second one would
/// only add switches between the two.
pub(crate) fn single_thread_runtime() -> anyhow::Result<Runtime> {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .context("the runtime cannot be started")
}

/// Reads the keys for links.
pub(crate) fn keys(tls: &TlsSettings) -> anyhow::Result<Keys> {
    Ok(Keys::read(&tls.authority, &tls.certificate, &tls.key)?)
}

/// Makes the client of the platform.
pub(crate) fn store(addr: SocketAddr) -> HttpStore {
    HttpStore::new(addr, http::Options::default())
}

/// Turns true on SIGTERM or SIGINT. Both are handled from here on, so that one that comes during
/// the start is not lost.
pub(crate) fn stop_signal() -> anyhow::Result<watch::Receiver<bool>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let (tx, rx) = watch::channel(false);
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        tx.send_replace(true);
        // The receivers see the value also after the sender is gone.
    });
    Ok(rx)
}

/// Settings that follow their file: it is read again on SIGHUP. A file with problems changes nothing,
/// and all its problems are logged.
pub(crate) fn reload_on_hangup<T, F>(
    matches: &ArgMatches,
    first: T,
    read: F,
) -> anyhow::Result<watch::Receiver<T>>
where
    T: Send + Sync + 'static,
    F: Fn(&Path) -> Result<T, Problems> + Send + 'static,
{
    let path = matches
        .get_one::<PathBuf>("settings")
        .cloned()
        .unwrap_or_default();
    let mut hangup = signal(SignalKind::hangup())?;
    let (tx, rx) = watch::channel(first);
    tokio::spawn(async move {
        while hangup.recv().await.is_some() {
            match read(&path) {
                Ok(settings) => {
                    Line::failure("reload").flag("read", true).write();
                    tx.send_replace(settings);
                }
                Err(problems) => Line::failure("reload")
                    .flag("read", false)
                    .show("problems", problems)
                    .write(),
            }
        }
    });
    Ok(rx)
}

/// Prints one line of JSON with the addresses that were bound, for whoever supervises the process.
pub(crate) fn print_ready(addresses: &Value) -> anyhow::Result<()> {
    let mut out = std::io::stdout().lock();
    writeln!(out, "{}", json!({ "ready": addresses }))?;
    out.flush()?;
    Ok(())
}

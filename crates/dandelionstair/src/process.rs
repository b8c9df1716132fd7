//! Shared setup of the long-running programs: settings, runtimes, signals, keys, platform.

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

/// Threads for traffic. Entry VMs have few cores, and an agent shares its VM with an engine that
/// needs the other cores.
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

/// Creates the runtime for traffic, with [`TRAFFIC_THREADS`] threads.
pub(crate) fn runtime() -> anyhow::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(TRAFFIC_THREADS)
        .thread_name("traffic")
        .enable_all()
        .build()
        .context("the runtime cannot be started")
}

/// Creates the runtime of a process that has a fifth of a core. It has one thread, since a second
/// one would only add context switches.
pub(crate) fn single_thread_runtime() -> anyhow::Result<Runtime> {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .context("the runtime cannot be started")
}

/// Reads the keys for links from their PEM files.
pub(crate) fn keys(tls: &TlsSettings) -> anyhow::Result<Keys> {
    Ok(Keys::read(&tls.authority, &tls.certificate, &tls.key)?)
}

/// Creates a client of the platform's object store.
pub(crate) fn store(addr: SocketAddr) -> HttpStore {
    HttpStore::new(addr, http::Options::default())
}

/// Returns a value that becomes true on SIGTERM or SIGINT. The handlers are installed before this
/// function returns, so that a signal during the start is not lost.
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
        // Receivers still read the value after the sender is dropped.
    });
    Ok(rx)
}

/// Returns settings that are read again from their file on SIGHUP. If the file has problems, all of
/// them are logged and the settings stay as they are.
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

/// Prints one line of JSON with the bound addresses, for the supervisor of the process.
pub(crate) fn print_ready(addresses: &Value) -> anyhow::Result<()> {
    let mut out = std::io::stdout().lock();
    writeln!(out, "{}", json!({ "ready": addresses }))?;
    out.flush()?;
    Ok(())
}

//! CPU and memory of a process, as the kernel counts them.

use std::{
    fs,
    time::Duration, //
};

use anyhow::Context;

/// Clock ticks a second in `/proc`, the same on every usual Linux.
const TICKS: u64 = 100;

/// What a process has used.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Usage {
    pub(crate) cpu: Duration,
    pub(crate) rss_kib: u64,
}

impl Usage {
    pub(crate) fn of_self() -> anyhow::Result<Self> {
        Self::of("self")
    }

    pub(crate) fn of_pid(pid: u32) -> anyhow::Result<Self> {
        Self::of(&pid.to_string())
    }

    fn of(pid: &str) -> anyhow::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        // The name of the program stands in parentheses and may have spaces.
        let (_, rest) = stat.rsplit_once(')').context("a stat line has a name")?;
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let ticks = fields[11].parse::<u64>()? + fields[12].parse::<u64>()?;
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let rss = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let rss = rss.and_then(|l| l.split_whitespace().next());
        Ok(Self {
            cpu: Duration::from_millis(ticks * 1_000 / TICKS),
            rss_kib: rss.context("a status has the memory")?.parse()?,
        })
    }
}

/// Returns the load average of the last minute.
pub(crate) fn busy() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().unwrap_or("?").to_owned()
}

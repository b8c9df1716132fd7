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
        let stat = fs::read_to_string("/proc/self/stat")?;
        let status = fs::read_to_string("/proc/self/status")?;

        let rss = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let rss = rss.and_then(|l| l.split_whitespace().next());
        Ok(Self {
            cpu: Stat::parse(&stat)?.cpu,
            rss_kib: rss.context("a status has the memory")?.parse()?,
        })
    }
}

/// CPU of the control threads of this process, by kind.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ThreadCpu {
    pub(crate) entry: Duration,
    pub(crate) agent: Duration,
}

impl ThreadCpu {
    pub(crate) fn of_self() -> anyhow::Result<Self> {
        let mut sum = Self::default();
        for task in fs::read_dir("/proc/self/task")? {
            // A thread may end between the two calls.
            let Ok(text) = fs::read_to_string(task?.path().join("stat")) else {
                continue;
            };
            let stat = Stat::parse(&text)?;
            match stat.name {
                "control" => sum.entry += stat.cpu,
                "agent-control" => sum.agent += stat.cpu,
                _ => {}
            }
        }
        Ok(sum)
    }
}

struct Stat<'t> {
    name: &'t str,
    cpu: Duration,
}

impl<'t> Stat<'t> {
    fn parse(text: &'t str) -> anyhow::Result<Self> {
        // The name stands in parentheses and may have spaces.
        let (head, rest) = text.rsplit_once(')').context("a stat line has a name")?;
        let (_, name) = head.split_once('(').context("a stat line has a name")?;
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let ticks = fields[11].parse::<u64>()? + fields[12].parse::<u64>()?;
        let cpu = Duration::from_millis(ticks * 1_000 / TICKS);
        Ok(Self { name, cpu })
    }
}

/// Returns the load average of the last minute.
pub(crate) fn busy() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().unwrap_or("?").to_owned()
}

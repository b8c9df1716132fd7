//! What the kernel says of processes and of the machine.

use std::{
    fs,
    time::{
        Duration,
        Instant, //
    },
};

use crate::World;

/// Ticks a second in which the kernel counts a process's CPU time.
const TICKS: f64 = 100.0;

/// Says how busy the machine is.
pub(crate) fn machine() -> String {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let load = load.split(' ').next().unwrap_or_default().to_owned();
    format!("Machine: {cores} cores, load average of the last minute {load}.")
}

/// Returns the resident memory of a process, in bytes.
pub(crate) fn resident(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or(0) << 10
}

/// CPU time spent between two moments.
pub(crate) struct Meter {
    entry: u32,
    agent: u32,
    began: Instant,
    before: Used,
}

/// Cores kept busy in the mean.
#[derive(Clone, Copy)]
pub(crate) struct Used {
    pub(crate) entry: f64,
    /// One agent of all.
    pub(crate) agent: f64,
    /// The callers and the stand-ins.
    pub(crate) here: f64,
    /// The whole machine.
    pub(crate) machine: f64,
}

impl Meter {
    pub(crate) fn start(world: &World) -> Self {
        let entry = world.entries[0].process.id();
        let agent = world.agents[0].process.id();
        Self {
            entry,
            agent,
            began: Instant::now(),
            before: used(entry, agent),
        }
    }

    pub(crate) fn stop(self) -> Used {
        let after = used(self.entry, self.agent);
        let time = self.began.elapsed().max(Duration::from_millis(1));
        let cores = |a: f64, b: f64| (a - b) / time.as_secs_f64();
        Used {
            entry: cores(after.entry, self.before.entry),
            agent: cores(after.agent, self.before.agent),
            here: cores(after.here, self.before.here),
            machine: cores(after.machine, self.before.machine),
        }
    }
}

/// Returns CPU seconds since the beginning.
fn used(entry: u32, agent: u32) -> Used {
    Used {
        entry: cpu(entry),
        agent: cpu(agent),
        here: cpu(std::process::id()),
        machine: machine_cpu(),
    }
}

fn cpu(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name stands in brackets and may hold spaces; user and system time follow as the twelfth
    // and thirteenth field after it.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2);
    ticks.filter_map(|t| t.parse::<f64>().ok()).sum::<f64>() / TICKS
}

fn machine_cpu() -> f64 {
    let stat = fs::read_to_string("/proc/stat").unwrap_or_default();
    let first = stat.lines().next().unwrap_or_default();
    let mut fields = first.split_whitespace().skip(1);
    // The fourth and fifth field are idle time.
    let busy = fields.by_ref().take(3).chain(stat_rest(first));
    busy.filter_map(|t| t.parse::<f64>().ok()).sum::<f64>() / TICKS
}

fn stat_rest(line: &str) -> impl Iterator<Item = &str> {
    line.split_whitespace().skip(6).take(3)
}

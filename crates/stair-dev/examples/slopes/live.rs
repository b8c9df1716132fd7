//! Steady state, changes, replacements and cut links of running fleets.

use std::time::{
    Duration,
    Instant, //
};

use stair_standin::platform::{
    Call,
    Calls, //
};

use crate::{
    fleet::Fleet,
    proc::{
        self,
        ThreadCpu,
        Usage, //
    },
    size::{
        self,
        Size, //
    },
};

/// How long the steady state is looked at; longer than several watches.
const STEADY: Duration = Duration::from_secs(15);

/// Changes of the configuration that are timed.
const CHANGES: u32 = 8;

const REPLACED: u32 = 4;

/// A change that takes longer is reported as this.
const LIMIT: Duration = Duration::from_secs(30);

struct Counts {
    at: Instant,
    calls: Calls,
    link_bytes: u64,
    platform_bytes: u64,
    threads: ThreadCpu,
    process: Usage,
}

/// Prints all tables for three sizes.
pub(crate) async fn run() -> anyhow::Result<()> {
    println!("## Running fleets\n");
    println!(
        "One process holds the platform's stand-in, the entries, the agents and their idle \
         engines. Entries' CPU is that of their control threads. An agent's is that of its control \
         thread; \"the rest\" is all else in the process by agents: links, proxies, stand-ins.\n"
    );
    for (entries, agents) in [(3, 30), (6, 90), (12, 200)] {
        one(entries, agents).await?;
    }
    Ok(())
}

async fn one(entries: u32, agents: u32) -> anyhow::Result<()> {
    println!(
        "### {entries} entries, {agents} agents (load {})\n",
        proc::busy()
    );
    let size = Size {
        entries,
        targets: agents,
        models: agents.div_ceil(2),
        adapters: agents * 4 / 3,
    };
    let catalogue = size::catalogue(size)?;
    let mut fleet = Fleet::start(&catalogue).await?;
    let empty = Usage::of_self()?;
    for _ in 0..entries {
        fleet.add_entry().await?;
    }
    let with_entries = Usage::of_self()?;
    for _ in 0..agents {
        fleet.add_agent().await?;
    }
    fleet.until_settled().await?;
    let with_agents = Usage::of_self()?;
    println!(
        "Memory: {:.2} MiB an entry, {:.2} MiB an agent with its engine's stand-in.\n",
        mib(empty, with_entries, entries),
        mib(with_entries, with_agents, agents)
    );
    println!(
        "| what | times | link bytes | platform bytes of entries | gets | lists | puts | deletes | \
         watches | control CPU ms an entry | CPU ms an agent | the rest ms an agent |"
    );
    println!("|--|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|");
    // Whatever the start set off has to be over.
    tokio::time::sleep(STEADY / 3).await;
    let before = counts(&fleet)?;
    tokio::time::sleep(STEADY).await;
    row("steady, a second", STEADY.as_secs_f64(), &fleet, &before)?;

    let before = counts(&fleet)?;
    let linked = changes(&fleet, &catalogue, 0).await?;
    row("a change", f64::from(CHANGES), &fleet, &before)?;

    let before = counts(&fleet)?;
    let mut grants = 0;
    for _ in 0..REPLACED {
        grants += fleet.replace_agent().await?;
        fleet.until_settled().await?;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let what = format!("a replaced VM; {grants} grants in all");
    row(&what, f64::from(REPLACED), &fleet, &before)?;

    for e in fleet.entries.iter().step_by(3) {
        e.to_link.blackhole_all();
    }
    let before = counts(&fleet)?;
    let cut = changes(&fleet, &catalogue, 1_000).await?;
    row("a change, a third cut", f64::from(CHANGES), &fleet, &before)?;
    println!("\n| in force | p50 ms | max ms |\n|--|--:|--:|");
    for (name, took) in [
        ("all links", linked),
        ("a third of the entries' links cut", cut),
    ] {
        let p50 = took[took.len() / 2].as_millis();
        let max = took[took.len() - 1].as_millis();
        println!("| {name} | {p50} | {max} |");
    }
    println!();
    // Dropped without a graceful stop: the process is about to forget it.
    std::mem::forget(fleet);
    Ok(())
}

/// Times changes from before the apply until every entry and agent has them, sorted.
async fn changes(
    fleet: &Fleet,
    catalogue: &stair_config::Catalogue,
    mark: u32,
) -> anyhow::Result<Vec<Duration>> {
    let mut all = Vec::new();
    for i in 0..CHANGES {
        let mut next = catalogue.clone();
        next.tiers[0].timeout_ms = 40_000 + mark + i;
        let began = Instant::now();
        let version = fleet.apply(&next).await?;
        for e in &fleet.entries {
            let mut view = e.entry.view();
            let _ = tokio::time::timeout(LIMIT, view.wait_for(|v| v.config.0 >= version)).await;
            all.push(began.elapsed());
        }
        for agent in &fleet.agents {
            while began.elapsed() < LIMIT {
                let dump = agent.agent.dump().await;
                if dump.is_some_and(|d| d.config.0 >= version) {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            all.push(began.elapsed());
        }
    }
    all.sort_unstable();
    Ok(all)
}

fn counts(fleet: &Fleet) -> anyhow::Result<Counts> {
    Ok(Counts {
        at: Instant::now(),
        calls: fleet.platform.calls(),
        link_bytes: fleet.entries.iter().map(|e| e.to_link.bytes()).sum(),
        platform_bytes: fleet.entries.iter().map(|e| e.to_platform.bytes()).sum(),
        threads: ThreadCpu::of_self()?,
        process: Usage::of_self()?,
    })
}

fn row(what: &str, times: f64, fleet: &Fleet, before: &Counts) -> anyhow::Result<()> {
    let now = counts(fleet)?;
    let entries = fleet.entries.len() as f64;
    let agents = fleet.agents.len() as f64;
    let calls = |call| (now.calls.of(call) - before.calls.of(call)) as f64 / times;
    let ms = |d: Duration| d.as_secs_f64() * 1_000.0 / times;
    let control = now.threads.entry.saturating_sub(before.threads.entry);
    let agent = now.threads.agent.saturating_sub(before.threads.agent);
    let process = now.process.cpu.saturating_sub(before.process.cpu);
    let rest = process.saturating_sub(control + agent);
    println!(
        "| {what} ({:.0} s in all) | {times} | {:.0} | {:.0} | {:.2} | {:.2} | {:.2} | {:.2} | \
         {:.2} | {:.3} | {:.3} | {:.3} |",
        (now.at - before.at).as_secs_f64(),
        (now.link_bytes - before.link_bytes) as f64 / times,
        (now.platform_bytes - before.platform_bytes) as f64 / times,
        calls(Call::Get),
        calls(Call::List),
        calls(Call::Put),
        calls(Call::Delete),
        calls(Call::Watch),
        ms(control) / entries,
        ms(agent) / agents,
        ms(rest) / agents,
    );
    Ok(())
}

fn mib(before: Usage, after: Usage, count: u32) -> f64 {
    after.rss_kib.saturating_sub(before.rss_kib) as f64 / 1024.0 / f64::from(count.max(1))
}

//! What an entry's control spends on one change, and what it holds, without any process.

use std::{
    hint::black_box,
    process::Command,
    time::{
        Duration,
        Instant, //
    },
};

use stair_entry::{
    View,
    control::{
        assignment::{
            self,
            GrantsByTarget, //
        },
        propose::{
            Planner,
            is_settled, //
        },
        state::State, //
    },
};
use stair_types::{
    EntryName,
    ShardId,
    TargetName, //
};

use crate::{
    proc,
    size::{
        self,
        Size, //
    },
};

/// The argument of the process that measures a state alone.
pub(crate) const STATE: &str = "state";

/// Agents that one entry serves at the planned size: 12,000 with two links each at 410 entries.
const AGENTS: u32 = 60;

/// Prints costs at a quarter, a half, all and twice the planned size.
pub(crate) fn run() -> anyhow::Result<()> {
    println!("## Control of an entry, pure functions on one thread\n");
    println!(
        "| entries | targets | models | adapters | grants | view ms | view with new targets ms | \
         {AGENTS} assignments ms | own shards | own shards are right ms | proposals ms | ranks ms \
         | join chunks ms | a change ms | a replaced VM ms |"
    );
    println!("|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|");
    for (part, of) in [(1, 4), (1, 2), (1, 1), (2, 1)] {
        times(Size::planned(part, of))?;
    }
    println!("\n## What an entry holds and what is written\n");
    println!(
        "| entries | targets | state MiB | largest shard bytes | mean shard bytes | one VM's line \
         bytes | one agent's record bytes | manifest bytes | mean chunk bytes | one assignment \
         bytes |"
    );
    println!("|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|");
    for (part, of) in [(1, 4), (1, 2), (1, 1), (2, 1)] {
        sizes(Size::planned(part, of))?;
    }
    println!();
    Ok(())
}

fn times(size: Size) -> anyhow::Result<()> {
    let state = size::state(size)?;
    let grants: usize = state
        .shards
        .iter()
        .map(|s| grants_in(s.value.as_ref()))
        .sum();
    let nothing = View::default();
    let first = state.view(&nothing);
    let fleet = median(|| drop(black_box(state.view(&nothing))));
    let view = median(|| drop(black_box(state.view(&first))));
    let names = agents(&state);
    let assignments = median(|| {
        let granted = GrantsByTarget::new(&state, names.clone());
        for name in &names {
            black_box(assignment::derive(&state, &granted, name, &[]));
        }
    });
    let me = EntryName::try_from("entry-00001")?;
    let ranks = state.ranks(&me);
    let ranking = median(|| drop(black_box(state.ranks(&me))));
    let mine = ranks.iter().enumerate().filter(|(_, rank)| **rank <= 3);
    let mine: Vec<ShardId> = mine.map(|(i, _)| ShardId(i as u16)).collect();
    let settled = median(|| {
        for shard in &mine {
            black_box(is_settled(&state, *shard));
        }
    });
    let proposals = median(|| {
        let mut planner = Planner::new(&state);
        for shard in &mine {
            black_box(planner.propose(&state, *shard));
        }
    });
    let chunks = state.config.chunks.clone();
    let join = median(|| drop(black_box(stair_config::chunks::join(&*chunks))));
    println!(
        "| {} | {} | {} | {} | {grants} | {:.2} | {:.2} | {:.2} | {} | {:.2} | {:.2} | {:.2} | \
         {:.2} | {:.2} | {:.2} |",
        size.entries,
        size.targets,
        size.models,
        size.adapters,
        ms(view),
        ms(fleet),
        ms(assignments),
        mine.len(),
        ms(settled),
        ms(proposals),
        ms(ranking),
        ms(join),
        ms(view + assignments + settled),
        ms(fleet + assignments + proposals),
    );
    Ok(())
}

fn sizes(size: Size) -> anyhow::Result<()> {
    let state = size::state(size)?;
    let shards = state.shards.iter().filter_map(|s| s.value.as_ref());
    let shards: Vec<usize> = shards.map(json_len).collect();
    let chunks = &state.config.chunks;
    let chunk_bytes: usize = chunks.iter().map(|c| json_len(&c.value)).sum();
    let names = agents(&state);
    let granted = GrantsByTarget::new(&state, names.clone());
    let one = assignment::derive(&state, &granted, &names[0], &[]);
    println!(
        "| {} | {} | {:.1} | {} | {} | {} | {} | {} | {} | {} |",
        size.entries,
        size.targets,
        in_process(size)? as f64 / 1024.0,
        shards.iter().max().unwrap_or(&0),
        shards.iter().sum::<usize>() / shards.len().max(1),
        json_len(&state.vms[state.vms.len() - 1].object.value),
        json_len(&state.incarnations[0].object.value),
        json_len(&state.config.manifest.value),
        chunk_bytes / chunks.len().max(1),
        postcard::to_allocvec(&one)?.len(),
    );
    Ok(())
}

/// Measures a state's memory in a process of its own, where nothing was freed before.
fn in_process(size: Size) -> anyhow::Result<u64> {
    let size = [size.entries, size.targets, size.models, size.adapters];
    let out = Command::new(std::env::current_exe()?)
        .arg(STATE)
        .args(size.map(|n| n.to_string()))
        .output()?;
    Ok(String::from_utf8(out.stdout)?.trim().parse()?)
}

/// Prints the memory of a state and its view in KiB; the process that [`in_process`] starts.
pub(crate) fn state_alone(numbers: &[u32]) -> anyhow::Result<()> {
    let [entries, targets, models, adapters] = *numbers else {
        anyhow::bail!("a size has four numbers");
    };
    let size = Size {
        entries,
        targets,
        models,
        adapters,
    };
    let before = proc::Usage::of_self()?.rss_kib;
    let state = size::state(size)?;
    let view = state.view(&View::default());
    let after = proc::Usage::of_self()?.rss_kib;
    black_box(view);
    println!("{}", after.saturating_sub(before));
    Ok(())
}

fn grants_in(shard: Option<&stair_state::GrantShard>) -> usize {
    shard.map_or(0, |s| s.grants.len())
}

fn agents(state: &State) -> Vec<TargetName> {
    let step = (state.incarnations.len() / AGENTS as usize).max(1);
    let names = state.incarnations.iter().step_by(step);
    names
        .take(AGENTS as usize)
        .map(|a| a.name.clone())
        .collect()
}

fn json_len<T>(value: &T) -> usize
where
    T: serde::Serialize,
{
    serde_json::to_vec(value).map_or(0, |v| v.len())
}

fn median<F>(mut work: F) -> Duration
where
    F: FnMut(),
{
    const RUNS: usize = 25;
    let mut took: Vec<Duration> = Vec::with_capacity(RUNS);
    for _ in 0..RUNS {
        let began = Instant::now();
        work();
        took.push(began.elapsed());
    }
    took.sort_unstable();
    took[RUNS / 2]
}

fn ms(took: Duration) -> f64 {
    took.as_secs_f64() * 1_000.0
}

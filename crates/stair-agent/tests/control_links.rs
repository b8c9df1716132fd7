//! The agent's control links to two entries.

mod common;

use common::{
    World,
    entry::{
        FakeEntry,
        Stream, //
    },
    eventually,
    list_entry, //
};

// An entry's VM is removed, and its agents have to open a link to another entry. Otherwise, once
// their second entry is removed too, no configuration change would reach them.
#[tokio::test(flavor = "multi_thread")]
async fn entry_replaced() {
    let world = World::new(&["m1"]).await;
    let others = [(); 2].map(|()| FakeEntry::start(&world.authority));
    list_entry(&world.store, "e2", &others[0]);
    list_entry(&world.store, "e3", &others[1]);
    let assignment = world.assignment();
    others.iter().for_each(|e| e.assign(assignment.clone()));
    let agent = world.agent().await;
    eventually(|| agent.linked().len() == 2).await;
    let before = agent.linked();

    let named = [("e1", &world.entry), ("e2", &others[0]), ("e3", &others[1])];
    let removed = named.iter().find(|(name, _)| before[0].as_str() == *name);
    removed.expect("a known entry").1.end().await;

    let new = |l: &[stair_types::EntryName]| l.len() == 2 && !l.contains(&before[0]);
    eventually(|| new(&agent.linked())).await;
}

// The agent starts before any entry, as after a power failure. It serves nothing until it finds an
// entry, which it has to do without a restart.
#[tokio::test(flavor = "multi_thread")]
async fn entry_starts_later() {
    let mut world = World::new(&["m1"]).await;
    world.entry.end().await;
    let agent = world.start().await.expect("starts");
    world.entry = FakeEntry::start(&world.authority);
    list_entry(&world.store, "e1", &world.entry);
    world.entry.assign(world.assignment());

    common::until(&agent, |d| d.config.0 == 1).await;
    let link = world.entry.link(&agent).await;

    let ended = Stream::offer(&link, 1, "m1", false).await.finish().await;
    assert_eq!(ended.body(), r#"{"text":"done"}"#);
}

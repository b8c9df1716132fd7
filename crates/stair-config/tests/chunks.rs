//! Splitting a catalogue into chunks, joining them, and the text of a difference.

use std::path::Path;

use stair_config::{
    Catalogue,
    chunks::{
        Chunk,
        Error,
        join,
        split, //
    },
    declarations,
    diff::Diff, //
};

fn catalogue() -> Catalogue {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/gawahi/declarations");
    declarations::read(&path).unwrap()
}

/// Returns the chunks that are missing from `others`.
fn missing_from<'a>(chunks: &'a [Chunk], others: &[Chunk]) -> Vec<&'a Chunk> {
    let new = |c: &&Chunk| others.iter().all(|o| o.hash != c.hash);
    chunks.iter().filter(new).collect()
}

#[test]
fn round_trip() {
    let before = catalogue();
    let mut chunks = split(&before).unwrap();
    assert_eq!(chunks, split(&before).unwrap());
    chunks.reverse();
    assert_eq!(join(&chunks).unwrap(), before);
}

// A change of one model that moved others to new chunks would send them to every entry again.
#[test]
fn small_change() {
    let before = catalogue();
    let mut after = before.clone();
    after.models[3].replicas += 1;
    let (old, new) = (split(&before).unwrap(), split(&after).unwrap());
    assert_eq!(missing_from(&new, &old).len(), 1);
    assert_eq!(missing_from(&old, &new).len(), 1);
}

// 430 models with 15,910 adapters, the planned size: chunks stay far below the platform's limit.
#[test]
fn planned_size() {
    let base = catalogue();
    let mut all = base.clone();
    all.models.clear();
    for n in 0..430 {
        let mut model = base.models[n % base.models.len()].clone();
        model.name = format!("model-{n:03}").as_str().try_into().unwrap();
        let adapter = base.models.iter().find_map(|m| m.adapters.first()).unwrap();
        model.adapters = vec![adapter.clone(); 37];
        for (i, adapter) in model.adapters.iter_mut().enumerate() {
            adapter.name = format!("adapter-{n:03}-{i:02}")
                .as_str()
                .try_into()
                .unwrap();
        }
        all.models.push(model);
    }
    let chunks = split(&all).unwrap();
    let largest = chunks.iter().map(|c| c.value.to_string().len()).max();
    assert!(largest.unwrap() < 100_000, "{largest:?}");
    assert_eq!(join(&chunks).unwrap(), all);
}

// After a restore from an old copy or an edit by hand, a chunk's content does not match its name. A
// process that accepted it would serve a catalogue that was never applied.
#[test]
fn foreign_content() {
    let mut chunks = split(&catalogue()).unwrap();
    let other = chunks[2].value.clone();
    chunks[1].value = other;
    assert!(matches!(join(&chunks), Err(Error::WrongHash { .. })));
}

// A manifest that omits a chunk or lists it twice yields a catalogue other than the applied one.
#[test]
fn missing_chunk() {
    let mut chunks = split(&catalogue()).unwrap();
    let shared = chunks.remove(0);
    assert_eq!(join(&chunks), Err(Error::Inconsistent("the policy")));
    let twice = chunks[0].clone();
    chunks.extend([shared, twice]);
    assert_eq!(join(&chunks), Err(Error::Inconsistent("a model")));
}

#[test]
fn change_text() {
    let before = catalogue();
    assert!(Diff::between(&before, &before).is_empty());
    let mut after = before.clone();
    let removed = after.models.remove(0);
    let mut added = removed.clone();
    added.name = "zz-new".try_into().unwrap();
    after.models.push(added);
    let changed = after.models.iter_mut().find(|m| m.adapters.len() > 2);
    let changed = changed.unwrap();
    changed.replicas = 9;
    changed.adapters.remove(0);
    changed.adapters[0].version = "77".into();
    after.tiers[1].floor_percent = 20;
    after.services[1].routes[0].repeatable = true;
    after.policy.keep.cold_start_weight = 2.5;
    insta::assert_snapshot!(Diff::between(&before, &after));
}

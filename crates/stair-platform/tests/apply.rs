//! An apply stays atomic and reports its outcome correctly although calls to the store fail.

use std::time::Duration;

use stair_config::{
    Catalogue,
    Declarations,
    Document, //
};
use stair_platform::{
    Error as PlatformError,
    Kind,
    apply::{
        Error,
        Options,
        Outcome,
        apply, //
    },
    load::{
        head,
        load, //
    }, //
};
use stair_standin::memory::{
    Fault,
    MemoryStore, //
};
use stair_types::{
    ApplyId,
    ConfigVersion, //
};

const PATIENCE: Duration = Duration::from_secs(20);

fn catalogue(replicas: u16) -> Catalogue {
    let text = format!(
        "models:
  - {{ name: notes, version: '1', memory_mib: 8000, replicas: {replicas} }}
  - {{ name: screens, version: '1', memory_mib: 8000, replicas: 1 }}
tiers:
  - {{ name: gold, rank: 0, timeout_ms: 1000, max_waiting: 10 }}
"
    );
    let document = Document::parse("a.yaml", &text).unwrap();
    Catalogue::try_from(Declarations::new(vec![document])).unwrap()
}

fn opts(id: &str) -> Options {
    Options {
        apply_id: ApplyId(id.into()),
        from: None,
        patience: PATIENCE,
    }
}

async fn in_force(store: &MemoryStore) -> (u64, u16) {
    let found = load(store).await.unwrap().unwrap();
    let replicas = found.catalogue.model("notes").unwrap().replicas;
    (found.version.0, replicas)
}

fn applied(version: u64) -> Result<Outcome, Error> {
    Ok(Outcome::Applied(ConfigVersion(version)))
}

async fn with_first() -> MemoryStore {
    let store = MemoryStore::default();
    assert_eq!(load(&store).await, Ok(None));
    assert_eq!(apply(&store, &catalogue(1), &opts("a")).await, applied(1));
    store
}

#[tokio::test(start_paused = true)]
async fn versions_rise() {
    let store = with_first().await;
    let chunks = store.puts(Kind::Chunk);
    assert_eq!(apply(&store, &catalogue(2), &opts("b")).await, applied(2));
    assert_eq!(in_force(&store).await, (2, 2));
    assert_eq!(store.puts(Kind::Chunk), chunks + 1);
    let same = apply(&store, &catalogue(2), &opts("c")).await;
    assert_eq!(same, Ok(Outcome::Unchanged(ConfigVersion(2))));
    let manifest = head(&store).await.unwrap().unwrap().manifest;
    assert_eq!(manifest.earlier, [ApplyId("a".into())]);
}

// Two operators make changes from the same version. The second one gets a conflict; otherwise his
// apply would silently revert the change of the first one.
#[tokio::test(start_paused = true)]
async fn operators_race() {
    let store = with_first().await;
    assert_eq!(apply(&store, &catalogue(2), &opts("b")).await, applied(2));
    let late = Options {
        from: Some(ConfigVersion(1)),
        ..opts("c")
    };
    let conflict = Outcome::Conflict {
        from: ConfigVersion(1),
        found: ConfigVersion(2),
    };
    assert_eq!(apply(&store, &catalogue(3), &late).await, Ok(conflict));
    assert_eq!(in_force(&store).await, (2, 2));
}

// Two operators commit at the same moment: the second one reads version 1, and the commit of the
// first one takes effect before that of the second. Exactly one succeeds and the other gets a
// conflict.
#[tokio::test(start_paused = true)]
async fn commits_race() {
    let store = with_first().await;
    // The first commit takes effect after two further calls: the first operator's read of its
    // outcome and the second operator's read of version 1.
    store.fail_write(Kind::Manifest, Fault::Late(2));
    let (first, second) = (catalogue(2), catalogue(3));
    let (first_opts, second_opts) = (opts("b"), opts("c"));
    let (first, second) = tokio::join!(
        apply(&store, &first, &first_opts),
        apply(&store, &second, &second_opts),
    );
    let conflict = Outcome::Conflict {
        from: ConfigVersion(1),
        found: ConfigVersion(2),
    };
    assert_eq!(first, applied(2));
    assert_eq!(second, Ok(conflict));
    assert_eq!(in_force(&store).await, (2, 2));
}

// The commit takes effect and its reply is lost. The operator must not get a failure although the
// apply is in force.
#[tokio::test(start_paused = true)]
async fn reply_lost() {
    let store = with_first().await;
    store.fail_write(Kind::Manifest, Fault::LostAfter);
    assert_eq!(apply(&store, &catalogue(2), &opts("b")).await, applied(2));
    assert_eq!(in_force(&store).await, (2, 2));
    assert_eq!(store.puts(Kind::Manifest), 2);
}

// The reply is lost before the commit takes effect a moment later. The apply waits for the effect
// and does not write again.
#[tokio::test(start_paused = true)]
async fn late_effect() {
    let store = with_first().await;
    store.fail_write(Kind::Manifest, Fault::Late(5));
    assert_eq!(apply(&store, &catalogue(2), &opts("b")).await, applied(2));
    assert_eq!(store.puts(Kind::Manifest), 2);
}

// The commit is lost in transit. It cannot be distinguished from a slow commit, so the outcome is
// undetermined; the next apply succeeds.
#[tokio::test(start_paused = true)]
async fn commit_lost() {
    let store = with_first().await;
    store.fail_write(Kind::Manifest, Fault::LostBefore);
    let outcome = apply(&store, &catalogue(2), &opts("b")).await;
    assert_eq!(outcome, Ok(Outcome::Undetermined(ConfigVersion(2))));
    assert_eq!(in_force(&store).await, (1, 1));
    assert_eq!(apply(&store, &catalogue(2), &opts("c")).await, applied(2));
}

// The reply to a commit is lost, and another apply follows before the manifest is read again. The
// first apply was in force and must not be reported as a conflict.
#[tokio::test(start_paused = true)]
async fn reply_lost_then_followed() {
    let store = with_first().await;
    store.fail_write(Kind::Manifest, Fault::LostAfter);
    store.fail_call(Kind::Manifest, Fault::LostBefore);
    let (catalogue_b, opts_b) = (catalogue(2), opts("b"));
    let lost = apply(&store, &catalogue_b, &opts_b);
    let follow = async {
        // Waits until the first commit has taken effect, while its sender waits to read the
        // manifest.
        while head(&store).await.unwrap().unwrap().manifest.version.0 < 2 {
            tokio::task::yield_now().await;
        }
        apply(&store, &catalogue(3), &opts("c")).await
    };
    let (lost, follow) = tokio::join!(lost, follow);
    assert_eq!(lost, applied(2));
    assert_eq!(follow, applied(3));
}

// Replies to writes of chunks are lost and the platform refuses some writes. The apply retries them
// and succeeds.
#[tokio::test(start_paused = true)]
async fn chunk_writes_fail() {
    let store = MemoryStore::default();
    for fault in [Fault::LostAfter, Fault::Down, Fault::LostBefore] {
        store.fail_write(Kind::Chunk, fault);
    }
    store.fail_write(Kind::Manifest, Fault::Down);
    assert_eq!(apply(&store, &catalogue(1), &opts("a")).await, applied(1));
    assert_eq!(in_force(&store).await, (1, 1));
}

// The platform is down for longer than the operator waits. The apply fails and nothing is written.
#[tokio::test(start_paused = true)]
async fn long_outage() {
    let store = with_first().await;
    store.set_down(true);
    let start = tokio::time::Instant::now();
    let result = apply(&store, &catalogue(2), &opts("b")).await;
    let unavailable = PlatformError::Unavailable("refused".into());
    assert_eq!(result, Err(Error::Read(unavailable.into())));
    assert!(start.elapsed() < PATIENCE * 2);
    store.set_down(false);
    assert_eq!(in_force(&store).await, (1, 1));
}

// The platform recovers just before the operator's patience ends and loses the reply to the commit,
// which takes effect a few seconds later. The apply must still wait for that outcome.
#[tokio::test(start_paused = true)]
async fn late_commit() {
    let store = with_first().await;
    store.set_down(true);
    store.fail_write(Kind::Manifest, Fault::Late(8));
    let (catalogue, opts) = (catalogue(2), opts("b"));
    let recovery = async {
        tokio::time::sleep(PATIENCE - Duration::from_millis(100)).await;
        store.set_down(false);
    };
    let (outcome, ()) = tokio::join!(apply(&store, &catalogue, &opts), recovery);
    assert_eq!(outcome, applied(2));
}

/// Guards against a configuration that entries don't use: the copy that the store came back from has it, and
/// entries still have the one after it, which was lost.
#[tokio::test]
async fn lost_apply() {
    let store = MemoryStore::default();
    apply(&store, &catalogue(1), &opts("a")).await.unwrap();
    store.take_copy();
    apply(&store, &catalogue(2), &opts("b")).await.unwrap();
    store.restore();
    let outcome = apply(&store, &catalogue(1), &opts("c")).await.unwrap();
    let Outcome::Applied(version) = outcome else {
        panic!("{outcome:?}");
    };
    assert!(version > ConfigVersion(2), "{version}");
    let same = apply(&store, &catalogue(1), &opts("d")).await;
    assert_eq!(same, Ok(Outcome::Unchanged(version)));
}

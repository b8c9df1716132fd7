//! Which targets a failure is put down to.

mod support;

use stair_fleet::{
    View,
    choose::{
        self,
        choose, //
    },
    outlier::{
        Options,
        outliers, //
    },
    view::TargetKey, //
};
use support::{
    NOW,
    ask,
    target, //
};

const PLAIN: &str = "lookups";

fn lookups() -> (View, Vec<TargetKey>) {
    let mut view = View::default();
    view.replace((0..3).map(|n| target(n, PLAIN)).collect(), 1, NOW, NOW);
    let keys = view.all().map(|(key, _)| key).collect();
    (view, keys)
}

/// Chooses for one request, as the entry does.
fn pick(view: &View, tried: &[TargetKey], salt: u64) -> TargetKey {
    let opts = choose::Options {
        service: PLAIN,
        model: None,
        tried,
        salt,
        ..ask("")
    };
    choose(view, &opts, NOW).expect("a target").key
}

/// Seven requests in a hundred fail wherever they run, at two targets each. Were that put down to the
/// targets, the third would get what all others send until it is as bad as they seem, and clients
/// would wait there beside idle ones.
#[test]
fn requests_that_always_fail() {
    let (mut view, keys) = lookups();
    let mut got = vec![0; keys.len()];
    for n in 0..1000 {
        let first = pick(&view, &[], n);
        got[keys.iter().position(|k| *k == first).expect("known")] += 1;
        if n % 14 != 0 {
            view.get_mut(first).record_attempt(true);
            continue;
        }
        let failed = [first, pick(&view, &[first], n)];
        let opts = Options {
            failed: &failed,
            served: false,
        };
        for key in outliers(&opts) {
            view.get_mut(*key).record_attempt(false);
        }
    }
    assert!(got.iter().all(|n| (250..420).contains(n)), "{got:?}");
}

/// A target fails a request that another then serves: the target is to blame, and gets less.
#[test]
fn served_elsewhere() {
    let (_, keys) = lookups();
    let failed = &keys[..1];
    assert_eq!(
        outliers(&Options {
            failed,
            served: true
        }),
        failed
    );
    let both = &keys[..2];
    assert_eq!(
        outliers(&Options {
            failed: both,
            served: true
        }),
        both
    );
}

/// A request that may not run again fails: nothing speaks for the target.
#[test]
fn failed_alone() {
    let (_, keys) = lookups();
    let failed = &keys[..1];
    assert_eq!(
        outliers(&Options {
            failed,
            served: false
        }),
        failed
    );
}

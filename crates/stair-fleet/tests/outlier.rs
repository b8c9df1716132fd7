//! Tests of the attribution of failures to targets.

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
use stair_types::StoreRevision;
use support::{
    NOW,
    options,
    target, //
};

const PLAIN: &str = "lookups";

fn plain_targets() -> (View, Vec<TargetKey>) {
    let mut view = View::default();
    view.replace(
        (0..3).map(|n| target(n, PLAIN)).collect(),
        StoreRevision::new(0, 1),
        NOW,
        NOW,
    );
    let keys = view.all().map(|(key, _)| key).collect();
    (view, keys)
}

/// Chooses a target for one request as the entry does.
fn pick(view: &View, tried: &[TargetKey], salt: u64) -> TargetKey {
    let opts = choose::Options {
        service: PLAIN,
        model: None,
        tried,
        salt,
        ..options("")
    };
    choose(view, &opts, NOW).expect("a target").key
}

/// Seven in a hundred requests fail on every target, at two targets each. If that counted against
/// the targets, the third target would get most requests until its average is as bad, and clients
/// would wait there beside idle targets.
#[test]
fn requests_that_always_fail() {
    let (mut view, keys) = plain_targets();
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

/// A target fails a request that another one then serves: the failure counts against the target.
#[test]
fn served_elsewhere() {
    let (_, keys) = plain_targets();
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

/// A request that may not run again fails: nothing contradicts that the target is at fault.
#[test]
fn failed_alone() {
    let (_, keys) = plain_targets();
    let failed = &keys[..1];
    assert_eq!(
        outliers(&Options {
            failed,
            served: false
        }),
        failed
    );
}

//! Only requests with the same contents have the same fingerprint.

use stair_types::fingerprint::Contents;

const REQUEST: Contents<'static> = Contents {
    workspace: Some("w1"),
    method: "POST",
    host: b"words.example",
    path: "/model/1?page=3",
    body: b"prompt",
};

/// If a field were left out of the fingerprint, different requests would pass for retries.
#[test]
fn every_field_counts() {
    let others = [
        Contents {
            workspace: Some("w2"),
            ..REQUEST
        },
        Contents {
            workspace: None,
            ..REQUEST
        },
        Contents {
            method: "PUT",
            ..REQUEST
        },
        Contents {
            host: b"other.example",
            ..REQUEST
        },
        Contents {
            path: "/model/1",
            ..REQUEST
        },
        Contents {
            body: b"tpromp",
            ..REQUEST
        },
    ];
    for other in others {
        assert_ne!(other.fingerprint(), REQUEST.fingerprint(), "{other:?}");
    }
    assert_eq!(REQUEST.fingerprint(), REQUEST.fingerprint());
}

/// Requests with different bodies of the same length have the same outline and differ only in the
/// fingerprint.
#[test]
fn outline_ignores_body_bytes() {
    let other = Contents {
        body: b"tpromp",
        ..REQUEST
    };
    assert_eq!(other.outline(), REQUEST.outline());
    assert_eq!(REQUEST.fingerprint().outline(), REQUEST.outline());
}

/// If fields were hashed without their lengths, moving a byte from one field to the next would give
/// the same hash.
#[test]
fn field_boundaries_count() {
    let one = Contents {
        host: b"ab",
        path: "c",
        ..REQUEST
    };
    let other = Contents {
        host: b"a",
        path: "bc",
        ..REQUEST
    };
    assert_ne!(one.fingerprint(), other.fingerprint());
    assert_ne!(one.outline(), other.outline());
}

/// The formatted fingerprint must not leak the body or the caller into logs.
#[test]
fn contents_not_logged() {
    let shown = format!("{} {0:?}", REQUEST.fingerprint());
    assert!(!shown.contains("w1") && !shown.contains("prompt"));
}

//! The timeline of one request from the lines of several processes.

use stair_telemetry::explain::story;

const LINES: [&str; 6] = [
    r#"{"ts":100.5,"up":1,"process":"e1","event":"attempt","id":"r1","target":"t1","outcome":"lost: reset"}"#,
    r#"  12.0 vm-7 {"ts":100.1,"up":1,"process":"e1","event":"request","id":"r1","route":"drafts"}"#,
    r#"{"ts":100.2,"up":1,"process":"e2","event":"request","id":"r12","route":"drafts"}"#,
    r#"{"ts":100.3,"up":1,"process":"e1","event":"target","target":"t1","state":"removed"}"#,
    r#"{"ts":140.3,"up":1,"process":"e1","event":"target","target":"t1","state":"removed"}"#,
    r#"{"ts":100.4,"up":1,"process":"e1","event":"tar"#,
];

#[test]
fn in_order() {
    let steps = story(LINES, "r1");
    let events: Vec<&str> = steps.iter().map(|s| &*s.event).collect();
    assert_eq!(events, ["request", "target", "attempt"]);
    assert_eq!(&*steps[0].process, "e1");
    assert!(steps[2].fields.contains(&"outcome=lost: reset".into()));
}

#[test]
fn store_events() {
    let era = r#"{"ts":100.3,"up":1,"process":"e1","event":"store.era","era":3}"#;
    let of_another = r#"{"ts":100.3,"up":1,"process":"e9","event":"store.era","era":3}"#;
    let lines = LINES.into_iter().chain([era, of_another]);
    let steps = story(lines, "r1");
    let found: Vec<&str> = steps.iter().map(|s| &*s.event).collect();
    assert_eq!(found, ["request", "target", "store.era", "attempt"]);
    assert!(steps[2].fields.contains(&"era=3".into()));
}

#[test]
fn nothing_known() {
    assert!(story(LINES, "r9").is_empty());
}

/// The attempts of one client at a stream have several ids, and the story of one lacks what began it.
#[test]
fn attempts_of_stream() {
    let lines = [
        r#"{"ts":1.0,"up":1.0,"process":"e1","event":"chosen","id":"a","target":"t1","version":"v1"}"#,
        r#"{"ts":2.0,"up":1.0,"process":"e2","event":"request","id":"b","after_event":2,"continues":"a"}"#,
        r#"{"ts":2.1,"up":1.1,"process":"e2","event":"chosen","id":"b","target":"t2","version":"v1"}"#,
        r#"{"ts":3.0,"up":1.0,"process":"e1","event":"request","id":"c","after_event":4,"continues":"a"}"#,
        r#"{"ts":3.0,"up":1.0,"process":"e1","event":"request","id":"d","continues":""}"#,
    ];
    for id in ["a", "b", "c"] {
        let steps = story(lines, id);
        assert_eq!(steps.len(), 4, "{id}: {steps:?}");
        let other = if id == "a" { "id=b" } else { "id=a" };
        let named = steps.iter().any(|s| s.fields.iter().any(|f| **f == *other));
        assert!(named, "{id}: {steps:?}");
    }
    assert_eq!(story(lines, "d").len(), 1);
}

/// A refused request is explained by the crashes of the part that it holds, which may be minutes before.
#[test]
fn quarantined_part() {
    let lines = [
        r#"{"ts":1.0,"process":"a","event":"quarantine.judged","fingerprint":"part-dead","standing":"Quarantined(60s)","crashes":"i-1 i-2 i-3"}"#,
        r#"{"ts":2.0,"process":"a","event":"quarantine.judged","fingerprint":"part-beef","standing":"Suspect","crashes":"i-4"}"#,
        r#"{"ts":50.0,"process":"e","event":"quarantine.refused","id":"r1","route":"r","fingerprint":"part-dead","come_back_ms":11000.0}"#,
    ];
    let steps = story(lines, "r1");
    let events: Vec<&str> = steps.iter().map(|s| &*s.event).collect();
    assert_eq!(events, ["quarantine.judged", "quarantine.refused"]);
    assert!(
        steps[0]
            .fields
            .iter()
            .any(|f| &**f == "crashes=i-1 i-2 i-3")
    );
}

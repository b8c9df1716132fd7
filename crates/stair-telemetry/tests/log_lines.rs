//! Log lines on standard error, written by a child process that runs this test binary.

use std::process::Command;

use stair_config::TelemetrySettings;
use stair_telemetry::{
    Part,
    debug,
    info,
    log, //
};

const CHILD: &str = "STAIR_LOG_CHILD";

fn lines_of_child(form: &str) -> Vec<String> {
    let output = Command::new(std::env::current_exe().unwrap())
        .args(["--exact", "writes_lines", "--nocapture"])
        .env(CHILD, form)
        .output()
        .unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    text.lines().map(str::to_owned).collect()
}

#[test]
fn writes_lines() {
    let Ok(form) = std::env::var(CHILD) else {
        return;
    };
    let settings = TelemetrySettings {
        json: form == "json",
        ..TelemetrySettings::default()
    };
    log::init(&settings).unwrap();
    info!(Part::Grants, "shard {} has {} grants", 3, 12);
    debug!(Part::Queue, "below the level");
}

#[test]
fn text_lines() {
    let lines = lines_of_child("text");
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].ends_with(" info grants: shard 3 has 12 grants"));
}

#[test]
fn json_lines() {
    let lines = lines_of_child("json");
    assert_eq!(lines.len(), 1, "{lines:?}");
    let line: serde_json::Value = serde_json::from_str(&lines[0]).unwrap();
    assert_eq!(line["level"], "info");
    assert_eq!(line["payload"], "grants: shard 3 has 12 grants");
}

//! The texts of the problems that invalid files report.

use stair_config::{
    AgentSettings,
    Catalogue,
    Declarations,
    Document,
    EntrySettings,
    Problems, //
};

const MODELS: &str = r#"
models:
  - name: qwen/base
    version: 2024.1
    memory_mib: 0
    replicas: 70000
    repeatable: yes please
    colour: blue
  - name: notes
    version: "1"
    memory_mib: 8000
    replicas: 1
    adapters:
      - name: legal
        version: "1"
        memory_mib: 64
      - name: legal
        version: "2"
        memory_mib: 64
  - just a text
policy:
  keep:
    min_idle_ms: 900000
    cold_start_weight: -1
tears: []
"#;

const OTHERS: &str = r#"
models:
  - { name: notes, version: "1", memory_mib: 8000, replicas: 1 }
tiers:
  - { name: gold, rank: 0, floor_percent: 70, timeout_ms: 1000, max_waiting: 10 }
  - { name: iron, rank: 2, floor_percent: 40, timeout_ms: 1000, max_waiting: 10 }
callers:
  - name: clerks
    key_sha256: sk-this-is-the-key-itself
    tier: gold
  - name: chambers
    key_sha256: "00000000000000000000000000000000000000000000000000000000000000aa"
    tier: silver
services:
  - name: lookup
    concurrency: 0
    routes:
      - { method: get, prefix: lookups, repeatable: true }
policy: {}
"#;

fn declared(files: &[(&str, &str)]) -> Result<Catalogue, Problems> {
    let parse = |(name, text): &(&str, &str)| Document::parse(name, text).unwrap();
    Catalogue::try_from(Declarations::new(files.iter().map(parse).collect()))
}

// One run reports the problems of all files. A key written in place of its hash must not appear in
// the report, which may end up in a log.
#[test]
fn bad_declarations() {
    let problems = declared(&[("a.yaml", MODELS), ("b.yaml", OTHERS)]).unwrap_err();
    let text = problems.to_string();
    assert!(!text.contains("sk-this-is-the-key-itself"));
    insta::assert_snapshot!(text);
}

// Every missing field is reported at the line of its item.
#[test]
fn missing_fields() {
    let text = "models: [{}]\ntiers: [{}]\ncallers: [{}]\nservices: [{}]\n";
    insta::assert_snapshot!(declared(&[("a.yaml", text)]).unwrap_err());
}

#[test]
fn broken_yaml() {
    let problems = Document::parse("a.yaml", "models:\n  - name: a\n - name: b\n").unwrap_err();
    insta::assert_snapshot!(problems);
}

// A decoder that takes the last of two equal keys would silently drop the items of the first.
#[test]
fn repeated_key() {
    let problems = Document::parse("a.yaml", "models: []\nmodels: []\n").unwrap_err();
    insta::assert_snapshot!(problems);
}

// NaN has no order and no JSON encoding, so the decoder rejects it.
#[test]
fn not_finite() {
    let problems = Document::parse("a.yaml", "policy:\n  weight: .nan\n").unwrap_err();
    insta::assert_snapshot!(problems);
}

// Invalid fields of an entry, then an agent with two targets, then one with invalid memory.
#[test]
fn bad_settings() {
    let text = r#"
name: "entry 1"
data_centre: sthlm-1
listen: "localhost:8080"
link: "10.0.0.1"
operator: 7401
peers: ["10.0.0.2:7400", "10.0.0.3", "10.0.0.4:0"]
tls: { authority: a.pem, certificate: "" }
limits:
  max_body_bytes: 1000
  max_waiting_bytes: 10
  max_requests: -1
telemetry: { level: loud, statsd: null }
"#;
    let document = Document::parse("entry.yaml", text).unwrap();
    insta::assert_snapshot!(EntrySettings::try_from(&document).unwrap_err());
    let text = r#"
name: serving-1
data_centre: lahore-1
link: "10.0.0.1:7400"
operator: "10.0.0.1:8000"
platform: "10.0.0.5:7000"
target:
  engine: { address: "10.0.0.1:8000", memory_mib: 0 }
  service: { address: "10.0.0.1:8000", service: lookup }
tls: { authority: a.pem, certificate: c.pem, key: k.pem }
"#;
    let document = Document::parse("agent.yaml", text).unwrap();
    insta::assert_snapshot!(AgentSettings::try_from(&document).unwrap_err());
    let one_target: Vec<&str> = text.lines().filter(|l| !l.contains("service:")).collect();
    let document = Document::parse("agent.yaml", &one_target.join("\n")).unwrap();
    insta::assert_snapshot!(AgentSettings::try_from(&document).unwrap_err());
}

// Settings that are valid field by field but not together: two listeners at one address, an entry
// among its own peers, an agent that publishes an unspecified address.
#[test]
fn same_address() {
    let tls = "tls: { authority: a.pem, certificate: c.pem, key: k.pem }";
    let text = format!(
        r#"
name: entry-1
data_centre: sthlm-1
listen: "10.0.0.1:8080"
link: "10.0.0.1:7400"
operator: "10.0.0.1:8080"
platform: "10.0.0.5:7000"
peers: ["10.0.0.2:7400", "10.0.0.1:7400"]
{tls}
"#
    );
    let document = Document::parse("entry.yaml", &text).unwrap();
    insta::assert_snapshot!(EntrySettings::try_from(&document).unwrap_err());
    let text = format!(
        r#"
name: serving-1
data_centre: lahore-1
link: "0.0.0.0:7400"
operator: "10.0.0.1:7401"
platform: "10.0.0.5:7000"
target:
  service: {{ address: "10.0.0.1:7401", service: lookup }}
{tls}
"#
    );
    let document = Document::parse("agent.yaml", &text).unwrap();
    insta::assert_snapshot!(AgentSettings::try_from(&document).unwrap_err());
}

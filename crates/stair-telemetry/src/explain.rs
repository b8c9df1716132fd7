//! Reconstructs the timeline of one request from the structured lines of several processes.
//!
//! Any prefix before the JSON object of a line is ignored, since collectors put the time and the VM
//! there.

use serde_json::{
    Map,
    Value, //
};

/// Events without a request id that report a change of a target or its agent. They are included
/// when they concern a target of the request and occur between its first and its last line.
const TARGET_EVENTS: [&str; 6] = [
    "target",
    "availability",
    "drain.retained",
    "limit",
    "agent.lost",
    "agent.linked",
];

/// Events that report a change of what a process knows of the store. They are included when a process
/// of the request wrote them between the request's first and its last line.
const STORE_EVENTS: [&str; 5] = [
    "store.era",
    "store.era_observed",
    "targets",
    "targets.dropped",
    "version",
];

/// One event in the timeline of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// Seconds since the Unix epoch, by the clock of the reporting process.
    pub at: f64,
    /// The name of the process that wrote the line.
    pub process: Box<str>,
    /// The name of the log event.
    pub event: Box<str>,
    /// The remaining fields of the line, as `name=value`.
    pub fields: Vec<Box<str>>,
}

/// Returns the events of the request with this id, ordered by time, and those of all other attempts of its client
/// at the same stream.
///
/// Lines without a valid JSON object are skipped. The result is empty when no line has the id.
pub fn story<'a, I>(lines: I, id: &str) -> Vec<Step>
where
    I: IntoIterator<Item = &'a str> + Clone,
{
    let ids = attempts(lines.clone(), id);
    let own_lines: Vec<Map<String, Value>> = lines
        .clone()
        .into_iter()
        .filter(|l| ids.iter().any(|id| l.contains(&**id)))
        .filter_map(parse_object)
        .filter(|o| text(o, "id").is_some_and(|of| ids.iter().any(|id| **id == *of)))
        .collect();
    let targets: Vec<&str> = own_lines
        .iter()
        .filter_map(|o| o.get("target").or(o.get("addr"))?.as_str())
        .collect();
    let processes: Vec<&str> = own_lines
        .iter()
        .filter_map(|o| o.get("process")?.as_str())
        .collect();
    let refused = |o: &&Map<String, Value>| text(o, "event") == Some("quarantine.refused");
    let causes: Vec<&str> = own_lines
        .iter()
        .filter(refused)
        .filter_map(|o| text(o, "fingerprint"))
        .collect();
    let (first, last) = time_span(&own_lines);
    let is_around = |o: &Map<String, Value>| {
        let is_near = is_target_event(o, &targets) || is_store_event(o, &processes);
        is_near && (first..=last).contains(&timestamp(o))
    };
    let around = lines
        .into_iter()
        .filter_map(parse_object)
        .filter(|o| is_around(o) || is_verdict(o, &causes));
    let mut steps: Vec<Step> = own_lines
        .iter()
        .cloned()
        .chain(around)
        .map(|o| to_step(o, id))
        .collect();
    steps.sort_by(|a, b| a.at.total_cmp(&b.at));
    steps.dedup();
    steps
}

/// The ids of all attempts at the stream of a request, its own first.
fn attempts<'a, I>(lines: I, id: &str) -> Vec<Box<str>>
where
    I: IntoIterator<Item = &'a str> + Clone,
{
    let continuations = || {
        let lines = lines.clone().into_iter();
        let named = lines.filter(|l| l.contains("\"continues\":"));
        named.filter_map(parse_object)
    };
    let own = continuations().find(|o| text(o, "id") == Some(id));
    let first = own.as_ref().and_then(|o| text(o, "continues"));
    let first: Box<str> = first.filter(|f| !f.is_empty()).unwrap_or(id).into();
    let others = continuations().filter(|o| text(o, "continues") == Some(&first));
    let others = others.filter_map(|o| Some(text(&o, "id")?.into()));
    let mut ids: Vec<Box<str>> = vec![id.into(), first.clone()];
    ids.extend(others);
    ids.sort();
    ids.dedup();
    ids
}

fn text<'a>(o: &'a Map<String, Value>, name: &str) -> Option<&'a str> {
    o.get(name).and_then(Value::as_str)
}

pub(crate) fn parse_object(line: &str) -> Option<Map<String, Value>> {
    let start = line.find('{')?;
    serde_json::from_str(line[start..].trim_end()).ok()
}

fn timestamp(o: &Map<String, Value>) -> f64 {
    o.get("ts").and_then(Value::as_f64).unwrap_or(0.0)
}

fn time_span(lines: &[Map<String, Value>]) -> (f64, f64) {
    let first = lines.iter().map(timestamp).fold(f64::INFINITY, f64::min);
    let last = lines
        .iter()
        .map(timestamp)
        .fold(f64::NEG_INFINITY, f64::max);
    (first, last)
}

fn is_target_event(o: &Map<String, Value>, targets: &[&str]) -> bool {
    let text = |name: &str| o.get(name).and_then(Value::as_str);
    let kind = text("event").is_some_and(|e| TARGET_EVENTS.contains(&e));
    let named = text("target").or(text("engine"));
    kind && named.is_some_and(|t| targets.contains(&t))
}

fn is_store_event(o: &Map<String, Value>, processes: &[&str]) -> bool {
    let text = |name: &str| o.get(name).and_then(Value::as_str);
    let kind = text("event").is_some_and(|e| STORE_EVENTS.contains(&e));
    kind && text("process").is_some_and(|p| processes.contains(&p))
}

/// Whether a ledger has judged one of the causes, at whatever time.
fn is_verdict(o: &Map<String, Value>, causes: &[&str]) -> bool {
    let cause = text(o, "fingerprint");
    text(o, "event") == Some("quarantine.judged") && cause.is_some_and(|c| causes.contains(&c))
}

fn to_step(o: Map<String, Value>, own: &str) -> Step {
    let text = |name: &str| text(&o, name).unwrap_or("").into();
    let hidden = ["ts", "up", "process", "event"];
    let is_own = |v: &Value| v.as_str() == Some(own);
    let shown = o
        .iter()
        .filter(|(k, _)| !hidden.contains(&k.as_str()))
        .filter(|(k, v)| *k != "id" || !is_own(v));
    let fields = shown
        .map(|(k, v)| match v.as_str() {
            Some(v) => format!("{k}={v}").into(),
            None => format!("{k}={v}").into(),
        })
        .collect();
    Step {
        at: timestamp(&o),
        process: text("process"),
        event: text("event"),
        fields,
    }
}

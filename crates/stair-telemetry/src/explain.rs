//! Tells one request's story out of the structured lines of several processes.
//!
//! A line may have anything before its JSON object, as collectors put the time and the VM there.

use serde_json::{
    Map,
    Value, //
};

/// What happened around a request that bears no request's id: a target or agent changed at the same
/// time. Lines of these kinds about the request's targets are shown too.
const TARGET_EVENTS: [&str; 3] = ["target", "agent.lost", "agent.linked"];

/// One line of the story.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// Seconds since the epoch, by the clock of the process.
    pub at: f64,
    /// The process that says so.
    pub process: Box<str>,
    /// What happened.
    pub event: Box<str>,
    /// The rest of the line, as `name=value`.
    pub fields: Vec<Box<str>>,
}

/// Picks the lines about a request and orders them by time.
pub fn story<'a, I>(lines: I, id: &str) -> Vec<Step>
where
    I: IntoIterator<Item = &'a str> + Clone,
{
    let own_lines: Vec<Map<String, Value>> = lines
        .clone()
        .into_iter()
        .filter(|l| l.contains(id))
        .filter_map(parse_object)
        .filter(|o| o.get("id").and_then(Value::as_str) == Some(id))
        .collect();
    let targets: Vec<&str> = own_lines
        .iter()
        .filter_map(|o| o.get("target").or(o.get("addr"))?.as_str())
        .collect();
    let (first, last) = time_span(&own_lines);
    let around = lines
        .into_iter()
        .filter_map(parse_object)
        .filter(|o| is_target_event(o, &targets) && (first..=last).contains(&timestamp(o)));
    let mut steps: Vec<Step> = own_lines
        .iter()
        .cloned()
        .chain(around)
        .map(to_step)
        .collect();
    steps.sort_by(|a, b| a.at.total_cmp(&b.at));
    steps.dedup();
    steps
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

fn to_step(o: Map<String, Value>) -> Step {
    let text = |name: &str| o.get(name).and_then(Value::as_str).unwrap_or("").into();
    let hidden = ["ts", "up", "process", "event", "id"];
    let shown = o.iter().filter(|(k, _)| !hidden.contains(&k.as_str()));
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

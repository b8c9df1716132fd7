//! Counts how requests ended, by route, model and reason, from the structured lines of several
//! entries.
//!
//! [`explain`](crate::explain) shows why one request failed; these counts show which reasons are
//! the most frequent.

use std::fmt;

use serde_json::{
    Map,
    Value, //
};

use crate::explain::parse_object;

/// Fraction of the objective above which one kind of wait counts as the reason for a late response.
const MAIN_WAIT_FRACTION: f64 = 0.4;

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// The response met the objectives of the route.
    OnTime,
    /// Late: the model had to be loaded first.
    LateModel,
    /// Late: the adapter had to be fetched first.
    LateAdapter,
    /// Late: the request was sent more than once.
    LateRetry,
    /// Late for no other known reason: the request queued at its target.
    LateQueue,
    /// The stream paused for longer than the route allows.
    Paused,
    /// The response was truncated.
    Cut,
    /// The target responded with an error status (400 or above).
    TargetFailed,
    /// The entry refused the request, for this reason.
    Refused(Box<str>),
    /// The client disconnected before the response was complete.
    ClientLeft,
    /// No line reports the end: the entry stopped, or lines were dropped.
    Unknown,
}

/// The number of requests with the same route, model and end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// The name of the route.
    pub route: Box<str>,
    /// The model, empty for plain services.
    pub model: Box<str>,
    /// How the requests ended.
    pub end: End,
    /// The number of requests.
    pub count: usize,
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::OnTime => "on time",
            Self::LateModel => "late, model not loaded",
            Self::LateAdapter => "late, adapter not loaded",
            Self::LateRetry => "late, sent again",
            Self::LateQueue => "late, queued",
            Self::Paused => "paused too long",
            Self::Cut => "cut",
            Self::TargetFailed => "target failed",
            Self::Refused(reason) => return write!(f, "refused, {reason}"),
            Self::ClientLeft => "client left",
            Self::Unknown => "no end known",
        };
        f.write_str(text)
    }
}

/// Counts the requests in the lines; the rows are sorted by route, model and end.
///
/// Requests without a `request` line are left out.
pub fn count<'a, I>(lines: I) -> Vec<Row>
where
    I: IntoIterator<Item = &'a str>,
{
    let mut all: Vec<Map<String, Value>> = lines
        .into_iter()
        .filter_map(parse_object)
        .filter(|o| o.contains_key("id"))
        .collect();
    // All lines of a request come from one process, which writes them in order; the sort is stable
    // and keeps that order.
    all.sort_by(|a, b| text(a, "id").cmp(text(b, "id")));
    let mut ends: Vec<(Box<str>, Box<str>, End)> = all
        .chunk_by(|a, b| text(a, "id") == text(b, "id"))
        .filter_map(classify_request)
        .collect();
    ends.sort();
    ends.chunk_by(|a, b| a == b)
        .map(|same| Row {
            route: same[0].0.clone(),
            model: same[0].1.clone(),
            end: same[0].2.clone(),
            count: same.len(),
        })
        .collect()
}

fn classify_request(lines: &[Map<String, Value>]) -> Option<(Box<str>, Box<str>, End)> {
    let request = lines.iter().find(|o| text(o, "event") == "request")?;
    let end = classify(request, lines);
    Some((
        text(request, "route").into(),
        text(request, "model").into(),
        end,
    ))
}

fn classify(request: &Map<String, Value>, lines: &[Map<String, Value>]) -> End {
    let last = |event: &str| lines.iter().rev().find(|o| text(o, "event") == event);
    if let Some(refused) = last("refused") {
        return End::Refused(text(refused, "reason").into());
    }
    let Some(answered) = last("answered") else {
        return match last("client.left") {
            Some(_) => End::ClientLeft,
            None => End::Unknown,
        };
    };
    match text(answered, "end") {
        "" | "complete" => {}
        "client gone" => return End::ClientLeft,
        _ => return End::Cut,
    }
    if number(answered, "status") >= 400.0 {
        return End::TargetFailed;
    }
    let objective = number(request, "objective_ms");
    let gap = number(request, "gap_ms");
    let first = answered
        .get("first_ms")
        .or(answered.get("took_ms"))
        .and_then(Value::as_f64)
        .unwrap_or(0.0);
    if objective > 0.0 && first > objective {
        return classify_late(lines, objective);
    }
    if gap > 0.0 && number(answered, "pause_ms") > gap {
        return End::Paused;
    }
    End::OnTime
}

fn classify_late(lines: &[Map<String, Value>], objective: f64) -> End {
    let took = |event: &str| -> f64 {
        let of = lines.iter().filter(|o| text(o, "event") == event);
        of.map(|o| number(o, "took_ms")).sum()
    };
    let main_wait_ms = MAIN_WAIT_FRACTION * objective;
    let attempts = lines.iter().filter(|o| text(o, "event") == "attempt");
    if took("woken") + took("woken.elsewhere") > main_wait_ms {
        End::LateModel
    } else if took("adapter") > main_wait_ms {
        End::LateAdapter
    } else if attempts.count() > 1 {
        End::LateRetry
    } else {
        End::LateQueue
    }
}

fn text<'a>(o: &'a Map<String, Value>, name: &str) -> &'a str {
    o.get(name).and_then(Value::as_str).unwrap_or("")
}

fn number(o: &Map<String, Value>, name: &str) -> f64 {
    o.get(name).and_then(Value::as_f64).unwrap_or(0.0)
}

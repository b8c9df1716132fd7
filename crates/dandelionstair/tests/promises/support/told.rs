//! What callers were told, held against what ran.

use std::time::Duration;

use serde_json::Value;
use stair_standin::engine;
use tokio::task::JoinSet;

use super::{
    Answer,
    Ask,
    Caller,
    World,
    eventually,
    world::dump, //
};

/// A message that is still under way when all is quiet would have to be older than any wait of an
/// entry or an agent for one: a start follows within two seconds.
const LATE: Duration = Duration::from_secs(3);

/// One request and what its caller was told.
#[derive(Debug)]
pub(crate) struct Told {
    pub(crate) marker: String,
    pub(crate) tokens: u32,
    pub(crate) streamed: bool,
    pub(crate) answer: Answer,
}

impl Told {
    pub(crate) fn is_not_run(&self) -> bool {
        &*self.answer.verdict == "not-run"
    }

    pub(crate) fn may_have_run(&self) -> bool {
        &*self.answer.verdict == "may-have-run"
    }

    pub(crate) fn reason(&self) -> String {
        let code = self.answer.error("code");
        code.as_str().unwrap_or_default().to_owned()
    }

    /// Checks that nothing came but the answer to this request, and that it looks complete only
    /// when it is.
    pub(crate) fn check_text(&self) {
        let answer = &self.answer;
        if answer.status != 200 {
            return;
        }
        let wanted = engine::text(&self.marker, self.tokens);
        if !self.streamed {
            if answer.whole {
                assert_eq!(answer.text(), wanted, "{}", self.marker);
            }
            return;
        }
        let text = answer.streamed_text();
        assert!(wanted.starts_with(&text), "{} got {text}", self.marker);
        if answer.whole || answer.has_done() {
            assert_eq!(text, wanted, "{} looks complete", self.marker);
            assert!(answer.has_done(), "{} has no end mark", self.marker);
        }
    }
}

/// Requests under way.
#[derive(Default)]
pub(crate) struct Burst {
    tasks: JoinSet<Told>,
}

impl Burst {
    /// Sends a completion; `change` sets what it needs beyond model, marker and length.
    pub(crate) fn send<F>(
        &mut self,
        caller: &Caller,
        model: &str,
        marker: String,
        tokens: u32,
        streamed: bool,
        change: F,
    ) where
        F: FnOnce(Ask) -> Ask,
    {
        let mut ask = change(Ask::completion(model, &marker, tokens));
        if streamed {
            ask = ask.streamed();
        }
        let caller = caller.clone();
        self.tasks.spawn(async move {
            let answer = caller.ask(&ask).await;
            Told {
                marker,
                tokens,
                streamed,
                answer,
            }
        });
    }

    /// Returns the number of requests that have no answer yet.
    pub(crate) fn open(&mut self) -> usize {
        self.tasks.len()
    }

    /// Waits for all answers.
    pub(crate) async fn told(self) -> Vec<Told> {
        self.tasks.join_all().await
    }
}

/// Waits until nothing runs or waits anywhere, and then so long that nothing late can start.
pub(crate) async fn until_quiet(world: &mut World) {
    eventually("no engine runs anything", async || {
        world.recorder.runs(|r| r.ended.is_none()).is_empty()
    })
    .await;
    for agent in &mut world.agents {
        if agent.process.has_ended() {
            continue;
        }
        let operator = agent.operator;
        eventually("no agent has a request", async || {
            let dump = dump(operator).await;
            let is_empty = |f: &str| dump[f].as_array().is_some_and(Vec::is_empty);
            dump != Value::Null && is_empty("waiting") && is_empty("running")
        })
        .await;
    }
    tokio::time::sleep(LATE).await;
}

/// Checks every "not run" against the records, now and when all is quiet; returns how many there
/// were.
pub(crate) async fn check_not_run(world: &mut World, told: &[Told]) -> usize {
    let not_run: Vec<&Told> = told.iter().filter(|t| t.is_not_run()).collect();
    for _ in 0..2 {
        for told in &not_run {
            let runs = world.recorder.runs_of(&told.marker);
            assert!(runs.is_empty(), "{told:?} is not true: {runs:?}");
        }
        until_quiet(world).await;
    }
    not_run.len()
}

/// Prints how often each verdict and reason was told; `--nocapture` shows it.
pub(crate) fn print_counts(what: &str, told: &[Told]) {
    let mut all: Vec<String> = told
        .iter()
        .map(|t| {
            let end = match (t.answer.whole, t.answer.status) {
                (true, _) => "",
                (false, 0) => &*t.answer.body,
                (false, _) => " cut",
            };
            let (verdict, reason) = (&t.answer.verdict, t.reason());
            format!("{} {verdict} {reason}{end}", t.answer.status)
        })
        .collect();
    all.sort();
    for group in all.chunk_by(|a, b| a == b) {
        println!("{what}: {} x {}", group.len(), group[0]);
    }
}

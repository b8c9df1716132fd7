//! What engines and services did, shared by all stand-ins of a test.

use std::{
    sync::Arc,
    time::Instant, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use tokio::sync::watch;

use crate::server::expected;

/// One run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    /// The request's `X-Request-Id`, empty without one.
    pub id: Box<str>,
    /// The marker that the caller put in.
    pub marker: Box<str>,
    /// The model (`m` or `m/adapter`), or for a service the path.
    pub model: Box<str>,
    /// The engine or service.
    pub target: Box<str>,
    /// When it began to run.
    pub started: Instant,
    /// When it ended, if it did.
    pub ended: Option<Instant>,
    /// Whether the whole answer was made; a run that was cut or cancelled has ended without.
    pub completed: bool,
}

/// Where a load reads from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// Cached in the VM's memory.
    Memory,
    /// Cached on the VM's disk.
    Disk,
    /// The weight store.
    Remote,
}

/// What an engine did with a model or an adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// It loaded.
    Load(Source),
    /// It unloaded.
    Unload,
}

/// One load or unload.
#[derive(Debug, Clone)]
pub struct Change {
    /// The engine.
    pub target: Box<str>,
    /// `m` or `m/adapter`.
    pub model: Box<str>,
    /// What it did.
    pub action: Action,
    /// When it began.
    pub started: Instant,
    /// When it ended, if it did.
    pub ended: Option<Instant>,
    /// Whether it came to its end; a load that failed or went down in a crash did not.
    pub completed: bool,
}

/// Everything recorded.
#[derive(Debug, Default)]
pub struct Records {
    /// In the order of their starts.
    pub runs: Vec<Run>,
    /// In the order of their starts.
    pub changes: Vec<Change>,
    holdings: Vec<Holding>,
    holders: Vec<Peak>,
    memory: Vec<Peak>,
}

#[derive(Debug)]
struct Holding {
    target: Box<str>,
    model: Box<str>,
    memory_mib: u32,
}

#[derive(Debug)]
struct Peak {
    of: Box<str>,
    value: u32,
}

/// The records of a test. Cloning shares them.
#[derive(Debug, Clone)]
pub struct Recorder {
    records: Arc<watch::Sender<Records>>,
}

impl Default for Recorder {
    fn default() -> Self {
        Self {
            records: Arc::new(watch::channel(Records::default()).0),
        }
    }
}

impl Recorder {
    /// Makes an empty one.
    pub fn new() -> Self {
        Self::default()
    }

    /// Waits until the records fulfil a condition.
    ///
    /// # Panics
    ///
    /// After half a minute.
    pub async fn until(&self, condition: impl FnMut(&Records) -> bool) {
        let mut rx = self.records.subscribe();
        // The sender lives in `self`.
        let _ = expected(rx.wait_for(condition)).await;
    }

    /// Returns the runs that carried a marker.
    pub fn runs_of(&self, marker: &str) -> Vec<Run> {
        self.runs(|run| &*run.marker == marker)
    }

    /// Returns the runs of a request.
    pub fn runs_by_id(&self, id: &str) -> Vec<Run> {
        self.runs(|run| &*run.id == id)
    }

    /// Returns the runs that fulfil a condition.
    pub fn runs(&self, condition: impl Fn(&Run) -> bool) -> Vec<Run> {
        let records = self.records.borrow();
        records
            .runs
            .iter()
            .filter(|run| condition(run))
            .cloned()
            .collect()
    }

    /// Returns the loads of a model or, as `m/adapter`, of an adapter.
    pub fn loads(&self, model: &str) -> Vec<Change> {
        self.changes(model, |action| matches!(action, Action::Load(_)))
    }

    /// Returns the unloads of a model or an adapter.
    pub fn unloads(&self, model: &str) -> Vec<Change> {
        self.changes(model, |action| action == Action::Unload)
    }

    /// Returns the largest number of engines that held a model at one moment, whether they were
    /// loading it, had it or were unloading it.
    pub fn max_holders(&self, model: &str) -> u32 {
        peak(&self.records.borrow().holders, model)
    }

    /// Returns the most memory that a target had in use at one moment, in MiB.
    pub fn peak_memory(&self, target: &str) -> u32 {
        peak(&self.records.borrow().memory, target)
    }

    fn changes(&self, model: &str, wanted: impl Fn(Action) -> bool) -> Vec<Change> {
        let records = self.records.borrow();
        let fits = |change: &&Change| &*change.model == model && wanted(change.action);
        records.changes.iter().filter(fits).cloned().collect()
    }

    /// Records the start of a run; it ends when the returned guard is dropped.
    pub(crate) fn run(&self, id: &str, marker: &str, model: &str, target: &str) -> RunGuard {
        let mut index = 0;
        self.records.send_modify(|records| {
            index = records.runs.len();
            records.runs.push(Run {
                id: id.into(),
                marker: marker.into(),
                model: model.into(),
                target: target.into(),
                started: Instant::now(),
                ended: None,
                completed: false,
            });
        });
        RunGuard {
            recorder: self.clone(),
            index,
            completed: false,
        }
    }

    /// Records the start of a load or an unload, and returns its place.
    pub(crate) fn begin(&self, target: &str, model: &str, action: Action) -> usize {
        let mut index = 0;
        self.records.send_modify(|records| {
            index = records.changes.len();
            records.changes.push(Change {
                target: target.into(),
                model: model.into(),
                action,
                started: Instant::now(),
                ended: None,
                completed: false,
            });
        });
        index
    }

    pub(crate) fn end(&self, index: usize, completed: bool) {
        self.records.send_modify(|records| {
            let change = &mut records.changes[index];
            change.ended = Some(Instant::now());
            change.completed = completed;
        });
    }

    pub(crate) fn hold(&self, target: &str, model: &str, memory_mib: u32) {
        self.records.send_modify(|records| {
            records.holdings.push(Holding {
                target: target.into(),
                model: model.into(),
                memory_mib,
            });
            let of_model = records.holdings.iter().filter(|h| &*h.model == model);
            let holders = of_model.count() as u32;
            raise(&mut records.holders, model, holders);
            let of_target = records.holdings.iter().filter(|h| &*h.target == target);
            let memory = of_target.map(|h| h.memory_mib).sum();
            raise(&mut records.memory, target, memory);
        });
    }

    pub(crate) fn release(&self, target: &str, model: &str) {
        self.records.send_modify(|records| {
            let kept = |h: &Holding| &*h.target != target || &*h.model != model;
            records.holdings.retain(kept);
        });
    }

    pub(crate) fn release_all(&self, target: &str) {
        self.records
            .send_modify(|records| records.holdings.retain(|h| &*h.target != target));
    }
}

/// A run in work.
pub(crate) struct RunGuard {
    recorder: Recorder,
    index: usize,
    completed: bool,
}

impl RunGuard {
    pub(crate) fn complete(mut self) {
        self.completed = true;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.recorder.records.send_modify(|records| {
            let run = &mut records.runs[self.index];
            run.ended = Some(Instant::now());
            run.completed = self.completed;
        });
    }
}

fn raise(peaks: &mut Vec<Peak>, of: &str, value: u32) {
    match peaks.binary_search_by(|peak| (*peak.of).cmp(of)) {
        Ok(at) => peaks[at].value = peaks[at].value.max(value),
        Err(at) => {
            let of = of.into();
            peaks.insert(at, Peak { of, value });
        }
    }
}

fn peak(peaks: &[Peak], of: &str) -> u32 {
    match peaks.binary_search_by(|peak| (*peak.of).cmp(of)) {
        Ok(at) => peaks[at].value,
        Err(_) => 0,
    }
}

//! What an engine holds, and the decisions on loads and unloads.

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    Cached,
    Faults,
    Options, //
};
use crate::recorder::Source;

/// How far a model or an adapter is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HeldState {
    /// Being loaded; its memory is taken.
    Loading,
    /// Ready for runs.
    Loaded,
    /// Being unloaded; its memory is still taken.
    Unloading,
}

/// The answer to `GET /engine`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Accelerator memory.
    pub memory_mib: u32,
    /// Models in the order of their loads.
    pub models: Vec<ModelStatus>,
    /// Runs in work.
    pub running: usize,
    /// Runs that wait for others to end.
    pub waiting: usize,
    /// The highest fencing token seen.
    pub fence: u64,
}

/// A model that is held.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelStatus {
    /// Its name.
    pub name: Box<str>,
    /// Its checkpoint's version.
    pub version: Box<str>,
    /// Its memory without adapters.
    pub memory_mib: u32,
    /// How far it is.
    pub state: HeldState,
    /// Its adapters.
    pub adapters: Vec<AdapterStatus>,
}

/// An adapter that is held.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterStatus {
    /// Its name.
    pub name: Box<str>,
    /// Its version.
    pub version: Box<str>,
    /// Its memory.
    pub memory_mib: u32,
    /// How far it is.
    pub state: HeldState,
}

/// A model under its name, or an adapter under `model/adapter`.
pub(super) struct Held {
    pub(super) key: Box<str>,
    version: Box<str>,
    memory_mib: u32,
    pub(super) state: HeldState,
    pub(super) source: Source,
}

/// An order to load.
pub(super) struct Load {
    pub(super) key: Box<str>,
    pub(super) version: Box<str>,
    pub(super) memory_mib: u32,
    pub(super) fence: u64,
}

/// What becomes of an order to load.
pub(super) enum LoadStep {
    Start { source: Source, life: u64 },
    Loaded(Source),
    AwaitLoad,
    AwaitUnload,
    Down,
    StaleFence,
    OtherVersion,
    NoModel,
    NoMemory,
}

/// What becomes of an order to unload.
pub(super) enum UnloadStep {
    Start { life: u64 },
    AwaitLoad,
    AwaitUnload,
    StaleFence,
    NotHeld,
}

pub(super) struct State {
    pub(super) faults: Faults,
    /// Rises with each crash, so that work from before does not touch what came after.
    pub(super) life: u64,
    /// Between crash and restart, when calls may still be ending.
    pub(super) down: bool,
    pub(super) running: usize,
    pub(super) waiting: usize,
    fence: u64,
    held: Vec<Held>,
    cached: Vec<Cached>,
}

impl State {
    pub(super) fn new(opts: &Options) -> Self {
        Self {
            faults: Faults::default(),
            life: 0,
            down: false,
            running: 0,
            waiting: 0,
            fence: 0,
            held: Vec::new(),
            cached: opts.cached.clone(),
        }
    }

    pub(super) fn status(&self, opts: &Options) -> Status {
        let models = self.held.iter().filter(|held| !held.key.contains('/'));
        Status {
            memory_mib: opts.memory_mib,
            models: models.map(|held| self.model_status(held)).collect(),
            running: self.running,
            waiting: self.waiting,
            fence: self.fence,
        }
    }

    fn model_status(&self, model: &Held) -> ModelStatus {
        let adapters = self.held.iter().filter_map(|held| {
            let (of, name) = held.key.split_once('/')?;
            (of == &*model.key).then(|| AdapterStatus {
                name: name.into(),
                version: held.version.clone(),
                memory_mib: held.memory_mib,
                state: held.state,
            })
        });
        ModelStatus {
            name: model.key.clone(),
            version: model.version.clone(),
            memory_mib: model.memory_mib,
            state: model.state,
            adapters: adapters.collect(),
        }
    }

    pub(super) fn crash(&mut self) {
        self.life += 1;
        self.down = true;
        self.fence = 0;
        self.held.clear();
    }

    pub(super) fn find(&self, key: &str) -> Option<&Held> {
        self.held.iter().find(|held| &*held.key == key)
    }

    /// Tells whether a run of this model or adapter can go on.
    pub(super) fn is_loaded(&self, key: &str) -> bool {
        let loaded = |key: &str| {
            let held = self.find(key);
            held.is_some_and(|held| held.state == HeldState::Loaded)
        };
        loaded(key) && key.split_once('/').is_none_or(|(model, _)| loaded(model))
    }

    pub(super) fn begin_load(&mut self, load: &Load, opts: &Options) -> LoadStep {
        if self.down {
            return LoadStep::Down;
        }
        if !self.pass_fence(load.fence, opts) {
            return LoadStep::StaleFence;
        }
        if let Some(held) = self.find(&load.key) {
            return match held.state {
                HeldState::Unloading => LoadStep::AwaitUnload,
                _ if held.version != load.version => LoadStep::OtherVersion,
                HeldState::Loading => LoadStep::AwaitLoad,
                HeldState::Loaded => LoadStep::Loaded(held.source),
            };
        }
        if let Some((model, _)) = load.key.split_once('/')
            && !self.is_loaded(model)
        {
            return LoadStep::NoModel;
        }
        let used: u32 = self.held.iter().map(|held| held.memory_mib).sum();
        if opts.refuse_overcommit && used + load.memory_mib > opts.memory_mib {
            return LoadStep::NoMemory;
        }
        let source = self.source(&load.key);
        self.held.push(Held {
            key: load.key.clone(),
            version: load.version.clone(),
            memory_mib: load.memory_mib,
            state: HeldState::Loading,
            source,
        });
        let life = self.life;
        LoadStep::Start { source, life }
    }

    pub(super) fn end_load(&mut self, key: &str) {
        self.set(key, HeldState::Loaded);
        if self.source(key) == Source::Remote {
            self.cached.push(Cached {
                model: key.into(),
                source: Source::Disk,
            });
        }
    }

    pub(super) fn begin_unload(&mut self, key: &str, fence: u64, opts: &Options) -> UnloadStep {
        if !self.pass_fence(fence, opts) {
            return UnloadStep::StaleFence;
        }
        match self.find(key).map(|held| held.state) {
            None => UnloadStep::NotHeld,
            Some(HeldState::Loading) => UnloadStep::AwaitLoad,
            Some(HeldState::Unloading) => UnloadStep::AwaitUnload,
            Some(HeldState::Loaded) => {
                self.set(key, HeldState::Unloading);
                UnloadStep::Start { life: self.life }
            }
        }
    }

    /// Takes out a model with its adapters, or an adapter, and returns all their keys.
    pub(super) fn take_out(&mut self, key: &str) -> Vec<Box<str>> {
        let is_part = |held: &mut Held| {
            let model = held.key.split_once('/').map(|(model, _)| model);
            &*held.key == key || model == Some(key)
        };
        let taken = self.held.extract_if(.., is_part);
        taken.map(|held| held.key).collect()
    }

    fn set(&mut self, key: &str, state: HeldState) {
        let found = self.held.iter_mut().find(|held| &*held.key == key);
        if let Some(held) = found {
            held.state = state;
        }
    }

    fn pass_fence(&mut self, fence: u64, opts: &Options) -> bool {
        if opts.checks_fence && fence < self.fence {
            return false;
        }
        self.fence = self.fence.max(fence);
        true
    }

    fn source(&self, key: &str) -> Source {
        let cached = self.cached.iter().find(|cached| &*cached.model == key);
        cached.map_or(Source::Remote, |cached| cached.source)
    }
}

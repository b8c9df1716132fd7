//! What entries and agents tell each other about engines.
//!
//! The entry opens the connection. Each side sends one message a frame; the agent's first report
//! answers the entry's hello.

use std::{
    fmt,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    catalogue::Engine,
    prefill,
    quarantine::{
        ToLedger,
        ToWatchlist, //
    },
    quota,
    target::{
        Inventory,
        Load, //
    }, //
};

/// From an entry to an agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToAgent {
    /// Who speaks, and how far its knowledge goes; sent first and when it changes.
    Hello(ReplicationState),
    /// The answer to [`ToEntry::DeclarationRequest`]: what the engine's service declares, with the version of the
    /// catalogue that says so.
    #[serde(rename = "Engine")]
    Declaration {
        /// The catalogue's version.
        version: u64,
        /// The declaration.
        engine: Engine,
    },
    /// The present life of the engine beside the agent, and the store's revision that says so.
    #[serde(rename = "Instance")]
    Incarnation {
        /// The engine's id.
        id: Box<str>,
        /// The store's revision.
        revision: u64,
    },
    /// A life that the engine has said it is not.
    #[serde(rename = "Former")]
    StaleIncarnation(Box<str>),
    /// Asks for a model or an adapter.
    LoadRequest(LoadRequest),
    /// Takes a [`LoadRequest`] back: nobody waits for it any more.
    Cancel(u64),
    /// Asks for a prompt's prefill slot.
    Prefill {
        /// Names the question on this connection.
        seq: u64,
        /// The prompt.
        #[serde(rename = "ask")]
        request: prefill::Request,
    },
    /// What the entry has sent to the engine since it last said so.
    Used(Vec<Used>),
    /// How long the prompts took whose first events came since it last said so.
    #[serde(rename = "Read")]
    PrefillTimes(Vec<prefill::Measurement>),
    /// Requests for a model were rejected since no engine could load it in time.
    Unserved(Box<str>),
    /// Asks for a part of a workspace's allowance.
    #[serde(rename = "Allow")]
    QuotaRequest {
        /// Names the question on this connection.
        seq: u64,
        /// The request.
        #[serde(rename = "ask")]
        request: quota::Request,
    },
    /// Gives back what a request has cost that was not run.
    #[serde(rename = "GiveBack")]
    QuotaRefund {
        /// The workspace.
        workspace: Box<str>,
        /// The units.
        cost: f64,
    },
    /// About requests that end the targets that run them.
    Quarantine(ToLedger),
}

/// How far an entry's knowledge goes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReplicationState {
    /// The entry's name.
    pub entry: Box<str>,
    /// Its data centre.
    pub data_centre: Box<str>,
    /// Where it answers other entries that ask for its knowledge.
    pub peer: std::net::SocketAddr,
    /// The version of its catalogue, 0 for none.
    pub catalogue: u64,
    /// The store's revision of its list of targets, 0 for none.
    pub targets: u64,
}

/// Asks for a model, or for an adapter of a model that is there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRequest {
    /// Names the question on this connection.
    pub seq: u64,
    /// The model.
    pub model: Box<str>,
    /// Its adapter, if one is asked for.
    pub adapter: Option<Box<str>>,
    /// Models that may be unloaded to make room, the least missed first.
    pub victims: Vec<Box<str>>,
    /// How many loads run together with this one, itself among them, if it may come from the weight
    /// store; `None` if it may not.
    pub fetch: Option<u32>,
    /// Whether no request waits for it yet; such a request gives way to all others.
    pub prefetch: bool,
    /// Time after which it is of no use.
    #[serde(rename = "of_use")]
    pub timeout: Duration,
}

/// Use of one model at one engine by one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Used {
    /// The model.
    pub model: Box<str>,
    /// Requests sent since the last message.
    pub sent: u32,
    /// Requests in flight now.
    pub in_flight: u32,
}

/// From an agent to an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToEntry {
    /// What the engine holds; sent first and when it changes.
    #[serde(rename = "Holds")]
    Inventory(Box<Inventory>),
    /// The rest of what the agent knows of it; sent when it changes and as a heartbeat.
    Load(Box<Load>),
    /// The answer to a [`LoadRequest`].
    #[serde(rename = "Done")]
    LoadReply {
        /// The question.
        seq: u64,
        /// What came of it.
        outcome: Outcome,
    },
    /// The answer to a [`ToAgent::Prefill`].
    Prefill {
        /// The question.
        seq: u64,
        /// What came of it.
        #[serde(rename = "answer")]
        reply: prefill::Reply,
    },
    /// The answer to a [`ToAgent::QuotaRequest`].
    #[serde(rename = "Allowed")]
    QuotaReply {
        /// The question.
        seq: u64,
        /// What came of it.
        #[serde(rename = "answer")]
        reply: quota::Reply,
    },
    /// The last life that the engine has said it is not; all entries stop using it at once. After a
    /// power cut the store's list has the dead lives for some seconds, and each entry would find out
    /// by requests of its own, a few of which use up its share of the retries.
    #[serde(rename = "Former")]
    StaleIncarnation(Box<str>),
    /// What the entry needs to know of the others that this agent hears.
    Peers(Box<Peers>),
    /// Asks for what the engine's service declares. A declaration names every model; told by each entry to
    /// each agent, those of one change would take more than all else that they say in a minute.
    #[serde(rename = "Declare")]
    DeclarationRequest,
    /// About requests that end the targets that run them.
    Quarantine(ToWatchlist),
}

/// What one entry needs to know of the others. Not their whole list: it changes with each of them
/// many times a second, and every agent would send it to every entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peers {
    /// The least name among all entries, the one told among them.
    #[serde(rename = "least")]
    pub least_name: Box<str>,
    /// Entries that the agent hears, the one told among them.
    pub entries: u32,
    /// The entry of the same data centre that watches the store for the others there: the one with the
    /// least name, which may be the one told.
    pub watcher: Option<Peer>,
    /// The others that are ahead of the one told, by catalogue or by targets; at most two.
    pub newer: Vec<ReplicationState>,
}

/// An entry that other entries can ask.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// The entry's name.
    pub entry: Box<str>,
    /// Where it answers other entries.
    pub addr: std::net::SocketAddr,
}

impl Peers {
    /// Picks what the entry `own` needs to know out of what all entries say; `all` has `own` too.
    pub fn of(own: &ReplicationState, all: &[ReplicationState]) -> Self {
        let newest_catalogue = all
            .iter()
            .filter(|k| k.catalogue > own.catalogue)
            .max_by_key(|k| k.catalogue);
        let newest_targets = all
            .iter()
            .filter(|k| k.targets > own.targets)
            .max_by_key(|k| k.targets);
        let mut newer: Vec<ReplicationState> = newest_catalogue
            .into_iter()
            .chain(newest_targets)
            .cloned()
            .collect();
        newer.dedup();
        Self {
            newer,
            ..EntrySet::of(all).peers(own)
        }
    }
}

/// All entries together, as far as each of them needs to know.
///
/// Worked out once for all of them: by each for itself it would take the square of their number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySet {
    least: Option<Box<str>>,
    entries: u32,
    /// The data centres with the entry that watches the store in each, sorted.
    watchers: Vec<(Box<str>, Peer)>,
}

impl EntrySet {
    /// Takes in what all entries say.
    pub fn of(all: &[ReplicationState]) -> Self {
        let mut watchers: Vec<(Box<str>, Peer)> = Vec::new();
        for known in all {
            let peer = Peer {
                entry: known.entry.clone(),
                addr: known.peer,
            };
            match watchers.binary_search_by(|(dc, _)| dc.cmp(&known.data_centre)) {
                Ok(i) if watchers[i].1.entry > peer.entry => watchers[i].1 = peer,
                Ok(_) => {}
                Err(i) => watchers.insert(i, (known.data_centre.clone(), peer)),
            }
        }
        Self {
            least: all.iter().map(|k| &k.entry).min().cloned(),
            entries: u32::try_from(all.len()).unwrap_or(u32::MAX),
            watchers,
        }
    }

    /// What one of them needs to know, but for those ahead of it.
    pub fn peers(&self, own: &ReplicationState) -> Peers {
        let near = |(dc, _): &(Box<str>, Peer)| dc.cmp(&own.data_centre);
        let watcher = self.watchers.binary_search_by(near).ok();
        Peers {
            least_name: self.least.clone().unwrap_or_else(|| own.entry.clone()),
            entries: self.entries,
            watcher: watcher.map(|i| self.watchers[i].1.clone()),
            newer: Vec::new(),
        }
    }
}

/// What came of a [`LoadRequest`].
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The model, and the adapter if one was asked for, can run now.
    Ready,
    /// There is no room: what could make room is in use.
    #[serde(rename = "NoRoom")]
    NoCapacity,
    /// A load from the weight store would be needed and is not allowed now.
    StoreBusy,
    /// The agent may not give orders now: it knows no declaration, fencing token or instance, or
    /// the engine does not answer.
    NoControl,
    /// The engine refused or dropped the order.
    Failed,
}

/// The text is part of log lines, so it does not follow the names of the variants.
impl fmt::Debug for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Ready => "Ready",
            Self::NoCapacity => "NoRoom",
            Self::StoreBusy => "StoreBusy",
            Self::NoControl => "NoControl",
            Self::Failed => "Failed",
        })
    }
}

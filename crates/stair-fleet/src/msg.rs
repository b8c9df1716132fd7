//! Messages between entries and agents about engines.
//!
//! The entry opens the connection. Each message is one frame. The agent sends its first report in
//! reply to the entry's [`ToAgent::Hello`].

use std::{
    fmt,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use stair_types::StoreRevision;

use crate::{
    availability::Shared,
    catalogue::Engine,
    engine_estimate::{
        Estimate,
        EventTime, //
    },
    fair_share,
    origin::{
        FromKeeper,
        ToKeeper, //
    },
    prefill,
    quarantine::{
        ToLedger,
        ToWatchlist, //
    },
    quota,
    rate_limit,
    target::{
        Inventory,
        Load, //
    }, //
};

/// Messages from an entry to an agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToAgent {
    /// The entry's name and replication state; sent first and on each change.
    Hello(ReplicationState),
    /// The reply to [`ToEntry::DeclarationRequest`]: the declaration of the engine's service.
    #[serde(rename = "Engine")]
    Declaration {
        /// The version of the catalogue that it is from.
        version: u64,
        /// The declaration.
        engine: Engine,
    },
    /// The current incarnation of the engine beside the agent.
    #[serde(rename = "Instance")]
    Incarnation {
        /// The engine's id.
        id: Box<str>,
        /// The store's revision that it is from.
        revision: StoreRevision,
    },
    /// An incarnation that the engine has rejected as stale.
    #[serde(rename = "Former")]
    StaleIncarnation(Box<str>),
    /// Requests a model or an adapter.
    LoadRequest(LoadRequest),
    /// Cancels the [`LoadRequest`] with this `seq`: no request waits for it any more.
    Cancel(u64),
    /// Requests the prefill slot of a prompt.
    Prefill {
        /// Identifies the request on this connection.
        seq: u64,
        /// The prompt.
        #[serde(rename = "ask")]
        request: prefill::Request,
    },
    /// Requests that the entry has sent to the engine since its last `Used`.
    Used(Vec<Used>),
    /// Measured prefill times of prompts whose first events arrived since the last `PrefillTimes`.
    #[serde(rename = "Read")]
    PrefillTimes(Vec<prefill::Measurement>),
    /// A request for this model was refused because no engine could load it in time.
    Unserved(Box<str>),
    /// Requests a charge to a workspace's quota.
    #[serde(rename = "Allow")]
    QuotaRequest {
        /// Identifies the request on this connection.
        seq: u64,
        /// The request.
        #[serde(rename = "ask")]
        request: quota::Request,
    },
    /// Refunds the cost of a request that was not run.
    #[serde(rename = "GiveBack")]
    QuotaRefund {
        /// The workspace.
        workspace: Box<str>,
        /// The cost in units of the quota.
        cost: f64,
    },
    /// About requests that crash the targets that run them.
    Quarantine(ToLedger),
    /// About limits that targets name.
    Limit(rate_limit::ToLedger),
    /// What targets have stated about the requests that they take.
    Availability(Vec<Shared>),
    /// About the origins of streams; only to agents that keep them, see [`Features`].
    Origin(ToKeeper),
    /// Requests a charge to a workspace's quota by the order of its requests; only to agents that have one, see
    /// [`Features`].
    OrderedQuota {
        /// Identifies the request on this connection.
        seq: u64,
        /// The request.
        request: Box<quota::OrderedRequest>,
    },
    /// The agents that the entry does not use for counts; sent on changes, only to agents with an order among
    /// requests, see [`Features`].
    PassedOver(quota::PassedOver),
    /// As [`ToAgent::Prefill`], with the caller that the prompt is from; only to agents that share
    /// prefill slots among callers, see [`Features`].
    CallerPrefill {
        /// Identifies the request on this connection.
        seq: u64,
        /// The prompt.
        request: prefill::Request,
        /// The caller.
        from: fair_share::Caller,
    },
    /// Measured times of events; only to agents that estimate from them, see [`Features`].
    EventTimes(Vec<EventTime>),
}

/// What an agent can do beyond what agents of earlier releases can. The extension of its first message.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Features {
    /// Whether it keeps origins of streams.
    pub origins: bool,
    /// Whether its ledger knows the parts of prompts as causes of crashes.
    pub causes: bool,
    /// Whether it has an order among the requests of a workspace whose quota is short. It depends on its settings.
    pub quota_order: bool,
    /// Whether it shares prefill slots among callers.
    pub callers: bool,
    /// Whether it estimates the engine's speed from the times of events.
    pub event_times: bool,
}

impl Features {
    /// The features of this release.
    pub const CURRENT: Self = Self {
        origins: true,
        causes: true,
        quota_order: true,
        callers: true,
        event_times: true,
    };
}

/// What an agent sends beside a message, as the extension of its frame. Processes of earlier releases read
/// the features and ignore the rest.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Extension {
    /// With the first message, what the agent can do; the default afterwards.
    pub features: Features,
    /// With a [`ToEntry::Load`], the engine's estimated speed.
    pub estimate: Option<Estimate>,
}

/// The versions that an entry has of replicated data.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReplicationState {
    /// The entry's name.
    pub entry: Box<str>,
    /// The entry's data centre.
    pub data_centre: Box<str>,
    /// The address at which it replies to other entries.
    pub peer: std::net::SocketAddr,
    /// The version of its catalogue, 0 for none.
    pub catalogue: u64,
    /// The store's revision of its list of targets.
    pub targets: StoreRevision,
}

/// Requests a model, or an adapter of a loaded model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRequest {
    /// Identifies the request on this connection.
    pub seq: u64,
    /// The model.
    pub model: Box<str>,
    /// The adapter, if one is requested.
    pub adapter: Option<Box<str>>,
    /// Models that may be evicted for it, the cheapest first.
    pub victims: Vec<Box<str>>,
    /// The number of concurrent loads from the weight store with this one, if it may come from
    /// there; `None` if it may not.
    pub fetch: Option<u32>,
    /// Whether no request waits for the load yet. Such a load yields to all others.
    pub prefetch: bool,
    /// Time after which the load is not needed any more.
    #[serde(rename = "of_use")]
    pub timeout: Duration,
}

/// One entry's use of one model at one engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Used {
    /// The model.
    pub model: Box<str>,
    /// Requests sent since the last message.
    pub sent: u32,
    /// Requests in flight.
    pub in_flight: u32,
}

/// Messages from an agent to an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToEntry {
    /// The engine's inventory; sent first and on each change.
    #[serde(rename = "Holds")]
    Inventory(Box<Inventory>),
    /// Everything else that the agent reports of the engine; sent on changes and as a heartbeat.
    Load(Box<Load>),
    /// The reply to a [`LoadRequest`].
    #[serde(rename = "Done")]
    LoadReply {
        /// The `seq` of the request.
        seq: u64,
        /// The result.
        outcome: Outcome,
    },
    /// The reply to [`ToAgent::Prefill`].
    Prefill {
        /// The `seq` of the request.
        seq: u64,
        /// The result.
        #[serde(rename = "answer")]
        reply: prefill::Reply,
    },
    /// The reply to [`ToAgent::QuotaRequest`].
    #[serde(rename = "Allowed")]
    QuotaReply {
        /// The `seq` of the request.
        seq: u64,
        /// The result.
        #[serde(rename = "answer")]
        reply: quota::Reply,
    },
    /// The last incarnation that the engine has rejected as stale. All entries stop using it at
    /// once: after a power cut the store's list has the stale incarnations for some seconds, and if
    /// each entry detected them by requests of its own, a few of these would use up its share of
    /// the retries.
    #[serde(rename = "Former")]
    StaleIncarnation(Box<str>),
    /// What the entry needs to know of the other entries connected to this agent.
    Peers(Box<Peers>),
    /// Requests the declaration of the engine's service. It is sent on request only: a declaration
    /// names every model, and if each entry sent it to each agent, one change would take more
    /// traffic than all other messages of a minute.
    #[serde(rename = "Declare")]
    DeclarationRequest,
    /// About requests that crash the targets that run them.
    Quarantine(ToWatchlist),
    /// About limits that targets name.
    Limit(rate_limit::ToSender),
    /// What targets have stated about the requests that they take.
    Availability(Vec<Shared>),
    /// About the origins of streams.
    Origin(FromKeeper),
    /// The reply to [`ToAgent::OrderedQuota`].
    OrderedQuotaReply {
        /// The `seq` of the request.
        seq: u64,
        /// The result.
        reply: quota::OrderedReply,
    },
    /// The reply to [`ToAgent::CallerPrefill`].
    CallerPrefill {
        /// The `seq` of the request.
        seq: u64,
        /// The result.
        reply: prefill::Reply,
        /// The prompt's turn, if it has to wait.
        turn: Option<fair_share::Turn>,
    },
}

/// What one entry, the receiver, needs to know of the other entries. Their whole list would be too
/// much: it changes with each of them many times a second, and every agent would send it to every
/// entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peers {
    /// The least name among all entries, the receiver included.
    #[serde(rename = "least")]
    pub least_name: Box<str>,
    /// The number of entries connected to the agent, the receiver included.
    pub entries: u32,
    /// The entry that watches the store for the receiver's data centre: the one with the least name
    /// there, possibly the receiver itself.
    pub watcher: Option<Peer>,
    /// Entries with a newer catalogue or list of targets than the receiver; at most two.
    pub newer: Vec<ReplicationState>,
}

/// An entry that other entries can send requests to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// The entry's name.
    pub entry: Box<str>,
    /// The address at which it replies to other entries.
    pub addr: std::net::SocketAddr,
}

impl Peers {
    /// Computes what the entry `own` needs to know. `all` has the states of all entries, `own`
    /// included.
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

/// The parts of [`Peers`] that are common to all entries.
///
/// It is computed once for all of them: computed for each entry separately it would take time
/// quadratic in their number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySet {
    least: Option<Box<str>>,
    entries: u32,
    /// The data centres and the entry that watches the store in each, sorted.
    watchers: Vec<(Box<str>, Peer)>,
}

impl EntrySet {
    /// Computes the set from the states of all entries.
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

    /// Returns what the entry `own` needs to know, without `newer`.
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

/// The result of a [`LoadRequest`].
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The model, and the adapter if one was requested, can run now.
    Ready,
    /// Memory pressure: all models that could be evicted are in use.
    #[serde(rename = "NoRoom")]
    NoCapacity,
    /// The load would have to come from the weight store, and may not now.
    StoreBusy,
    /// The agent may not send orders now: it has no declaration, fencing token or incarnation, or
    /// the engine does not reply.
    NoControl,
    /// The engine refused or dropped the order.
    Failed,
}

/// Log lines contain this text. `NoCapacity` is written there as `NoRoom`.
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

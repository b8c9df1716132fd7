//! Messages to and from the control actor, and its arguments.

use std::{
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use platform_adapter::response::Stated;
use stair_config::{
    AgentLimits,
    TargetSettings, //
};
use stair_fleet::rate_limit::Stamp;
use stair_http::Client;
use stair_link::Pool;
use stair_state::{
    Ledger,
    ledger::Item, //
};
use stair_telemetry::Metrics;
use stair_types::{
    ConfigVersion,
    FencingToken,
    GrantId,
    Refusal,
    RequestId,
    ShardId,
    StoreRevision,
    TargetName, //
};
use stair_wire::{
    control::{
        Assignment,
        EntryAddress,
        VmNotice, //
    },
    request::{
        Load,
        Offer, //
    }, //
};
use tokio::sync::{
    mpsc,
    oneshot,
    watch, //
};

use crate::{
    assignment::InForce,
    dump::Dump,
    engine::{
        Engine,
        Inventory,
        OrderOutcome,
        Source, //
    },
    quarantine::LedgerKeeper,
    responses::Response,
};

/// Messages to the control actor.
pub(crate) enum Msg {
    Offer {
        offer: Box<Offer>,
        body: Bytes,
        events: mpsc::UnboundedSender<OfferEvent>,
    },
    Start {
        id: RequestId,
        reply: oneshot::Sender<Option<Arc<Response>>>,
    },
    Withdraw {
        id: RequestId,
    },
    Resume {
        id: RequestId,
        incarnation: FencingToken,
        reply: oneshot::Sender<Result<Arc<Response>, Refusal>>,
    },
    RunEnded {
        id: RequestId,
        run: Duration,
        complete: bool,
        /// Whether the target lacked the model or could not be reached, so that its inventory has
        /// to be read.
        suspect: bool,
    },
    Forget {
        id: RequestId,
    },
    /// A response to a request has arrived; what it states about its target. The stamp is that of the
    /// request.
    Responded(Box<Stated>, Stamp),
    /// What a response to a call of the agent states.
    Stated(Stated),
    /// The target's limit or backoff allows the next request.
    PermitDue,
    Assign(Box<Assignment>),
    Vm(VmNotice),
    LoadEnded {
        item: Item,
        outcome: OrderOutcome,
        source: Option<Source>,
        took: Duration,
    },
    /// The engine crashed during a load, which has ended.
    LoadCrashed {
        item: Item,
        version: Box<str>,
    },
    UnloadEnded {
        item: Item,
        outcome: OrderOutcome,
    },
    Inventory(Option<Inventory>),
    Tick,
    Stop,
    Dump {
        reply: oneshot::Sender<Dump>,
    },
}

/// Events that the control actor sends to an offer's stream.
#[derive(Debug)]
pub(crate) enum OfferEvent {
    Queued(Load),
    Ready,
    Started(Arc<Response>),
    Refused(Refusal, Load),
}

/// The agent's report to its entries.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct AgentReport {
    pub(crate) config: ConfigVersion,
    pub(crate) shards: Vec<(ShardId, StoreRevision)>,
    pub(crate) released: Vec<(ShardId, GrantId)>,
    /// Grants whose models do not fit.
    pub(crate) memory_pressure: Vec<(ShardId, GrantId)>,
    pub(crate) draining: bool,
    /// Grants in force.
    pub(crate) granted: usize,
    /// Grants that are being revoked.
    pub(crate) revoking: usize,
}

/// State that the control actor publishes.
#[derive(Clone)]
pub(crate) struct Published {
    pub(crate) report: watch::Sender<AgentReport>,
    pub(crate) load: watch::Sender<Load>,
    /// Number of running requests and of responses that are being read.
    pub(crate) busy: watch::Sender<usize>,
    /// The reason why the agent must stop serving at once.
    pub(crate) fatal: watch::Sender<Option<Box<str>>>,
}

/// Arguments of the control actor.
pub(crate) struct Arguments {
    pub(crate) name: TargetName,
    pub(crate) incarnation: FencingToken,
    pub(crate) limits: AgentLimits,
    pub(crate) metrics: Metrics,
    pub(crate) target: TargetSettings,
    pub(crate) client: Client,
    pub(crate) engine: Option<Engine>,
    pub(crate) ledger: Ledger,
    pub(crate) in_force: InForce,
    pub(crate) traffic: tokio::runtime::Handle,
    pub(crate) published: Published,
    pub(crate) entries: watch::Receiver<Vec<EntryAddress>>,
    pub(crate) pool: Pool,
    pub(crate) ledger_keeper: Arc<LedgerKeeper>,
}

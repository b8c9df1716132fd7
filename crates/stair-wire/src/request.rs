//! One request, on one bidirectional stream that the entry opens.
//!
//! The first frame of the entry is [`ToAgent::Offer`], followed by one body frame with the
//! request's body; or it is [`ToAgent::Resume`], [`ToAgent::Withdraw`] or [`ToAgent::Ledger`]. To an
//! offer the agent replies with [`FromAgent::Queued`] at once, with [`FromAgent::Ready`] later, and after
//! [`ToAgent::Start`] with the response: [`FromAgent::Head`], body frames, [`FromAgent::End`].
//! [`FromAgent::Refused`] may replace any of these and is final, but that after a run without a
//! complete response [`FromAgent::Crashed`] may follow it.
//!
//! The agent runs nothing before `Start` arrives, so an offer whose link broke before `Start` was
//! sent has certainly not run. Only [`Offer::start_when_ready`] waives this.

use serde::{
    Deserialize,
    Serialize, //
};
use stair_types::{
    AdapterName,
    FencingToken,
    ModelName,
    Refusal,
    RequestId,
    ServiceName,
    StoreRevision,
    TierRank, //
};

/// The kind of work that a request asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    /// An inference on an engine.
    Model {
        /// The base model.
        model: ModelName,
        /// The adapter on the base model, if any.
        adapter: Option<AdapterName>,
    },
    /// A call of a plain service.
    Service {
        /// The service.
        service: ServiceName,
    },
}

/// An HTTP header that is forwarded unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The name, in lower case.
    pub name: Box<str>,
    /// The value, in visible ASCII.
    pub value: Box<str>,
}

/// Names the software version of a target: in an offer the version that the stream was begun by, which the target
/// has to run, and in a response's head the one that responds. Processes of earlier releases pass it on as any
/// other header.
pub const VERSION_HEADER: &str = "dandelionstair-version";

impl Header {
    /// The software version that a list of headers names.
    pub fn version(headers: &[Self]) -> Option<&str> {
        let named = headers.iter().find(|h| &*h.name == VERSION_HEADER);
        named.map(|h| &*h.value)
    }

    /// The header that names a software version.
    pub fn of_version(version: &str) -> Self {
        Self {
            name: VERSION_HEADER.into(),
            value: version.into(),
        }
    }
}

/// A limit that a target has named, as its agent has stated it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatedLimit {
    /// Millionths of a request per second, of all senders together.
    pub micros_per_s: u64,
    /// The agent's incarnation.
    pub incarnation: FencingToken,
}

/// Offers a request to an agent. The body follows in one body frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The request's id; an agent runs an id at most once.
    pub id: RequestId,
    /// The requested work.
    pub work: Work,
    /// HTTP method at the target.
    pub method: Box<str>,
    /// Path and query at the target, such as `/v1/completions`.
    pub path: Box<str>,
    /// The body's media type.
    pub content_type: Box<str>,
    /// The caller's other headers, without those of the connection, the caller's key and
    /// dandelionstair's own headers.
    pub headers: Vec<Header>,
    /// The version of the model's grant shard by which the entry chose the target; none for services.
    /// The entry may receive a new grant before the agent does, so an agent with an older version
    /// waits for its assignment before it refuses the offer as not granted.
    pub shard_version: StoreRevision,
    /// The caller's tier.
    pub rank: TierRank,
    /// Time left until the deadline when the offer was sent, in milliseconds. It is relative
    /// because the clocks of different VMs are never compared.
    pub time_left_ms: u32,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether the agent may start the request without [`ToAgent::Start`]; only for repeatable
    /// requests.
    pub start_when_ready: bool,
    /// The caller's limit on generated tokens, or 0 when unknown; an input to the expected run
    /// time.
    pub max_tokens: u32,
    /// Length of the body frame that follows, in bytes.
    pub body_bytes: u32,
    /// The target's limit as the entry knows it. A restarted agent does not know it.
    pub limit: Option<StatedLimit>,
}

/// Messages from the entry to the agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToAgent {
    /// Opens the stream with a new request.
    Offer(Offer),
    /// Starts the offered request. Sent to exactly one agent, once.
    Start,
    /// Withdraws the request if it has not started, and cancels its run otherwise.
    Cancel,
    /// Opens a stream to resume the response of a started request after its link broke.
    Resume {
        /// The request.
        id: RequestId,
        /// Body bytes of the response that the entry has already received.
        offset: u64,
        /// The agent's incarnation at which the request was started.
        incarnation: FencingToken,
    },
    /// Opens a stream to ensure that a request of another entry never starts. The agent replies
    /// with [`FromAgent::Refused`], whose verdict states whether the request may have run.
    Withdraw {
        /// The request.
        id: RequestId,
        /// The agent's incarnation to which the request was offered.
        incarnation: FencingToken,
    },
    /// Opens a stream to the agent's ledger of crashes. The entry sends
    /// `stair_fleet::quarantine::ToLedger` from then on, and the agent `ToWatchlist`.
    Ledger,
}

/// The load of an agent. Its replies carry the load; there is no separate load report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests running at the target.
    pub running: u16,
    /// Requests waiting in the agent's queue.
    pub waiting: u16,
    /// Expected wait of a new request of the lowest tier, in milliseconds.
    pub expected_wait_ms: u32,
    /// Whether the request's model is loaded.
    pub model_loaded: bool,
    /// The limit that the target has named.
    pub limit: Option<StatedLimit>,
}

/// Messages from the agent to the entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromAgent {
    /// The offer is queued at the agent.
    Queued {
        /// The agent's incarnation, which a later resume has to name.
        incarnation: FencingToken,
        /// The agent's load.
        load: Load,
    },
    /// The request holds a slot of the target. The agent refuses it unless [`ToAgent::Start`]
    /// follows shortly after.
    Ready,
    /// The head of the target's response.
    Head {
        /// HTTP status of the response.
        status: u16,
        /// The response's media type.
        content_type: Box<str>,
        /// The response's other headers, without those of the connection.
        headers: Vec<Header>,
        /// The offset of the first body byte that follows: 0, or the offset of a resume.
        offset: u64,
    },
    /// The response is complete.
    End {
        /// Length of the whole response's body, in bytes.
        total_bytes: u64,
        /// Duration of the run at the target, in milliseconds.
        run_ms: u32,
        /// The agent's load.
        load: Load,
    },
    /// The agent does not serve the request.
    Refused {
        /// The reason, and whether the request may have run.
        refusal: Refusal,
        /// The agent's load.
        load: Load,
    },
    /// The target crashed during the run, or shortly after the run was cancelled. Sent after
    /// [`FromAgent::Refused`].
    Crashed {
        /// Number of crashes that this incarnation of the agent has found, including this one. All
        /// runs that one crash interrupted have the same number.
        crash: u64,
    },
}

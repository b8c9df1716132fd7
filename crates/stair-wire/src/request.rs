//! One request, on one bidirectional stream that the entry opens.
//!
//! The first frame of the entry is [`ToAgent::Offer`], followed by one body frame with the
//! request's body; or it is [`ToAgent::Resume`] or [`ToAgent::Withdraw`]. The agent answers [`FromAgent::Queued`] at once,
//! later [`FromAgent::Ready`], and after [`ToAgent::Start`] the answer: [`FromAgent::Head`], body
//! frames, [`FromAgent::End`]. [`FromAgent::Refused`] may come instead of any of these and is
//! final. Until `Start` arrives the agent runs nothing, so an offer whose link broke before
//! `Start` was sent has surely not run.

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
    TierRank, //
};

/// What a request is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    /// An inference on an engine.
    Model {
        /// The base model.
        model: ModelName,
        /// The adapter on it, if any.
        adapter: Option<AdapterName>,
    },
    /// A call of a plain service.
    Service {
        /// The service.
        service: ServiceName,
    },
}

/// A header that passes through unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Lower-case name.
    pub name: Box<str>,
    /// Visible ASCII.
    pub value: Box<str>,
}

/// Offers a request to an agent. The body follows in one body frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The request; an agent runs an id at most once.
    pub id: RequestId,
    /// What it is for.
    pub work: Work,
    /// HTTP method at the target.
    pub method: Box<str>,
    /// Path and query at the target, such as `/v1/completions`.
    pub path: Box<str>,
    /// The body's media type.
    pub content_type: Box<str>,
    /// The caller's other headers, but for those of the connection, its key and the project's own.
    pub headers: Vec<Header>,
    /// The version of the model's shard of grants by which the target was chosen; 0 for services.
    /// An agent that knows an older one waits for its assignment before it says that it holds no
    /// grant: the entry may learn of a new grant before the agent does.
    pub shard_version: u64,
    /// The caller's tier.
    pub rank: TierRank,
    /// Time left until the deadline when this was sent, in milliseconds. Clocks of different VMs
    /// are never compared.
    pub time_left_ms: u32,
    /// Whether it may run twice.
    pub repeatable: bool,
    /// Whether the agent may start without [`ToAgent::Start`]; only for repeatable work.
    pub start_when_ready: bool,
    /// Tokens the caller asks for at most, or 0 when unknown; for the expected run time.
    pub max_tokens: u32,
    /// Bytes in the body frame that follows.
    pub body_bytes: u32,
}

/// From the entry to the agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToAgent {
    /// Opens the stream with a new request.
    Offer(Offer),
    /// Lets the offered request run. Sent to exactly one agent, once.
    Start,
    /// Withdraws the request: it does not start, or its run is cancelled.
    Cancel,
    /// Opens a stream to take up a started request again after its link broke.
    Resume {
        /// The request.
        id: RequestId,
        /// Body bytes of the answer already received.
        offset: u64,
        /// The incarnation that the request was started at.
        incarnation: FencingToken,
    },
    /// Opens a stream to make sure that a request of another entry never starts. The agent answers
    /// [`FromAgent::Refused`] and says whether it may have run.
    Withdraw {
        /// The request.
        id: RequestId,
        /// The incarnation that it was offered to.
        incarnation: FencingToken,
    },
}

/// The load of an agent, carried by its replies; there is no separate load report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests running at the target.
    pub running: u16,
    /// Requests waiting in the agent.
    pub waiting: u16,
    /// Expected wait of a new request of the lowest tier, in milliseconds.
    pub expected_wait_ms: u32,
    /// Whether the request's model is loaded.
    pub model_loaded: bool,
}

/// From the agent to the entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromAgent {
    /// The offer is queued here.
    Queued {
        /// The agent's incarnation, for a later resume.
        incarnation: FencingToken,
        /// The agent's load.
        load: Load,
    },
    /// The request can run now; waits for [`ToAgent::Start`] for a short while.
    Ready,
    /// The target's answer begins.
    Head {
        /// HTTP status of the target.
        status: u16,
        /// The answer's media type.
        content_type: Box<str>,
        /// The answer's other headers, but for those of the connection.
        headers: Vec<Header>,
        /// The offset of the body byte that comes next: 0, or the offset of a resume.
        offset: u64,
    },
    /// The answer is complete.
    End {
        /// Bytes of the whole answer's body.
        total_bytes: u64,
        /// Time from start to end at the target, in milliseconds.
        run_ms: u32,
        /// The agent's load.
        load: Load,
    },
    /// The request is given up on.
    Refused {
        /// Why, and whether it may have run.
        refusal: Refusal,
        /// The agent's load.
        load: Load,
    },
}

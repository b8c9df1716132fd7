//! The messages about prefill slots.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// Time to load a model from a copy at another engine, evictions included.
const SWAP_DURATION: Duration = Duration::from_millis(1000);

/// A block of a prompt, identified together with everything before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixBlock {
    /// Hash of the prompt up to the end of this block, model and adapter included.
    pub chain: u64,
    /// Tokens of this block.
    pub tokens: u32,
}

/// Requests the prefill slot of a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The model.
    pub model: Box<str>,
    /// The prefix blocks of the prompt in order.
    #[serde(rename = "parts")]
    pub blocks: Vec<PrefixBlock>,
    /// Tokens of the whole prompt.
    pub tokens: u32,
    /// The longest wait for the slot.
    #[serde(rename = "limit")]
    pub max_wait: Duration,
    /// The longest wait that a more urgent prompt right after this one accepts, if there are more
    /// urgent requests.
    #[serde(rename = "spare")]
    pub urgent_max_wait: Option<Duration>,
    /// The shortest pause between events that clients of the engine's streams are promised.
    pub pause: Option<Duration>,
    /// Whether this is the first request for a slot for the prompt.
    pub first: bool,
}

/// The reply to a [`Request`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Whether the slot is reserved; otherwise the wait would be too long.
    #[serde(rename = "booked")]
    pub reserved: bool,
    /// Time until the slot.
    pub wait: Duration,
    /// Time for which the engine has prompts to prefill, this one included if its slot is reserved.
    pub backlog: Duration,
    /// Tokens of the prompt that are assumed to be in the engine's prefix cache.
    #[serde(rename = "kept")]
    pub cached: u32,
    /// Time from the slot until the prompt is read at the engine's full rate, including the prompts
    /// before it in the burst.
    #[serde(rename = "reads")]
    pub prefill_time: Duration,
}

impl Reply {
    /// Refuses a slot because the prompt's model is being evicted. The wait exceeds `max_wait`, so
    /// that the prompt goes to another engine, and is short enough for a client to return by:
    /// another engine has the model by then.
    pub fn model_draining(req: &Request) -> Self {
        Self {
            reserved: false,
            wait: req.max_wait + SWAP_DURATION,
            backlog: Duration::ZERO,
            cached: 0,
            prefill_time: Duration::ZERO,
        }
    }
}

/// The measured prefill of a prompt, from its slot on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Measurement {
    /// The model.
    pub model: Box<str>,
    /// The prefill time that the [`Reply`] stated.
    #[serde(rename = "reads")]
    pub prefill_time: Duration,
    /// Time from sending the request to its first event.
    pub took: Duration,
}

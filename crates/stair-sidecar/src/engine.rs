//! Reads the engine's state and sends orders to it.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use platform_adapter::{
    engine::{
        Order,
        Reading,
        Reply,
        order_call,
        reading,
        reading_call,
        reply, //
    },
    response::Stated,
};
use stair_http::client::{
    self,
    Client, //
};

/// Time for a reading. The engine is on the same VM; if it takes longer it is unresponsive or down.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for the reply to an order. An engine replies within milliseconds, or the reply is lost.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);

/// Largest response body. A reading with all adapters is a few kilobytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Why a call to the engine failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection failed or timed out.
    #[error(transparent)]
    Client(#[from] client::Error),
    /// The response does not decode.
    #[error(transparent)]
    Decode(#[from] platform_adapter::Error),
    /// The engine refused the call with this status.
    #[error("status {0}")]
    Status(u16),
}

/// The result of a call, and what the head of the response states; `None` if no response arrived.
pub struct Called<T> {
    /// The result.
    pub result: Result<T, Error>,
    /// What the head of the response states beside its status.
    pub stated: Option<Stated>,
}

/// The engine beside this agent.
pub struct Engine {
    client: Client,
}

impl Engine {
    /// Creates a client for the engine at `addr`; it opens no connection yet.
    pub fn new(addr: SocketAddr) -> Self {
        let opts = client::Options {
            connect_timeout: READ_TIMEOUT,
            max_idle: 1,
            ..client::Options::default()
        };
        Self {
            client: Client::new(addr, opts),
        }
    }

    /// Reads the engine's state.
    pub async fn read(&self) -> Called<Reading> {
        let mut stated = None;
        let result = self.try_read(&mut stated).await;
        Called { result, stated }
    }

    async fn try_read(&self, stated: &mut Option<Stated>) -> Result<Reading, Error> {
        let response = self.client.send(reading_call(), READ_TIMEOUT).await?;
        let status = response.head.status;
        *stated = Some(Stated::decode(status, &response.head.headers));
        let body = response.collect(MAX_RESPONSE_BYTES, READ_TIMEOUT).await?;
        if !status.is_success() {
            return Err(Error::Status(status.as_u16()));
        }
        Ok(reading(&body)?)
    }

    /// Sends an order. Where the order was meant for another incarnation, the response states the present
    /// one. After an [`Error`] the order may nevertheless have been accepted, or be carried out later.
    pub async fn order(&self, order: &Order) -> Called<Reply> {
        let mut stated = None;
        let result = self.try_order(order, &mut stated).await;
        Called { result, stated }
    }

    async fn try_order(&self, order: &Order, stated: &mut Option<Stated>) -> Result<Reply, Error> {
        let response = self.client.send(order_call(order)?, ORDER_TIMEOUT).await?;
        let status = response.head.status;
        *stated = Some(Stated::decode(status, &response.head.headers));
        response.collect(MAX_RESPONSE_BYTES, ORDER_TIMEOUT).await?;
        Ok(reply(status))
    }
}

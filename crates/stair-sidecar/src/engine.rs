//! Readings of the engine and orders to it.

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
    response,
};
use stair_http::client::{
    self,
    Client, //
};

/// Time for a reading. The engine is on the same VM; one that needs longer stands still or is gone.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for the answer to an order. An engine answers within milliseconds or has lost the answer.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest answer: a reading with all adapters is some kilobytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Why a call to the engine failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection failed or fell silent.
    #[error(transparent)]
    Client(#[from] client::Error),
    /// The answer does not decode.
    #[error(transparent)]
    Decode(#[from] platform_adapter::Error),
    /// The engine refused.
    #[error("status {0}")]
    Status(u16),
}

/// The engine beside this agent.
pub struct Engine {
    client: Client,
}

impl Engine {
    /// Makes a client; it opens no connection yet.
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

    /// Reads the engine's state, and its present life where it says so.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub async fn read(&self) -> Result<(Reading, Option<Box<str>>), Error> {
        let response = self.client.send(reading_call(), READ_TIMEOUT).await?;
        let status = response.head.status;
        let incarnation = response::instance(&response.head.headers).map(Into::into);
        let body = response.collect(MAX_RESPONSE_BYTES, READ_TIMEOUT).await?;
        if !status.is_success() {
            return Err(Error::Status(status.as_u16()));
        }
        Ok((reading(&body)?, incarnation))
    }

    /// Gives an order. The answer names the engine's present life where the order was meant for
    /// another.
    ///
    /// # Errors
    ///
    /// See [`Error`]; the order may then have been accepted, or may be carried out later.
    pub async fn order(&self, order: &Order) -> Result<(Reply, Option<Box<str>>), Error> {
        let response = self.client.send(order_call(order)?, ORDER_TIMEOUT).await?;
        let status = response.head.status;
        let incarnation = response::instance(&response.head.headers).map(Into::into);
        response.collect(MAX_RESPONSE_BYTES, ORDER_TIMEOUT).await?;
        Ok((reply(status), incarnation))
    }
}

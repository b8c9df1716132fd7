//! Raising the fencing token at the start of an agent.

use std::time::Duration;

use rand::RngExt;
use stair_platform::{
    Condition,
    Error,
    IncarnationRecord,
    Kind,
    ObjectStore, //
};
use stair_telemetry::Part;
use stair_types::{
    FencingToken,
    TargetName, //
};

/// First pause between tries while the platform is down; it doubles up to [`MAX_BACKOFF`], so that
/// 12,000 agents that start after an outage do not keep the platform down.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Writes the record with the next token, and returns that token.
///
/// The answer to a write can be lost after the write took effect. Reading settles it: a record
/// with this agent's token and address is this agent's.
pub(crate) async fn raise<S>(
    store: &S,
    target: &TargetName,
    own: &IncarnationRecord,
) -> FencingToken
where
    S: ObjectStore,
{
    let mut backoff = Backoff::default();
    let mut unconfirmed: Option<IncarnationRecord> = None;
    loop {
        match try_raise(store, target, own, &mut unconfirmed).await {
            Ok(token) => return token,
            Err(Error::Conflict) => {}
            Err(e) => stair_telemetry::warn!(Part::Platform, "cannot raise the incarnation: {e}"),
        }
        backoff.wait().await;
    }
}

async fn try_raise<S>(
    store: &S,
    target: &TargetName,
    own: &IncarnationRecord,
    unconfirmed: &mut Option<IncarnationRecord>,
) -> Result<FencingToken, Error>
where
    S: ObjectStore,
{
    let (condition, token) = match store.get(Kind::Incarnation, target.as_str()).await {
        Ok(object) => {
            let current: IncarnationRecord = serde_json::from_value(object.value)
                .map_err(|e| Error::Invalid(e.to_string().into()))?;
            if unconfirmed.as_ref() == Some(&current) {
                return Ok(current.token);
            }
            let next = FencingToken(current.token.0 + 1);
            (Condition::Version(object.version), next)
        }
        Err(Error::NotFound) => (Condition::Absent, FencingToken(1)),
        Err(e) => return Err(e),
    };
    let record = IncarnationRecord {
        token,
        ..own.clone()
    };
    let value = serde_json::to_value(&record).map_err(|e| Error::Invalid(e.to_string().into()))?;
    *unconfirmed = Some(record);
    let put = store.put(Kind::Incarnation, target.as_str(), &value, condition);
    put.await.map(|_| token)
}

/// Pauses that grow and differ between processes.
#[derive(Debug)]
pub(crate) struct Backoff {
    next: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { next: MIN_BACKOFF }
    }
}

impl Backoff {
    pub(crate) async fn wait(&mut self) {
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(self.next.mul_f64(jitter)).await;
        self.next = (self.next * 2).min(MAX_BACKOFF);
    }
}

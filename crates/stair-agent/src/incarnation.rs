//! The agent's incarnation: the target's fencing token, which is raised at the start.
//!
//! The platform may come back from a copy without the record, or with that of an earlier incarnation.
//! A token that is raised after that is above all tokens from before, and a running agent writes its
//! record again.

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
    Era,
    FencingToken,
    TargetName, //
};

/// First backoff while the platform is unavailable. It doubles up to [`MAX_BACKOFF`], so that
/// 12,000 agents that start after an outage do not overload the platform.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Writes the target's record with the next token and returns that token.
///
/// The reply to a write may be lost after the write took effect. A read then confirms the write: a
/// record with this agent's token and address is its own.
pub(crate) async fn raise<S>(
    store: &S,
    target: &TargetName,
    own: &IncarnationRecord,
) -> FencingToken
where
    S: ObjectStore,
{
    let mut backoff = Backoff::default();
    let mut unconfirmed: Option<(IncarnationRecord, Era)> = None;
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
    unconfirmed: &mut Option<(IncarnationRecord, Era)>,
) -> Result<FencingToken, Error>
where
    S: ObjectStore,
{
    let found = store.get(Kind::Incarnation, target.as_str()).await;
    let era = store.eras().newest();
    let (condition, token) = match found {
        Ok(object) => {
            let current: IncarnationRecord = serde_json::from_value(object.value)
                .map_err(|e| Error::Invalid(e.to_string().into()))?;
            let own = unconfirmed.as_ref();
            if own.is_some_and(|(r, e)| *r == current && *e == object.version.era) {
                return Ok(current.token);
            }
            let next = FencingToken(current.token.0.max(era.first_number()) + 1);
            (Condition::Version(object.version), next)
        }
        Err(Error::NotFound) => (Condition::Absent, FencingToken(era.first_number() + 1)),
        Err(e) => return Err(e),
    };
    let record = IncarnationRecord {
        token,
        ..own.clone()
    };
    let value = serde_json::to_value(&record).map_err(|e| Error::Invalid(e.to_string().into()))?;
    *unconfirmed = Some((record, era));
    let put = store.put(Kind::Incarnation, target.as_str(), &value, condition);
    match put.await? {
        // Written in a later era, the token may have been given out in the lost part of this one.
        written if written.era != era => Err(Error::Conflict),
        _ => Ok(token),
    }
}

/// Writes the record of a running agent again after the platform has lost it. Changes nothing if a
/// later incarnation has written its own.
pub(crate) async fn restore<S>(store: &S, target: &TargetName, own: &IncarnationRecord)
where
    S: ObjectStore,
{
    let mut backoff = Backoff::default();
    loop {
        match try_restore(store, target, own).await {
            Ok(()) => return,
            Err(Error::Conflict) => {}
            Err(e) => stair_telemetry::warn!(Part::Platform, "cannot restore the record: {e}"),
        }
        backoff.wait().await;
    }
}

async fn try_restore<S>(
    store: &S,
    target: &TargetName,
    own: &IncarnationRecord,
) -> Result<(), Error>
where
    S: ObjectStore,
{
    let condition = match store.get(Kind::Incarnation, target.as_str()).await {
        Ok(object) => {
            let current: IncarnationRecord = serde_json::from_value(object.value)
                .map_err(|e| Error::Invalid(e.to_string().into()))?;
            if current.token >= own.token {
                return Ok(());
            }
            Condition::Version(object.version)
        }
        Err(Error::NotFound) => Condition::Absent,
        Err(e) => return Err(e),
    };
    let value = serde_json::to_value(own).map_err(|e| Error::Invalid(e.to_string().into()))?;
    let name = target.as_str();
    store
        .put(Kind::Incarnation, name, &value, condition)
        .await?;
    stair_telemetry::info!(Part::Platform, "the record was lost and is written again");
    Ok(())
}

/// Exponential backoff with jitter.
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

//! Keeps the limit that the target names in its responses: the time between two runs, and the agent's
//! own calls. [`rate_limit`](stair_fleet::rate_limit) defines the decisions.
//!
//! The agent sends all requests to its target, so that it counts for all entries.

use platform_adapter::Error;
use stair_fleet::rate_limit::{
    CachedLimit,
    Change,
    Rate,
    Source,
    Stamp,
    Statement, //
};
use stair_telemetry::{
    Part,
    info,
    warn, //
};
use stair_types::FencingToken;
use stair_wire::request::StatedLimit;
use tokio::time::sleep;

use crate::{
    control::Core,
    msg::Msg, //
};

const MICROS: f64 = 1e6;

impl Core {
    /// Applies what a response of the target states.
    pub(crate) fn limit_stated(
        &mut self,
        stated: &Result<Option<Rate>, Error>,
        stamp: Option<Stamp>,
        source: Source,
    ) {
        let now = self.now();
        match stated {
            Ok(rate) => {
                let statement = Statement {
                    rate: *rate,
                    stamp,
                    source,
                };
                if let Some(change) = self.limiter.state(&statement, now) {
                    self.limit_changed(&change);
                }
            }
            Err(e) => {
                warn!(Part::Engine, "a response of the target: {e}");
                self.args.metrics.limit_change("malformed");
            }
        }
    }

    /// Has a message sent when the limit and the backoff allow the next request, if one waits. Ticks alone would be late,
    /// and a target gets nothing for the time in which it could have had a request.
    pub(crate) fn await_permit(&mut self) {
        let now = self.now();
        let backoff = self.availability.wait(now).unwrap_or_default();
        let next = self.limiter.next(now).max(backoff);
        if self.permit_awaited || next.is_zero() || self.queue.is_empty() {
            return;
        }
        self.permit_awaited = true;
        let me = self.me.clone();
        tokio::spawn(async move {
            sleep(next).await;
            // Fails only while the agent is stopping.
            let _ = me.send_message(Msg::PermitDue);
        });
    }

    /// Adopts the limit that an entry knows from an earlier incarnation of this agent.
    pub(crate) fn adopt_limit(&mut self, limit: Option<StatedLimit>) {
        let Some(limit) = limit else { return };
        let rate = Rate::try_from(limit.micros_per_s as f64 / MICROS);
        let known = rate.map(|rate| CachedLimit {
            rate,
            epoch: Some(limit.incarnation.0),
        });
        let now = self.now();
        if let Some(change) = known.ok().and_then(|k| self.limiter.adopt(&k, now)) {
            self.limit_changed(&change);
        }
    }

    fn limit_changed(&mut self, change: &Change) {
        info!(
            Part::Engine,
            "limit {}: {} requests a second, from {}, after {:?}",
            change.kind.as_str(),
            change.rate.map_or("no".to_owned(), |r| r.to_string()),
            change.source.as_str(),
            change.age
        );
        self.args.metrics.limit_change(change.kind.as_str());
        // Requests that can no longer run in time are refused now.
        self.rebuild_queue(self.queue_opts.clone());
    }

    /// The limit as entries learn it.
    pub(crate) fn stated_limit(&self) -> Option<StatedLimit> {
        let rate = self.limiter.rate()?;
        Some(StatedLimit {
            micros_per_s: (rate.per_s() * MICROS) as u64,
            incarnation: FencingToken(self.args.incarnation.0),
        })
    }
}

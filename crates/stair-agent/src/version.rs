//! The version of the target's software, which it states in its responses.
//!
//! A request that continues a stream is refused without a run where the target is known to run another version.
//! The response's head is checked as well: the target may have restarted meanwhile.

use stair_fleet::origin;
use stair_telemetry::{
    Part,
    info, //
};
use stair_types::{
    Reason,
    Refusal, //
};
use stair_wire::request::{
    Header,
    Offer, //
};

use crate::{
    admit::RETRY_ELSEWHERE_MS,
    control::Core, //
};

impl Core {
    /// Records the version that a response states. One without it states nothing.
    pub(crate) fn version_stated(&mut self, version: &Option<Box<str>>) {
        if version.is_none() || *version == self.version {
            return;
        }
        info!(
            Part::Engine,
            "the target runs software version {}, before {}",
            version.as_deref().unwrap_or_default(),
            self.version.as_deref().unwrap_or("unknown")
        );
        self.version.clone_from(version);
    }

    /// Refuses an offer that continues a stream of another version than the target's.
    pub(crate) fn check_version(&self, offer: &Offer) -> Result<(), Refusal> {
        let Some(known) = &self.version else {
            return Ok(());
        };
        match origin::allows(Header::version(&offer.headers), Some(known)) {
            true => Ok(()),
            false => Err(Refusal::not_run(
                Reason::OtherVersion,
                RETRY_ELSEWHERE_MS,
                "the target runs another version of its software",
            )),
        }
    }
}

//! Applies the messages of entries to a ledger.

use std::time::Duration;

use stair_types::Fingerprint;

use super::{
    Ledger,
    Notice,
    Standing,
    ToLedger,
    ToWatchlist,
    TrialReply, //
};

/// What an agent does after a message to its ledger.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Effects {
    /// The reply to the entry that sent the message.
    pub reply: Option<ToWatchlist>,
    /// Changed standings, which all entries receive.
    pub notices: Vec<Notice>,
    /// Whether [`Ledger::settle`] has to be called after each of
    /// [`SETTLE_DELAYS`](super::SETTLE_DELAYS).
    pub settle: bool,
}

impl Ledger {
    /// Applies a message of the entry of connection `owner`.
    pub fn receive(&mut self, owner: u64, msg: ToLedger, now: Duration) -> Effects {
        let mut effects = Effects::default();
        match msg {
            ToLedger::Crashed(crash) => {
                self.report(&crash, now);
                effects.settle = true;
            }
            ToLedger::Survived(fingerprint) => {
                let cleared = self.survived(fingerprint, now);
                effects.notices = self.take_changed();
                effects
                    .notices
                    .extend(cleared.then_some(cleared_notice(fingerprint)));
            }
            ToLedger::SurvivedBefore(list) => {
                for (cause, age) in list {
                    if self.survived_before(cause, age, now) {
                        effects.notices.push(cleared_notice(cause));
                    }
                }
                effects.notices.extend(self.take_changed());
            }
            ToLedger::Known(list) => {
                effects.notices = list.iter().filter_map(|n| self.merge(n, now)).collect();
            }
            ToLedger::Trial {
                seq,
                fingerprint,
                target,
            } => {
                let reply = self.begin_trial(&[fingerprint], &target, owner, now);
                let granted = reply == TrialReply::Granted;
                effects.reply = Some(ToWatchlist::Trial { seq, granted });
                effects.notices = self.take_changed();
            }
            ToLedger::TrialOf {
                seq,
                causes,
                target,
            } => {
                let reply = self.begin_trial(&causes, &target, owner, now);
                effects.reply = Some(ToWatchlist::TrialReply { seq, reply });
                effects.notices = self.take_changed();
            }
            ToLedger::TrialEnded(fingerprint) => self.end_trial(fingerprint, now),
        }
        effects
    }
}

fn cleared_notice(fingerprint: Fingerprint) -> Notice {
    Notice {
        fingerprint,
        standing: Standing::Cleared,
    }
}

//! Applies the messages of entries to a ledger.

use std::time::Duration;

use super::{
    Ledger,
    Notice,
    Standing,
    ToLedger,
    ToWatchlist, //
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
                if self.survived(fingerprint) {
                    let standing = Standing::Cleared;
                    effects.notices.push(Notice {
                        fingerprint,
                        standing,
                    });
                }
            }
            ToLedger::Known(list) => {
                effects.notices = list.iter().filter_map(|n| self.merge(n, now)).collect();
            }
            ToLedger::Trial {
                seq,
                fingerprint,
                target,
            } => {
                let granted = self.begin_trial(fingerprint, &target, owner, now);
                effects.reply = Some(ToWatchlist::Trial { seq, granted });
                effects.notices = self.take_changed();
            }
            ToLedger::TrialEnded(fingerprint) => self.end_trial(fingerprint, now),
        }
        effects
    }
}

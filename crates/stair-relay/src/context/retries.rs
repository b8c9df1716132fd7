//! This entry's share of the retry budget.

use std::time::Duration;

use stair_fleet::{
    budget::{
        self,
        Budget, //
    },
    choose::Connections, //
};

use super::{
    Context,
    State, //
};
use crate::job::Job;

impl Context {
    /// Counts a request for a service.
    pub fn count_request(&self, service: &str) {
        let now = self.now();
        let mut state = self.state();
        let i = self.budget(&mut state, service);
        state.budgets[i].1.request(now);
    }

    /// Takes a retry from this entry's share of the budget. Returns whether it may be made.
    pub fn may_retry(&self, service: &str) -> bool {
        let now = self.now();
        let allowed = {
            let mut state = self.state();
            let i = self.budget(&mut state, service);
            let opts = self.budget_options(&state);
            let budget = &mut state.budgets[i].1;
            budget.set_options(opts);
            budget.try_retry(now)
        };
        let outcome = if allowed { "made" } else { "refused" };
        self.page.count("retries_total", &[("outcome", outcome)], 1);
        allowed
    }

    /// Finds the budget of a service. Its options are computed for each retry rather than each request, as
    /// the number of entries is the maximum over the reports of all agents.
    fn budget(&self, state: &mut State, service: &str) -> usize {
        let found = state
            .budgets
            .binary_search_by(|(name, _)| (**name).cmp(service));
        found.unwrap_or_else(|i| {
            let budget = Budget::new(self.budget_options(state));
            state.budgets.insert(i, (service.into(), budget));
            i
        })
    }

    fn budget_options(&self, state: &State) -> budget::Options {
        let retries = self.reloadable().retries;
        budget::Options {
            ratio: retries.ratio,
            extra: retries.extra,
            window: Duration::from_millis(retries.window_ms.into()),
            entries: state.entries(retries.entries),
        }
    }

    /// The number of entries among which limits for all entries are divided.
    pub fn entries(&self) -> u32 {
        let expected = self.reloadable().retries.entries;
        self.state().entries(expected)
    }
}

impl Context {
    /// The connections that this entry may have open to one target of the request's service.
    pub(crate) fn connections(&self, job: &Job) -> Connections {
        let service = job.catalogue.service(&job.service);
        let declared = service.map_or(0, |s| s.max_connections);
        match declared {
            0 => Connections::UNBOUNDED,
            declared => Connections::shared(declared, self.entries()),
        }
    }
}

impl State {
    fn entries(&self, expected: u32) -> u32 {
        let counts = self.agents.iter().map(|a| a.entries);
        budget::entries(expected, counts)
    }

    /// The retry budget of each service.
    pub fn budgets(&self) -> impl Iterator<Item = (&str, &Budget)> {
        self.budgets.iter().map(|(service, b)| (&**service, b))
    }
}

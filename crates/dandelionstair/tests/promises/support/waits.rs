//! Conditions that several promises wait for.

use std::time::{
    Duration,
    Instant, //
};

use stair_config::{
    Catalogue,
    Model, //
};

use super::{
    Ask,
    POLL,
    World,
    eventually, //
};

/// Longer than every limit by which a process may take another for dead: a silent control link is
/// closed after 5 s, an entry stands in for another after 3 s, a platform call ends after 2 s.
const PAST_LIMITS: Duration = Duration::from_secs(10);

/// A try of a request that is repeated until it is answered.
const TRY: Duration = Duration::from_secs(5);

impl World {
    /// Waits until an entry answers for a model.
    pub(crate) async fn until_served(&self, entry: usize, model: &str) {
        let caller = self.caller(entry);
        let ask = Ask::completion(model, "served", 2).within(TRY);
        eventually("the model is served", async || {
            caller.ask(&ask).await.is_answered()
        })
        .await;
    }

    /// Gets a model loaded by all its holders: each in turn is the only one that is not frozen.
    pub(crate) async fn until_loaded(&self, model: &str) {
        let held = self.grants(model);
        let holders = held.iter().map(|g| self.agent_of(g.target.as_str()));
        let holders: Vec<usize> = holders.collect();
        for awake in &holders {
            let others = || holders.iter().filter(|i| *i != awake);
            others().for_each(|i| self.agents[*i].process.freeze());
            self.until_served(0, model).await;
            others().for_each(|i| self.agents[*i].process.thaw());
        }
    }

    /// Waits until so many grants of a model are in force and none is being revoked.
    pub(crate) async fn until_settled(&self, model: &str, grants: usize) {
        eventually("the grants are as decided", async || {
            let held = self.grants(model);
            held.len() == grants && held.iter().all(|g| !g.revoking)
        })
        .await;
    }

    /// Checks that something holds at each moment until every limit has passed.
    pub(crate) async fn holds_past_limits<F>(&self, what: &str, mut holds: F)
    where
        F: AsyncFnMut() -> bool,
    {
        let began = Instant::now();
        while began.elapsed() < PAST_LIMITS {
            assert!(holds().await, "{what}: after {:?}", began.elapsed());
            tokio::time::sleep(POLL).await;
        }
    }

    /// Returns the index of a target's agent.
    pub(crate) fn agent_of(&self, target: &str) -> usize {
        let of_target = self.agents.iter().position(|a| *a.name == *target);
        of_target.expect("the target has an agent")
    }

    /// Checks that no engine ever had more in its memory than it has.
    pub(crate) fn assert_memory_kept(&self) {
        for agent in &self.agents {
            let peak = self.recorder.peak_memory(&agent.name);
            let memory_mib = self.opts.engine.memory_mib;
            assert!(peak <= memory_mib, "{}: {peak} of {memory_mib}", agent.name);
        }
    }
}

/// Returns a declared model for a change.
pub(crate) fn model_mut<'a>(catalogue: &'a mut Catalogue, name: &str) -> &'a mut Model {
    let mut models = catalogue.models.iter_mut();
    let found = models.find(|m| m.name.as_str() == name);
    found.expect("the model is declared")
}

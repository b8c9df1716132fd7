//! Workspaces: their keys, the rank of their requests and their quotas.
//!
//! Invariant: each key belongs to one workspace, and names are unique.

use serde::{
    Deserialize,
    Serialize, //
};
use stair_types::KeyDigest;

/// One workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Its name, which is sent to targets.
    pub name: Box<str>,
    /// The rank of its requests, 0 first; `None` keeps the rank of their route.
    pub rank: Option<u8>,
    /// Its quota; `None` for no limit.
    #[serde(rename = "allowance")]
    pub quota: Option<Quota>,
}

/// The rate limit of a workspace, over all entries together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Units per second; above 0.
    pub per_s: f64,
    /// Units that may be spent at once after a pause, beyond the rate.
    pub burst: f64,
    /// The unit.
    pub unit: Unit,
}

/// The longest time for which one request may use up a quota. Clients state the tokens of their requests, and
/// an absurd number must not block a workspace for longer.
const MAX_COST_TIME_S: f64 = 30.0;

impl Quota {
    /// Returns the cost that is charged for a request with this cost.
    pub fn bounded(&self, cost: f64) -> f64 {
        let most = (self.per_s * MAX_COST_TIME_S + self.burst).max(1.0);
        if cost > 0.0 { cost.min(most) } else { 0.0 }
    }

    /// Returns the quota of a process that counts for this fraction of the entries. The burst is whole: all
    /// requests of a moment may come through few entries.
    pub fn for_fraction(&self, fraction: f64) -> Self {
        Self {
            per_s: self.per_s * fraction,
            ..*self
        }
    }
}

/// The unit of a quota.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Unit {
    /// Requests.
    Requests,
    /// Tokens of the prompt and the most that the response may have.
    Tokens {
        /// Tokens charged for a request that states none.
        plain: f64,
    },
}

impl Unit {
    /// The cost of a request that states this number of tokens, 0 for none.
    pub fn cost(self, tokens: u64) -> f64 {
        match self {
            Self::Requests => 1.0,
            Self::Tokens { plain } if tokens == 0 => plain,
            Self::Tokens { .. } => tokens as f64,
        }
    }
}

/// A workspace as operators declare it.
#[derive(Debug, Clone)]
pub struct Declared {
    /// The workspace.
    pub workspace: Workspace,
    /// Its keys.
    pub keys: Vec<KeyDigest>,
}

/// Why a declaration of workspaces is rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// Two workspaces have the same name.
    #[error("workspace {0:?} is declared twice")]
    Twice(Box<str>),
    /// A key belongs to two workspaces, so it would not identify one.
    #[error("workspaces {0:?} and {1:?} share a key")]
    SharedKey(Box<str>, Box<str>),
}

/// All workspaces of a catalogue.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Workspaces {
    /// Sorted by name.
    list: Vec<Workspace>,
    /// Sorted by digest, each with the index of its workspace.
    keys: Vec<(KeyDigest, u32)>,
    /// The most urgent rank of the workspaces that have one.
    first_rank: Option<u8>,
    /// Whether some workspaces keep the rank of the route.
    any_unranked: bool,
}

impl TryFrom<Vec<Declared>> for Workspaces {
    type Error = Problem;

    fn try_from(mut declared: Vec<Declared>) -> Result<Self, Problem> {
        declared.sort_by(|a, b| a.workspace.name.cmp(&b.workspace.name));
        let mut out = Self::default();
        for Declared { workspace, keys } in declared {
            if out.list.last().is_some_and(|w| w.name == workspace.name) {
                return Err(Problem::Twice(workspace.name));
            }
            let index = u32::try_from(out.list.len()).unwrap_or(u32::MAX);
            out.keys.extend(keys.into_iter().map(|k| (k, index)));
            out.any_unranked |= workspace.rank.is_none();
            out.list.push(workspace);
        }
        out.first_rank = out.list.iter().filter_map(|w| w.rank).min();
        out.keys.sort();
        out.keys.dedup();
        let shared = out.keys.windows(2).find(|w| w[0].0 == w[1].0);
        if let Some(w) = shared {
            let name = |i: u32| out.list[i as usize].name.clone();
            return Err(Problem::SharedKey(name(w[0].1), name(w[1].1)));
        }
        Ok(out)
    }
}

impl Workspaces {
    /// The workspace that a key belongs to.
    pub fn by_key(&self, key: &KeyDigest) -> Option<&Workspace> {
        let i = self.keys.binary_search_by(|(k, _)| k.cmp(key)).ok()?;
        self.list.get(self.keys[i].1 as usize)
    }

    /// All workspaces, sorted by name.
    pub fn all(&self) -> &[Workspace] {
        &self.list
    }

    /// The most urgent rank that a request may have on a route with this rank.
    pub fn first_rank(&self, of_route: u8) -> u8 {
        let unranked = self.any_unranked.then_some(of_route);
        self.first_rank
            .into_iter()
            .chain(unranked)
            .min()
            .unwrap_or(of_route)
    }
}

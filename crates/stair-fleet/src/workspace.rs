//! Workspaces: who a request is for, how urgent it is, and how much it may ask for.
//!
//! Invariant: each key belongs to one workspace, and each name stands once.

use serde::{
    Deserialize,
    Serialize, //
};
use stair_types::KeyDigest;

/// One workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Its name, which targets are told.
    pub name: Box<str>,
    /// The rank of its requests, 0 first; `None` leaves them the rank of their route.
    pub rank: Option<u8>,
    /// What it may ask for; `None` is without limit.
    #[serde(rename = "allowance")]
    pub quota: Option<Quota>,
}

/// How much a workspace may ask for, over all entries together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Units a second; above 0.
    pub per_s: f64,
    /// Units beyond the rate that may come at once.
    pub burst: f64,
    /// What is counted.
    pub unit: Unit,
}

/// What an allowance counts.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Unit {
    /// Each request as one.
    Requests,
    /// The tokens of the prompt and of the answer at most.
    Tokens {
        /// Tokens of a request that names none.
        plain: f64,
    },
}

impl Unit {
    /// What a request costs, given the tokens that it names.
    pub fn cost(self, tokens: u64) -> f64 {
        match self {
            Self::Requests => 1.0,
            Self::Tokens { plain } if tokens == 0 => plain,
            Self::Tokens { .. } => tokens as f64,
        }
    }
}

/// What an operator declares of one workspace.
#[derive(Debug, Clone)]
pub struct Declared {
    /// The workspace.
    pub workspace: Workspace,
    /// Its keys.
    pub keys: Vec<KeyDigest>,
}

/// Why declared workspaces cannot be put in force.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// Two workspaces have one name.
    #[error("workspace {0:?} is declared twice")]
    Twice(Box<str>),
    /// A key would decide for either of two workspaces.
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
    /// The most urgent rank of those that have one.
    first_rank: Option<u8>,
    /// Whether some leave requests the rank of their route.
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

    /// The workspaces, by name.
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

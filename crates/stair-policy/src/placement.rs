//! Decides which targets are granted a model.
//!
//! There are many models, few of them busy, and VMs are added and removed all the time. Placement never
//! exceeds the declared number of replicas, and spreads the replicas of a model over data centres, so
//! that the failure of one does not remove all of them. It balances granted memory over targets, and
//! moves a grant only when necessary, since each move costs a load from the weight store.
//!
//! The cost per model does not grow with the fleet: a few candidates in each data centre are found by
//! hash, and the search continues only when none of them fits.

use stair_types::TargetKey;

use crate::hash::mix;

/// Limits of the placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Candidates examined in each data centre. Two choices keep the fullest target close to the
    /// average; a third or fourth helps when VMs differ in size, more do not.
    pub probes: u16,
    /// Largest number of targets of a data centre that is searched completely, which costs little more
    /// than the probes and balances better.
    pub scan_up_to: u16,
    /// Limit of the memory of all models granted to a target, in percent of its own memory. Few of the
    /// granted models are in use at a time; beyond about ten times the memory, cold starts on one
    /// target would evict each other too often.
    pub max_granted_percent: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            probes: 3,
            scan_up_to: 8,
            max_granted_percent: 1_000,
        }
    }
}

/// The properties of a target that placement depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetInfo {
    /// The target.
    pub key: TargetKey,
    /// Hash of its name, the same in all processes.
    pub name_hash: u64,
    /// Index of its data centre.
    pub data_centre: u16,
    /// Its accelerator memory in MiB.
    pub memory_mib: u32,
    /// Memory of all models granted to it, loaded or not, in MiB.
    pub granted_mib: u64,
    /// Whether it may get grants: it is in the platform's list and not draining.
    pub live: bool,
}

impl TargetInfo {
    fn fits(&self, opts: &Options, memory_mib: u32) -> bool {
        let limit = u64::from(self.memory_mib) * u64::from(opts.max_granted_percent) / 100;
        self.live
            && memory_mib <= self.memory_mib
            && self.granted_mib + u64::from(memory_mib) <= limit
    }

    fn may_keep(&self, model: &ModelInfo<'_>) -> bool {
        self.live && model.memory_mib <= self.memory_mib
    }

    /// Ratio of granted memory to its own memory, in thousandths.
    fn fullness(&self) -> u64 {
        self.granted_mib * 1_000 / u64::from(self.memory_mib.max(1))
    }
}

/// A grant that a model has already.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExistingGrant {
    /// Its target.
    pub target: TargetKey,
    /// Whether it is being revoked and the unload is not yet confirmed.
    pub revoking: bool,
}

/// The properties of a model that placement depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ModelInfo<'a> {
    /// Hash of its name, the same in all processes.
    pub name_hash: u64,
    /// Accelerator memory of one replica in MiB.
    pub memory_mib: u32,
    /// Declared number of replicas.
    pub replicas: u16,
    /// All its grants, including those being revoked.
    pub grants: &'a [ExistingGrant],
}

/// One change of a model's grants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Grants the model to the target.
    Grant(TargetKey),
    /// Begins to revoke the model's grant on the target.
    Revoke(TargetKey),
}

/// All targets, sorted by data centre, name hash and key, so in the same order in every process.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    targets: Vec<TargetInfo>,
    /// Index into `targets` by key, sorted by key.
    by_key: Vec<KeyIndex>,
    data_centres: Vec<Span>,
}

#[derive(Debug, Clone, Copy)]
struct KeyIndex {
    key: TargetKey,
    index: usize,
}

/// The range of one data centre's targets.
#[derive(Debug, Clone, Copy)]
struct Span {
    data_centre: u16,
    start: usize,
    end: usize,
}

/// A data centre and the number of a model's replicas there.
#[derive(Debug, Clone, Copy)]
struct DataCentreReplicas {
    holders: usize,
    span: Span,
}

impl Fleet {
    /// Sorts the targets in O(n log n); needed only when the platform's list changes.
    pub fn new(mut targets: Vec<TargetInfo>) -> Self {
        targets.sort_unstable_by_key(|t| (t.data_centre, t.name_hash, t.key));
        let places = targets.iter().enumerate();
        let mut by_key: Vec<KeyIndex> = places
            .map(|(index, t)| KeyIndex { key: t.key, index })
            .collect();
        by_key.sort_unstable_by_key(|p| p.key);
        let mut data_centres: Vec<Span> = Vec::new();
        for (index, t) in targets.iter().enumerate() {
            match data_centres.last_mut() {
                Some(span) if span.data_centre == t.data_centre => span.end = index + 1,
                _ => data_centres.push(Span {
                    data_centre: t.data_centre,
                    start: index,
                    end: index + 1,
                }),
            }
        }
        Self {
            targets,
            by_key,
            data_centres,
        }
    }

    /// Finds a target in O(log n).
    pub fn get(&self, key: TargetKey) -> Option<&TargetInfo> {
        self.index(key).map(|i| &self.targets[i])
    }

    /// All targets, sorted by data centre, name hash and key.
    pub fn targets(&self) -> &[TargetInfo] {
        &self.targets
    }

    /// Adds a grant of `memory_mib` to a target, so that the next placement counts it.
    pub fn add_grant(&mut self, key: TargetKey, memory_mib: u32) {
        if let Some(i) = self.index(key) {
            self.targets[i].granted_mib += u64::from(memory_mib);
        }
    }

    /// Removes a grant of `memory_mib` from a target.
    pub fn remove_grant(&mut self, key: TargetKey, memory_mib: u32) {
        if let Some(i) = self.index(key) {
            let granted = &mut self.targets[i].granted_mib;
            *granted = granted.saturating_sub(u64::from(memory_mib));
        }
    }

    /// Sets whether a target may get grants.
    pub fn set_live(&mut self, key: TargetKey, live: bool) {
        if let Some(i) = self.index(key) {
            self.targets[i].live = live;
        }
    }

    fn index(&self, key: TargetKey) -> Option<usize> {
        let at = self.by_key.binary_search_by_key(&key, |p| p.key);
        at.ok().map(|i| self.by_key[i].index)
    }
}

/// Returns the changes that bring a model's grants to its declared number of replicas.
///
/// Grants, including those being revoked, never exceed the replicas: a model whose grant is being
/// revoked may still be loaded, so the replacement is granted only after the unload is confirmed.
/// Present holders stay unless they are not live, have too little memory for the model, or exceed
/// the number of replicas.
pub fn changes(opts: &Options, fleet: &Fleet, model: &ModelInfo<'_>) -> Vec<Change> {
    let mut out = Vec::new();
    let mut retained: Vec<TargetInfo> = Vec::new();
    for held in model.grants.iter().filter(|h| !h.revoking) {
        match fleet.get(held.target).filter(|t| t.may_keep(model)) {
            Some(target) => retained.push(*target),
            None => out.push(Change::Revoke(held.target)),
        }
    }
    while retained.len() > usize::from(model.replicas) {
        let Some(at) = replica_to_revoke(&retained) else {
            break;
        };
        out.push(Change::Revoke(retained.swap_remove(at).key));
    }
    let mut free = usize::from(model.replicas).saturating_sub(model.grants.len());
    while free > 0 {
        let Some(target) = find(opts, fleet, model, &retained) else {
            break;
        };
        out.push(Change::Grant(target.key));
        retained.push(target);
        free -= 1;
    }
    out
}

/// Picks the holder to revoke: the fullest target in the data centre with the most holders.
fn replica_to_revoke(retained: &[TargetInfo]) -> Option<usize> {
    (0..retained.len()).max_by_key(|i| {
        let target = &retained[*i];
        (holders_in(retained, target.data_centre), target.fullness())
    })
}

fn holders_in(retained: &[TargetInfo], data_centre: u16) -> usize {
    retained
        .iter()
        .filter(|t| t.data_centre == data_centre)
        .count()
}

/// Finds the target for one more replica: the least full candidate in the data centres with the fewest
/// holders.
fn find(
    opts: &Options,
    fleet: &Fleet,
    model: &ModelInfo<'_>,
    retained: &[TargetInfo],
) -> Option<TargetInfo> {
    let centres = fleet.data_centres.iter().map(|span| DataCentreReplicas {
        holders: holders_in(retained, span.data_centre),
        span: *span,
    });
    let mut centres: Vec<DataCentreReplicas> = centres.collect();
    centres.sort_by_key(|c| c.holders);
    let mut groups = centres.chunk_by(|a, b| a.holders == b.holders);
    groups.find_map(|group| {
        let best = group
            .iter()
            .filter_map(|c| candidate(opts, fleet, model, retained, &c.span));
        best.min_by_key(|t| (t.fullness(), mix(model.name_hash, t.name_hash)))
            .copied()
    })
}

/// Picks the least full of a few targets of one data centre, which are found by hash.
///
/// Each probe starts at an index derived from the model's hash and scans to the first target that fits.
/// The scan is longer than one or two targets only when most of the data centre is full or not live.
/// Unlike on a hash ring, where a target after a wide gap is found far more often than others, every
/// index is equally likely. Indexes shift when a VM is added or removed, which is harmless because
/// holders stay in place.
fn candidate<'a>(
    opts: &Options,
    fleet: &'a Fleet,
    model: &ModelInfo<'_>,
    retained: &[TargetInfo],
    span: &Span,
) -> Option<&'a TargetInfo> {
    let targets = &fleet.targets[span.start..span.end];
    let fit = |t: &&TargetInfo| {
        t.fits(opts, model.memory_mib)
            && !retained.iter().any(|k| k.key == t.key)
            && !model.grants.iter().any(|h| h.target == t.key)
    };
    if targets.len() <= usize::from(opts.scan_up_to) {
        let order = |t: &&TargetInfo| (t.fullness(), mix(model.name_hash, t.name_hash));
        return targets.iter().filter(fit).min_by_key(order);
    }
    // Later replicas start at other indexes, or they would examine the first replica's candidates again.
    let seed = mix(model.name_hash, retained.len() as u64);
    let probe = |n: u16| {
        let start = mix(seed, u64::from(n)) % targets.len() as u64;
        let (before, after) = targets.split_at(start as usize);
        after.iter().chain(before).find(fit)
    };
    let first = probe(0)?;
    let others = (1..opts.probes.max(1)).filter_map(probe);
    others.chain([first]).min_by_key(|t| t.fullness())
}

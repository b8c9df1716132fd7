//! Decides which targets are granted a model.
//!
//! The load it is made for: many models, few of them busy, on a fleet whose VMs come and go all
//! day. The harms it prevents: more replicas than were decided; all replicas of a model in the
//! data centre that fails; a few targets that hold most grants while others idle; grants that move
//! without need, each of which costs a load from the weight store.
//!
//! The cost per model does not grow with the fleet: candidates are found by hash, a few in each
//! data centre, and only when those are all unfit does the walk go on.

use stair_types::TargetKey;

use crate::hash::mix;

/// Limits of the placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Candidates looked at in each data centre. Two choices keep the fullest target close to the
    /// average; a third or fourth still helps when VMs differ in size, more do not.
    pub probes: u16,
    /// A data centre with no more targets than this is looked at as a whole: that costs little
    /// more than the probes, and balances better.
    pub scan_up_to: u16,
    /// Memory that a target's grants may add up to, in percent of its own memory. Grants are
    /// permissions of which few are in use; beyond some tenfold, wakings on one target would
    /// unload each other too often.
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

/// A target as placement sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetInfo {
    /// The target.
    pub key: TargetKey,
    /// Hash of its name, the same in all processes.
    pub name_hash: u64,
    /// Index of its data centre.
    pub data_centre: u16,
    /// Its accelerator memory.
    pub memory_mib: u32,
    /// Memory of all models granted to it, loaded or not.
    pub granted_mib: u64,
    /// Whether it may get grants: in the platform's list and not leaving.
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

    /// Granted memory for each mebibyte of its own, in thousandths.
    fn fullness(&self) -> u64 {
        self.granted_mib * 1_000 / u64::from(self.memory_mib.max(1))
    }
}

/// A grant that a model has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExistingGrant {
    /// Its target.
    pub target: TargetKey,
    /// Whether it is being revoked and not yet confirmed as unloaded.
    pub revoking: bool,
}

/// A model as placement sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ModelInfo<'a> {
    /// Hash of its name, the same in all processes.
    pub name_hash: u64,
    /// Accelerator memory of one replica.
    pub memory_mib: u32,
    /// Replicas that were decided.
    pub replicas: u16,
    /// All its grants, also those being revoked.
    pub grants: &'a [ExistingGrant],
}

/// One change of a model's grants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Grant the model to the target.
    Grant(TargetKey),
    /// Begin to revoke the model's grant.
    Revoke(TargetKey),
}

/// All targets, by data centre and hash, in the same order in every process.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    targets: Vec<TargetInfo>,
    /// Sorted by key; where the target stands in `targets`.
    by_key: Vec<KeyIndex>,
    data_centres: Vec<Span>,
}

#[derive(Debug, Clone, Copy)]
struct KeyIndex {
    key: TargetKey,
    index: usize,
}

/// The targets of one data centre.
#[derive(Debug, Clone, Copy)]
struct Span {
    data_centre: u16,
    start: usize,
    end: usize,
}

/// A data centre with the replicas that a model has there.
#[derive(Debug, Clone, Copy)]
struct DataCentreReplicas {
    holders: usize,
    span: Span,
}

impl Fleet {
    /// Sorts the targets; O(n log n), needed only when the platform's list changes.
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

    /// All targets, by data centre and hash.
    pub fn targets(&self) -> &[TargetInfo] {
        &self.targets
    }

    /// Notes a grant, so that the next model placed sees it.
    pub fn add_grant(&mut self, key: TargetKey, memory_mib: u32) {
        if let Some(i) = self.index(key) {
            self.targets[i].granted_mib += u64::from(memory_mib);
        }
    }

    /// Notes that a grant is gone.
    pub fn remove_grant(&mut self, key: TargetKey, memory_mib: u32) {
        if let Some(i) = self.index(key) {
            let granted = &mut self.targets[i].granted_mib;
            *granted = granted.saturating_sub(u64::from(memory_mib));
        }
    }

    /// Notes whether a target may get grants.
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

/// Returns the changes that bring a model's grants to what was decided.
///
/// Grants together with those being revoked never exceed the replicas: a grant being revoked may
/// still be loaded, so its replacement is granted only once it is confirmed as gone. Present
/// holders stay unless they are not live, cannot hold the model, or are too many.
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

/// Picks the holder to give up: in the data centre with most holders, the fullest target.
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

/// Finds the target for one more replica: the data centres with fewest holders first, and in
/// those the least full of the candidates.
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

/// Picks the least full of a few targets of one data centre, found by hash.
///
/// Each probe starts at a position given by the model's hash and walks on to the first target that
/// fits. A walk is longer than a step or two only when most of the data centre is full or gone.
/// Positions, and not the nearest hash as on a ring: a target behind a wide gap would be found far
/// more often than others. That positions shift when a VM comes or goes does no harm, since holders
/// stay where they are.
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
    // Later replicas start elsewhere, or they would look at the targets of the first again.
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

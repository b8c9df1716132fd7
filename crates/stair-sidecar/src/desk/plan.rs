//! The next order, and what makes room for it.

use std::time::Duration;

use stair_fleet::{
    msg::{
        Outcome,
        Want, //
    },
    target::Copy, //
};

use super::{
    Asker,
    Desk,
    Pending,
    Step, //
};
use crate::uses::key;

impl Desk {
    /// Returns the next order, if one is to be given now. Wants that nothing can be done for are
    /// answered through `refused`.
    pub fn next(&mut self, refused: &mut Vec<(Asker, Outcome)>, now: Duration) -> Option<Step> {
        // An engine takes no order of any kind while a model comes or goes.
        if self.busy() || now < self.not_before {
            return None;
        }
        if let Some(step) = self.next_adapter(now) {
            return Some(step);
        }
        while let Some(i) = self.first_model(now) {
            match self.make_way(&self.wants[i].want, now) {
                Some(step) => return Some(step),
                None => {
                    let p = self.wants.remove(i);
                    refused.push((p.asker, Outcome::NoRoom));
                }
            }
        }
        None
    }

    /// The first want for a model that is not there; those that a request waits for come first.
    fn first_model(&self, now: Duration) -> Option<usize> {
        let may_fetch = self
            .fetch_began
            .is_none_or(|at| now.saturating_sub(at) >= self.opts.fetch_window);
        let allowed = |p: &Pending| may_fetch || self.copy(&p.want.model) != Copy::Store;
        let absent = |p: &Pending| !self.holds(&p.want.model) && allowed(p);
        let first = |ahead| {
            let mut wants = self.wants.iter();
            wants.position(|p| p.want.ahead == ahead && absent(p))
        };
        first(false).or_else(|| first(true))
    }

    /// Time that the loads will take that are asked for and have not begun.
    pub(super) fn to_load(&self) -> Duration {
        let mut models: Vec<&str> = self
            .wants
            .iter()
            .map(|p| &*p.want.model)
            .filter(|m| !self.holds(m) && !self.loads(m))
            .collect();
        models.sort_unstable();
        models.dedup();
        models.iter().map(|m| self.load_time(m, self.copy(m))).sum()
    }

    /// The next step towards a model: unload a victim, or load it. `None` when there is no room.
    fn make_way(&self, want: &Want, now: Duration) -> Option<Step> {
        let decl = self.decl.as_ref()?;
        let reading = self.reading.as_ref()?;
        let needed = decl.model(&want.model)?.weights_mb;
        let free = decl.weights_mb - self.taken_mb();
        let step = |load, model: &str| Step {
            load,
            model: model.into(),
            adapter: None,
            planned_on: reading.sequence,
        };
        if needed <= free {
            return Some(step(true, &want.model));
        }
        let named = want.victims.iter().map(|v| &**v);
        // The entry's view can be a second old; what it named may be gone, then the least used
        // ones make way.
        let mut others: Vec<&str> = reading.holds.models.iter().map(|h| &*h.name).collect();
        others.sort_by(|a, b| self.uses.rate(a, now).total_cmp(&self.uses.rate(b, now)));
        let victim = named
            .filter(|v| reading.holds.model(v).is_some())
            .chain(others)
            .find(|v| self.uses.settled(v, now))?;
        Some(step(false, victim))
    }

    fn next_adapter(&self, now: Duration) -> Option<Step> {
        let decl = self.decl.as_ref()?;
        let reading = self.reading.as_ref()?;
        let (model, adapter) = self.wants.iter().find_map(|p| {
            let adapter = p.want.adapter.as_ref()?;
            let held = reading.holds.model(&p.want.model)?;
            let key = key(&p.want.model, Some(adapter));
            let there = held.adapters.contains(adapter) || reading.pending.contains(&key);
            (!there).then_some((&p.want.model, adapter))
        })?;
        let count: usize = reading.holds.models.iter().map(|h| h.adapters.len()).sum();
        let slots = decl.adapter_slots as usize;
        let step = |load, model: &str, adapter: &str| Step {
            load,
            model: model.into(),
            adapter: Some(adapter.into()),
            planned_on: reading.sequence,
        };
        let size = decl.model(model)?.adapter_mb;
        let fits = self.taken_mb() + size <= decl.weights_mb;
        if count + reading.pending.len() < slots && fits {
            return Some(step(true, model, adapter));
        }
        if !self.dropping.is_empty() {
            return None;
        }
        let (model, adapter) = self.idle_adapter(now)?;
        Some(step(false, &model, &adapter))
    }

    /// The adapter that nothing uses and that was asked for the longest ago.
    fn idle_adapter(&self, now: Duration) -> Option<(Box<str>, Box<str>)> {
        let reading = self.reading.as_ref()?;
        let all = reading.holds.models.iter().flat_map(|h| {
            let named = |a| (h.name.clone(), Box::clone(a));
            h.adapters.iter().map(named)
        });
        let name = |(m, a): &(Box<str>, Box<str>)| key(m, Some(a));
        all.filter(|one| {
            let name = name(one);
            self.uses.in_flight(&name) == 0 && self.uses.settled(&name, now)
        })
        .min_by_key(|one| self.uses.last_wanted(&name(one)))
    }

    /// Memory taken by what the engine holds and by adapters on their way to it.
    fn taken_mb(&self) -> f64 {
        let (Some(decl), Some(reading)) = (&self.decl, &self.reading) else {
            return f64::INFINITY;
        };
        let models = reading.holds.models.iter().map(|h| {
            // A model that is no longer declared still takes memory: assume the largest.
            let largest = || decl.models.iter().map(|m| m.weights_mb).fold(0.0, f64::max);
            let size = decl.model(&h.name).map_or_else(largest, |m| m.weights_mb);
            let adapter = decl.model(&h.name).map_or(0.0, |m| m.adapter_mb);
            size + adapter * h.adapters.len() as f64
        });
        let pending = reading.pending.iter().map(|p| {
            let model = p.split_once('/').map_or(&**p, |(m, _)| m);
            decl.model(model).map_or(0.0, |m| m.adapter_mb)
        });
        let former = self.former.iter().map(|u| {
            let may_come = reading.holds.model(&u.model).is_none();
            let size = || decl.model(&u.model).map_or(0.0, |m| m.weights_mb);
            if may_come { size() } else { 0.0 }
        });
        models.sum::<f64>() + pending.sum::<f64>() + former.sum::<f64>()
    }
}

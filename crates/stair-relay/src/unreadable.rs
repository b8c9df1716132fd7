//! The objects of the store that do not decode. Each is logged once, however often it is listed.

use platform_adapter::store::Unreadable;
use stair_telemetry::event::Line;

use crate::context::Context;

/// Objects of each kind that are remembered. Other writers decide how many there are.
const MAX_OBJECTS: usize = 500;

/// Maximum number of characters of a name in the log.
const MAX_LOGGED_CHARS: usize = 200;

/// The unreadable objects that have been logged, by kind.
#[derive(Default)]
pub(crate) struct UnreadableObjects {
    kinds: Vec<(&'static str, Logged)>,
}

/// Name and revision of each object, sorted by name.
type Logged = Vec<(Box<str>, u64)>;

impl UnreadableObjects {
    fn of_kind(&mut self, kind: &'static str) -> &mut Logged {
        let at = match self.kinds.iter().position(|(k, _)| *k == kind) {
            Some(at) => at,
            None => {
                self.kinds.push((kind, Logged::new()));
                self.kinds.len() - 1
            }
        };
        &mut self.kinds[at].1
    }
}

/// Remembers an object. Returns whether it is to be logged.
fn remember(logged: &mut Logged, object: &Unreadable) -> bool {
    match logged.binary_search_by(|(name, _)| name.cmp(&object.name)) {
        Ok(at) => std::mem::replace(&mut logged[at].1, object.revision) != object.revision,
        Err(at) if logged.len() < MAX_OBJECTS => {
            logged.insert(at, (object.name.clone(), object.revision));
            true
        }
        Err(_) => false,
    }
}

impl Context {
    /// Records all objects of a list that do not decode. Those that it lacks are readable or gone.
    pub(crate) fn record_unreadable_list(&self, kind: &'static str, objects: &[Unreadable]) {
        {
            let mut state = self.state();
            let logged = state.unreadable.of_kind(kind);
            logged.retain(|(name, _)| objects.iter().any(|o| o.name == *name));
        }
        objects.iter().for_each(|o| self.record_unreadable(kind, o));
        self.count_unreadable(kind);
    }

    /// Records an object that does not decode.
    pub(crate) fn record_unreadable(&self, kind: &'static str, object: &Unreadable) {
        if remember(self.state().unreadable.of_kind(kind), object) {
            let name: String = object.name.chars().take(MAX_LOGGED_CHARS).collect();
            Line::failure("object.unreadable")
                .text("kind", kind)
                .text("name", &name)
                .num("revision", object.revision)
                .text("error", &object.error)
                .write();
            self.count_unreadable(kind);
        }
    }

    /// Records that an object was written in a readable form, or was removed.
    pub(crate) fn record_readable(&self, kind: &'static str, name: &str) {
        let removed = {
            let mut state = self.state();
            let logged = state.unreadable.of_kind(kind);
            let found = logged.binary_search_by(|(n, _)| (**n).cmp(name));
            found.map(|at| logged.remove(at)).is_ok()
        };
        if removed {
            self.count_unreadable(kind);
        }
    }

    fn count_unreadable(&self, kind: &'static str) {
        let count = self.state().unreadable.of_kind(kind).len();
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.page
            .gauge("objects_unreadable", &[("kind", kind)], count);
    }
}

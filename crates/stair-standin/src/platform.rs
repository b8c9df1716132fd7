//! The platform's stand-in: objects in memory, served by the mapping of `stair_platform::types`.

mod serve;
pub(crate) mod store;

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use serde_json::Value;
use stair_platform::{
    Condition,
    Kind,
    Object,
    Vm,
    VmState, //
};
use stair_types::StoreRevision;
use tokio::sync::watch;

use crate::server::{
    Server,
    expected, //
};
pub use store::{
    Rejected,
    Return, //
};
use store::{
    Store,
    VmChange, //
};

/// Bytes of a value; a larger one is refused with 413.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// A kind of call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// Reads one object.
    Get,
    /// Reads all objects of a kind.
    List,
    /// Writes an object.
    Put,
    /// Deletes an object.
    Delete,
    /// Waits for changes; it has no one kind of object.
    Watch,
}

/// How the platform as a whole fails.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Outage {
    /// It works.
    #[default]
    None,
    /// Connections break and new ones are refused.
    Refuse,
    /// Every call is answered with 503.
    Unavailable,
    /// Connections are accepted and calls are never answered.
    BlackHole,
}

/// What happens to the caller of a write whose answer is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    Closed,
    Silent,
}

#[derive(Debug, Clone, Copy)]
struct LostWrites {
    left: u32,
    after_effect: bool,
    loss: Loss,
}

/// Calls that arrived, whether or not they were answered.
#[derive(Debug, Clone, Default)]
pub struct Calls {
    counts: Vec<Count>,
}

#[derive(Debug, Clone)]
struct Count {
    call: Call,
    kind: Option<Kind>,
    calls: u64,
}

impl Calls {
    /// Returns the number of calls of a kind.
    pub fn of(&self, call: Call) -> u64 {
        let counts = self.counts.iter().filter(|c| c.call == call);
        counts.map(|c| c.calls).sum()
    }

    /// Returns the number of calls of a kind on a kind of objects.
    pub fn of_kind(&self, call: Call, kind: Kind) -> u64 {
        let wanted = |c: &&Count| c.call == call && c.kind == Some(kind);
        self.counts.iter().filter(wanted).map(|c| c.calls).sum()
    }

    fn add(&mut self, call: Call, kind: Option<Kind>) {
        let same = |c: &&mut Count| c.call == call && c.kind == kind;
        match self.counts.iter_mut().find(same) {
            Some(count) => count.calls += 1,
            None => self.counts.push(Count {
                call,
                kind,
                calls: 1,
            }),
        }
    }
}

#[derive(Default)]
struct State {
    store: Store,
    outage: Outage,
    delay: Duration,
    lost: Option<LostWrites>,
    calls: Calls,
}

/// A running stand-in. Dropping it ends it.
pub struct Platform {
    server: Server,
    state: Arc<watch::Sender<State>>,
}

impl Platform {
    /// Starts one; port 0 lets the system choose.
    ///
    /// # Errors
    ///
    /// When the address cannot be had.
    pub async fn start(addr: SocketAddr) -> io::Result<Self> {
        let state = Arc::new(watch::channel(State::default()).0);
        let shared = state.clone();
        let server = Server::start(addr, move |req| serve::answer(shared.clone(), req))?;
        Ok(Self { server, state })
    }

    /// Returns the address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Ends it: connections break and new ones are refused.
    ///
    /// # Errors
    ///
    /// When the address cannot be kept for a later start.
    pub async fn stop(&self) -> io::Result<()> {
        self.server.kill().await
    }

    /// Returns the control of its faults.
    pub fn faults(&self) -> Faults<'_> {
        Faults { platform: self }
    }

    /// Returns the calls so far.
    pub fn calls(&self) -> Calls {
        self.state.borrow().calls.clone()
    }

    /// Waits until the calls so far fulfil a condition.
    ///
    /// # Panics
    ///
    /// After half a minute.
    pub async fn until_calls(&self, mut condition: impl FnMut(&Calls) -> bool) {
        let mut rx = self.state.subscribe();
        // The sender lives in `self`.
        let _ = expected(rx.wait_for(|state| condition(&state.calls))).await;
    }

    /// Reads an object directly.
    pub fn get(&self, kind: Kind, name: &str) -> Option<Object> {
        self.state.borrow().store.get(kind, name)
    }

    /// Writes an object directly, and returns its version.
    ///
    /// # Errors
    ///
    /// [`Rejected`], as a call would be.
    pub fn put(
        &self,
        kind: Kind,
        name: &str,
        value: Value,
        condition: Condition,
    ) -> Result<StoreRevision, Rejected> {
        let mut result = Err(Rejected::Conflict);
        self.state.send_modify(|state| {
            result = state.store.put(kind, name, value, condition);
        });
        result
    }

    /// Puts a VM in the list, or changes its line.
    pub fn set_vm(&self, name: &str, vm: Vm) {
        self.change_vm(name, VmChange::Set(vm));
    }

    /// Changes the state of a VM that is in the list.
    pub fn set_vm_state(&self, name: &str, vm_state: VmState) {
        self.change_vm(name, VmChange::State(vm_state));
    }

    /// Takes a VM out of the list.
    pub fn remove_vm(&self, name: &str) {
        self.change_vm(name, VmChange::Remove);
    }

    fn change_vm(&self, name: &str, change: VmChange) {
        let mut due = None;
        self.state.send_modify(|state| {
            due = state.store.change_vm(name, change);
        });
        let Some(due) = due else {
            return;
        };
        let state = self.state.clone();
        tokio::spawn(async move {
            tokio::time::sleep_until(due).await;
            state.send_modify(|state| state.store.settle());
        });
    }
}

/// The control of a platform's faults.
pub struct Faults<'a> {
    platform: &'a Platform,
}

impl Faults<'_> {
    /// Begins an outage, or ends it with [`Outage::None`].
    ///
    /// # Errors
    ///
    /// When the address cannot be had again.
    pub async fn set_outage(&self, outage: Outage) -> io::Result<()> {
        self.modify(|state| state.outage = outage);
        match outage {
            Outage::Refuse => self.platform.server.kill().await,
            _ => self.platform.server.revive(),
        }
    }

    /// Delays the effect of every call.
    pub fn set_delay(&self, delay: Duration) {
        self.modify(|state| state.delay = delay);
    }

    /// Closes the connections of the next `writes` writes without an answer, after they took
    /// effect or instead of it.
    pub fn lose_answers(&self, writes: u32, after_effect: bool) {
        self.lose(writes, after_effect, Loss::Closed);
    }

    /// Never answers the next `writes` writes, after they took effect or instead of it.
    pub fn hold_answers(&self, writes: u32, after_effect: bool) {
        self.lose(writes, after_effect, Loss::Silent);
    }

    /// Makes the list of VMs show changes this much later.
    pub fn set_vm_lag(&self, lag: Duration) {
        self.modify(|state| state.store.set_vm_lag(lag));
    }

    /// Forgets the changes so far, so that every watch from before is too old.
    pub fn forget_history(&self) {
        self.modify(|state| state.store.forget_history());
    }

    /// Takes a copy of the present state.
    pub fn take_copy(&self) {
        self.modify(|state| state.store.take_copy());
    }

    /// Comes back from the last copy: what was written since is lost, and its revisions are given out
    /// again.
    pub fn restore(&self, how: Return) {
        self.modify(|state| state.store.restore(how));
    }

    fn lose(&self, left: u32, after_effect: bool, loss: Loss) {
        let lost = LostWrites {
            left,
            after_effect,
            loss,
        };
        self.modify(|state| state.lost = Some(lost));
    }

    fn modify(&self, change: impl FnOnce(&mut State)) {
        self.platform.state.send_modify(change);
    }
}

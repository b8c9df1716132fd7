//! The actor that decides: what waits, what may run, what the engine is ordered to do.
//!
//! It runs on a thread of its own, does no I/O in its decisions, and gives every order to a task
//! that reports back with a message.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use ractor::{
    Actor,
    ActorProcessingErr,
    ActorRef, //
};
use stair_policy::{
    keep_alive::KeepAlive,
    queue::{
        Options,
        Queue, //
    },
};
use stair_state::{
    ById,
    Ledger,
    RunTable,
    ledger::Item, //
};
use stair_telemetry::Part;
use stair_types::{
    FencingToken,
    ModelKey,
    RequestId,
    TierRank, //
};
use stair_wire::{
    control::{
        Assignment,
        VmNotice, //
    },
    request::Offer, //
};
use tokio::{
    sync::mpsc,
    time::Instant, //
};

use crate::{
    assignment::InForce,
    items::Items,
    memory_pressure::MemoryPressure,
    msg::{
        AgentReport,
        Arguments,
        Msg,
        OfferEvent, //
    },
    options::{
        keep_alive_options,
        queue_options, //
    },
    pending_offers::PendingOffer,
    reconcile::UnconfirmedOrders,
    responses::{
        ReaderCount,
        Response, //
    },
};

/// Time between the control's own ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// A process that was paused finds a gap between its ticks. Meanwhile another agent may have
/// ordered the engine, so its list is read before the next order. A busy machine delays ticks by
/// less than this.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// The incarnation that no other agent came before.
const FIRST_INCARNATION: FencingToken = FencingToken(1);

/// The actor.
pub(crate) struct Control;

/// An offer that has not started.
pub(crate) struct Unstarted {
    pub(crate) offer: Box<Offer>,
    pub(crate) key: ModelKey,
    pub(crate) deadline: Duration,
    pub(crate) body: Bytes,
    pub(crate) events: mpsc::UnboundedSender<OfferEvent>,
}

/// A request that holds a slot of the target.
pub(crate) struct Active {
    pub(crate) id: RequestId,
    pub(crate) key: ModelKey,
    pub(crate) item: Option<Item>,
    pub(crate) max_tokens: u32,
    pub(crate) expected_end: Duration,
    pub(crate) started: bool,
}

/// A whole answer that is kept for a resume.
pub(crate) struct BufferedResponse {
    pub(crate) id: RequestId,
    pub(crate) bytes: u64,
}

/// A load that failed and is not tried again yet.
pub(crate) struct Failure {
    pub(crate) item: Item,
    pub(crate) count: u32,
    pub(crate) retry_at: Duration,
}

/// The state of the control thread.
pub(crate) struct Core {
    pub(crate) me: ActorRef<Msg>,
    pub(crate) args: Arguments,
    pub(crate) started_at: Instant,
    pub(crate) in_force: InForce,
    pub(crate) ledger: Ledger,
    pub(crate) runs: RunTable,
    pub(crate) queue: Queue<RequestId>,
    pub(crate) queue_opts: Options,
    pub(crate) items: Items,
    /// Sorted by id.
    pub(crate) unstarted: Vec<Unstarted>,
    pub(crate) active: Vec<Active>,
    pub(crate) pending_offers: Vec<PendingOffer>,
    pub(crate) memory_pressure: Vec<MemoryPressure>,
    pub(crate) responses: ById<Arc<Response>>,
    /// Counts the answers that are being read.
    pub(crate) readers: ReaderCount,
    /// Whole answers, the oldest first.
    pub(crate) buffered: VecDeque<BufferedResponse>,
    /// Bytes of all whole answers.
    pub(crate) buffered_bytes: u64,
    /// Sorted by item.
    pub(crate) last_used: Vec<(Item, Duration)>,
    pub(crate) failures: Vec<Failure>,
    /// Loads under way, with their beginning.
    pub(crate) loading: Vec<(Item, Duration)>,
    pub(crate) keep_alive: KeepAlive,
    /// When metrics were last sent.
    pub(crate) metrics_emitted: Duration,
    /// Models whose callers were refused because the load takes too long, with their tier.
    pub(crate) on_demand: Vec<(Item, TierRank)>,
    /// Orders whose answers are awaited.
    pub(crate) orders: usize,
    pub(crate) listing: bool,
    /// The engine's list has to be read before the next order.
    pub(crate) relist: bool,
    /// Orders that may take effect although they were given up.
    pub(crate) unconfirmed: UnconfirmedOrders,
    /// Since when the engine has not answered when it was asked for its list.
    pub(crate) unresponsive_since: Option<Duration>,
    /// The planned stop has begun.
    pub(crate) draining: bool,
    /// What the platform's list says of this VM.
    pub(crate) vm: VmNotice,
    pub(crate) loads: u64,
    pub(crate) last_message: Duration,
}

impl Actor for Control {
    type Msg = Msg;
    type State = Core;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        me: ActorRef<Msg>,
        args: Arguments,
    ) -> Result<Core, ActorProcessingErr> {
        tokio::spawn(tick(me.clone()));
        let mut core = Core::new(me, args);
        core.publish();
        Ok(core)
    }

    async fn handle(
        &self,
        _me: ActorRef<Msg>,
        msg: Msg,
        core: &mut Core,
    ) -> Result<(), ActorProcessingErr> {
        core.notice_pause();
        core.apply(msg);
        core.advance();
        Ok(())
    }
}

async fn tick(me: ActorRef<Msg>) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if me.send_message(Msg::Tick).is_err() {
            return;
        }
    }
}

impl Core {
    fn new(me: ActorRef<Msg>, args: Arguments) -> Self {
        let keep_alive = KeepAlive::new(keep_alive_options(&args.in_force));
        let queue_opts = queue_options(&args.in_force, &args.limits);
        let unconfirmed = match args.engine {
            Some(_) if args.incarnation > FIRST_INCARNATION => UnconfirmedOrders::of_predecessor(),
            _ => UnconfirmedOrders::default(),
        };
        Self {
            me,
            started_at: Instant::now(),
            in_force: args.in_force.clone(),
            ledger: args.ledger.clone(),
            args,
            runs: RunTable::default(),
            queue: Queue::new(queue_opts.clone()),
            queue_opts,
            items: Items::default(),
            unstarted: Vec::new(),
            active: Vec::new(),
            pending_offers: Vec::new(),
            memory_pressure: Vec::new(),
            responses: ById::default(),
            readers: ReaderCount::default(),
            buffered: VecDeque::new(),
            buffered_bytes: 0,
            last_used: Vec::new(),
            failures: Vec::new(),
            loading: Vec::new(),
            on_demand: Vec::new(),
            keep_alive,
            metrics_emitted: Duration::ZERO,
            orders: 0,
            listing: false,
            relist: false,
            unconfirmed,
            unresponsive_since: None,
            draining: false,
            vm: VmNotice::default(),
            loads: 0,
            last_message: Duration::ZERO,
        }
    }

    /// Returns the time since the agent's start.
    pub(crate) fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn notice_pause(&mut self) {
        let now = self.now();
        if now - self.last_message > PAUSE_THRESHOLD {
            stair_telemetry::warn!(Part::Agent, "was paused for {:?}", now - self.last_message);
            self.relist = self.args.engine.is_some();
        }
        self.last_message = now;
    }

    fn apply(&mut self, msg: Msg) {
        match msg {
            Msg::Offer {
                offer,
                body,
                events,
            } => self.receive_offer(offer, body, events),
            Msg::Start { id, reply } => {
                let _ = reply.send(self.start(id));
            }
            Msg::Withdraw { id } => self.withdraw(id),
            Msg::Resume {
                id,
                incarnation,
                reply,
            } => {
                let _ = reply.send(self.resume(id, incarnation));
            }
            Msg::RunEnded {
                id,
                run,
                complete,
                suspect,
            } => self.run_ended(id, complete.then_some(run), suspect),
            Msg::Forget { id } => self.forget(id),
            Msg::Assign(assignment) => self.assign(*assignment),
            Msg::Vm(notice) => self.apply_vm_notice(notice),
            Msg::LoadEnded {
                item,
                outcome,
                source,
                took,
            } => self.load_ended(&item, outcome, source, took),
            Msg::UnloadEnded { item, outcome } => self.unload_ended(&item, outcome),
            Msg::Inventory(inventory) => self.inventory_received(inventory),
            Msg::Tick => {
                self.unload_idle();
                self.emit_metrics();
            }
            Msg::Stop => self.start_draining(),
            Msg::Dump { reply } => drop(reply.send(self.dump())),
        }
    }

    /// Does everything that the present state allows.
    fn advance(&mut self) {
        self.retry_pending_offers();
        self.expire();
        self.reconcile_inventory();
        self.refuse_all_engine_down();
        if self.knows_inventory() && !self.draining {
            self.assign_slots();
        }
        if self.may_order() {
            self.unload_undeclared();
            self.order_loads();
        }
        self.release_grants();
        self.publish();
    }

    fn assign(&mut self, assignment: Assignment) {
        if !self.in_force.apply(assignment) {
            return;
        }
        self.refuse_ungranted();
        self.keep_alive
            .set_options(keep_alive_options(&self.in_force));
        let opts = queue_options(&self.in_force, &self.args.limits);
        if opts != self.queue_opts {
            self.rebuild_queue(opts);
        }
    }

    /// Stops taking work. What runs goes on to its end.
    pub(crate) fn start_draining(&mut self) {
        self.draining = true;
        self.refuse_all_draining();
    }

    /// Takes no more work while the VM is listed as leaving. Of what the entries say the latest
    /// counts, since any of them may lag.
    fn apply_vm_notice(&mut self, notice: VmNotice) {
        if notice.version <= self.vm.version {
            return;
        }
        self.vm = notice;
        if notice.is_leaving {
            stair_telemetry::info!(Part::Agent, "the VM is listed as leaving");
            self.refuse_all_draining();
        }
    }

    /// Tells whether new work is refused.
    pub(crate) fn refuses_work(&self) -> bool {
        self.draining || self.vm.is_leaving
    }

    /// A later agent of this target has ordered the engine: orders of this one would break what
    /// the other relies on.
    pub(crate) fn stop_superseded(&mut self) {
        let why = "a later agent of the target has taken over the engine";
        self.args.published.fatal.send_replace(Some(why.into()));
        self.start_draining();
    }

    fn publish(&mut self) {
        let revoking = self.in_force.revoking().count();
        let listed: usize = self.in_force.shards().iter().map(|s| s.grants.len()).sum();
        let report = AgentReport {
            memory_pressure: self.grants_under_pressure(),
            config: self.in_force.config(),
            shards: self.in_force.versions(),
            released: self.in_force.released().to_vec(),
            draining: self.draining,
            granted: listed - revoking,
            revoking,
        };
        let published = &self.args.published;
        published.report.send_if_modified(|s| {
            let changed = *s != report;
            *s = report;
            changed
        });
        published.load.send_replace(self.load(None));
        let busy = self.active.len() + self.readers.count();
        published.busy.send_if_modified(|b| {
            let changed = *b != busy;
            *b = busy;
            changed
        });
    }
}

//! The control actor, which owns the agent's state and makes its decisions: which requests wait,
//! which run, and which orders the engine receives.
//!
//! The actor runs on its own thread, and its decisions do no I/O. A task sends each order and
//! returns the outcome with a message.

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
use stair_fleet::{
    availability::Availability,
    quarantine::LoadCrashes,
    rate_limit::{
        Limiter,
        Source, //
    },
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
    crash::CrashWatch,
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
        TotalBytes,
    },
};

/// Interval between ticks of the control actor.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// A longer gap between two messages means that the process was paused. Another agent may have sent
/// orders to the engine meanwhile, so the inventory is read before the next order. A busy VM delays
/// ticks by less than this.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// The incarnation of a target's first agent.
const FIRST_INCARNATION: FencingToken = FencingToken(1);

/// The control actor.
pub(crate) struct Control;

/// An admitted offer whose run has not started.
pub(crate) struct Unstarted {
    pub(crate) offer: Box<Offer>,
    pub(crate) key: ModelKey,
    pub(crate) deadline: Duration,
    pub(crate) body: Bytes,
    pub(crate) events: mpsc::UnboundedSender<OfferEvent>,
}

/// A request that occupies a slot of the target.
pub(crate) struct Active {
    pub(crate) id: RequestId,
    pub(crate) key: ModelKey,
    pub(crate) item: Option<Item>,
    pub(crate) max_tokens: u32,
    pub(crate) expected_end: Duration,
    pub(crate) started: bool,
}

/// The response of an ended run, which stays buffered for a resume.
pub(crate) struct BufferedResponse {
    pub(crate) id: RequestId,
    pub(crate) bytes: u64,
}

/// A failed load, which is not retried before `retry_at`.
pub(crate) struct Failure {
    pub(crate) item: Item,
    pub(crate) count: u32,
    pub(crate) retry_at: Duration,
}

/// The state of the control actor.
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
    /// Requests that wait in the queue or for `Start`. Sorted by id.
    pub(crate) unstarted: Vec<Unstarted>,
    /// Requests that occupy a slot.
    pub(crate) active: Vec<Active>,
    /// Offers that wait for their assignment.
    pub(crate) pending_offers: Vec<PendingOffer>,
    pub(crate) memory_pressure: Vec<MemoryPressure>,
    pub(crate) responses: ById<Arc<Response>>,
    /// Counts the responses that are being read.
    pub(crate) readers: ReaderCount,
    /// Bytes of all responses.
    pub(crate) response_bytes: TotalBytes,
    /// Responses of ended runs, the oldest first.
    pub(crate) buffered: VecDeque<BufferedResponse>,
    /// Bytes of all responses of ended runs.
    pub(crate) buffered_bytes: u64,
    /// Time of the last use of each item. Sorted by item.
    pub(crate) last_used: Vec<(Item, Duration)>,
    pub(crate) failures: Vec<Failure>,
    pub(crate) load_crashes: LoadCrashes<Item>,
    /// Loads in progress, with their start times.
    pub(crate) loading: Vec<(Item, Duration)>,
    pub(crate) keep_alive: KeepAlive,
    /// When metrics were last emitted.
    pub(crate) metrics_emitted: Duration,
    /// Items to load on demand, whose requests were refused because the load takes too long, with
    /// the tiers of these requests.
    pub(crate) on_demand: Vec<(Item, TierRank)>,
    /// Number of orders that wait for a reply.
    pub(crate) orders: usize,
    /// A request for the engine's inventory is in progress.
    pub(crate) listing: bool,
    /// The engine's inventory has to be read before the next order.
    pub(crate) relist: bool,
    /// Orders without a reply, which may still take effect.
    pub(crate) unconfirmed: UnconfirmedOrders,
    /// Since when the engine has not replied to requests for its inventory.
    pub(crate) unresponsive_since: Option<Duration>,
    /// Finds crashes of the target.
    pub(crate) crashes: Arc<CrashWatch>,
    /// The graceful stop has begun.
    pub(crate) draining: bool,
    /// The state of this VM on the platform's list.
    pub(crate) vm: VmNotice,
    /// Loads ordered since the start.
    pub(crate) loads: u64,
    /// When the last message was handled.
    pub(crate) last_message: Duration,
    /// The limit that the target has named.
    pub(crate) limiter: Limiter,
    /// What the target's present incarnation states about the requests that it takes.
    pub(crate) availability: Availability,
    /// The version of the target's software, by its last response.
    pub(crate) version: Option<Box<str>>,
    /// The number of crashes found when the target stated that it shuts down.
    pub(crate) crashes_at_drain: u64,
    /// A message is due when the limit allows the next request.
    pub(crate) permit_awaited: bool,
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
            Some(_) if args.incarnation > FIRST_INCARNATION => {
                UnconfirmedOrders::of_stale_incarnation()
            }
            _ => UnconfirmedOrders::default(),
        };
        let limiter = Limiter::new(args.name.as_str(), args.incarnation.0, Duration::ZERO);
        Self {
            me,
            limiter,
            permit_awaited: false,
            availability: Availability::default(),
            version: None,
            crashes_at_drain: 0,
            started_at: Instant::now(),
            crashes: CrashWatch::new(args.client.addr()),
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
            response_bytes: TotalBytes::default(),
            buffered: VecDeque::new(),
            buffered_bytes: 0,
            last_used: Vec::new(),
            failures: Vec::new(),
            load_crashes: LoadCrashes::default(),
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
            stair_telemetry::warn!(
                Part::Agent,
                "the process was paused for {:?}",
                now - self.last_message
            );
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
            Msg::Responded(stated, stamp) => {
                self.version_stated(&stated.version);
                self.limit_stated(&stated.limit, Some(stamp), Source::Response);
                self.availability_stated(&stated, Source::Response);
            }
            Msg::Stated(stated) => {
                // Without a stamp a response names or lowers a limit, and lifts none.
                self.version_stated(&stated.version);
                self.limit_stated(&stated.limit, None, Source::AgentCall);
                self.availability_stated(&stated, Source::AgentCall);
            }
            Msg::PermitDue => self.permit_awaited = false,
            Msg::Assign(assignment) => self.assign(*assignment),
            Msg::Vm(notice) => self.apply_vm_notice(notice),
            Msg::LoadEnded {
                item,
                outcome,
                source,
                took,
            } => self.load_ended(&item, outcome, source, took),
            Msg::LoadCrashed { item, version } => self.load_crashed(&item, &version),
            Msg::UnloadEnded { item, outcome } => self.unload_ended(&item, outcome),
            Msg::Inventory(inventory) => self.inventory_received(inventory),
            Msg::Tick => {
                self.watch_drain();
                self.unload_idle();
                self.emit_metrics();
            }
            Msg::Stop => self.start_draining(),
            Msg::Dump { reply } => drop(reply.send(self.dump())),
        }
    }

    /// Takes every decision that the current state allows.
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
        self.await_permit();
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

    /// Refuses all requests that have not started and all new ones. Started runs continue.
    pub(crate) fn start_draining(&mut self) {
        self.draining = true;
        self.refuse_all_draining();
    }

    /// Applies a newer state of the VM and refuses work while the VM is listed as leaving. Entries
    /// may lag, so a notice with a lower version is ignored.
    fn apply_vm_notice(&mut self, notice: VmNotice) {
        if notice.version <= self.vm.version {
            return;
        }
        // An entry that knows the VM only from a copy does not know that it is leaving.
        let returned = notice.version.era > self.vm.version.era;
        let is_leaving = notice.is_leaving || (returned && self.vm.is_leaving);
        self.vm = VmNotice {
            is_leaving,
            ..notice
        };
        if notice.is_leaving {
            stair_telemetry::info!(Part::Agent, "the VM is listed as leaving");
            self.refuse_all_draining();
        }
    }

    /// Returns whether new work is refused.
    pub(crate) fn refuses_work(&self) -> bool {
        self.draining || self.vm.is_leaving || self.availability.drain().is_some()
    }

    /// Stops the agent because a newer incarnation has sent orders to the engine. Further orders of
    /// this one would invalidate the newer agent's ledger.
    pub(crate) fn stop_superseded(&mut self) {
        let reason = "a newer agent of the target controls the engine";
        self.args.published.fatal.send_replace(Some(reason.into()));
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
            draining: self.draining || self.availability.drain().is_some(),
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

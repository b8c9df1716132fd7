//! Not a case, since three stand already; see REPORT.md.
//!
//! An order to an engine gets no answer and is carried out seconds later. Meanwhile the engine crashes and starts
//! again under the id that it had. The agent has filled the engine by then, and the late order overfills it.

mod standins;

use std::{
    collections::BTreeMap,
    io::{self, BufReader, Write},
    net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use standins::*;

/// One of four engines crashes: share 0.25.
const ENGINES: u8 = 4;
const ADAPTER_SLOTS: usize = 8;

/// For six seconds a third of the orders to the engine gets no answer and is carried out late.
const LATE_BEGIN: Duration = Duration::from_millis(2500);
const LATE_TIME: Duration = Duration::from_millis(6000);
const LATE_BY_S: [u64; 4] = [7, 8, 9, 10];

const CRASH_AT: Duration = Duration::from_millis(7000);
const CRASH_TIME: Duration = Duration::from_millis(2000);

/// Eight adapters are in use at each time. From these times until the crash, others are in use in place of the first two.
const REPLACED_AT: [Duration; 2] = [Duration::from_millis(4000), Duration::from_millis(5200)];

const TRAFFIC: Duration = Duration::from_secs(20);
const INTERVAL: Duration = Duration::from_millis(100);

const EVENTS: u32 = 7;
const EVENT_TIME: Duration = Duration::from_millis(60);

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"quote","host":"desk.example","pathPrefix":"/quote/",
"kind":"stream","timeoutMs":13000,"targetLatencyMs":4000,"priority":1,"service":"quote-writer","maxAttempts":1,
"sticky":true,"resumable":false,"gapTargetMs":500}],
"services":[{"name":"quote-writer","healthPath":"/health","maxConnections":490,"engine":{"slots":64,
"kvCapacityTokens":262315,"weightsMb":230000.0,"adapterSlots":8,"loadsPerS":12.0,"models":[MODELS]}}],
"limits":LIMITS}"#;

/// Models that an engine holds at the start; the first engine's first one has adapters.
const RESIDENT: u8 = 3;

/// How long a load from the engine's own disk takes.
const DISK_LOAD: Duration = Duration::from_millis(390);

/// How long the load of an adapter takes.
const ADAPTER_LOAD: Duration = Duration::from_millis(5);

#[derive(Clone)]
struct Order {
    load: bool,
    model: String,
    adapter: Option<String>,
    expect: Option<u64>,
}

/// What one incarnation of an engine holds. It forgets all of it when it ends.
#[derive(Default)]
struct Held {
    born_ms: u128,
    sequence: u64,
    busy: bool,
    /// The adapters of each model.
    models: BTreeMap<String, Vec<String>>,
    running: u32,
}

impl Held {
    fn new(models: &[String]) -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            born_ms: since.map_or(0, |t| t.as_millis()),
            models: models.iter().map(|m| (m.clone(), Vec::new())).collect(),
            ..Self::default()
        }
    }

    fn adapters(&self) -> usize {
        self.models.values().map(Vec::len).sum()
    }

    /// What the engine says of itself, in its reports and in the store.
    fn fields(&self, on_disk: &[String]) -> String {
        let model = |(name, adapters): (&String, &Vec<String>)| {
            let adapters: Vec<String> = adapters.iter().map(|a| format!("\"{a}\"")).collect();
            format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[{}]}}", adapters.join(","))
        };
        let models: Vec<String> = self.models.iter().map(model).collect();
        let on_disk: Vec<String> = on_disk.iter().map(|m| format!("\"{m}\"")).collect();
        format!(
            ",\"born\":{},\"models\":[{}],\"atHand\":{{\"inMemory\":[],\"onDisk\":[{}]}}",
            self.born_ms,
            models.join(","),
            on_disk.join(",")
        )
    }
}

struct Engine {
    id: String,
    addr: SocketAddr,
    /// The models that it holds at the start, and has on its disk from then on.
    models: Vec<String>,
    held: Mutex<Held>,
    up: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    /// Orders since part of them is late; `None` while none is.
    late_orders: Mutex<Option<usize>>,
    store: Store,
    record: Record,
    /// What the engine was ordered beyond what it holds.
    overfilled: Mutex<Vec<String>>,
}

impl Engine {
    fn start(n: u8, ip: IpAddr, store: &Store, record: &Record) -> Arc<Self> {
        let listener = bind(ip, 0);
        let models: Vec<String> = (n * RESIDENT..(n + 1) * RESIDENT).map(|m| format!("m{m}")).collect();
        let engine = Arc::new(Self {
            id: format!("i-{n}"),
            addr: listener.local_addr().expect("bound"),
            held: Mutex::new(Held::new(&models)),
            models,
            up: AtomicBool::new(true),
            connections: Mutex::default(),
            late_orders: Mutex::new(None),
            store: store.clone(),
            record: record.clone(),
            overfilled: Mutex::default(),
        });
        engine.announce();
        let own = engine.clone();
        thread::spawn(move || own.listen(listener));
        engine
    }

    fn announce(&self) {
        let fields = lock(&self.held).fields(&self.models);
        self.store
            .put("servers", &self.id, &announcement("quote-writer", self.addr, 64, &fields));
    }

    fn listen(self: Arc<Self>, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a listener");
        while self.up.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            let Ok(mut w) = stream.try_clone() else { continue };
            if let Ok(own) = stream.try_clone() {
                lock(&self.connections).push(own);
            }
            let own = self.clone();
            thread::spawn(move || {
                let mut r = BufReader::new(stream);
                while let Some(req) = read_request(&mut r) {
                    if !own.answer(&req, &mut w).unwrap_or(false) {
                        break;
                    }
                }
                let _ = w.shutdown(Shutdown::Both);
            });
        }
    }

    /// Ends the process: its connections close, and its port refuses new ones.
    fn crash(self: &Arc<Self>, why: &str) {
        self.record.line(&format!("{} crashes: {why}", self.id));
        self.up.store(false, Ordering::SeqCst);
        for stream in lock(&self.connections).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        *lock(&self.held) = Held::default();
        let own = self.clone();
        thread::spawn(move || {
            thread::sleep(CRASH_TIME);
            *lock(&own.held) = Held::new(&[]);
            own.up.store(true, Ordering::SeqCst);
            let listener = bind(own.addr.ip(), own.addr.port());
            own.record.line(&format!("{} starts again under its id and holds nothing", own.id));
            own.announce();
            own.listen(listener);
        });
    }

    fn answer(self: &Arc<Self>, req: &Request, w: &mut TcpStream) -> io::Result<bool> {
        let instance = format!("Dandelionstair-Instance-Id: {}\r\n", self.id);
        if req.path == "/health" {
            return respond(w, "200 OK", &instance, b"");
        }
        if req.path == "/report" {
            let held = lock(&self.held);
            let body = format!(
                "{{\"stage\":\"colocated\",\"busy\":{},\"sequence\":{},\"queuedCount\":0,\"runningCount\":{},\
                 \"kvUsed\":0,\"kvTotal\":262315,\"handles\":0,\"pending\":[]{}}}",
                held.busy,
                held.sequence,
                held.running,
                held.fields(&self.models)
            );
            drop(held);
            let headers = format!("Content-Type: application/json\r\n{instance}");
            return respond(w, "200 OK", &headers, body.as_bytes());
        }
        if req.header("dandelionstair-expect-instance").is_some_and(|i| i != self.id) {
            return respond(w, "421 Misdirected Request", &instance, b"");
        }
        match req.path.as_str() {
            "/order" => self.order(req, w, &instance),
            _ => self.run(req, w, &instance),
        }
    }

    fn order(self: &Arc<Self>, req: &Request, w: &mut TcpStream, instance: &str) -> io::Result<bool> {
        let text = String::from_utf8_lossy(&req.body).into_owned();
        let order = Order {
            load: text_field(&text, "operation").as_deref() == Some("load"),
            model: text_field(&text, "model").unwrap_or_default(),
            adapter: text_field(&text, "adapter"),
            expect: raw_field(&text, "expect").and_then(|e| e.parse().ok()),
        };
        let late = {
            let mut late_orders = lock(&self.late_orders);
            late_orders.as_mut().and_then(|n| {
                *n += 1;
                // The second of each three orders.
                (*n % 3 == 2).then(|| LATE_BY_S[*n / 3 % LATE_BY_S.len()])
            })
        };
        let Some(late_by) = late else {
            let status = self.carry_out(&order, "order");
            return respond(w, status, instance, b"");
        };
        self.record.line(&format!("{} leaves an order unanswered, carries it out {late_by} s later: {text}", self.id));
        let own = self.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(late_by));
            if own.up.load(Ordering::SeqCst) {
                own.carry_out(&order, "late order");
            }
        });
        // The caller gives up before.
        thread::sleep(Duration::from_secs(2));
        Ok(false)
    }

    /// Checks an order when it arrives, or when a late one is carried out, and returns the answer's status.
    fn carry_out(self: &Arc<Self>, order: &Order, what: &str) -> &'static str {
        let mut held = lock(&self.held);
        let (at, before) = (held.sequence, held.adapters());
        let status = self.apply(order, &mut held);
        let overfilled = held.adapters() > ADAPTER_SLOTS;
        let line = format!(
            "{} has {what}: {} {}{} expect {:?}, at sequence {at} with {before} adapters: {status}",
            self.id,
            if order.load { "load" } else { "unload" },
            order.model,
            order.adapter.as_ref().map(|a| format!("/{a}")).unwrap_or_default(),
            order.expect,
        );
        drop(held);
        self.record.line(&line);
        if overfilled {
            lock(&self.overfilled).push(line);
            self.crash("it was ordered to load more adapters than it has places for");
        }
        status
    }

    fn apply(self: &Arc<Self>, order: &Order, held: &mut Held) -> &'static str {
        if order.expect.is_some_and(|e| e != held.sequence) {
            return "409 Conflict";
        }
        let Some(adapter) = &order.adapter else {
            return self.apply_model(order, held);
        };
        let Some(adapters) = held.models.get_mut(&order.model) else {
            return "409 Conflict";
        };
        let found = adapters.iter().position(|a| a == adapter);
        match (order.load, found) {
            (true, Some(_)) | (false, None) => return "200 OK",
            (false, Some(i)) => {
                adapters.remove(i);
            }
            (true, None) => {
                // An adapter in transit counts as loaded; no request comes in these milliseconds.
                adapters.push(adapter.clone());
                thread::sleep(ADAPTER_LOAD);
            }
        }
        held.sequence += 1;
        if order.load { "202 Accepted" } else { "200 OK" }
    }

    fn apply_model(self: &Arc<Self>, order: &Order, held: &mut Held) -> &'static str {
        if held.busy {
            return "409 Conflict";
        }
        if order.load == held.models.contains_key(&order.model) {
            return "200 OK";
        }
        held.sequence += 1;
        if !order.load {
            held.models.remove(&order.model);
            return "202 Accepted";
        }
        held.busy = true;
        let (own, model, born_ms) = (self.clone(), order.model.clone(), held.born_ms);
        let takes = if self.models.contains(&model) { DISK_LOAD } else { Duration::from_millis(10_200) };
        thread::spawn(move || {
            thread::sleep(takes);
            let mut held = lock(&own.held);
            if held.born_ms == born_ms {
                held.busy = false;
                held.models.insert(model, Vec::new());
                drop(held);
                own.announce();
            }
        });
        "202 Accepted"
    }

    fn run(&self, req: &Request, w: &mut TcpStream, instance: &str) -> io::Result<bool> {
        let id = req.id();
        let wanted = req.header("dandelionstair-model").unwrap_or("");
        let (model, adapter) = wanted.split_once('/').unwrap_or((wanted, ""));
        {
            let mut held = lock(&self.held);
            let adapters = held.models.get(model);
            if !adapters.is_some_and(|all| adapter.is_empty() || all.iter().any(|a| a == adapter)) {
                drop(held);
                return respond(w, "421 Misdirected Request", instance, b"");
            }
            held.running += 1;
        }
        self.record.line(&format!("{} begins to run {id} for {wanted}", self.id));
        let own = format!("Dandelionstair-Request-Id: {id}\r\nDandelionstair-Server-Seal: seal.{id}\r\n");
        let written = stream_events(w, &own);
        let mut held = lock(&self.held);
        held.running = held.running.saturating_sub(1);
        written
    }
}

fn stream_events(w: &mut TcpStream, own: &str) -> io::Result<bool> {
    let head =
        format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{own}Transfer-Encoding: chunked\r\n\r\n");
    w.write_all(head.as_bytes())?;
    for event in 1..=EVENTS {
        thread::sleep(EVENT_TIME);
        let text = format!("id: {event}\ndata: piece {event}\n\n");
        w.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
    }
    w.write_all(b"0\r\n\r\n")?;
    Ok(true)
}

/// The declarations of the models.
fn models() -> String {
    let model = |m: u8| {
        let (weights_mb, disk_s, adapters, adapter_mb) = match m {
            0 => (65_100, 0.39, 58, 12),
            _ => (72_700, 0.44, 0, 66),
        };
        format!(
            "{{\"name\":\"m{m}\",\"weightsMb\":{weights_mb},\"loadS\":10.2,\"warmS\":0.3,\"diskS\":{disk_s},\
             \"adapters\":{adapters},\"adapterMb\":{adapter_mb}}}"
        )
    };
    let all: Vec<String> = (0..ENGINES * RESIDENT).map(model).collect();
    all.join(",")
}

/// The answers of all requests: the status and why the body is not complete, or no answer.
type Answers = Arc<Mutex<Vec<(String, Result<(u16, Option<String>), String>)>>>;

fn request(front: SocketAddr, id: &str, model: &str, record: &Record, answers: &Answers) {
    record.line(&format!("client sends {id} for {model}"));
    let send = || -> io::Result<(u16, Option<String>)> {
        let mut stream = TcpStream::connect(front)?;
        let body = format!("prompt of {id}");
        let text = format!(
            "POST /quote/a HTTP/1.1\r\nHost: desk.example\r\nDandelionstair-Request-Id: {id}\r\n\
             Dandelionstair-Model: {model}\r\nDandelionstair-Token-Count: 600,56\r\n\
             Dandelionstair-Prompt-Prefix: {:x}:600\r\nDandelionstair-Deadline-Ms: 13000\r\n\
             Content-Length: {}\r\n\r\n{body}",
            id.bytes().fold(7_u64, |h, b| h.wrapping_mul(1_000_003) ^ u64::from(b)) >> 24,
            body.len()
        );
        stream.write_all(text.as_bytes())?;
        let response = read_response(&mut BufReader::new(stream), |_| {})?;
        Ok((response.status, response.broken))
    };
    let answer = send().map_err(|e| e.to_string());
    record.line(&format!("client has {id} answered: {answer:?}"));
    lock(answers).push((id.to_owned(), answer));
}

fn main() {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create("review/late-order.txt");
    let answers: Answers = Arc::default();
    let (net, folder) = (Loopback::find(), Folder::create());
    let store = Store::start(net.ip(1));
    store.put("config", "main", &CONFIG.replace("LIMITS", LIMITS).replace("MODELS", &models()));
    let (mut engines, mut agents) = (Vec::new(), Vec::new());
    for n in 0..ENGINES {
        let ip = net.ip(10 + n);
        let engine = Engine::start(n, ip, &store, &record);
        agents.push(start_agent(&format!("side-{n}"), ip, engine.addr, store.addr, &folder));
        engines.push(engine);
    }
    let entry = Entry::start("front-1", net.ip(2), store.addr, &folder);
    entry.wait_ready();
    thread::sleep(Duration::from_secs(1));

    let begun = Instant::now();
    let at = |due: Duration| thread::sleep(due.saturating_sub(begun.elapsed()));
    let mut clients = Vec::new();
    let mut send = |id: String, model: String| {
        let (front, record, answers) = (entry.front, record.clone(), answers.clone());
        clients.push(thread::spawn(move || request(front, &id, &model, &record, &answers)));
    };
    let mut crashed = false;
    for n in 0..(TRAFFIC.as_millis() / INTERVAL.as_millis()) as u32 {
        let due = INTERVAL * n;
        at(due);
        let late = trouble && (LATE_BEGIN..LATE_BEGIN + LATE_TIME).contains(&due);
        let mut late_orders = lock(&engines[0].late_orders);
        if late_orders.is_some() != late {
            record.line(&format!("{} carries out a third of its orders late: {late}", engines[0].id));
            *late_orders = late.then_some(0);
        }
        drop(late_orders);
        if trouble && due >= CRASH_AT && !crashed {
            crashed = true;
            engines[0].crash("srv_crash");
        }
        let usual = n as usize % ADAPTER_SLOTS;
        let replaced = REPLACED_AT.get(usual).is_some_and(|from| (*from..CRASH_AT).contains(&due));
        let adapter = if replaced { ADAPTER_SLOTS + usual } else { usual };
        send(format!("r{n}"), format!("m0/a{}", adapter + 1));
        send(format!("o{n}"), format!("m{}", 3 + n % 9));
    }
    clients.into_iter().for_each(|c| drop(c.join()));
    drop((entry, agents));

    let answers = lock(&answers);
    let served = answers.iter().filter(|(_, a)| *a == Ok((200, None))).count();
    let cut = answers.iter().filter(|(_, a)| matches!(a, Ok((200, Some(_))) | Err(_))).count();
    let overfilled: Vec<String> = engines.iter().flat_map(|e| lock(&e.overfilled).clone()).collect();
    let verdict = format!(
        "{} requests, {served} served, {cut} cut; orders to load more than the engine holds: {overfilled:?}",
        answers.len()
    );
    record.line(&verdict);
    println!("{verdict}");
    if served < answers.len() / 2 {
        cannot_run("less than half of the requests were served");
    }
    exit(i32::from(!overfilled.is_empty()));
}

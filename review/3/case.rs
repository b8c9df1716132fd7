//! One of two entries is cut off from the store, and a runner's entry in the store is removed at about the time at which
//! the cut heals. Both entries then send requests to the runner for longer than they may, also the one that was not cut
//! off and had stopped; some requests are lost when the runner exits.

#[path = "../standins.rs"]
mod standins;

use std::{
    collections::BTreeMap,
    io::{self, BufReader, Read, Write},
    net::{IpAddr, Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use standins::*;

const RUNNERS: usize = 3;
const ENGINES: u8 = 4;
const INTERVAL: Duration = Duration::from_millis(60);

/// How long a runner works on a request.
const WORK: Duration = Duration::from_millis(600);

/// The lengths of the cuts, which all differ, as the entry calls the store at intervals.
const CUTS_MS: [u64; 6] = [4400, 4800, 5200, 5600, 6000, 6400];

/// From the end of a cut until the runner's entry is removed.
const REMOVED_AFTER: Duration = Duration::from_millis(100);

/// How often runners write their entries in the store.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// The bounds of the site.
const DRAIN: Duration = Duration::from_millis(2000);
const CONTACT: Duration = Duration::from_millis(3000);

/// A runner serves for `drainMs` after its entry was removed, and a little longer.
const LINGERS: Duration = Duration::from_millis(3000);

const CONFIG: &str = r#"{"version":1,"routes":[
{"name":"once","host":"words.example","pathPrefix":"/once/","kind":"non_idempotent","timeoutMs":4000,
"targetLatencyMs":2500,"priority":0,"service":"app","maxAttempts":1,"sticky":false,"resumable":false}],
"services":[{"name":"app","healthPath":"/health","maxConnections":110},
{"name":"lexmodel","healthPath":"/health","maxConnections":370,"engine":{"slots":64,"kvCapacityTokens":263794,
"weightsMb":200000.0,"adapterSlots":8,"loadsPerS":1.6,
"models":[{"name":"m0","weightsMb":72700.0,"loadS":6.0,"warmS":0.63,"diskS":0.84,"adapters":0,"adapterMb":66.0}]}}],
"limits":LIMITS}"#;

const MODELS: &str = ",\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}]";

/// A proxy to the store. While it is cut, all its connections fall silent for good.
#[derive(Default)]
struct Proxy {
    cut: AtomicBool,
    cuts: AtomicU32,
}

impl Proxy {
    fn start(ip: IpAddr, to: SocketAddr) -> (Arc<Self>, SocketAddr) {
        let proxy = Arc::new(Self::default());
        let listener = bind(ip, 0);
        let addr = listener.local_addr().expect("bound");
        let own = proxy.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                thread::spawn(move || own.connection(stream, to));
            }
        });
        (proxy, addr)
    }

    fn connection(self: Arc<Self>, client: TcpStream, to: SocketAddr) {
        let begun = self.cuts.load(Ordering::SeqCst);
        if self.cut.load(Ordering::SeqCst) {
            return self.stay_silent();
        }
        let Ok(server) = TcpStream::connect(to) else { return };
        let (Ok(from_client), Ok(from_server)) = (client.try_clone(), server.try_clone()) else {
            return;
        };
        let own = self.clone();
        thread::spawn(move || own.forward(from_client, server, begun));
        self.forward(from_server, client, begun);
    }

    fn forward(&self, mut from: TcpStream, mut to: TcpStream, begun: u32) {
        let mut buf = [0; 16384];
        loop {
            let read = from.read(&mut buf).unwrap_or(0);
            if self.cuts.load(Ordering::SeqCst) != begun {
                return self.stay_silent();
            }
            if read == 0 {
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
            if to.write_all(&buf[..read]).is_err() {
                return;
            }
        }
    }

    /// Keeps the connection open for longer than its client waits.
    fn stay_silent(&self) {
        thread::sleep(Duration::from_secs(20));
    }

    fn begin_cut(&self) {
        self.cuts.fetch_add(1, Ordering::SeqCst);
        self.cut.store(true, Ordering::SeqCst);
    }

    fn end_cut(&self) {
        self.cut.store(false, Ordering::SeqCst);
    }
}

/// What was seen of one request.
#[derive(Default)]
struct Seen {
    /// Whether it was sent to the entry that is cut off at times.
    cut: bool,
    sent: Option<Instant>,
    /// The runner's id and when the request reached it.
    reached: Option<(String, Instant)>,
    /// Whether the runner ended while it ran the request.
    ended: bool,
    answer: Option<Result<u16, String>>,
}

type Log = Arc<Mutex<BTreeMap<u32, Seen>>>;

struct Runner {
    id: Mutex<String>,
    up: AtomicBool,
    boot: AtomicU32,
    record: Record,
    log: Log,
}

impl Runner {
    fn start(n: usize, ip: IpAddr, record: &Record, log: &Log) -> (Arc<Self>, SocketAddr) {
        let runner = Arc::new(Self {
            id: Mutex::new(format!("i-{n}-0")),
            up: AtomicBool::new(true),
            boot: AtomicU32::new(0),
            record: record.clone(),
            log: log.clone(),
        });
        let listener = bind(ip, 0);
        let addr = listener.local_addr().expect("bound");
        let own = runner.clone();
        serve(listener, move |req, w| own.answer(req, w));
        (runner, addr)
    }

    fn answer(&self, req: &Request, w: &mut TcpStream) -> io::Result<bool> {
        if !self.up.load(Ordering::SeqCst) {
            return Ok(false);
        }
        let id = lock(&self.id).clone();
        let header = format!("Dandelionstair-Instance-Id: {id}\r\n");
        if req.path == "/health" {
            return respond(w, "200 OK", &header, b"");
        }
        if req.header("dandelionstair-expect-instance").is_some_and(|i| i != id) {
            return respond(w, "421 Misdirected Request", &header, b"");
        }
        let boot = self.boot.load(Ordering::SeqCst);
        let number = req.id().trim_start_matches('r').parse().unwrap_or(0);
        lock(&self.log).entry(number).or_default().reached = Some((id.clone(), Instant::now()));
        self.record.line(&format!("{id} begins to run r{number}"));
        thread::sleep(WORK);
        if self.boot.load(Ordering::SeqCst) != boot {
            self.record.line(&format!("{id} has exited while it ran r{number}"));
            lock(&self.log).entry(number).or_default().ended = true;
            return Ok(false);
        }
        let own = format!("Dandelionstair-Request-Id: r{number}\r\nDandelionstair-Server-Seal: seal.r{number}\r\n");
        respond(w, "200 OK", &own, b"done")
    }

    /// Ends the runner's process, and everything that it runs.
    fn exit(&self) {
        self.up.store(false, Ordering::SeqCst);
        self.boot.fetch_add(1, Ordering::SeqCst);
    }

    fn start_again(&self, id: String) {
        *lock(&self.id) = id;
        self.up.store(true, Ordering::SeqCst);
    }
}

fn request(front: SocketAddr, cut: bool, number: u32, record: &Record, log: &Log) {
    let name = if cut { "front-sto-a-1" } else { "front-sto-a-2" };
    record.line(&format!("client sends r{number} to {name}"));
    {
        let mut log = lock(log);
        let seen = log.entry(number).or_default();
        seen.cut = cut;
        seen.sent = Some(Instant::now());
    }
    let answer = exchange(front, number).map_err(|e| e.to_string());
    record.line(&format!("client has r{number} answered: {answer:?}"));
    lock(log).entry(number).or_default().answer = Some(answer);
}

fn exchange(front: SocketAddr, number: u32) -> io::Result<u16> {
    let mut stream = TcpStream::connect(front)?;
    let text = format!(
        "POST /once/a HTTP/1.1\r\nHost: words.example\r\nDandelionstair-Request-Id: r{number}\r\n\
         Dandelionstair-Deadline-Ms: 4000\r\nContent-Length: 4\r\n\r\nwork"
    );
    stream.write_all(text.as_bytes())?;
    Ok(read_response(&mut BufReader::new(stream), |_| {})?.status)
}

/// Sends requests to both entries in turn.
fn send_requests(fronts: [SocketAddr; 2], stop: &AtomicBool, record: &Record, log: &Log) {
    let mut clients = Vec::new();
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let (record, log) = (record.clone(), log.clone());
        let cut = number % 2 == 0;
        let front = fronts[usize::from(!cut)];
        clients.push(thread::spawn(move || request(front, cut, number, &record, &log)));
        thread::sleep(INTERVAL);
    }
    clients.into_iter().for_each(|c| drop(c.join()));
}

/// A runner with one model. Its agent tells the entries of each other.
fn start_engine(id: &str, ip: IpAddr) -> SocketAddr {
    let listener = bind(ip, 0);
    let addr = listener.local_addr().expect("bound");
    let instance = format!("Dandelionstair-Instance-Id: {id}\r\n");
    serve(listener, move |req, w| {
        if req.path != "/report" {
            return respond(w, "200 OK", &instance, b"");
        }
        let body = format!(
            "{{\"stage\":\"colocated\",\"busy\":false,\"sequence\":0,\"queuedCount\":0,\"runningCount\":0,\
             \"kvUsed\":0,\"kvTotal\":263794,\"handles\":0{MODELS}}}"
        );
        respond(w, "200 OK", &format!("Content-Type: application/json\r\n{instance}"), body.as_bytes())
    });
    addr
}

/// The entries that runners write in the store, by id. A runner's is written at each heartbeat as long as it is here.
type Heartbeats = Arc<Mutex<BTreeMap<String, (&'static str, SocketAddr, &'static str)>>>;

/// Writes the entries, evenly spread over the time of a heartbeat.
fn beat(store: &Store, heartbeats: &Heartbeats) {
    for sequence in 2_u64.. {
        let all: Vec<String> = lock(heartbeats).keys().cloned().collect();
        for id in &all {
            {
                let heartbeats = lock(heartbeats);
                if let Some((service, addr, more)) = heartbeats.get(id) {
                    let spec = announcement(service, *addr, 6, more);
                    store.put("servers", id, &spec.replace("\"sequence\":1", &format!("\"sequence\":{sequence}")));
                }
            }
            thread::sleep(HEARTBEAT / all.len().max(1) as u32);
        }
    }
}

fn main() {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create("review/3/record.txt");
    let log: Log = Arc::default();
    let (net, folder) = (Loopback::find(), Folder::create());
    let store = Store::start(net.ip(1));
    store.put("config", "main", &CONFIG.replace("LIMITS", LIMITS));
    let (proxy, store_addr) = Proxy::start(net.ip(3), store.addr);
    let heartbeats: Heartbeats = Arc::default();
    let mut agents = Vec::new();
    for n in 0..ENGINES {
        let (id, ip) = (format!("e-{n}"), net.ip(20 + n));
        let engine = start_engine(&id, ip);
        agents.push(start_agent(&format!("side-sto-a-{n}"), ip, engine, store.addr, &folder));
        lock(&heartbeats).insert(id, ("lexmodel", engine, MODELS));
    }
    let mut runners = Vec::new();
    for n in 0..RUNNERS {
        let (runner, addr) = Runner::start(n, net.ip(10 + n as u8), &record, &log);
        let id = lock(&runner.id).clone();
        lock(&heartbeats).insert(id, ("app", addr, ""));
        runners.push((runner, addr));
    }
    let (own_store, own_heartbeats) = (store.clone(), heartbeats.clone());
    thread::spawn(move || beat(&own_store, &own_heartbeats));
    thread::sleep(HEARTBEAT);
    let entry = Entry::start("front-sto-a-1", net.ip(2), store_addr, &folder);
    let other = Entry::start("front-sto-a-2", net.ip(4), store.addr, &folder);
    entry.wait_ready();
    other.wait_ready();
    thread::sleep(Duration::from_secs(4));

    let stop = Arc::new(AtomicBool::new(false));
    let fronts = [entry.front, other.front];
    let (own_stop, own_record, own_log) = (stop.clone(), record.clone(), log.clone());
    let load = thread::spawn(move || send_requests(fronts, &own_stop, &own_record, &own_log));
    let (leaver, leaver_addr) = &runners[0];
    let (mut late, mut lost) = ([Vec::new(), Vec::new()], 0);
    for (n, cut_ms) in CUTS_MS.into_iter().enumerate() {
        thread::sleep(Duration::from_secs(3));
        if trouble {
            record.line(&format!("front-sto-a-1 is cut off from the store for {cut_ms} ms"));
            proxy.begin_cut();
        }
        thread::sleep(Duration::from_millis(cut_ms));
        proxy.end_cut();
        let healed = Instant::now();
        record.line("front-sto-a-1 reaches the store");
        thread::sleep(REMOVED_AFTER);
        let id = lock(&leaver.id).clone();
        {
            let mut heartbeats = lock(&heartbeats);
            heartbeats.remove(&id);
            store.remove("servers", &id);
        }
        let acked = Instant::now();
        record.line(&format!("{id} is removed from the store"));
        thread::sleep(LINGERS);
        leaver.exit();
        record.line(&format!("{id} exits"));
        thread::sleep(WORK + Duration::from_millis(400));
        // Only requests that an entry in touch has taken count, and only those past the bound.
        for (number, seen) in lock(&log).iter() {
            let (Some(sent), Some((at, reached))) = (seen.sent, &seen.reached) else { continue };
            let in_touch = !seen.cut || sent >= healed + CONTACT;
            if *at == id && in_touch && *reached > acked + DRAIN {
                record.line(&format!("r{number} reached {id} {:?} after the ack", *reached - acked));
                late[usize::from(seen.cut)].push(*number);
                lost += u32::from(seen.ended);
            }
        }
        leaver.start_again(format!("i-0-{}", n + 1));
        let id = lock(&leaver.id).clone();
        lock(&heartbeats).insert(id, ("app", *leaver_addr, ""));
    }
    stop.store(true, Ordering::SeqCst);
    drop(load.join());
    drop((entry, other, agents));

    let log = lock(&log);
    let served = log.values().filter(|s| s.answer == Some(Ok(200))).count();
    let verdict = format!(
        "{} requests, {served} served; over 2 s after the ack that it has gone, a runner was reached by {} requests of \
         the entry that was never cut off, and by {} of the other; {lost} of them were lost when it exited",
        log.len(),
        late[0].len(),
        late[1].len()
    );
    record.line(&verdict);
    println!("{verdict}");
    if served < log.len() / 2 {
        cannot_run("less than half of the requests were served");
    }
    exit(i32::from(late.iter().any(|l| !l.is_empty())));
}

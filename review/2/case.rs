//! An entry gets SIGTERM. Requests that reach it later on connections that clients keep open are passed on to
//! runners, and some of them are cut when the process ends.

#[path = "../standins.rs"]
mod standins;

use std::{
    collections::BTreeMap,
    io::{self, BufReader, Write},
    net::{IpAddr, SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use standins::*;

const RUNNERS: u8 = 3;

/// How long a runner works on a request: half of the route's timeout.
const WORK: Duration = Duration::from_millis(2000);

/// When each client sends its second request, on its connection, after the SIGTERM.
const SECOND_AT: [u64; 9] = [1000, 2000, 3200, 4000, 4800, 5600, 5900, 6200, 6800];

const CONFIG: &str = r#"{"version":1,"routes":[
{"name":"once","host":"words.example","pathPrefix":"/once/","kind":"non_idempotent","timeoutMs":4000,
"targetLatencyMs":2500,"priority":0,"service":"app","maxAttempts":1,"sticky":false,"resumable":false},
{"name":"draft","host":"words.example","pathPrefix":"/draft/","kind":"stream","timeoutMs":15000,
"targetLatencyMs":2000,"priority":1,"service":"app","maxAttempts":1,"sticky":false,"resumable":false,
"gapTargetMs":600}],
"services":[{"name":"app","healthPath":"/health","maxConnections":110}],"limits":LIMITS}"#;

/// What was seen of one request.
#[derive(Default)]
struct Seen {
    sent: Option<Duration>,
    begun: bool,
    /// When the runner had written its whole response, or found the connection closed.
    done: Option<(Duration, bool)>,
    answer: Option<Result<u16, String>>,
}

type Log = Arc<Mutex<BTreeMap<String, Seen>>>;

#[derive(Clone)]
struct Case {
    record: Record,
    log: Log,
    /// When SIGTERM is sent, and would be without the disruption.
    term: Instant,
}

impl Case {
    fn since_term(&self) -> Duration {
        Instant::now().saturating_duration_since(self.term)
    }

    fn serve_runner(&self, id: &str, ip: IpAddr) -> SocketAddr {
        let listener = bind(ip, 0);
        let addr = listener.local_addr().expect("bound");
        let (case, instance) = (self.clone(), id.to_owned());
        serve(listener, move |req, w| case.run(&instance, req, w));
        addr
    }

    fn run(&self, instance: &str, req: &Request, w: &mut TcpStream) -> io::Result<bool> {
        let header = format!("Dandelionstair-Instance-Id: {instance}\r\n");
        if req.path == "/health" {
            return respond(w, "200 OK", &header, b"");
        }
        if req.header("dandelionstair-expect-instance").is_some_and(|i| i != instance) {
            return respond(w, "421 Misdirected Request", &header, b"");
        }
        let id = req.id();
        lock(&self.log).entry(id.clone()).or_default().begun = true;
        self.record.line(&format!("{instance} begins to run {id}"));
        let own = format!("Dandelionstair-Request-Id: {id}\r\nDandelionstair-Server-Seal: seal.{id}\r\n");
        let written = if req.path.starts_with("/draft/") {
            stream_events(w, &own)
        } else {
            thread::sleep(WORK);
            respond(w, "200 OK", &own, format!("done {id}").as_bytes())
        };
        self.record.line(&format!("{instance} has run {id}: {written:?}"));
        lock(&self.log).entry(id).or_default().done = Some((self.since_term(), written.is_ok()));
        written
    }

    fn send(&self, stream: &mut BufReader<TcpStream>, path: &str, id: &str, patience_ms: u32) {
        self.record.line(&format!("client sends {id}"));
        lock(&self.log).entry(id.to_owned()).or_default().sent = Some(self.since_term());
        let answer = exchange(stream, path, id, patience_ms);
        self.record.line(&format!("client has {id} answered: {answer:?}"));
        lock(&self.log).entry(id.to_owned()).or_default().answer = Some(answer);
    }
}

/// Ten seconds of events.
fn stream_events(w: &mut TcpStream, own: &str) -> io::Result<bool> {
    let head =
        format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{own}Transfer-Encoding: chunked\r\n\r\n");
    w.write_all(head.as_bytes())?;
    for event in 1..=50 {
        let text = format!("id: {event}\ndata: piece {event}\n\n");
        w.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        thread::sleep(Duration::from_millis(200));
    }
    w.write_all(b"0\r\n\r\n")?;
    Ok(true)
}

fn exchange(stream: &mut BufReader<TcpStream>, path: &str, id: &str, patience_ms: u32) -> Result<u16, String> {
    let body = format!("work of {id}");
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: words.example\r\nDandelionstair-Request-Id: {id}\r\n\
         Dandelionstair-Deadline-Ms: {patience_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.get_mut().write_all(text.as_bytes()).map_err(|e| e.to_string())?;
    let response = read_response(stream, |_| {}).map_err(|e| e.to_string())?;
    match response.broken {
        Some(why) => Err(why),
        None => Ok(response.status),
    }
}

fn connect(front: SocketAddr) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(front).unwrap_or_else(|e| cannot_run(&e.to_string()));
    let _ = stream.set_nodelay(true);
    BufReader::new(stream)
}

fn main() {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create("review/2/record.txt");
    let (net, folder) = (Loopback::find(), Folder::create());
    let store = Store::start(net.ip(1));
    store.put("config", "main", &CONFIG.replace("LIMITS", LIMITS));
    let mut entry = Entry::start("front-sto-a-1", net.ip(2), store.addr, &folder);
    entry.wait_ready();
    let case = Case {
        record: record.clone(),
        log: Arc::default(),
        term: Instant::now() + Duration::from_secs(9),
    };
    for n in 0..RUNNERS {
        let id = format!("i-{n}");
        let addr = case.serve_runner(&id, net.ip(10 + n));
        store.put("servers", &id, &announcement("app", addr, 6, ""));
    }
    // The entry learns of them from the store.
    thread::sleep(Duration::from_secs(2));

    let mut clients = Vec::new();
    // A stream that is under way when SIGTERM comes, as there usually is one.
    let (front, own) = (entry.front, case.clone());
    clients.push(thread::spawn(move || {
        thread::sleep((own.term - Duration::from_secs(1)).saturating_duration_since(Instant::now()));
        own.send(&mut connect(front), "/draft/s", "stream", 15_000);
    }));
    for (n, at) in SECOND_AT.into_iter().enumerate() {
        let own = case.clone();
        clients.push(thread::spawn(move || {
            let mut stream = connect(front);
            own.send(&mut stream, "/once/a", &format!("first-{n}"), 4000);
            // The next request on the same connection, which has been idle for a few seconds.
            let due = own.term + Duration::from_millis(at);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            own.send(&mut stream, "/once/b", &format!("second-{n}-at-{at}"), 4000);
        }));
    }
    thread::sleep(case.term.saturating_duration_since(Instant::now()));
    if trouble {
        record.line("SIGTERM");
        entry.process.signal(SIGTERM);
        // The platform kills what still runs after graceS.
        thread::sleep(Duration::from_secs(8));
        record.line(&format!("after graceS the process has ended: {:?}", entry.process.ended()));
    }
    clients.into_iter().for_each(|c| drop(c.join()));
    thread::sleep(Duration::from_millis(500));
    drop(entry);

    let log = lock(&case.log);
    // Only requests that were sent later than 3 s after SIGTERM count: the rule excuses no work of theirs.
    let late = |s: &Seen| s.sent.is_some_and(|t| t > Duration::from_secs(3));
    let served = log.values().filter(|s| s.answer == Some(Ok(200))).count();
    let lost: Vec<&String> = log
        .iter()
        .filter(|(_, s)| late(s) && s.begun && matches!(s.answer, Some(Err(_))))
        .map(|(id, _)| id)
        .collect();
    let verdict = format!(
        "{} requests, {served} served; {} sent over 3 s after SIGTERM were passed on to a runner and got no answer: {lost:?}",
        log.len(),
        lost.len()
    );
    record.line(&verdict);
    println!("{verdict}");
    if served < SECOND_AT.len() {
        cannot_run("the requests before the disruption were not served");
    }
    exit(i32::from(!lost.is_empty()));
}

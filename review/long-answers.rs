//! An entry gets SIGTERM while clients still read long answers that it has taken whole from a runner. It ends before
//! they have read them.
//!
//! Not a case; see REPORT.md.

#[path = "standins.rs"]
mod standins;

use std::{
    io::{self, BufReader, Write},
    net::{IpAddr, SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use standins::*;

const CLIENTS: usize = 6;

/// The length of each answer, and the time in which a client reads it at an even pace. The buffers of the connection
/// hold shorter answers whole: with 4 and 8 MiB none was cut.
const LENGTH: usize = 16 << 20;
const READING: Duration = Duration::from_secs(6);

/// How long before SIGTERM the requests are sent.
const LEAD: Duration = Duration::from_secs(1);

const CONFIG: &str = r#"{"version":1,"routes":[
{"name":"once","host":"words.example","pathPrefix":"/once/","kind":"non_idempotent","timeoutMs":15000,
"targetLatencyMs":2500,"priority":0,"service":"app","maxAttempts":1,"sticky":false,"resumable":false}],
"services":[{"name":"app","healthPath":"/health","maxConnections":110}],"limits":LIMITS}"#;

fn serve_runner(record: &Record, id: &'static str, ip: IpAddr) -> SocketAddr {
    let listener = bind(ip, 0);
    let addr = listener.local_addr().expect("bound");
    let record = record.clone();
    serve(listener, move |req, w| {
        let header = format!("Dandelionstair-Instance-Id: {id}\r\n");
        if req.path == "/health" {
            return respond(w, "200 OK", &header, b"");
        }
        if req.header("dandelionstair-expect-instance").is_some_and(|i| i != id) {
            return respond(w, "421 Misdirected Request", &header, b"");
        }
        let request = req.id();
        record.line(&format!("{id} begins to run {request}"));
        let own = format!("Dandelionstair-Request-Id: {request}\r\nDandelionstair-Server-Seal: seal.{request}\r\n");
        let written = respond(w, "200 OK", &own, &vec![b'x'; LENGTH]);
        record.line(&format!("{id} has handed over the answer of {request}: {written:?}"));
        written
    });
    addr
}

/// Sends one request and reads its answer at an even pace; what it has read, or why it has not read all.
fn call(front: SocketAddr, id: &str) -> Result<usize, String> {
    let run = || -> io::Result<Response> {
        let mut stream = BufReader::new(TcpStream::connect(front)?);
        let text = format!(
            "POST /once/a HTTP/1.1\r\nHost: words.example\r\nDandelionstair-Request-Id: {id}\r\n\
             Dandelionstair-Deadline-Ms: 15000\r\nContent-Length: 4\r\n\r\nwork"
        );
        stream.get_mut().write_all(text.as_bytes())?;
        let mut begun = None;
        read_response(&mut stream, |read| {
            let due = *begun.get_or_insert_with(Instant::now) + READING.mul_f64(read as f64 / LENGTH as f64);
            thread::sleep(due.saturating_duration_since(Instant::now()));
        })
    };
    match run() {
        Ok(r) if r.status == 200 && r.broken.is_none() && r.body.len() == LENGTH => Ok(LENGTH),
        Ok(r) => Err(format!("{}, {} bytes, {:?}", r.status, r.body.len(), r.broken)),
        Err(e) => Err(e.to_string()),
    }
}

fn main() {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create("review/long-answers.txt");
    let (net, folder) = (Loopback::find(), Folder::create());
    let store = Store::start(net.ip(1));
    store.put("config", "main", &CONFIG.replace("LIMITS", LIMITS));
    let mut entry = Entry::start("front-sto-a-1", net.ip(2), store.addr, &folder);
    entry.wait_ready();
    let addr = serve_runner(&record, "i-0", net.ip(10));
    store.put("servers", "i-0", &announcement("app", addr, 12, ""));
    // The entry learns of it from the store.
    thread::sleep(Duration::from_secs(2));

    let answers = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (front, record, answers) = (entry.front, record.clone(), answers.clone());
            thread::spawn(move || {
                let id = format!("long-{n}");
                record.line(&format!("client sends {id}"));
                let answer = call(front, &id);
                record.line(&format!("client has {id} answered: {answer:?}"));
                lock(&answers).push(answer);
            })
        })
        .collect();
    thread::sleep(LEAD);
    if trouble {
        record.line("SIGTERM");
        entry.process.signal(SIGTERM);
        let begun = Instant::now();
        // The platform kills what still runs after graceS.
        while begun.elapsed() < Duration::from_secs(8) && entry.process.ended().is_none() {
            thread::sleep(Duration::from_millis(50));
        }
        record.line("the process has ended, or graceS has passed");
    }
    clients.into_iter().for_each(|c| drop(c.join()));
    drop(entry);
    let answers = lock(&answers);
    let cut = answers.iter().filter(|a| a.is_err()).count();
    let verdict = format!("{} requests, {cut} answers not whole", answers.len());
    record.line(&verdict);
    println!("{verdict}");
    exit(i32::from(cut > 0));
}

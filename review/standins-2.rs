//! Stand-ins and checks of the scripts in `review/4` to `review/8`. `review/build-2.sh` builds them.
//!
//! One program: the first argument names a case, or `runner` for a runner process. The standard library only.
//! A case starts the project's programs with the commands of the deploy file, plays the platform's store, the
//! runners and the requesters, writes a record and exits with 1 if the rule was broken, 0 if it held and 2 if
//! the case could not run.

use std::{
    collections::HashMap,
    fs::{self, File, OpenOptions},
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio, exit},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

const PROGRAM: &str = "target/release/dandelionstair";
const HOST: &str = "ficu95.example";

unsafe extern "C" {
    fn prctl(option: i32, arg: u64, a: u64, b: u64, c: u64) -> i32;
}

const SIGKILL: i32 = 9;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Whether the disruption is to be played.
fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

fn unable(why: impl std::fmt::Display) -> ! {
    eprintln!("the case could not run: {why}");
    exit(2)
}

// ---------------------------------------------------------------------------------------------------------
// The record

/// What was sent, answered and run, with seconds since the start.
#[derive(Clone)]
struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    fn create(path: &str) -> Self {
        let file = File::create(path).unwrap_or_else(|e| unable(format!("{path}: {e}")));
        Self {
            file: Arc::new(Mutex::new(file)),
            began: Instant::now(),
        }
    }

    fn line(&self, text: impl std::fmt::Display) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
    }

    /// Also on standard output.
    fn say(&self, text: impl std::fmt::Display) {
        println!("{text}");
        self.line(text);
    }
}

// ---------------------------------------------------------------------------------------------------------
// HTTP

struct Head {
    first: String,
    fields: Vec<(String, Vec<u8>)>,
}

impl Head {
    fn get(&self, name: &str) -> Option<String> {
        let found = self.fields.iter().find(|(n, _)| n == name)?;
        Some(String::from_utf8_lossy(&found.1).into_owned())
    }

    fn length(&self) -> Option<usize> {
        self.get("content-length")?.trim().parse().ok()
    }
}

/// Reads a head; `None` at the end of the connection before one.
fn read_head(r: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut first = Vec::new();
    if r.read_until(b'\n', &mut first)? == 0 {
        return Ok(None);
    }
    let first = String::from_utf8_lossy(&first).trim_end().to_owned();
    let mut fields = Vec::new();
    loop {
        let mut line = Vec::new();
        if r.read_until(b'\n', &mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        while matches!(line.last(), Some(b'\r' | b'\n')) {
            line.pop();
        }
        if line.is_empty() {
            return Ok(Some(Head { first, fields }));
        }
        if let Some(colon) = line.iter().position(|b| *b == b':') {
            let name = String::from_utf8_lossy(&line[..colon]).to_lowercase();
            let value = line[colon + 1..].trim_ascii().to_vec();
            fields.push((name, value));
        }
    }
}

/// An answer as a requester gets it.
struct Answer {
    head: Head,
    status: u16,
    body: Vec<u8>,
    /// Whether the answer looks complete, by its length or its last chunk.
    complete: bool,
}

/// Sends a request on a connection of its own. An error means that no answer began.
fn call(addr: SocketAddr, head: &str, body: &[u8], budget: Duration) -> Result<Answer, String> {
    let text = |e: io::Error| e.to_string();
    let mut stream = TcpStream::connect_timeout(&addr, ms(1000)).map_err(text)?;
    stream.set_read_timeout(Some(budget)).map_err(text)?;
    stream.set_write_timeout(Some(budget)).map_err(text)?;
    let _ = stream.set_nodelay(true);
    stream.write_all(head.as_bytes()).map_err(text)?;
    stream.write_all(body).map_err(text)?;
    let mut r = BufReader::new(stream);
    let head = read_head(&mut r).map_err(text)?.ok_or("closed without an answer")?;
    let status = head.first.split(' ').nth(1).and_then(|s| s.parse().ok());
    let status = status.ok_or("no answer in the protocol")?;
    let mut body = Vec::new();
    let chunked = head.get("transfer-encoding").is_some_and(|t| t.contains("chunked"));
    let complete = match head.length() {
        _ if chunked => read_chunks(&mut r, &mut body),
        Some(length) => {
            body.resize(length, 0);
            match read_up_to(&mut r, &mut body) {
                n if n == length => true,
                n => {
                    body.truncate(n);
                    false
                }
            }
        }
        // A requester can't tell whether such an answer is complete.
        None => {
            let _ = r.read_to_end(&mut body);
            false
        }
    };
    Ok(Answer {
        head,
        status,
        body,
        complete,
    })
}

fn read_up_to(r: &mut impl Read, buf: &mut [u8]) -> usize {
    let mut n = 0;
    while n < buf.len() {
        match r.read(&mut buf[n..]) {
            Ok(0) | Err(_) => break,
            Ok(more) => n += more,
        }
    }
    n
}

fn read_chunks(r: &mut impl BufRead, body: &mut Vec<u8>) -> bool {
    loop {
        let mut line = String::new();
        if !matches!(r.read_line(&mut line), Ok(1..)) {
            return false;
        }
        let Ok(size) = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16) else {
            return false;
        };
        let mut chunk = vec![0; size];
        let n = read_up_to(r, &mut chunk);
        body.extend_from_slice(&chunk[..n]);
        let mut end = [0; 2];
        if n < size || read_up_to(r, &mut end) < 2 {
            return false;
        }
        if size == 0 {
            return true;
        }
    }
}

fn request(method: &str, path: &str, id: &str, fields: &str, length: usize, budget: Duration) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nDandelionstair-Request-Id: {id}\r\n\
         Dandelionstair-Deadline-Ms: {}\r\n{fields}Content-Length: {length}\r\n\r\n",
        budget.as_millis()
    )
}

// ---------------------------------------------------------------------------------------------------------
// The platform's store

struct Stored {
    kind: String,
    name: String,
    revision: u64,
    deleted: bool,
    spec: String,
}

impl Stored {
    fn json(&self) -> String {
        format!(
            "{{\"metadata\":{{\"name\":\"{}\",\"revision\":{},\"created\":1,\"finalizers\":[],\
             \"deleting\":false}},\"spec\":{},\"status\":null}}",
            self.name, self.revision, self.spec
        )
    }
}

struct Objects {
    revision: u64,
    all: Vec<Stored>,
}

/// A sound store: nothing is lost, nothing is late.
#[derive(Clone)]
struct Store {
    addr: SocketAddr,
    objects: Arc<(Mutex<Objects>, Condvar)>,
}

impl Store {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| unable(e));
        let store = Self {
            addr: listener.local_addr().unwrap(),
            objects: Arc::new((
                Mutex::new(Objects {
                    revision: 100,
                    all: Vec::new(),
                }),
                Condvar::new(),
            )),
        };
        let own = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                thread::spawn(move || own.serve(stream));
            }
        });
        store
    }

    fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        self.write(kind, name, spec, false)
    }

    fn remove(&self, kind: &str, name: &str) {
        self.write(kind, name, "null", true);
    }

    fn write(&self, kind: &str, name: &str, spec: &str, deleted: bool) -> u64 {
        let (lock, changed) = &*self.objects;
        let mut objects = lock.lock().unwrap();
        objects.revision += 1;
        let revision = objects.revision;
        objects.all.retain(|o| o.kind != kind || o.name != name);
        objects.all.push(Stored {
            kind: kind.into(),
            name: name.into(),
            revision,
            deleted,
            spec: spec.into(),
        });
        changed.notify_all();
        revision
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut w) = stream.try_clone() else { return };
        let mut r = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut r) {
            let mut body = vec![0; head.length().unwrap_or(0)];
            if read_up_to(&mut r, &mut body) < body.len() {
                return;
            }
            let (status, text) = self.answer(&head, &String::from_utf8_lossy(&body));
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if w.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, String) {
        let mut words = head.first.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, &str> = query.split('&').filter_map(|p| p.split_once('=')).collect();
        let mut parts = path.trim_start_matches("/objects/").splitn(2, '/');
        let (kind, name) = (parts.next().unwrap_or(""), parts.next());
        match (method, name) {
            ("GET", None) => match query.get("watch").and_then(|r| r.parse().ok()) {
                Some(since) => {
                    let wait = query.get("waitMs").and_then(|w| w.parse().ok());
                    self.watch(kind, since, ms(wait.unwrap_or(0)))
                }
                None => self.list(kind),
            },
            ("GET", Some(name)) => match self.find(kind, name) {
                Some(object) => (200, object),
                None => (404, "{}".into()),
            },
            ("POST" | "PUT", _) => self.change(kind, name, body),
            _ => (400, "{}".into()),
        }
    }

    fn find(&self, kind: &str, name: &str) -> Option<String> {
        let objects = self.objects.0.lock().unwrap();
        let mut all = objects.all.iter();
        let found = all.find(|o| o.kind == kind && o.name == name && !o.deleted)?;
        Some(found.json())
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let objects = self.objects.0.lock().unwrap();
        let listed = objects.all.iter().filter(|o| o.kind == kind && !o.deleted);
        let items: Vec<String> = listed.map(Stored::json).collect();
        let text = format!(
            "{{\"items\":[{}],\"more\":false,\"storeRevision\":{}}}",
            items.join(","),
            objects.revision
        );
        (200, text)
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> (u16, String) {
        let (lock, changed) = &*self.objects;
        let until = Instant::now() + wait;
        let mut objects = lock.lock().unwrap();
        loop {
            let new = objects.all.iter().filter(|o| o.kind == kind && o.revision > since);
            let mut new: Vec<&Stored> = new.collect();
            new.sort_by_key(|o| o.revision);
            let left = until.saturating_duration_since(Instant::now());
            if !new.is_empty() || left.is_zero() {
                let events: Vec<String> = new
                    .iter()
                    .map(|o| format!("{{\"object\":{},\"deleted\":{}}}", o.json(), o.deleted))
                    .collect();
                let text = format!(
                    "{{\"events\":[{}],\"storeRevision\":{}}}",
                    events.join(","),
                    objects.revision
                );
                return (200, text);
            }
            objects = changed.wait_timeout(objects, left).unwrap().0;
        }
    }

    /// A write of the system, under its condition.
    fn change(&self, kind: &str, name: Option<&str>, body: &str) -> (u16, String) {
        let field = |name: &str| {
            let at = body.find(&format!("\"{name}\":"))? + name.len() + 3;
            Some(&body[at..])
        };
        let named = field("name").and_then(|t| t.trim_start_matches('"').split('"').next());
        let Some(name) = name.or(named).map(str::to_owned) else {
            return (400, "{}".into());
        };
        let wanted = field("revision").map(|t| {
            let digits: String = t.chars().take_while(char::is_ascii_digit).collect();
            digits.parse::<u64>().unwrap_or(0)
        });
        let spec = field("spec").map_or("null", |t| &t[..t.len() - 1]).to_owned();
        let present = {
            let objects = self.objects.0.lock().unwrap();
            let mut all = objects.all.iter();
            let found = all.find(|o| o.kind == kind && o.name == name && !o.deleted);
            found.map(|o| o.revision)
        };
        if wanted != present {
            return (409, self.find(kind, &name).unwrap_or("{}".into()));
        }
        self.put(kind, &name, &spec);
        (200, self.find(kind, &name).unwrap_or("{}".into()))
    }
}

fn announcement(service: &str, addr: SocketAddr, slots: u32, sequence: u64) -> String {
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"sto-a\",\"version\":\"v1\",\
         \"slots\":{slots},\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{born}}}"
    )
}

const LIMITS: &str = "{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":5000,\
                      \"idleTimeoutMs\":10000}";

fn route(name: &str, kind: &str, service: &str, timeout_ms: u32, target_ms: u32, attempts: u32) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"/{name}/\",\"kind\":\"{kind}\",\
         \"timeoutMs\":{timeout_ms},\"targetLatencyMs\":{target_ms},\"priority\":1,\"service\":\"{service}\",\
         \"maxAttempts\":{attempts},\"gapTargetMs\":600}}"
    )
}

// ---------------------------------------------------------------------------------------------------------
// Processes

/// A process that is killed when this is dropped, and when the case ends in any way.
struct Process(Child);

impl Process {
    fn start(mut command: Command) -> Self {
        command.stdin(Stdio::null());
        // PR_SET_PDEATHSIG.
        unsafe {
            command.pre_exec(|| {
                prctl(1, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        Self(command.spawn().unwrap_or_else(|e| unable(format!("{command:?}: {e}"))))
    }

    fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }

    /// Memory in use, in MB; `None` once it has ended.
    fn memory_mb(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.0.id())).ok()?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
        Some(line.trim().strip_suffix(" kB")?.parse::<u64>().ok()? >> 10)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn free_port() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| unable(e));
    listener.local_addr().unwrap()
}

/// A temporary folder that is removed when this is dropped.
struct Folder(PathBuf);

impl Folder {
    fn create() -> Self {
        let name = format!("review-2-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).unwrap_or_else(|e| unable(e));
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A front machine: its addresses and its process.
struct Front {
    name: String,
    dir: PathBuf,
    listen: SocketAddr,
    ready: SocketAddr,
    process: Process,
}

impl Front {
    fn start(dir: &Path, name: &str, store: SocketAddr, agent_port: u16) -> Self {
        let [listen, ready, inner, metrics] = [(); 4].map(|()| free_port());
        // The template platform/entry.yaml with the bounds of the sheet of ordbrygga-prod.
        let text = format!(
            "name: {name}\ndata_centre: sto-a\nlisten: \"{listen}\"\nready: \"{ready}\"\ninner: \"{inner}\"\n\
             agent_port: {agent_port}\nmetrics: \"{metrics}\"\nstore: \"{store}\"\nstop_within_ms: 8000\n\
             drain_within_ms: 2000\nretries:\n  ratio: 0.2\n  extra: 56\n  window_ms: 10000\nquota_slack:\n"
        );
        fs::write(dir.join(format!("{name}.yaml")), text).unwrap_or_else(|e| unable(e));
        let front = Self {
            process: Self::run(dir, name),
            name: name.into(),
            dir: dir.into(),
            listen,
            ready,
        };
        front.wait_ready();
        front
    }

    fn run(dir: &Path, name: &str) -> Process {
        let log = File::create(dir.join(format!("{name}.log"))).unwrap_or_else(|e| unable(e));
        let mut command = Command::new(PROGRAM);
        command.args(["relay", "--settings"]).arg(dir.join(format!("{name}.yaml")));
        command.stdout(log);
        Process::start(command)
    }

    fn restart(&mut self) {
        self.process.kill();
        self.process = Self::run(&self.dir, &self.name);
        self.wait_ready();
    }

    fn wait_ready(&self) {
        let began = Instant::now();
        while began.elapsed() < ms(10_000) {
            let head = "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n";
            if call(self.ready, head, b"", ms(1000)).is_ok_and(|a| a.status == 200) {
                return;
            }
            thread::sleep(ms(50));
        }
        unable(format!("{} is not ready", self.name));
    }
}

// ---------------------------------------------------------------------------------------------------------
// Case "unframed": runners crash while answers without a length are on their way

/// Pieces of an answer, and the time between two of them.
const PIECES: usize = 13;
const PIECE_MS: u64 = 100;

/// Of the answers of a runner that leaves out lengths, one in this many has none: 0.0294 of them.
const UNFRAMED_ONE_IN: usize = 34;

fn piece(id: &str, n: usize, stream: bool) -> String {
    match stream {
        true => format!("id: {n}\ndata: {id} piece {n} of {PIECES}\n\n"),
        false => format!("{id} piece {n:2} of {PIECES}\n"),
    }
}

fn whole(id: &str, stream: bool) -> String {
    (1..=PIECES).map(|n| piece(id, n, stream)).collect()
}

/// A runner process: `runner ADDRESS ID RECORD LEAVES_OUT_LENGTHS`.
fn runner(args: &[String]) -> ! {
    let listener = TcpListener::bind(&args[0]).unwrap_or_else(|e| unable(e));
    let own: Arc<str> = args[1].as_str().into();
    let log = OpenOptions::new().append(true).create(true).open(&args[2]);
    let log = Arc::new(Mutex::new(log.unwrap_or_else(|e| unable(e))));
    let leaves_out = args[3] == "1";
    let answers = Arc::new(AtomicUsize::new(0));
    for stream in listener.incoming().flatten() {
        let (own, log, answers) = (own.clone(), log.clone(), answers.clone());
        thread::spawn(move || run_pieces(stream, &own, &log, leaves_out, &answers));
    }
    exit(0)
}

fn run_pieces(
    stream: TcpStream,
    own: &str,
    log: &Mutex<File>,
    leaves_out: bool,
    answers: &AtomicUsize,
) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut w = stream.try_clone().ok()?;
    let mut r = BufReader::new(stream);
    let head = read_head(&mut r).ok()??;
    let mut body = vec![0; head.length().unwrap_or(0)];
    if read_up_to(&mut r, &mut body) < body.len() {
        return None;
    }
    let id = head.get("dandelionstair-request-id")?;
    let note = |text: &str| {
        let _ = log.lock().unwrap().write_all(format!("{own} {id} {text}\n").as_bytes());
    };
    if head.get("dandelionstair-expect-instance").is_some_and(|i| i != own) {
        let text = format!(
            "HTTP/1.1 421 X\r\nDandelionstair-Request-Id: {id}\r\nDandelionstair-Not-Executed: 1\r\n\
             Dandelionstair-Instance-Id: {own}\r\nContent-Length: 0\r\n\r\n"
        );
        return w.write_all(text.as_bytes()).ok();
    }
    let is_stream = head.first.contains(" /draft/");
    let unframed = leaves_out && answers.fetch_add(1, Ordering::Relaxed) % UNFRAMED_ONE_IN == UNFRAMED_ONE_IN - 1;
    note(if unframed { "runs, no length" } else { "runs" });
    let kind = if is_stream { "text/event-stream" } else { "text/plain" };
    let framing = match (unframed, is_stream) {
        (true, _) => "Connection: close\r\n".to_owned(),
        (false, true) => "Transfer-Encoding: chunked\r\n".to_owned(),
        (false, false) => format!("Content-Length: {}\r\n", whole(&id, false).len()),
    };
    let text = format!(
        "HTTP/1.1 200 OK\r\nDandelionstair-Request-Id: {id}\r\nDandelionstair-Server-Seal: {own}.{id}\r\n\
         Content-Type: {kind}\r\n{framing}\r\n"
    );
    w.write_all(text.as_bytes()).ok()?;
    for n in 1..=PIECES {
        thread::sleep(ms(PIECE_MS));
        let piece = piece(&id, n, is_stream);
        let text = match !unframed && is_stream {
            true => format!("{:x}\r\n{piece}\r\n", piece.len()),
            false => piece,
        };
        w.write_all(text.as_bytes()).ok()?;
    }
    if !unframed && is_stream {
        w.write_all(b"0\r\n\r\n").ok()?;
    }
    note("done");
    if unframed {
        let _ = w.shutdown(Shutdown::Write);
        return None;
    }
    // The requests of one connection follow each other; the system uses each for one.
    let _ = r.read(&mut [0]);
    Some(())
}

fn unframed(record: &Record) -> bool {
    const RUNNERS: usize = 6;
    const DOWN: Duration = ms(4000);
    const EACH: Duration = ms(5000);
    const KILLS: u64 = 8;
    let folder = Folder::create();
    let store = Store::start();
    let routes = [
        route("read", "idempotent", "ordapi", 5000, 2000, 2),
        route("post", "non_idempotent", "ordapi", 5000, 2000, 1),
        route("draft", "stream", "ordapi", 5000, 2000, 1),
    ];
    let config = format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{{\"name\":\"ordapi\",\"maxConnections\":370}}],\
         \"limits\":{LIMITS}}}",
        routes.join(",")
    );
    store.put("config", "main", &config);
    let program = std::env::current_exe().unwrap_or_else(|e| unable(e));
    let runs = folder.0.join("runs");
    let boot = AtomicU64::new(0);
    let addrs: Vec<SocketAddr> = (0..RUNNERS).map(|_| free_port()).collect();
    let start = |i: usize| -> (Process, String) {
        let id = format!("i-{i}-{}", boot.fetch_add(1, Ordering::Relaxed));
        let mut command = Command::new(&program);
        // Half of the runners leave out lengths.
        command.args(["runner", &addrs[i].to_string(), &id]).arg(&runs).arg(if i % 2 == 0 { "1" } else { "0" });
        let process = Process::start(command);
        let began = Instant::now();
        while TcpStream::connect(addrs[i]).is_err() {
            if began.elapsed() > ms(5000) {
                unable("a runner does not start");
            }
            thread::sleep(ms(10));
        }
        store.put("servers", &id, &announcement("ordapi", addrs[i], 64, 1));
        record.line(format!("runner {id} starts at {}", addrs[i]));
        (process, id)
    };
    let mut runners: Vec<(Process, String)> = (0..RUNNERS).map(start).collect();
    let front = Front::start(&folder.0, "front-sto-a-1", store.addr, 7380);
    thread::sleep(ms(2000));
    let stop = Arc::new(AtomicBool::new(false));
    let wrong = Arc::new(Mutex::new(Vec::new()));
    let counts = Arc::new(Mutex::new(HashMap::<String, u64>::new()));
    let clients = {
        let (stop, wrong, counts, record) = (stop.clone(), wrong.clone(), counts.clone(), record.clone());
        let listen = front.listen;
        thread::spawn(move || {
            let mut open = Vec::new();
            let mut n = 0_u64;
            let began = Instant::now();
            while !stop.load(Ordering::Relaxed) {
                // 120 requests a second.
                let due = began + Duration::from_secs_f64(n as f64 / 120.0);
                thread::sleep(due.saturating_duration_since(Instant::now()));
                let path = ["read", "post", "draft"][(n % 3) as usize];
                let (wrong, counts, record) = (wrong.clone(), counts.clone(), record.clone());
                open.push(thread::spawn(move || ask(listen, path, n, &wrong, &counts, &record)));
                n += 1;
            }
            for one in open {
                let _ = one.join();
            }
        })
    };
    thread::sleep(ms(3000));
    for n in 0..KILLS {
        if trouble() {
            // One of six runners: 0.167 of the service, for 4 s.
            let i = (n as usize % 3) * 2;
            let began = Instant::now();
            record.line(format!("runner {} is killed", runners[i].1));
            runners[i].0.kill();
            thread::sleep(ms(3600));
            // The platform removes its entry after three check-in intervals.
            store.remove("servers", &runners[i].1);
            thread::sleep(DOWN.saturating_sub(began.elapsed()));
            runners[i] = start(i);
            thread::sleep(EACH.saturating_sub(began.elapsed()));
        } else {
            thread::sleep(EACH);
        }
    }
    stop.store(true, Ordering::Relaxed);
    let _ = clients.join();
    let mut counts: Vec<(String, u64)> = counts.lock().unwrap().drain().collect();
    counts.sort();
    for (what, n) in counts {
        record.say(format!("{what}: {n}"));
    }
    let text = fs::read_to_string(&runs).unwrap_or_default();
    let without = text.lines().filter(|l| l.ends_with("no length")).count();
    let all = text.lines().filter(|l| !l.ends_with("done")).count();
    record.say(format!("runs {all}, of them without a length {without}"));
    let wrong = wrong.lock().unwrap();
    for (id, _) in wrong.iter() {
        for line in text.lines().filter(|l| l.split(' ').nth(1) == Some(id)) {
            record.line(format!("the runner's record of a wrong answer: {line}"));
        }
    }
    record.say(format!("successes that look complete and are not the runner's whole body: {}", wrong.len()));
    !wrong.is_empty()
}

fn ask(
    listen: SocketAddr,
    path: &str,
    n: u64,
    wrong: &Mutex<Vec<(String, String)>>,
    counts: &Mutex<HashMap<String, u64>>,
    record: &Record,
) {
    let id = format!("{path}-{n:05}");
    let body = format!("body of {id}");
    let head = request("POST", &format!("/{path}/x"), &id, "", body.len(), ms(5000));
    let answer = call(listen, &head, body.as_bytes(), ms(7000));
    let outcome = match &answer {
        Err(e) => format!("no answer ({e})"),
        Ok(a) if !a.complete => format!("{} broken off", a.status),
        Ok(a) if (200..300).contains(&a.status) => {
            let sealed = a.head.get("dandelionstair-server-seal").is_some();
            let text = String::from_utf8_lossy(&a.body).into_owned();
            let is_whole = sealed && text == whole(&id, path == "draft");
            if !is_whole {
                let pieces = text.matches(" piece ").count();
                record.line(format!("WRONG {id}: status {}, looks complete, {pieces} of {PIECES} pieces", a.status));
                wrong.lock().unwrap().push((id.clone(), text));
            }
            format!("{} complete{}", a.status, if is_whole { "" } else { " but not whole" })
        }
        Ok(a) => format!("{}", a.status),
    };
    record.line(format!("{id}: {outcome}"));
    *counts.lock().unwrap().entry(format!("{path}: {outcome}")).or_default() += 1;
}

// ---------------------------------------------------------------------------------------------------------
// Case "memory": more requesters come at once, and the front machines hold the bodies of their requests

/// Events of a stream, and the time between two of them.
const EVENTS: usize = 73;
const EVENT_MS: u64 = 110;

/// A runner that reads each request at once and answers with a stream, as a thread of the case.
fn streaming_runner(record: &Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| unable(e));
    let addr = listener.local_addr().unwrap();
    let record = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = record.clone();
            thread::spawn(move || run_stream(stream, &record));
        }
    });
    addr
}

fn run_stream(stream: TcpStream, record: &Record) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut w = stream.try_clone().ok()?;
    let mut r = BufReader::new(stream);
    let head = read_head(&mut r).ok()??;
    let id = head.get("dandelionstair-request-id")?;
    let mut left = head.length().unwrap_or(0);
    let mut buf = vec![0; 64 << 10];
    while left > 0 {
        let want = left.min(buf.len());
        let n = r.read(&mut buf[..want]).ok()?;
        if n == 0 {
            return None;
        }
        left -= n;
    }
    record.line(format!("{id}: runs"));
    let text = format!(
        "HTTP/1.1 200 OK\r\nDandelionstair-Request-Id: {id}\r\nDandelionstair-Server-Seal: s.{id}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    w.write_all(text.as_bytes()).ok()?;
    for n in 1..=EVENTS {
        thread::sleep(ms(EVENT_MS));
        let event = format!("id: {n}\ndata: event {n} of {id}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if w.write_all(chunk.as_bytes()).is_err() {
            record.line(format!("{id}: its connection was closed after {} of {EVENTS} events", n - 1));
            return None;
        }
    }
    w.write_all(b"0\r\n\r\n").ok()
}

fn memory(record: &Record) -> bool {
    /// Of a front machine, by the sheet of ordbrygga-prod.
    const MEMORY_MB: u64 = 260;
    /// Below `maxBodyBytes`.
    const BODY_BYTES: usize = 4_000_000;
    const FRONTS: usize = 2;
    /// The usual requests a second at each front machine.
    const USUAL: f64 = 5.0;
    /// A burst, its factor and its times.
    const FACTOR: f64 = 2.4;
    const BURST_S: f64 = 4.5;
    const BURSTS_AT_S: [f64; 3] = [10.0, 26.0, 42.0];
    const TIME_S: f64 = 48.0;
    /// Longer than a stream.
    const REST_S: f64 = 10.0;
    const ENDS: u32 = 3;
    let folder = Folder::create();
    let store = Store::start();
    let routes = [route("blurb", "stream", "lexmodel", 15_000, 2000, 1)];
    let config = format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{{\"name\":\"lexmodel\",\"maxConnections\":370}}],\
         \"limits\":{LIMITS}}}",
        routes.join(",")
    );
    store.put("config", "main", &config);
    for i in 0..9 {
        let addr = streaming_runner(record);
        store.put("servers", &format!("i-{i}"), &announcement("lexmodel", addr, 64, 1));
    }
    let fronts: Vec<Front> = (0..FRONTS)
        .map(|i| Front::start(&folder.0, &format!("front-sto-a-{i}"), store.addr, 7380))
        .collect();
    let body: Arc<Vec<u8>> = Arc::new((0..BODY_BYTES).map(|i| (i % 251) as u8).collect());
    thread::sleep(ms(1500));
    let began = Instant::now();
    let now = move || began.elapsed().as_secs_f64();
    let rate = |at: f64| match BURSTS_AT_S.iter().any(|b| (*b..b + BURST_S).contains(&at)) && trouble() {
        true => USUAL * FACTOR,
        false => USUAL,
    };
    let outcomes = Mutex::new(HashMap::<String, u64>::new());
    let (outcomes, body) = (&outcomes, &body);
    let ends: Vec<(u32, u64)> = thread::scope(|scope| {
        let requesters = fronts.iter().enumerate().map(|(i, f)| (i, f.listen));
        for (i, listen) in requesters {
            scope.spawn(move || {
                let (mut n, mut due) = (0_u64, 0.0);
                while due < TIME_S {
                    thread::sleep(Duration::from_secs_f64(f64::max(due - now(), 0.0)));
                    scope.spawn(move || send_large(listen, i, n, body, outcomes, record));
                    n += 1;
                    due += 1.0 / rate(due);
                }
            });
        }
        let mut ends = vec![(0, 0); FRONTS];
        let mut restart_at: Vec<Option<f64>> = vec![None; FRONTS];
        let mut fronts = fronts;
        while now() < TIME_S + REST_S {
            thread::sleep(ms(10));
            for (i, front) in fronts.iter_mut().enumerate() {
                if let Some(at) = restart_at[i] {
                    if now() >= at {
                        front.restart();
                        restart_at[i] = None;
                    }
                    continue;
                }
                let Some(used) = front.process.memory_mb() else {
                    unable("a front process has ended by itself");
                };
                ends[i].1 = ends[i].1.max(used);
                if used > MEMORY_MB {
                    // The platform kills a process that exceeds its memory, and starts it again.
                    ends[i].0 += 1;
                    record.say(format!("{}: {used} MB in use of {MEMORY_MB}, killed", front.name));
                    front.process.kill();
                    restart_at[i] = Some(now() + 0.5);
                }
            }
        }
        drop(fronts);
        ends
    });
    let mut outcomes: Vec<(String, u64)> = outcomes.lock().unwrap().drain().collect();
    outcomes.sort();
    for (what, n) in outcomes {
        record.say(format!("{what}: {n}"));
    }
    for (i, (ends, peak)) in ends.iter().enumerate() {
        record.say(format!("front {i}: {ends} ends over the memory limit, at most {peak} MB of {MEMORY_MB}"));
    }
    ends.iter().filter(|(ends, _)| *ends >= ENDS).count() >= 2
}

fn send_large(
    listen: SocketAddr,
    front: usize,
    n: u64,
    body: &[u8],
    outcomes: &Mutex<HashMap<String, u64>>,
    record: &Record,
) {
    let id = format!("blurb-{front}-{n:04}");
    let head = request("POST", "/blurb/x", &id, "", body.len(), ms(15_000));
    let outcome = match call(listen, &head, body, ms(16_000)) {
        Ok(a) if !a.complete => format!("{} broken off", a.status),
        Ok(a) => format!("{} complete", a.status),
        Err(e) => format!("no answer ({e})"),
    };
    record.line(format!("{id}: {outcome}"));
    *outcomes.lock().unwrap().entry(outcome).or_default() += 1;
}

// ---------------------------------------------------------------------------------------------------------
// Case "orders": a side machine loses power while an order without an answer is on its way

/// The runner's memory for weights and the size of each model, by the sheet of hollings-wa-grown.
const WEIGHTS_MB: u64 = 230_000;
const MODEL_MB: u64 = 72_700;
const DISK_LOAD: Duration = ms(850);
/// An order without an answer is carried out this much later; the pages say 2 to 12 s.
const LATE: Duration = ms(10_500);

#[derive(Default)]
struct EngineState {
    down: bool,
    boot: u64,
    born: u128,
    models: Vec<String>,
    loading: Option<String>,
    unloading: bool,
    sequence: u64,
    orders: u64,
    /// Orders that get no answer from now on.
    unanswered: u64,
    /// When the first of them came.
    first_unanswered: Option<Instant>,
    over: bool,
}

/// A model runner that starts again under its id, and doesn't check fences.
#[derive(Clone)]
struct Engine {
    name: String,
    addr: SocketAddr,
    /// The models with copies on its disk.
    disk: Vec<String>,
    state: Arc<Mutex<EngineState>>,
    record: Record,
}

impl Engine {
    /// Starts the runner of side machine `n`, which holds three of its six models.
    fn start(record: &Record, n: usize) -> Self {
        let listener = TcpListener::bind((format!("127.0.0.{}", n + 1), 0)).unwrap_or_else(|e| unable(e));
        let disk: Vec<String> = (n * 6 - 5..=n * 6).map(|m| format!("daka{m}")).collect();
        let engine = Self {
            name: format!("i-7f3a-{n}"),
            addr: listener.local_addr().unwrap(),
            disk: disk.clone(),
            state: Arc::default(),
            record: record.clone(),
        };
        {
            let mut state = engine.state.lock().unwrap();
            state.born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
            state.models = disk[..3].to_vec();
        }
        let own = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                thread::spawn(move || own.serve(stream));
            }
        });
        engine
    }

    fn announcement(&self) -> String {
        let state = self.state.lock().unwrap();
        let models: Vec<String> = state.models.iter().map(|m| model_json(m)).collect();
        format!(
            "{{\"service\":\"quote-writer\",\"address\":\"{}\",\"zone\":\"sto-a\",\"version\":\"v1\",\
             \"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{},\"born\":{},\
             \"stage\":\"colocated\",\"models\":[{}]}}",
            self.addr,
            state.sequence,
            state.born,
            models.join(",")
        )
    }

    fn lose_power(&self) {
        let mut state = self.state.lock().unwrap();
        state.down = true;
        state.boot += 1;
        state.models.clear();
        state.loading = None;
        state.unloading = false;
        state.sequence = 0;
        state.unanswered = 0;
    }

    /// Starts again under its id, empty; its disk keeps its copies.
    fn restart(&self) {
        let mut state = self.state.lock().unwrap();
        state.born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        state.down = false;
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut w = stream.try_clone().ok()?;
        let mut r = BufReader::new(stream);
        loop {
            let head = read_head(&mut r).ok()??;
            let mut body = vec![0; head.length().unwrap_or(0)];
            if read_up_to(&mut r, &mut body) < body.len() || self.state.lock().unwrap().down {
                return None;
            }
            let body = String::from_utf8_lossy(&body).into_owned();
            let id = head.get("dandelionstair-request-id").unwrap_or_default();
            let (status, text) = match head.first.split(' ').nth(1).unwrap_or("") {
                "/report" => (200, self.report()),
                "/order" => match self.order(&body) {
                    Some(status) => (status, String::new()),
                    // The order has no answer: the connection returns nothing further.
                    None => {
                        thread::sleep(ms(30_000));
                        return None;
                    }
                },
                _ => {
                    let model = head.get("dandelionstair-model").unwrap_or_default();
                    let holds = self.state.lock().unwrap().models.contains(&model);
                    self.record.line(format!("{id}: {}", if holds { "runs" } else { "its model isn't here" }));
                    if !holds {
                        (421, String::new())
                    } else if head.first.contains("/quote/long") {
                        return self.stream(&id, &mut w);
                    } else {
                        let events: String = (1..=3).map(|n| format!("id: {n}\ndata: {id}\n\n")).collect();
                        let text = format!(
                            "HTTP/1.1 200 OK\r\nDandelionstair-Request-Id: {id}\r\n\
                             Dandelionstair-Server-Seal: s.{id}\r\nContent-Type: text/event-stream\r\n\
                             Content-Length: {}\r\n\r\n{events}",
                            events.len()
                        );
                        w.write_all(text.as_bytes()).ok()?;
                        continue;
                    }
                }
            };
            let text = format!(
                "HTTP/1.1 {status} X\r\nDandelionstair-Request-Id: {id}\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n{text}",
                text.len()
            );
            w.write_all(text.as_bytes()).ok()?;
        }
    }

    /// A stream of 4 s, which ends with the runner.
    fn stream(&self, id: &str, w: &mut TcpStream) -> Option<()> {
        let text = format!(
            "HTTP/1.1 200 OK\r\nDandelionstair-Request-Id: {id}\r\nDandelionstair-Server-Seal: s.{id}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        w.write_all(text.as_bytes()).ok()?;
        let boot = self.state.lock().unwrap().boot;
        for n in 1..=10 {
            let event = format!("id: {n}\ndata: {id}\n\n");
            w.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).ok()?;
            thread::sleep(ms(400));
            if self.state.lock().unwrap().boot != boot {
                return None;
            }
        }
        w.write_all(b"0\r\n\r\n").ok()
    }

    fn report(&self) -> String {
        let state = self.state.lock().unwrap();
        let models: Vec<String> = state.models.iter().map(|m| model_json(m)).collect();
        let disk: Vec<String> = self.disk.iter().map(|m| format!("\"{m}\"")).collect();
        format!(
            "{{\"stage\":\"colocated\",\"models\":[{}],\"busy\":{},\"sequence\":{},\"queuedCount\":0,\
             \"runningCount\":0,\"kvUsed\":0,\"kvTotal\":262315,\"handles\":0,\"born\":{},\
             \"atHand\":{{\"inMemory\":[],\"onDisk\":[{}]}}}}",
            models.join(","),
            state.loading.is_some() || state.unloading,
            state.sequence,
            state.born,
            disk.join(",")
        )
    }

    /// Takes an order; `None` if it gets no answer.
    fn order(&self, body: &str) -> Option<u16> {
        let mut state = self.state.lock().unwrap();
        state.orders += 1;
        let late = state.unanswered > 0 && body.contains("\"load\"");
        if !late {
            drop(state);
            return Some(self.carry_out(body, ""));
        }
        state.unanswered -= 1;
        let first = *state.first_unanswered.get_or_insert_with(Instant::now);
        drop(state);
        self.record.line(format!("{} order {body}: no answer", self.name));
        let (own, body) = (self.clone(), body.to_owned());
        thread::spawn(move || {
            thread::sleep((first + LATE).saturating_duration_since(Instant::now()));
            own.carry_out(&body, ", carried out late");
        });
        None
    }

    fn carry_out(&self, body: &str, late: &str) -> u16 {
        let mut state = self.state.lock().unwrap();
        let field = |name: &str| {
            let at = body.find(&format!("\"{name}\":"))? + name.len() + 3;
            let end = body[at..].find([',', '}'])? + at;
            Some(body[at..end].trim_matches('"').to_owned())
        };
        let model = field("model").unwrap_or_default();
        let loads = field("operation").as_deref() == Some("load");
        let expected = field("expect").is_none_or(|e| e == state.sequence.to_string());
        let status = match state.models.contains(&model) {
            _ if state.down || state.loading.is_some() || state.unloading || !expected => 409,
            here if here == loads => 200,
            _ => 202,
        };
        let held: Vec<&str> = state.models.iter().map(String::as_str).collect();
        let at = format!("holds {}, sequence {}", held.join(" "), state.sequence);
        self.record.line(format!("{} order {body}{late}: {status} ({at})", self.name));
        if status != 202 {
            return status;
        }
        state.sequence += 1;
        let boot = state.boot;
        if loads {
            let needed = (state.models.len() as u64 + 1) * MODEL_MB;
            if needed > WEIGHTS_MB {
                state.over = true;
                state.boot += 1;
                state.down = true;
                self.record.say(format!("ordered to load {needed} MB of {WEIGHTS_MB}{late}: the runner crashes"));
            }
            state.loading = Some(model.clone());
        } else {
            state.models.retain(|m| *m != model);
            state.unloading = true;
        }
        let own = self.clone();
        thread::spawn(move || {
            thread::sleep(match loads {
                true if own.disk.contains(&model) => DISK_LOAD,
                true => ms(10_200),
                false => ms(100),
            });
            let mut state = own.state.lock().unwrap();
            if state.boot == boot {
                state.unloading = false;
                if let Some(loaded) = state.loading.take() {
                    state.models.push(loaded);
                }
            }
        });
        202
    }
}

fn model_json(name: &str) -> String {
    format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[]}}")
}

fn orders(record: &Record) -> bool {
    /// Of the service; one of them crashes, 0.25 of it.
    const RUNNERS: usize = 4;
    const DARK: Duration = ms(2000);
    let folder = Folder::create();
    let store = Store::start();
    let routes = [route("quote", "stream", "quote-writer", 13_000, 4000, 1)];
    let models: Vec<String> = (1..=6 * RUNNERS)
        .map(|n| {
            format!(
                "{{\"name\":\"daka{n}\",\"weightsMb\":{MODEL_MB},\"loadS\":10.2,\"warmS\":0.63,\"diskS\":0.85,\
                 \"adapters\":0,\"adapterMb\":12}}"
            )
        })
        .collect();
    let config = format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{{\"name\":\"quote-writer\",\"maxConnections\":490,\
         \"engine\":{{\"slots\":64,\"weightsMb\":{WEIGHTS_MB},\"adapterSlots\":8,\"loadsPerS\":11,\
         \"models\":[{}]}}}}],\"limits\":{LIMITS}}}",
        routes.join(","),
        models.join(",")
    );
    store.put("config", "main", &config);
    let engines: Vec<Engine> = (1..=RUNNERS).map(|n| Engine::start(record, n)).collect();
    for engine in &engines {
        store.put("servers", &engine.name, &engine.announcement());
    }
    let agent_port = free_port().port();
    let side = |i: usize| {
        let (engine, n) = (&engines[i], i + 1);
        let ip = engine.addr.ip();
        let settings = folder.0.join(format!("side-{n}.yaml"));
        // The template platform/agent.yaml.
        let text = format!(
            "name: side-sto-a-{n}\ndata_centre: sto-a\nengine: \"{}\"\ninner: \"{ip}:{agent_port}\"\n\
             metrics: \"{ip}:{}\"\nstore: \"{}\"\nstop_within_ms: 8000\nfetch_window_ms: 5000\n\
             quota_slack:\nfair_shares: true\n",
            engine.addr,
            agent_port - 1,
            store.addr
        );
        fs::write(&settings, text).unwrap_or_else(|e| unable(e));
        let log = OpenOptions::new().append(true).create(true).open(folder.0.join("side.log"));
        let mut command = Command::new(PROGRAM);
        command.args(["sidecar", "--settings"]).arg(&settings);
        command.stdout(log.unwrap_or_else(|e| unable(e)));
        Process::start(command)
    };
    let mut agents: Vec<Process> = (0..RUNNERS).map(side).collect();
    let engine = &engines[0];
    let front = Front::start(&folder.0, "front-sto-a-1", store.addr, agent_port);
    thread::sleep(ms(3000));
    let ask = |id: &str, path: &str, model: &str, budget: Duration| {
        let fields = format!(
            "Dandelionstair-Model: {model}\r\nDandelionstair-Token-Count: 800,40\r\n\
             Dandelionstair-Prompt-Prefix: 5c1e07a2:600,91bd3f06:200\r\n"
        );
        let head = request("POST", path, id, &fields, 1, budget);
        let outcome = match call(front.listen, &head, b"x", budget + ms(500)) {
            Ok(a) => format!("{}{}", a.status, if a.complete { "" } else { " broken off" }),
            Err(e) => format!("no answer ({e})"),
        };
        record.say(format!("{id} for {model}: {outcome}"));
    };
    ask("quote-1", "/quote/x", "daka1", ms(13_000));
    thread::sleep(ms(1000));
    ask("quote-2", "/quote/x", "daka4", ms(13_000));
    thread::sleep(ms(1000));
    if trouble() {
        // Two of five orders so far.
        engine.state.lock().unwrap().unanswered = 2;
    }
    ask("quote-3", "/quote/x", "daka5", if trouble() { ms(1500) } else { ms(13_000) });
    if trouble() {
        let orders = engine.state.lock().unwrap().orders;
        record.line(format!("side-sto-a-1 and its runner lose power for 2 s, after {orders} orders"));
        agents[0].kill();
        engine.lose_power();
        thread::sleep(DARK);
        engine.restart();
        store.put("servers", &engine.name, &engine.announcement());
        agents[0] = side(0);
        record.line("side-sto-a-1 and its runner are back");
        thread::sleep(ms(1500));
    }
    for (id, model) in [("quote-4", "daka1"), ("quote-5", "daka2"), ("quote-6", "daka3")] {
        ask(id, "/quote/x", model, ms(13_000));
    }
    // Streams are on their way when the late order is carried out.
    let first = engine.state.lock().unwrap().first_unanswered;
    let late_at = first.map_or(Instant::now(), |at| at + LATE);
    thread::sleep((late_at - ms(1500)).saturating_duration_since(Instant::now()));
    thread::scope(|scope| {
        for (id, model) in [("quote-7", "daka1"), ("quote-8", "daka2"), ("quote-9", "daka3")] {
            let ask = &ask;
            scope.spawn(move || ask(id, "/quote/long", model, ms(13_000)));
        }
    });
    drop(agents);
    for engine in &engines {
        let state = engine.state.lock().unwrap();
        record.say(format!("orders that reached {}: {}", engine.name, state.orders));
    }
    engines.iter().any(|e| e.state.lock().unwrap().over)
}

// ---------------------------------------------------------------------------------------------------------

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args_after = args.get(1..).unwrap_or_default();
    let case: fn(&Record) -> bool = match args.first().map(String::as_str) {
        Some("runner") if args_after.len() == 4 => runner(args_after),
        Some("unframed") => unframed,
        Some("memory") => memory,
        Some("orders") => orders,
        _ => unable("usage: standins CASE RECORD"),
    };
    if !Path::new(PROGRAM).exists() {
        unable("the programs are not built");
    }
    let record = Record::create(args_after.first().map_or("record.txt", String::as_str));
    // A case that hangs ends all the same; its processes end with it.
    thread::spawn(|| {
        thread::sleep(ms(115_000));
        unable("it takes too long");
    });
    let broken = case(&record);
    let disruption = if trouble() { "with" } else { "without" };
    record.say(format!("{disruption} the disruption: the rule {}", if broken { "was broken" } else { "held" }));
    exit(i32::from(broken));
}

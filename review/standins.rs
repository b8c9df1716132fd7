//! Stand-ins for the platform's store, runners and clients, and the project's processes under test.
//!
//! Standard library only. All addresses are loopback addresses; each run takes a range of its own.

#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{self, BufRead, BufReader, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

pub const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;

mod libc {
    unsafe extern "C" {
        pub fn kill(pid: i32, signal: i32) -> i32;
    }
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What has to be ended and removed, however the case ends.
static PIDS: Mutex<Vec<i32>> = Mutex::new(Vec::new());
static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

/// Ends the processes that still run, removes the temporary folder and exits.
pub fn exit(code: i32) -> ! {
    for pid in lock(&PIDS).drain(..) {
        // SAFETY: `kill` takes two integers and has no memory effects; the children have not been reaped.
        unsafe { libc::kill(pid, SIGKILL) };
    }
    for path in lock(&FOLDERS).drain(..) {
        let _ = fs::remove_dir_all(path);
    }
    std::process::exit(code)
}

/// Ends the case with the exit code for "could not run".
pub fn cannot_run(why: &str) -> ! {
    println!("cannot run: {why}");
    exit(2)
}

// ---------------------------------------------------------------------------------------------- record

/// The record of a run: what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    begun: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).unwrap_or_else(|e| cannot_run(&format!("{path}: {e}")));
        Self {
            begun: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn line(&self, text: &str) {
        let t = self.begun.elapsed().as_secs_f64();
        // A lost line of the record changes no verdict.
        let _ = writeln!(lock(&self.file), "{t:8.3} {text}");
    }
}

// ---------------------------------------------------------------------------------------------- HTTP

/// A request as a stand-in has read it.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut all = self.headers.iter();
        all.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn id(&self) -> String {
        self.header("dandelionstair-request-id").unwrap_or("").to_owned()
    }
}

fn read_headers(r: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if r.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn length_of(headers: &[(String, String)]) -> Option<usize> {
    let found = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case("content-length"));
    found.and_then(|(_, v)| v.parse().ok())
}

fn is_chunked(headers: &[(String, String)]) -> bool {
    headers
        .iter()
        .any(|(n, v)| n.eq_ignore_ascii_case("transfer-encoding") && v.eq_ignore_ascii_case("chunked"))
}

/// Reads a request; `None` when the connection has ended.
pub fn read_request(r: &mut impl BufRead) -> Option<Request> {
    let mut line = String::new();
    if r.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let headers = read_headers(r).ok()?;
    let mut body = Vec::new();
    if is_chunked(&headers) {
        while let Some(chunk) = read_chunk(r).ok()? {
            body.extend_from_slice(&chunk);
        }
    } else {
        body.resize(length_of(&headers).unwrap_or(0), 0);
        r.read_exact(&mut body).ok()?;
    }
    Some(Request { method, path, headers, body })
}

/// Reads a chunk; `None` for the last one.
fn read_chunk(r: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if r.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let length = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut data = vec![0; length];
    r.read_exact(&mut data)?;
    let mut end = [0; 2];
    r.read_exact(&mut end)?;
    Ok((length > 0).then_some(data))
}

/// A response as a client has read it.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Why the body is not complete.
    pub broken: Option<String>,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut all = self.headers.iter();
        all.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
}

/// Reads a response whose body has a length or comes in chunks. `pause` is called after each piece read.
///
/// # Errors
///
/// When the connection ends before the head is complete.
pub fn read_response(r: &mut impl BufRead, mut pause: impl FnMut(usize)) -> io::Result<Response> {
    let mut line = String::new();
    if r.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let status = line.split_whitespace().nth(1).and_then(|s| s.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let headers = read_headers(r)?;
    let (mut body, mut broken) = (Vec::new(), None);
    if is_chunked(&headers) {
        loop {
            match read_chunk(r) {
                Ok(Some(chunk)) => {
                    body.extend_from_slice(&chunk);
                    pause(body.len());
                }
                Ok(None) => break,
                Err(e) => {
                    broken = Some(e.to_string());
                    break;
                }
            }
        }
    } else {
        let length = length_of(&headers).unwrap_or(0);
        let mut piece = [0; 8192];
        while body.len() < length {
            let most = piece.len().min(length - body.len());
            match r.read(&mut piece[..most]) {
                Ok(0) => {
                    broken = Some("the connection ended".to_owned());
                    break;
                }
                Ok(n) => {
                    body.extend_from_slice(&piece[..n]);
                    pause(body.len());
                }
                Err(e) => {
                    broken = Some(e.to_string());
                    break;
                }
            }
        }
    }
    Ok(Response { status, headers, body, broken })
}

/// Serves connections until the process ends; `handler` returns whether the connection goes on.
pub fn serve<H>(listener: TcpListener, handler: H)
where
    H: Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut w) = stream.try_clone() else { return };
                let mut r = BufReader::new(stream);
                while let Some(req) = read_request(&mut r) {
                    if !handler(&req, &mut w).unwrap_or(false) {
                        return;
                    }
                }
            });
        }
    });
}

pub fn respond(w: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<bool> {
    let mut out = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    out.extend_from_slice(body);
    w.write_all(&out)?;
    Ok(true)
}

pub fn respond_json(w: &mut TcpStream, status: &str, body: &str) -> io::Result<bool> {
    respond(w, status, "Content-Type: application/json\r\n", body.as_bytes())
}

// ---------------------------------------------------------------------------------------------- store

struct Stored {
    revision: u64,
    deleted: bool,
    /// The JSON of the object's `spec`.
    spec: String,
}

#[derive(Default)]
struct Objects {
    revision: u64,
    /// By kind and name.
    all: BTreeMap<(String, String), Stored>,
}

/// The platform's store, sound and in memory.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    objects: Arc<Mutex<Objects>>,
}

impl Store {
    pub fn start(ip: IpAddr) -> Self {
        let listener = bind(ip, 0);
        let addr = listener.local_addr().expect("bound");
        let objects: Arc<Mutex<Objects>> = Arc::default();
        lock(&objects).revision = 100;
        let store = Self { addr, objects };
        let own = store.clone();
        serve(listener, move |req, w| own.answer(req, w));
        store
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        lock(&self.objects).put(kind, name, spec, false);
    }

    pub fn remove(&self, kind: &str, name: &str) {
        lock(&self.objects).put(kind, name, "null", true);
    }

    fn answer(&self, req: &Request, w: &mut TcpStream) -> io::Result<bool> {
        let (path, query) = req.path.split_once('?').unwrap_or((&req.path, ""));
        let arg = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(n, _)| *n == name).map(|(_, v)| v.to_owned())
        };
        let words: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (req.method.as_str(), words.as_slice()) {
            ("GET", ["objects", kind]) => {
                if let Some(since) = arg("watch") {
                    let wait = arg("waitMs").and_then(|t| t.parse().ok()).unwrap_or(0);
                    let body = self.watch(kind, since.parse().unwrap_or(0), Duration::from_millis(wait));
                    return respond_json(w, "200 OK", &body);
                }
                let objects = lock(&self.objects);
                let of_kind = objects.all.iter().filter(|((k, _), o)| k == kind && !o.deleted);
                let items: Vec<String> = of_kind.map(|((_, n), o)| o.json(n)).collect();
                let body = format!(
                    "{{\"items\":[{}],\"more\":false,\"storeRevision\":{}}}",
                    items.join(","),
                    objects.revision
                );
                drop(objects);
                respond_json(w, "200 OK", &body)
            }
            ("GET", ["objects", kind, name]) => {
                let objects = lock(&self.objects);
                let found = objects.all.get(&((*kind).to_owned(), (*name).to_owned()));
                let body = found.filter(|o| !o.deleted).map(|o| o.json(name));
                drop(objects);
                match body {
                    Some(body) => respond_json(w, "200 OK", &body),
                    None => respond_json(w, "404 Not Found", "{}"),
                }
            }
            ("POST" | "PUT", ["objects", kind, ..]) => {
                let text = String::from_utf8_lossy(&req.body).into_owned();
                let name = text_field(&text, "name").unwrap_or_default();
                let wanted = raw_field(&text, "revision").and_then(|r| r.parse::<u64>().ok());
                let spec = raw_field(&text, "spec").unwrap_or_else(|| "{}".to_owned());
                let mut objects = lock(&self.objects);
                let key = ((*kind).to_owned(), name.clone());
                let found = objects.all.get(&key).filter(|o| !o.deleted).map(|o| o.revision);
                let creates = req.method == "POST";
                let status = match (creates, found) {
                    (true, Some(_)) => "409 Conflict",
                    (false, None) => "404 Not Found",
                    (false, Some(revision)) if wanted.is_some_and(|r| r != revision) => "409 Conflict",
                    _ => "200 OK",
                };
                if status != "200 OK" {
                    drop(objects);
                    return respond_json(w, status, "{}");
                }
                let body = objects.put(kind, &name, &spec, false);
                drop(objects);
                respond_json(w, status, &body)
            }
            _ => respond_json(w, "404 Not Found", "{}"),
        }
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        loop {
            {
                let objects = lock(&self.objects);
                let new = objects.all.iter().filter(|((k, _), o)| k == kind && o.revision > since);
                let events: Vec<String> = new
                    .map(|((_, n), o)| format!("{{\"object\":{},\"deleted\":{}}}", o.json(n), o.deleted))
                    .collect();
                if !events.is_empty() || Instant::now() >= until {
                    let events = events.join(",");
                    return format!("{{\"events\":[{events}],\"storeRevision\":{}}}", objects.revision);
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Objects {
    fn put(&mut self, kind: &str, name: &str, spec: &str, deleted: bool) -> String {
        self.revision += 1;
        let stored = Stored {
            revision: self.revision,
            deleted,
            spec: spec.to_owned(),
        };
        let json = stored.json(name);
        self.all.insert((kind.to_owned(), name.to_owned()), stored);
        json
    }
}

impl Stored {
    fn json(&self, name: &str) -> String {
        format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"created\":1,\"finalizers\":[],\
             \"deleting\":false}},\"spec\":{},\"status\":null}}",
            self.revision, self.spec
        )
    }
}

/// The JSON of the first field of this name.
pub fn raw_field(json: &str, name: &str) -> Option<String> {
    let at = json.find(&format!("\"{name}\""))? + name.len() + 2;
    let rest = json[at..].trim_start().strip_prefix(':')?.trim_start();
    let (mut depth, mut quoted, mut escaped) = (0_i32, false, false);
    for (i, c) in rest.char_indices() {
        if quoted {
            match c {
                _ if escaped => escaped = false,
                '\\' => escaped = true,
                '"' => quoted = false,
                _ => {}
            }
            continue;
        }
        match c {
            '"' => quoted = true,
            '{' | '[' => depth += 1,
            '}' | ']' if depth == 0 => return Some(rest[..i].trim().to_owned()),
            '}' | ']' => depth -= 1,
            ',' if depth == 0 => return Some(rest[..i].trim().to_owned()),
            _ => {}
        }
    }
    None
}

pub fn text_field(json: &str, name: &str) -> Option<String> {
    let raw = raw_field(json, name)?;
    Some(raw.strip_prefix('"')?.strip_suffix('"')?.to_owned())
}

// ---------------------------------------------------------------------------------------------- processes

/// A range of loopback addresses in which nothing listens at the ports that the templates fix.
pub struct Loopback {
    a: u8,
    b: u8,
}

impl Loopback {
    pub fn find() -> Self {
        let pid = std::process::id();
        for n in 0..200_u32 {
            let mixed = pid.wrapping_mul(7919).wrapping_add(n.wrapping_mul(104_729));
            let found = Self {
                a: (mixed % 200 + 20) as u8,
                b: (mixed / 200 % 250 + 1) as u8,
            };
            let is_free = |ip| TcpListener::bind((ip, METRICS_PORT)).is_ok();
            if (1..=30).all(|host| is_free(found.ip(host))) {
                return found;
            }
        }
        cannot_run("no free loopback addresses")
    }

    pub fn ip(&self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.a, self.b, host))
    }
}

/// The port that both templates name.
const METRICS_PORT: u16 = 9464;

/// The port of entries and agents for each other, the first of the platform's range.
const INNER_PORT: u16 = 7380;

pub fn bind(ip: IpAddr, port: u16) -> TcpListener {
    TcpListener::bind((ip, port)).unwrap_or_else(|e| cannot_run(&format!("{ip}:{port}: {e}")))
}

fn free_addr(ip: IpAddr) -> SocketAddr {
    bind(ip, 0).local_addr().expect("bound")
}

/// A temporary folder, removed by [`exit`].
pub struct Folder(PathBuf);

impl Folder {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap_or_else(|e| cannot_run(&e.to_string()));
        lock(&FOLDERS).push(path.clone());
        Self(path)
    }
}

/// The bounds of the site `ordbrygga-prod`, and the platform's other values of the templates.
fn render(template: &str, values: &[(&str, String)]) -> String {
    let mut text = fs::read_to_string(template).unwrap_or_else(|e| cannot_run(&format!("{template}: {e}")));
    let bounds = [
        ("zone", "sto-a"),
        ("internalPortRange.0", "7380"),
        ("bounds.graceS", "8"),
        ("bounds.drainMs", "2000"),
        ("bounds.retryBudgetRatio", "0.2"),
        ("bounds.budgetExtra", "56"),
        ("bounds.budgetWindowS", "10"),
        ("bounds.ceilingWindowS", "5"),
        ("bounds.quotaSlack", ""),
    ];
    for (name, value) in bounds {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    if let Some(at) = text.find("{{") {
        cannot_run(&format!("{template}: {}", text[at..].lines().next().unwrap_or("")));
    }
    text
}

/// A process of the project; killed when it is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts the program with the command of the deploy file, but for the place of the settings.
    fn start(role: &str, name: &str, settings: &str, folder: &Folder) -> Self {
        let path = folder.0.join(format!("{name}.yaml"));
        fs::write(&path, settings).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let log = File::create(folder.0.join(format!("{name}.log")));
        let log = log.unwrap_or_else(|e| cannot_run(&e.to_string()));
        let child = Command::new("target/release/dandelionstair")
            .args([role, "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a descriptor"))
            .stderr(log)
            .spawn();
        let child = child.unwrap_or_else(|e| cannot_run(&format!("target/release/dandelionstair: {e}")));
        lock(&PIDS).push(i32::try_from(child.id()).expect("a pid"));
        Self { child }
    }

    pub fn signal(&self, signal: i32) {
        let pid = i32::try_from(self.child.id()).expect("a pid");
        // SAFETY: `kill` takes two integers and has no memory effects; the child has not been reaped.
        let sent = unsafe { libc::kill(pid, signal) };
        assert_eq!(sent, 0, "the process runs");
    }

    /// Whether the process has ended, and how.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok()??;
        let pid = self.child.id();
        lock(&PIDS).retain(|p| u32::try_from(*p) != Ok(pid));
        Some(status.to_string())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let pid = self.child.id();
        lock(&PIDS).retain(|p| u32::try_from(*p) != Ok(pid));
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An entry.
pub struct Entry {
    pub process: Process,
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

impl Entry {
    pub fn start(name: &str, ip: IpAddr, store: SocketAddr, folder: &Folder) -> Self {
        let (front, ready) = (free_addr(ip), free_addr(ip));
        let settings = render(
            "platform/entry.yaml",
            &[
                ("nodeName", name.to_owned()),
                ("ip", ip.to_string()),
                ("listen.front", front.to_string()),
                ("listen.readyAddr", ready.to_string()),
                ("platform.address", store.to_string()),
            ],
        );
        let process = Process::start("relay", name, &settings, folder);
        Self { process, front, ready }
    }

    /// Asks once whether the entry is ready, as the platform does.
    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(900)))?;
            stream.write_all(b"GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
            Ok(read_response(&mut BufReader::new(stream), |_| {})?.status)
        };
        ask().is_ok_and(|status| status == 200)
    }

    pub fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(10);
        while !self.is_ready() {
            if Instant::now() > until {
                cannot_run("an entry does not become ready");
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
}

/// The agent beside the engine at `app`.
pub fn start_agent(name: &str, ip: IpAddr, app: SocketAddr, store: SocketAddr, folder: &Folder) -> Process {
    let settings = render(
        "platform/agent.yaml",
        &[
            ("nodeName", name.to_owned()),
            ("ip", ip.to_string()),
            ("app", app.to_string()),
            ("platform.address", store.to_string()),
        ],
    );
    Process::start("sidecar", name, &settings, folder)
}

/// The announcement of a runner in the store.
pub fn announcement(service: &str, addr: SocketAddr, slots: u32, more: &str) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"sto-a\",\"version\":\"v1\",\
         \"slots\":{slots},\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1{more}}}"
    )
}

/// The limits of requests in the configuration.
pub const LIMITS: &str = "{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
                          \"idleTimeoutMs\":15000}";

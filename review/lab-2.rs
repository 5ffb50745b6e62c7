//! Scripts of the second review: `lab-2 CASE FOLDER` plays one case and writes `record.txt` in FOLDER.
//!
//! Starts the project's own programs as processes on loopback addresses, with small stand-ins of
//! the platform, its clients and its runners in threads of this process. Exit codes: 0 if the rule
//! held, 1 if it was broken, 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File};
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn sched_setaffinity(pid: i32, size: usize, mask: *const [u64; 16]) -> i32;
    fn sched_getaffinity(pid: i32, size: usize, mask: *mut [u64; 16]) -> i32;
}

/// Calls `start` on a thread that may use one processor only, which a child process inherits: a
/// process of the platform sees one core.
fn with_one_core<T>(number: u8, start: impl FnOnce() -> T) -> T {
    let mut own = [0; 16];
    // The masks are plain arrays of the size that is given.
    unsafe { sched_getaffinity(0, 128, &mut own) };
    let cores: Vec<usize> =
        (0..1024).filter(|core| own[core / 64] >> (core % 64) & 1 == 1).collect();
    let mut one = [0; 16];
    if let Some(core) = cores.get(number as usize % cores.len().max(1)) {
        one[core / 64] = 1 << (core % 64);
        unsafe { sched_setaffinity(0, 128, &one) };
    }
    let result = start();
    unsafe { sched_setaffinity(0, 128, &own) };
    result
}

const PROGRAM: &str = "target/release/damaskhoist-platform";
const HOST: &str = "shop.example";
const SERVICE: &str = "engraver";

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// The record of a play: what was sent, answered and run, with the time since its start.
#[derive(Clone)]
struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    fn open(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("the record can be written");
        Self { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} s  {}\n", self.started.elapsed().as_secs_f64(), text.as_ref());
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// A temporary folder, removed at the end.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        let path = std::env::temp_dir().join(format!("lab-2-{}-{}", std::process::id(), unix_ms()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// The addresses of a fleet: an address for each machine, the same ports on all.
#[derive(Clone, Copy)]
struct Net {
    second: u8,
    third: u8,
    ports: [u16; 6],
}

impl Net {
    fn new(case: u8) -> Self {
        let third = (std::process::id() % 250) as u8;
        let mut net = Self { second: 150 + case, third, ports: [0; 6] };
        let listeners: Vec<TcpListener> =
            (0..6).map(|_| TcpListener::bind((net.ip(1), 0)).expect("a free port")).collect();
        for (port, listener) in net.ports.iter_mut().zip(&listeners) {
            *port = listener.local_addr().unwrap().port();
        }
        net
    }

    fn ip(&self, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second, self.third, machine)
    }

    fn peer(&self, machine: u8) -> SocketAddr {
        (self.ip(machine), self.ports[0]).into()
    }

    fn front(&self, machine: u8) -> SocketAddr {
        (self.ip(machine), self.ports[1]).into()
    }

    fn operator(&self, machine: u8) -> SocketAddr {
        (self.ip(machine), self.ports[4]).into()
    }
}

/// A machine of the system with its process.
struct Machine {
    name: String,
    number: u8,
    is_control: bool,
    zone: &'static str,
    settings: PathBuf,
    log: PathBuf,
    data: PathBuf,
    child: Option<Child>,
}

impl Machine {
    fn new(folder: &Folder, number: u8, is_control: bool, zone: &'static str) -> Self {
        let name = format!("{}-{number}", if is_control { "storage" } else { "edge" });
        let path = |end: &str| folder.0.join(format!("{name}{end}"));
        let (settings, log, data) = (path(".json"), path(".log"), path(""));
        Self { name, number, is_control, zone, settings, log, data, child: None }
    }

    /// Writes the settings, as the templates of the deploy file give them.
    fn configure(&self, net: &Net, seeds: &[u8], bootstrap: bool) {
        let n = self.number;
        let seeds: Vec<String> =
            seeds.iter().map(|seed| format!("\"{}\"", net.operator(*seed))).collect();
        let role = if self.is_control { "CONTROL" } else { "ENTRY" };
        let own = match self.is_control {
            true => format!(
                "\"data_folder\": {:?}, \"disk_mb\": 420, \"operator_address\": \"{}\"",
                self.data,
                net.operator(n)
            ),
            false => format!(
                "\"caller_address\": \"{}\", \"readiness_address\": \"{}:{}\", \
                 \"lookup_address\": \"{}:{}\"",
                net.front(n),
                net.ip(n),
                net.ports[2],
                net.ip(n),
                net.ports[3]
            ),
        };
        let text = format!(
            "{{\"host_id\": \"{}\", \"zone\": \"{}\", \"region\": \"{}\", \"zone_regions\": \
             {{\"santander\": \"cantabria\", \"torrelavega\": \"cantabria\", \"pamplona\": \
             \"navarra\"}}, \"roles\": [\"{role}\"], \"peer_address\": \"{}\", \
             \"seed_addresses\": [{}], \"first_start\": {bootstrap}, \"tolerated_losses\": 1, \
             \"metrics_address\": \"{}:{}\", \"upstream_heartbeat_ms\": 1200, \
             \"stop_grace_ms\": 8000, {own}}}",
            self.name,
            self.zone,
            if self.zone == "pamplona" { "navarra" } else { "cantabria" },
            net.peer(n),
            seeds.join(", "),
            net.ip(n),
            net.ports[5]
        );
        fs::write(&self.settings, text).expect("the settings can be written");
    }

    fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let mut command = Command::new(PROGRAM);
        command.arg("--settings").arg(&self.settings);
        // As on the platform, which sets it for the runtimes.
        command.env("MALLOC_ARENA_MAX", "1");
        command.stdin(Stdio::null()).stdout(log).stderr(Stdio::null());
        let child = with_one_core(self.number, || command.spawn());
        match child {
            Ok(child) => self.child = Some(child),
            Err(error) => {
                println!("{PROGRAM} can't be started: {error}");
                std::process::exit(2);
            }
        }
    }

    /// SIGKILL.
    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A request or an answer.
#[derive(Clone, Debug, Default)]
struct Message {
    /// Request line or status line.
    line: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
    /// False if the connection ended before the body did.
    is_whole: bool,
}

impl Message {
    fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    fn header(&self, name: &str) -> Option<&str> {
        let mut named = self.headers.iter().filter(|(it, _)| it.eq_ignore_ascii_case(name));
        named.next().map(|(_, value)| value.as_str())
    }

    fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with what was read from it and not used yet.
struct Wire {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    fn connect(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, ms(1_000))?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, buffer: Vec::new() })
    }

    fn fill(&mut self, until: Instant) -> std::io::Result<usize> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left.max(ms(1))))?;
        let mut chunk = [0; 16 << 10];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads a head; `None` at the end of the connection.
    fn read_head(&mut self, until: Instant) -> std::io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|it| it == b"\r\n\r\n") {
                break end;
            }
            if self.fill(until)? == 0 {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let line = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
        Ok(Some(Message { line, headers: headers.collect(), ..Message::default() }))
    }

    /// Reads the body of a message, calling `piece` with each part of it.
    fn read_body(
        &mut self,
        message: &mut Message,
        until: Instant,
        mut piece: impl FnMut(&[u8]),
    ) -> std::io::Result<()> {
        let is_chunked = message.header("Transfer-Encoding") == Some("chunked");
        let length = message.header("Content-Length").and_then(|it| it.parse::<usize>().ok());
        let status = message.status();
        if status == 204 || status == 304 || (!is_chunked && length.is_none()) {
            message.is_whole = true;
            return Ok(());
        }
        let mut left = length.unwrap_or(0);
        loop {
            if is_chunked && left == 0 {
                let end = loop {
                    if let Some(end) = self.buffer.windows(2).position(|it| it == b"\r\n") {
                        break end;
                    }
                    if self.fill(until)? == 0 {
                        return Ok(());
                    }
                };
                let size = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                if size.is_empty() {
                    continue;
                }
                left = usize::from_str_radix(&size, 16).map_err(|_| ErrorKind::InvalidData)?;
                if left == 0 {
                    while self.buffer.len() < 2 {
                        if self.fill(until)? == 0 {
                            return Ok(());
                        }
                    }
                    self.buffer.drain(..2);
                    message.is_whole = true;
                    return Ok(());
                }
            }
            if left == 0 {
                message.is_whole = true;
                return Ok(());
            }
            if self.buffer.is_empty() && self.fill(until)? == 0 {
                return Ok(());
            }
            let count = left.min(self.buffer.len());
            let part: Vec<u8> = self.buffer.drain(..count).collect();
            piece(&part);
            message.body.extend_from_slice(&part);
            left -= count;
        }
    }

    fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> std::io::Result<()> {
        let mut text = format!("{method} {path} HTTP/1.1\r\n");
        if !headers.iter().any(|(name, _)| *name == "Host") {
            text += &format!("Host: {HOST}\r\n");
        }
        for (name, value) in headers {
            text += &format!("{name}: {value}\r\n");
        }
        text += &format!("Content-Length: {}\r\n\r\n", body.len());
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    /// Reads a whole answer; an error if its head does not come.
    fn receive(&mut self, until: Instant) -> std::io::Result<Message> {
        let head = self.read_head(until)?;
        let mut answer = head.ok_or_else(|| std::io::Error::from(ErrorKind::UnexpectedEof))?;
        // What was read of a broken body stays in the answer.
        let _ = self.read_body(&mut answer, until, |_| {});
        Ok(answer)
    }
}

/// One call on a connection of its own.
fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    time: Duration,
) -> std::io::Result<Message> {
    let mut wire = Wire::connect(address)?;
    wire.send(method, path, headers, body)?;
    wire.receive(Instant::now() + time)
}

/// What a runner does with a request; false closes the connection.
type Serve = Arc<dyn Fn(&Message, &mut TcpStream) -> bool + Send + Sync>;

/// One start of a runner: it serves and sends heartbeats until it is stopped.
struct Runner {
    stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

/// What a runner says of itself.
#[derive(Clone)]
struct Announcement {
    id: String,
    service: String,
    version: String,
    zone: &'static str,
    address: SocketAddr,
    operators: Vec<SocketAddr>,
    /// Time after its start for which its heartbeats reach nobody.
    late: Duration,
}

impl Runner {
    fn start(announcement: Announcement, record: &Record, serve: Serve) -> Self {
        let listener = loop {
            match TcpListener::bind(announcement.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(ms(10)),
            }
        };
        let address = listener.local_addr().unwrap();
        let announcement = Announcement { address, ..announcement };
        let stopped = Arc::new(AtomicBool::new(false));
        let connections = Arc::new(Mutex::new(Vec::new()));
        listener.set_nonblocking(true).unwrap();
        let (stop, open, id) = (stopped.clone(), connections.clone(), announcement.id.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(ms(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                open.lock().unwrap().push(stream.try_clone().unwrap());
                let (serve, id, stop) = (serve.clone(), id.clone(), stop.clone());
                thread::spawn(move || serve_connection(stream, &id, &serve, &stop));
            }
        });
        let (stop, record) = (stopped.clone(), record.clone());
        thread::spawn(move || announce(&announcement, &stop, &record));
        Self { stopped, connections }
    }

    /// Ends as a killed process does: the listener and all connections close at once.
    fn crash(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
        thread::sleep(ms(10));
    }
}

fn serve_connection(stream: TcpStream, id: &str, serve: &Serve, stop: &AtomicBool) {
    let mut wire = Wire { stream, buffer: Vec::new() };
    while !stop.load(Ordering::SeqCst) {
        let until = Instant::now() + ms(30_000);
        let Ok(Some(mut request)) = wire.read_head(until) else { return };
        if wire.read_body(&mut request, until, |_| {}).is_err() {
            return;
        }
        let request_id = request.header("Request-Id").unwrap_or("").to_owned();
        if request.header("Expect-Instance").is_some_and(|expected| expected != id) {
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {request_id}\r\n\
                 Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            if wire.stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if !serve(&request, &mut wire.stream) {
            return;
        }
    }
}

/// Sends heartbeats as the pages say: about every `heartbeatMs`, to the next node after a failure.
fn announce(announcement: &Announcement, stop: &AtomicBool, record: &Record) {
    let Announcement { id, service, version, zone, address, operators, late } = announcement;
    let born = unix_ms();
    // A heartbeat without an answer is given up after a second, and the next node is called.
    let lost = late.as_secs() as usize;
    let (mut sequence, mut node, mut is_first) = (lost, lost, true);
    thread::sleep(*late);
    while !stop.load(Ordering::SeqCst) {
        sequence += 1;
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"{version}\",\"slots\":8,\"state\":\"ready\",\"warmupLeftMs\":0,\
             \"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"born\":{born},\"sequence\":{sequence}}}"
        );
        let (operator, path) = (operators[node % operators.len()], format!("/instances/{id}"));
        let answer = call(operator, "PUT", &path, &[], body.as_bytes(), ms(1_000));
        if !answer.is_ok_and(|it| it.status() == 200) {
            node += 1;
            thread::sleep(ms(50));
            continue;
        }
        if std::mem::take(&mut is_first) {
            record.note(format!("heartbeat of runner {id} ({version}) acknowledged by {operator}"));
        }
        let due = Instant::now() + ms(1_200);
        while Instant::now() < due && !stop.load(Ordering::SeqCst) {
            thread::sleep(ms(10));
        }
    }
}

/// Sends a configuration as the operator does, until it is acknowledged or refused.
fn put_configuration(
    record: &Record,
    operators: &[SocketAddr],
    body: &str,
    until: Instant,
) -> Option<u16> {
    let mut tries = 0;
    while Instant::now() < until {
        let operator = operators[tries % operators.len()];
        tries += 1;
        let answer = call(operator, "PUT", "/configuration", &[], body.as_bytes(), ms(1_000));
        match answer {
            Ok(answer) if answer.status() < 500 => {
                let (status, text) = (answer.status(), answer.text());
                record.note(format!(
                    "PUT /configuration at {operator}: {status} {text}, try {tries}"
                ));
                return Some(status);
            }
            Ok(answer) if tries % 20 == 1 => {
                record.note(format!("PUT /configuration at {operator}: {}", answer.status()));
            }
            Err(error) if tries % 20 == 1 => {
                record.note(format!("PUT /configuration at {operator}: {error}"));
            }
            _ => {}
        }
        thread::sleep(ms(150));
    }
    None
}

/// A small configuration with these routes: name, type, resumable.
fn configuration(version: u64, routes: &[(&str, &str, bool)], timeout_ms: u64) -> String {
    let route = |(name, kind, resumable): &(&str, &str, bool)| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"/{name}/\",\
             \"type\":\"{kind}\",\"timeoutMs\":{timeout_ms},\"sloMs\":300,\"priority\":0,\
             \"service\":\"{SERVICE}\",\"maxAttempts\":3,\"sticky\":true,\
             \"resumable\":{resumable},\"gapTargetMs\":250}}"
        )
    };
    let routes: Vec<String> = routes.iter().map(route).collect();
    format!(
        "{{\"version\":{version},\"routeTable\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"healthPath\":\"/health\",\"maxConns\":380,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

/// Waits until an entry host serves a request of this route.
fn wait_until_served(front: SocketAddr, path: &str, until: Instant) -> bool {
    static NUMBER: AtomicU64 = AtomicU64::new(1);
    while Instant::now() < until {
        let id = format!("warm-{}", NUMBER.fetch_add(1, Ordering::SeqCst));
        let headers = [("Request-Id", id.as_str()), ("Deadline-Ms", "3000")];
        if call(front, "POST", path, &headers, b"x", ms(3_000)).is_ok_and(|it| it.status() == 200) {
            return true;
        }
        thread::sleep(ms(100));
    }
    false
}

fn cannot_run(record: &Record, reason: &str) -> i32 {
    record.note(format!("the case could not run: {reason}"));
    2
}

fn verdict(record: &Record, broken: &[String]) -> i32 {
    for line in broken {
        record.note(format!("BROKEN: {line}"));
    }
    record.note(if broken.is_empty() { "the rule held" } else { "the rule was broken" });
    i32::from(!broken.is_empty())
}

/// The first start of a system, one storage machine of which is lost at once and replaced.
fn first_start(record: &Record, trouble: bool) -> i32 {
    let (net, folder) = (Net::new(1), Folder::new());
    let zones = ZONES;
    let control = |n: u8| Machine::new(&folder, n, true, zones[(n as usize - 1) % 3]);
    let mut controls: Vec<Machine> = (1..=3).map(control).collect();
    let mut entries: Vec<Machine> =
        (11..=12).map(|n| Machine::new(&folder, n, false, zones[n as usize - 11])).collect();
    for machine in controls.iter().chain(&entries) {
        machine.configure(&net, &[1, 2, 3], true);
    }
    record.note("the system starts for the first time: storage-1, -2, -3, edge-11, -12");
    for machine in controls.iter_mut().chain(&mut entries) {
        machine.start();
        if trouble && machine.number == 3 {
            machine.kill();
            record.note("storage-3 is killed right after its start, and gone for good");
        }
    }
    let mut operators = vec![net.operator(1), net.operator(2), net.operator(3)];
    if trouble {
        thread::sleep(ms(2_000));
        let mut replacement = Machine::new(&folder, 4, true, zones[2]);
        // It starts later, so `bootstrap` is false in its settings.
        replacement.configure(&net, &[1, 2, 4], false);
        replacement.start();
        record.note("storage-4 starts in its place, at another address and with an empty disk");
        controls.push(replacement);
        operators[2] = net.operator(4);
        // The machine counts as lost for catchUpS (4.6 s) after its start.
        thread::sleep(ms(4_600));
    }
    let announcement = Announcement {
        id: "i-1".to_owned(),
        service: SERVICE.to_owned(),
        version: "v1".to_owned(),
        zone: zones[0],
        address: (net.ip(101), 0).into(),
        operators: operators.clone(),
        late: Duration::ZERO,
    };
    let serve: Serve = Arc::new(|request, stream| answer_stream(request, stream, "i-1", 5, ms(5)));
    let runner = Runner::start(announcement, record, serve);
    let body = configuration(1, &[("draft", "streaming", true)], 5_000);
    let sent = Instant::now();
    record.note("the operator sends the first configuration, again and again");
    let acknowledged = put_configuration(record, &operators, &body, sent + ms(30_000));
    let took = sent.elapsed();
    record.note(format!("acknowledgement: {acknowledged:?} after {took:?}"));
    let mut broken = Vec::new();
    let mut read = Vec::new();
    for operator in &operators {
        let answer = call(*operator, "GET", "/configuration", &[], b"", ms(1_000));
        read.push(answer.map_or(0, |it| it.status()));
    }
    record.note(format!("GET /configuration at all storage machines: {read:?}"));
    let served = entries
        .iter()
        .filter(|it| {
            wait_until_served(net.front(it.number), "/draft/1", Instant::now() + ms(5_000))
        })
        .count();
    record.note(format!("edge machines that serve a request: {served} of {}", entries.len()));
    if acknowledged != Some(200) {
        broken.push(format!("a valid configuration has no acknowledgement after {took:?}"));
    }
    if !read.contains(&200) {
        broken.push("read back, the configuration doesn't come".to_owned());
    }
    runner.crash();
    verdict(record, &broken)
}

/// Answers with a stream of numbered events that names the runner and its version in its data.
fn answer_stream(
    request: &Message,
    stream: &mut TcpStream,
    name: &str,
    events: u64,
    pause: Duration,
) -> bool {
    let after: u64 = request.header("Last-Event-Id").and_then(|it| it.parse().ok()).unwrap_or(0);
    let id = request.header("Request-Id").unwrap_or("");
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: stamp-of-{name}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for event in after + 1..=events {
        let text = format!("id: {event}\ndata: {name} event {event}\n\n");
        if stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_err() {
            return false;
        }
        thread::sleep(pause);
    }
    stream.write_all(b"0\r\n\r\n").is_ok()
}

/// A client of a stream that may be resumed: its attempts, and all events that it got.
struct StreamClient {
    name: String,
    events: Vec<(u64, String)>,
    is_complete: bool,
}

/// Most attempts of a client, within its deadline.
const ATTEMPTS: usize = 6;

impl StreamClient {
    /// Reads a stream of `last` events; takes it up again at the other node after a broken
    /// connection, as the pages say.
    fn run(name: &str, fronts: &[SocketAddr], last: u64, record: &Record) -> Self {
        let mut client = Self { name: name.to_owned(), events: Vec::new(), is_complete: false };
        let deadline = Instant::now() + ms(30_000);
        let mut began_in: Option<String> = None;
        for attempt in 1..=ATTEMPTS {
            let id = format!("{name}-{attempt}");
            let front = fronts[(attempt - 1) % fronts.len()];
            let left = deadline.saturating_duration_since(Instant::now());
            let left_ms = left.as_millis().to_string();
            let after = client.events.last().map_or(0, |event| event.0);
            let after_text = after.to_string();
            let mut headers = vec![("Request-Id", id.as_str()), ("Deadline-Ms", left_ms.as_str())];
            headers.push(("Prompt-Prefix", "5c1e07a2:100,91bd3f06:100,e4402b7d:250"));
            if let Some(began_in) = &began_in {
                headers.push(("Last-Event-Id", after_text.as_str()));
                headers.push(("Resumes", began_in.as_str()));
            }
            let path = format!("/counter/{name}");
            let answer = Wire::connect(front).and_then(|mut wire| {
                wire.send("POST", &path, &headers, b"x")?;
                let head = wire.read_head(deadline)?;
                let mut answer =
                    head.ok_or_else(|| std::io::Error::from(ErrorKind::UnexpectedEof))?;
                let _ = wire.read_body(&mut answer, deadline, |_| {});
                Ok(answer)
            });
            let mut wait = ms(300);
            let outcome = match &answer {
                Err(error) => {
                    wait = ms(1_000);
                    format!("{error}")
                }
                Ok(answer) if answer.status() == 200 => {
                    let text = answer.text();
                    for event in text.split_terminator("\n\n") {
                        let id = event.lines().find_map(|line| line.strip_prefix("id: "));
                        let data = event.lines().find_map(|line| line.strip_prefix("data: "));
                        let (Some(id), Some(data)) = (id, data) else { continue };
                        client.events.push((id.parse().unwrap_or(0), data.to_owned()));
                    }
                    if began_in.is_none() && !client.events.is_empty() {
                        began_in = Some(id.clone());
                    }
                    client.is_complete = answer.is_whole;
                    let events = client.events.len();
                    format!("200, whole: {}, {events} events so far", answer.is_whole)
                }
                Ok(answer) => {
                    let after = answer.header("Retry-After").and_then(|it| it.parse::<f64>().ok());
                    wait = after.map_or(wait, Duration::from_secs_f64);
                    format!("{}, Retry-After {after:?}", answer.status())
                }
            };
            record
                .note(format!("client {name}, attempt {attempt}, after event {after}: {outcome}"));
            if client.is_complete || client.events.last().is_some_and(|event| event.0 == last) {
                break;
            }
            thread::sleep(wait);
        }
        client
    }

    /// The software versions whose events the client got.
    fn versions(&self) -> BTreeSet<&str> {
        self.events.iter().filter_map(|(_, data)| data.split(' ').nth(1)).collect()
    }
}

/// What comes beside runners that start again under their ids with another version.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Beside {
    Nothing,
    /// All processes of the system are killed once the new version is known.
    Kill,
    /// The first heartbeats of the new version are late.
    LateHeartbeats,
}

/// Runners start again under their ids with another version while clients read streams of them.
fn joined_versions(record: &Record, beside: Beside) -> i32 {
    let number = if beside == Beside::LateHeartbeats { 4 } else { 2 };
    let (net, folder) = (Net::new(number), Folder::new());
    let mut machines = small_system(&net, &folder, 2);
    let operators: Vec<SocketAddr> = (1..=3).map(|n| net.operator(n)).collect();
    let fronts = [net.front(11), net.front(12)];
    let runner = |number: u8, version: &'static str, late: Duration| {
        let announcement = Announcement {
            id: format!("i-{number}"),
            service: SERVICE.to_owned(),
            version: version.to_owned(),
            zone: "santander",
            address: (net.ip(100 + number), 7_000).into(),
            operators: operators.clone(),
            late,
        };
        let name = format!("i-{number} {version}");
        let record_runs = record.clone();
        let serve: Serve = Arc::new(move |request, stream| {
            let (id, after) = (request.header("Request-Id"), request.header("Last-Event-Id"));
            record_runs.note(format!("runner {name} runs {id:?} after event {after:?}"));
            answer_stream(request, stream, &name, 40, ms(100))
        });
        Runner::start(announcement, record, serve)
    };
    let body = configuration(1, &[("counter", "streaming", true)], 30_000);
    if put_configuration(record, &operators, &body, Instant::now() + ms(20_000)) != Some(200) {
        return cannot_run(record, "the configuration is not acknowledged");
    }
    let old = [runner(1, "v1", ms(0)), runner(2, "v1", ms(0))];
    let until = Instant::now() + ms(20_000);
    if !fronts.iter().all(|front| wait_until_served(*front, "/counter/warm", until)) {
        return cannot_run(record, "no request is served");
    }
    let clients: Vec<_> = (1..=6)
        .map(|n| {
            let (record, name) = (record.clone(), format!("stream-{n}"));
            thread::spawn(move || StreamClient::run(&name, &fronts, 40, &record))
        })
        .collect();
    thread::sleep(ms(1_500));
    record.note("both runners end and start again under their ids, with software version v2");
    old.iter().for_each(Runner::crash);
    thread::sleep(ms(200));
    let late = ms(if beside == Beside::LateHeartbeats { 2_000 } else { 0 });
    if !late.is_zero() {
        record.note(format!("their heartbeats reach nobody for {late:?}"));
    }
    let new = [runner(1, "v2", late), runner(2, "v2", late)];
    thread::sleep(ms(500));
    if beside == Beside::Kill {
        record.note("all processes of the system are killed at the same moment, and start again");
        machines.iter_mut().for_each(Machine::kill);
        thread::sleep(ms(300));
        machines.iter_mut().for_each(Machine::start);
    }
    let clients: Vec<StreamClient> =
        clients.into_iter().map(|client| client.join().expect("the client ends")).collect();
    new.iter().for_each(Runner::crash);
    let joined: Vec<String> = clients
        .iter()
        .filter(|client| client.versions().len() > 1)
        .map(|client| {
            let (name, versions) = (&client.name, client.versions());
            format!("{name} holds events of {versions:?}, complete: {}", client.is_complete)
        })
        .collect();
    for line in &joined {
        record.note(line);
    }
    // The rule allows two.
    verdict(record, if joined.len() > 2 { &joined } else { &[] })
}

/// `memoryMb` of a storage machine of both Tana deployments.
const MEMORY_MB: u64 = 130;
/// `maxCount` of the batch route of the grown Tana deployment.
const QUOTA_TOKENS: u64 = 5_900_000;
/// Of an item of that route: size of its body, its tokens in and out, its events and their size.
const ITEM_BYTES: usize = 15_000;
const ITEM_TOKENS: (u64, u64) = (350, 576);
const ITEM_EVENTS: u64 = 144;
const EVENT_BYTES: usize = 70;

/// Memory of its own that a process uses, without its program file, in bytes; 0 if it has ended.
fn memory_bytes(child: &Child) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    let kib = line.and_then(|line| line.split_whitespace().next()).and_then(|it| it.parse().ok());
    kib.unwrap_or(0u64) * 1024
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() / 3 * 4 + 4);
    for part in bytes.chunks(3) {
        let word = part.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - part.len()));
        for digit in 0..4 {
            let is_padding = digit > part.len();
            let index = (word >> (18 - 6 * digit) & 63) as usize;
            text.push(if is_padding { '=' } else { DIGITS[index] as char });
        }
    }
    text
}

/// A batch job of ten items.
fn batch_job(id: &str) -> String {
    let (tokens_in, tokens_out) = ITEM_TOKENS;
    let mut random = unix_ms() ^ id.bytes().fold(7, |sum, byte| sum * 31 + u64::from(byte));
    let mut items = Vec::new();
    for item in 0..10 {
        let mut body = Vec::with_capacity(ITEM_BYTES);
        while body.len() < ITEM_BYTES {
            random = random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            body.push((random >> 33) as u8);
        }
        items.push(format!(
            "{{\"id\":\"{id}-{item}\",\"path\":\"/sheets/{id}/{item}\",\"headers\":{{\"Model\":\"m\",\
             \"Token-Usage\":\"{tokens_in},{tokens_out}\",\"Prompt-Prefix\":\"9c2e41:100,5d07b8:250\"}},\
             \"body\":\"{}\",\"tokens\":{}}}",
            base64(&body),
            tokens_in + tokens_out
        ));
    }
    format!("{{\"items\":[{}]}}", items.join(","))
}

/// Batch jobs that come in a second.
const JOBS_PER_S: f64 = 6.4;

/// Time after which the platform starts a process again that it has killed.
const RESTART_DELAY: Duration = ms(500);

/// Time for which batch jobs come, and time from the first one after which the processes are killed.
const JOBS_TIME: Duration = ms(66_000);
const KILL_AFTER: Duration = ms(60_000);

/// All storage processes are killed at the same moment while batch jobs come at their usual rate.
fn restart_memory(record: &Record, trouble: bool) -> i32 {
    let (net, folder) = (Net::new(3), Folder::new());
    let mut machines = small_system(&net, &folder, 6);
    let operators: Vec<SocketAddr> = (1..=3).map(|n| net.operator(n)).collect();
    let fronts: Vec<SocketAddr> = (11..=16).map(|n| net.front(n)).collect();
    let body = configuration(1, &[("sheets", "batch", true)], 15_000);
    let quota = format!(
        "\"gapTargetMs\":250,\"completionTargetMs\":18000,\"retentionS\":60.0,\
         \"maxCount\":{QUOTA_TOKENS}"
    );
    let body = body.replace("\"gapTargetMs\":250", &quota);
    if put_configuration(record, &operators, &body, Instant::now() + ms(20_000)) != Some(200) {
        return cannot_run(record, "the configuration is not acknowledged");
    }
    let finished = Arc::new(AtomicU64::new(0));
    let runners: Vec<Runner> = (1..=24)
        .map(|number: u8| {
            let announcement = Announcement {
                id: format!("i-{number}"),
                service: SERVICE.to_owned(),
                version: "v1".to_owned(),
                zone: ZONES[number as usize % 3],
                address: (net.ip(100 + number), 7_000).into(),
                operators: operators.clone(),
                late: Duration::ZERO,
            };
            let finished = finished.clone();
            let serve: Serve = Arc::new(move |request, stream| {
                let is_whole = answer_item(request, stream);
                finished.fetch_add(u64::from(is_whole), Ordering::SeqCst);
                is_whole
            });
            Runner::start(announcement, record, serve)
        })
        .collect();
    thread::sleep(ms(2_000));
    let started = Instant::now();
    record.note(format!("{JOBS_PER_S} batch jobs a second begin to come"));
    let counts: Arc<Mutex<BTreeMap<u16, u64>>> = Arc::default();
    let accepted: Arc<Mutex<Vec<String>>> = Arc::default();
    let until = started + JOBS_TIME;
    let next = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..16)
        .map(|_| {
            let (counts, accepted, next) = (counts.clone(), accepted.clone(), next.clone());
            let fronts = fronts.clone();
            thread::spawn(move || loop {
                let number = next.fetch_add(1, Ordering::SeqCst);
                let due = started + Duration::from_secs_f64(number as f64 / JOBS_PER_S);
                if due >= until {
                    return;
                }
                thread::sleep(due.saturating_duration_since(Instant::now()));
                let id = format!("job-{number}");
                let body = batch_job(&id);
                let headers = [("Request-Id", id.as_str()), ("Content-Type", "application/json")];
                for attempt in 0..2 {
                    let front = fronts[(number as usize + attempt) % fronts.len()];
                    let path = format!("/sheets/{id}");
                    let answer = call(front, "POST", &path, &headers, body.as_bytes(), ms(3_500));
                    let status = answer.as_ref().map_or(0, Message::status);
                    *counts.lock().unwrap().entry(status).or_default() += 1;
                    if status == 202 {
                        accepted.lock().unwrap().push(id.clone());
                        break;
                    }
                    thread::sleep(ms(500));
                }
            })
        })
        .collect();
    let mut platform = Platform::default();
    let (mut next_note, mut is_killed) = (Instant::now(), !trouble);
    while Instant::now() < until + ms(1_000) {
        if !is_killed && started.elapsed() >= KILL_AFTER {
            is_killed = true;
            record.note("all storage processes are killed at the same moment");
            platform.kill_storage(&mut machines);
        }
        platform.watch(&mut machines, record);
        if Instant::now() >= next_note {
            next_note += ms(5_000);
            let (peaks, finished) = (platform.peaks_mb(), finished.load(Ordering::SeqCst));
            let counts = counts.lock().unwrap();
            record.note(format!(
                "answers to submissions: {counts:?}, items run: {finished}, most memory: {peaks:?} MiB"
            ));
        }
        thread::sleep(ms(10));
    }
    while clients.iter().any(|client| !client.is_finished()) {
        platform.watch(&mut machines, record);
        thread::sleep(ms(20));
    }
    let accepted = accepted.lock().unwrap().clone();
    let sample: Vec<&String> = accepted.iter().step_by(accepted.len() / 20 + 1).collect();
    record.note(format!("no more jobs are sent; {} of the accepted ones are read", sample.len()));
    let mut unread: Vec<(usize, &String)> = sample.into_iter().enumerate().collect();
    let read_until = Instant::now() + ms(15_000);
    while !unread.is_empty() && Instant::now() < read_until {
        platform.watch(&mut machines, record);
        let (number, id) = unread.remove(0);
        let path = format!("/lots/{id}?after=0");
        let front = fronts[number % fronts.len()];
        let asked = thread::spawn(move || call(front, "GET", &path, &[], b"", ms(1_500)));
        while !asked.is_finished() {
            platform.watch(&mut machines, record);
            thread::sleep(ms(20));
        }
        if !asked.join().is_ok_and(|answer| answer.is_ok_and(|it| it.status() == 200)) {
            unread.push((number + 1, id));
        }
    }
    let configuration = operators.iter().any(|operator| {
        call(*operator, "GET", "/configuration", &[], b"", ms(1_000))
            .is_ok_and(|it| it.status() == 200)
    });
    record.note(format!(
        "accepted: {}, not readable of those that were read: {}, configuration read: {configuration}",
        accepted.len(),
        unread.len()
    ));
    runners.iter().for_each(Runner::crash);
    let mut broken = Vec::new();
    if !unread.is_empty() {
        broken.push(format!("accepted batch jobs can't be read at the end: {unread:?}"));
    }
    if platform.over_limit >= 3 {
        let count = platform.over_limit;
        broken.push(format!("storage processes went over memoryMb {MEMORY_MB}, {count} times"));
    }
    verdict(record, &broken)
}

/// The platform, as far as it watches the storage processes: one that uses more than its memory is
/// killed, and one that was killed starts again after a short delay.
#[derive(Default)]
struct Platform {
    peaks: [u64; 3],
    restart_at: [Option<Instant>; 3],
    over_limit: u64,
}

impl Platform {
    fn kill_storage(&mut self, machines: &mut [Machine]) {
        for (index, machine) in machines.iter_mut().filter(|it| it.is_control).enumerate() {
            machine.kill();
            self.restart_at[index] = Some(Instant::now() + RESTART_DELAY);
        }
    }

    fn watch(&mut self, machines: &mut [Machine], record: &Record) {
        for (index, machine) in machines.iter_mut().filter(|it| it.is_control).enumerate() {
            let bytes = machine.child.as_ref().map_or(0, memory_bytes);
            self.peaks[index] = bytes.max(self.peaks[index]);
            if bytes > MEMORY_MB << 20 {
                self.over_limit += 1;
                record.note(format!(
                    "{} uses {} MiB, more than memoryMb {MEMORY_MB}: killed, as the platform does",
                    machine.name,
                    bytes >> 20
                ));
                machine.kill();
                self.restart_at[index] = Some(Instant::now() + RESTART_DELAY);
            }
            if self.restart_at[index].is_some_and(|at| Instant::now() >= at) {
                self.restart_at[index] = None;
                machine.start();
            }
        }
    }

    fn peaks_mb(&self) -> [u64; 3] {
        self.peaks.map(|it| it >> 20)
    }
}

/// Answers an item with its events, at the rate of an engine of the sheet.
fn answer_item(request: &Message, stream: &mut TcpStream) -> bool {
    let after: u64 = request.header("Last-Event-Id").and_then(|it| it.parse().ok()).unwrap_or(0);
    let id = request.header("Request-Id").unwrap_or("");
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: stamp\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    let mut event = after + 1;
    while event <= ITEM_EVENTS {
        let mut text = String::new();
        for event in event..(event + 12).min(ITEM_EVENTS + 1) {
            text += &format!("id: {event}\ndata: {event:0EVENT_BYTES$}\n\n");
        }
        if stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_err() {
            return false;
        }
        event += 12;
        thread::sleep(ms(180));
    }
    stream.write_all(b"0\r\n\r\n").is_ok()
}

const ZONES: [&str; 3] = ["santander", "torrelavega", "pamplona"];

/// Three storage machines and this many edge machines, started.
fn small_system(net: &Net, folder: &Folder, edges: u8) -> Vec<Machine> {
    let zone = |n: u8| ZONES[n as usize % 3];
    let controls = (1..=3).map(|n| Machine::new(folder, n, true, zone(n - 1)));
    let entries = (11..11 + edges).map(|n| Machine::new(folder, n, false, zone(n - 11)));
    let mut machines: Vec<Machine> = controls.chain(entries).collect();
    for machine in &mut machines {
        machine.configure(net, &[1, 2, 3], true);
        machine.start();
    }
    machines
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        println!("usage: lab-2 CASE FOLDER");
        std::process::exit(2);
    };
    let record = Record::open(Path::new(folder));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.note(format!("case {case}, disruption: {trouble}"));
    let code = match case.as_str() {
        "first-start" => first_start(&record, trouble),
        "joined-versions" if trouble => joined_versions(&record, Beside::Kill),
        "late-heartbeats" if trouble => joined_versions(&record, Beside::LateHeartbeats),
        "joined-versions" | "late-heartbeats" => joined_versions(&record, Beside::Nothing),
        "restart-memory" => restart_memory(&record, trouble),
        _ => 2,
    };
    std::process::exit(code);
}

//! A small laboratory for the cases: starts the project's programs as processes on loopback addresses, with the
//! settings templates of the deploy file, and stands in for callers, operators and runners. Uses only the
//! standard library.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Bounds of the deployment, as on the sheet of latonera-hoist.
pub const CONTACT: Duration = Duration::from_millis(4_000);
pub const SETTLE: Duration = Duration::from_millis(1_000);
pub const GRACE_S: u64 = 8;
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub const HOST: &str = "shop.example";
pub const SERVICE: &str = "engraver-llm";
const STEP_LIMIT: Duration = Duration::from_secs(25);

/// True unless `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").as_millis() as u64
}

/// Writes what was sent, answered and run to `record.txt`.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn note(&self, line: impl AsRef<str>) {
        let seconds = self.started.elapsed().as_secs_f64();
        let line = format!("{seconds:8.3}  {}\n", line.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
        print!("{line}");
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub peer: u16,
    pub front: u16,
    pub ready: u16,
    pub directory: u16,
    pub control: u16,
}

pub struct Machine {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    ports: Ports,
}

impl Machine {
    pub fn start(&mut self) {
        let log = OpenOptions::new().create(true).append(true).open(&self.log).expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let mut command = Command::new("target/release/damaskhoist-platform");
        command.arg("--settings").arg(&self.settings);
        command.stdin(Stdio::null()).stdout(log).stderr(errors);
        // The process ends with the case, also if the case itself is killed.
        let end_with_parent = || match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL as u64) } {
            0 => Ok(()),
            _ => Err(io::Error::last_os_error()),
        };
        unsafe { command.pre_exec(end_with_parent) };
        self.child = Some(command.spawn().expect("the program starts"));
    }

    /// Sends a signal to the process that this machine started.
    pub fn signal(&self, signal: i32) {
        let Some(child) = &self.child else { return };
        let sent = unsafe { kill(child.id() as i32, signal) };
        assert_eq!(sent, 0, "the process is ours");
    }

    pub fn kill(&mut self) {
        let Some(mut child) = self.child.take() else { return };
        let _ = child.kill();
        let _ = child.wait();
    }

    /// True once the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let Some(child) = &mut self.child else { return true };
        let ended = child.try_wait().expect("the process is ours").is_some();
        if ended {
            self.child = None;
        }
        ended
    }

    pub fn front(&self) -> SocketAddr {
        (self.ip, self.ports.front).into()
    }

    pub fn control(&self) -> SocketAddr {
        (self.ip, self.ports.control).into()
    }

    pub fn ready(&self) -> SocketAddr {
        (self.ip, self.ports.ready).into()
    }

    pub fn directory(&self) -> SocketAddr {
        (self.ip, self.ports.directory).into()
    }

    /// Value of a gauge on the metrics address.
    pub fn metric(&self, name: &str) -> Option<f64> {
        let address = SocketAddr::from((self.ip, 9464));
        let answer = call(address, "GET", "/metrics", &[], b"", Duration::from_secs(1)).ok()?;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let line = text.lines().find(|line| {
            !line.starts_with('#') && line.split([' ', '{']).next().is_some_and(|it| it.ends_with(name))
        })?;
        line.split_whitespace().last()?.parse().ok()
    }

    pub fn leads(&self) -> bool {
        self.metric("raft_is_leader") == Some(1.0)
    }

    /// Lines of the log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// One deployment on loopback addresses of its own.
pub struct Lab {
    pub record: Record,
    pub folder: PathBuf,
    network: (u8, u8),
    ports: Ports,
    zones: Vec<(String, String)>,
    seeds: Vec<Ipv4Addr>,
}

impl Lab {
    /// Prepares a deployment with these zones and regions. Its first three control machines are the seeds.
    pub fn open(case_folder: &str, zones: &[(&str, &str)]) -> Self {
        let file = File::create(Path::new(case_folder).join("record.txt")).expect("a record");
        let record = Record { file: Arc::new(Mutex::new(file)), started: Instant::now() };
        let folder = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let id = std::process::id();
        let network = (100 + (id / 250 % 100) as u8, (1 + id % 250) as u8);
        let ip = Ipv4Addr::new(127, network.0, network.1, 1);
        let listeners: Vec<TcpListener> =
            (0..5).map(|_| TcpListener::bind((ip, 0)).expect("a free port")).collect();
        let port = |n: usize| listeners[n].local_addr().expect("an address").port();
        let ports = Ports {
            peer: port(0),
            front: port(1),
            ready: port(2),
            directory: port(3),
            control: port(4),
        };
        let zones = zones.iter().map(|(zone, region)| (zone.to_string(), region.to_string()));
        let seeds = (1..=3).map(|n| Ipv4Addr::new(127, network.0, network.1, n)).collect();
        Self { record, folder, network, ports, zones: zones.collect(), seeds }
    }

    pub fn ip(&self, n: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network.0, self.network.1, n)
    }

    /// Writes the settings of a machine from the template of its role.
    pub fn machine(&self, n: u8, role: &str, zone: &str, bootstrap: bool) -> Machine {
        let name = format!("{role}-{zone}-{n}");
        let template = match role {
            "storage" => "deploy/control.json",
            _ => "deploy/entry.json",
        };
        let template = fs::read_to_string(template).expect("the templates of the deploy file");
        let ip = self.ip(n);
        let quoted = |text: String| format!("\"{text}\"");
        let address = |port: u16| quoted(format!("{ip}:{port}"));
        let region = self.zones.iter().find(|it| it.0 == zone).map(|it| it.1.clone()).expect("a known zone");
        let zones: Vec<String> = self.zones.iter().map(|(zone, region)| format!("\"{zone}\":\"{region}\"")).collect();
        let seeds: Vec<String> = self.seeds.iter().map(|ip| format!("\"{ip}:{}\"", self.ports.control)).collect();
        let data = self.folder.join(format!("data-{name}"));
        let values = [
            ("nodeName|json", quoted(name.clone())),
            ("zone|json", quoted(zone.to_owned())),
            ("region|json", quoted(region)),
            ("zones|json", format!("{{{}}}", zones.join(","))),
            ("ip", ip.to_string()),
            ("internalPorts.0", self.ports.peer.to_string()),
            ("seeds|json", format!("[{}]", seeds.join(","))),
            ("bootstrap|json", bootstrap.to_string()),
            ("faultTolerance.machines|json", "1".to_owned()),
            ("listen.front|json", address(self.ports.front)),
            ("listen.ready|json", address(self.ports.ready)),
            ("listen.directory|json", address(self.ports.directory)),
            ("listen.control|json", address(self.ports.control)),
            ("dataDir|json", quoted(data.display().to_string())),
            ("limits.diskMb|json", "450".to_owned()),
            ("heartbeatMs|json", HEARTBEAT.as_millis().to_string()),
            ("bounds.graceS", GRACE_S.to_string()),
        ];
        let mut text = template;
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        assert!(!text.contains("{{"), "a placeholder is not known: {text}");
        let settings = self.folder.join(format!("{name}.json"));
        fs::write(&settings, text).expect("the settings are written");
        let log = self.folder.join(format!("{name}.log"));
        Machine { name, zone: zone.to_owned(), ip, settings, log, child: None, ports: self.ports }
    }

    /// Sends an operator's configuration to the control machines until one acknowledges it.
    pub fn configure(&self, controls: &[&Machine], document: &str) {
        let started = Instant::now();
        loop {
            for machine in controls {
                let sent = call(machine.control(), "PUT", "/configuration", &[], document.as_bytes(), Duration::from_secs(1));
                if let Ok(answer) = sent {
                    if answer.status == 200 {
                        self.record.note(format!("configuration acknowledged by {}", machine.name));
                        return;
                    }
                }
            }
            assert!(started.elapsed() < STEP_LIMIT, "no configuration was acknowledged");
            sleep_ms(100);
        }
    }

    /// Waits until something is true.
    pub fn until(&self, what: &str, mut ask: impl FnMut() -> bool) {
        let started = Instant::now();
        while !ask() {
            if started.elapsed() > STEP_LIMIT {
                self.record.note(format!("gave up waiting until {what}"));
                self.finish(2);
            }
            sleep_ms(50);
        }
        self.record.note(format!("{what}"));
    }

    /// Removes the temporary folder and ends with this code. Machines must have been dropped before, unless the
    /// case could not run.
    pub fn finish(&self, code: i32) -> ! {
        self.record.note(match code {
            0 => "the rule held",
            1 => "THE RULE WAS BROKEN",
            _ => "the case could not run",
        });
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
        std::process::exit(code)
    }
}

/// An answer to one call.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// False if the connection ended before the body did.
    pub is_whole: bool,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Makes one call on a connection of its own and reads the answer to its end.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Answer> {
    let stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    call_on(&stream, method, path, headers, body, limit)
}

/// Makes one call on an open connection.
pub fn call_on(
    stream: &TcpStream,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Answer> {
    stream.set_read_timeout(Some(limit))?;
    let mut request = format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    request.push_str("\r\n");
    let mut bytes = request.into_bytes();
    bytes.extend_from_slice(body);
    (&*stream).write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status = line.split_whitespace().nth(1).and_then(|it| it.parse().ok());
    let status = status.ok_or_else(|| io::Error::new(ErrorKind::UnexpectedEof, "no answer"))?;
    let headers = read_headers(&mut reader)?;
    let mut answer = Answer { status, headers, body: Vec::new(), is_whole: false };
    let length = answer.headers.get("content-length").and_then(|it| it.parse::<usize>().ok());
    if let Some(length) = length {
        answer.body.resize(length, 0);
        answer.is_whole = reader.read_exact(&mut answer.body).is_ok();
        return Ok(answer);
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return Ok(answer);
        }
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return Ok(answer) };
        let mut chunk = vec![0; size + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return Ok(answer);
        }
        if size == 0 {
            answer.is_whole = true;
            return Ok(answer);
        }
        answer.body.extend_from_slice(&chunk[..size]);
    }
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::Error::new(ErrorKind::UnexpectedEof, "closed inside a head"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// How a request went at a runner.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub at: Instant,
    /// Number of events sent, and whether the answer was sent to its end.
    pub events: usize,
    pub is_done: bool,
}

/// A sound runner: runs up to 8 requests at once, resumes at `Last-Event-Id`, drops a request when its
/// connection closes.
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Heartbeats are sent while it is set.
    pub beats: Arc<AtomicBool>,
    /// What its heartbeats say.
    pub state: Arc<Mutex<&'static str>>,
    pub acknowledged: Arc<Mutex<Vec<(Instant, String, &'static str)>>>,
    /// Says in its answers that it leaves.
    pub leaving: Arc<AtomicBool>,
    pub born: Arc<AtomicU64>,
    pub sequence: Arc<AtomicU64>,
    pub zone: String,
    pub version: Arc<Mutex<&'static str>>,
    /// Grows with each restart; runs of an earlier one end.
    incarnation: Arc<AtomicU64>,
    is_down: Arc<AtomicBool>,
}

pub struct RunnerOptions {
    pub events: usize,
    pub gap: Duration,
    pub first: Duration,
    /// Version of its software.
    pub version: &'static str,
    /// It falls silent after this event for this time and goes on.
    pub silence: Option<(usize, Duration)>,
}

impl Default for RunnerOptions {
    fn default() -> Self {
        Self {
            events: 42,
            gap: Duration::from_millis(20),
            first: Duration::from_millis(40),
            version: "v1",
            silence: None,
        }
    }
}

pub const SLOTS: usize = 8;

impl Runner {
    pub fn start(lab: &Lab, n: u8, zone: &str, options: RunnerOptions, controls: Vec<SocketAddr>) -> Arc<Self> {
        let listener = TcpListener::bind((lab.ip(n), 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let runner = Arc::new(Self {
            id: format!("i-runner{n}"),
            address,
            runs: Arc::default(),
            beats: Arc::new(AtomicBool::new(true)),
            state: Arc::new(Mutex::new("ready")),
            acknowledged: Arc::default(),
            leaving: Arc::default(),
            born: Arc::new(AtomicU64::new(unix_ms())),
            sequence: Arc::new(AtomicU64::new(0)),
            zone: zone.to_owned(),
            version: Arc::new(Mutex::new(options.version)),
            incarnation: Arc::default(),
            is_down: Arc::default(),
        });
        let (serving, record) = (runner.clone(), lab.record.clone());
        let options = Arc::new(options);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.is_down.load(Ordering::SeqCst) {
                    continue;
                }
                let (runner, record, options) = (serving.clone(), record.clone(), options.clone());
                thread::spawn(move || {
                    let _ = runner.serve(stream, &record, &options);
                });
            }
        });
        let beating = runner.clone();
        thread::spawn(move || loop {
            if beating.beats.load(Ordering::SeqCst) {
                beating.beat(&controls);
            }
            thread::sleep(HEARTBEAT);
        });
        runner
    }

    /// Sends a heartbeat to one control machine after the other until one acknowledges it. Each call has a sequence
    /// of its own.
    pub fn beat(&self, controls: &[SocketAddr]) -> bool {
        let state = *self.state.lock().unwrap();
        let path = format!("/instances/{}", self.id);
        for control in controls {
            let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
            let body = format!(
                "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":{SLOTS},\
                 \"state\":\"{state}\",\"warmupLeftMs\":0,\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\
                 \"adapters\":[]}}],\"sequence\":{sequence},\"born\":{}}}",
                self.address,
                self.zone,
                *self.version.lock().unwrap(),
                self.born.load(Ordering::SeqCst)
            );
            let sent = call(*control, "PUT", &path, &[], body.as_bytes(), Duration::from_secs(1));
            if sent.is_ok_and(|answer| (200..300).contains(&answer.status)) {
                self.acknowledged.lock().unwrap().push((Instant::now(), control.to_string(), state));
                return true;
            }
        }
        false
    }

    /// Ends all its work and starts again after `down`, under the same id and address, with this version.
    pub fn restart(&self, version: &'static str, down: Duration) {
        self.is_down.store(true, Ordering::SeqCst);
        self.incarnation.fetch_add(1, Ordering::SeqCst);
        thread::sleep(down);
        *self.version.lock().unwrap() = version;
        self.born.store(unix_ms(), Ordering::SeqCst);
        self.sequence.store(0, Ordering::SeqCst);
        self.is_down.store(false, Ordering::SeqCst);
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    fn serve(&self, stream: TcpStream, record: &Record, options: &RunnerOptions) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let headers = read_headers(&mut reader)?;
            let length = headers.get("content-length").and_then(|it| it.parse::<usize>().ok()).unwrap_or(0);
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            let id = headers.get("request-id").cloned().unwrap_or_default();
            let leaving = match self.leaving.load(Ordering::SeqCst) {
                true => "Server-Leaving: 1\r\n",
                false => "",
            };
            let refused = match headers.get("expect-instance") {
                Some(expected) if *expected != self.id => Some("421 Misdirected Request"),
                _ if self.running() >= SLOTS => Some("503 Service Unavailable"),
                _ => None,
            };
            if let Some(status) = refused {
                record.note(format!("{} refuses {id}: {status}, Not-Executed", self.id));
                let answer = format!(
                    "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n{leaving}Content-Length: 0\r\n\r\n"
                );
                stream.write_all(answer.as_bytes())?;
                continue;
            }
            let after = headers.get("last-event-id").and_then(|it| it.parse::<usize>().ok()).unwrap_or(0);
            let version = *self.version.lock().unwrap();
            record.note(format!("{} ({version}) runs {id} after event {after}", self.id));
            let run = Run { id: id.clone(), at: Instant::now(), events: 0, is_done: false };
            let number = {
                let mut runs = self.runs.lock().unwrap();
                runs.push(run);
                runs.len() - 1
            };
            let done = self.answer(&mut stream, &id, leaving, after, number, options);
            self.runs.lock().unwrap()[number].is_done = true;
            if let Err(error) = done {
                let events = self.runs.lock().unwrap()[number].events;
                record.note(format!("{}: the connection of {id} ended after event {events}: {error}", self.id));
                let _ = stream.shutdown(Shutdown::Both);
                return Ok(());
            }
        }
    }

    fn running(&self) -> usize {
        self.runs.lock().unwrap().iter().filter(|run| !run.is_done).count()
    }

    fn answer(
        &self,
        stream: &mut TcpStream,
        id: &str,
        leaving: &str,
        after: usize,
        number: usize,
        options: &RunnerOptions,
    ) -> io::Result<()> {
        let incarnation = self.incarnation.load(Ordering::SeqCst);
        let version = *self.version.lock().unwrap();
        thread::sleep(options.first);
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: stamp-{}-{id}\r\n{leaving}Content-Type: \
             text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        stream.write_all(head.as_bytes())?;
        for event in after + 1..=options.events {
            if event > after + 1 {
                thread::sleep(options.gap);
            }
            if let Some((_, silence)) = options.silence.filter(|it| it.0 + 1 == event) {
                thread::sleep(silence);
            }
            self.check_open(stream)?;
            if self.incarnation.load(Ordering::SeqCst) != incarnation {
                return Err(io::Error::new(ErrorKind::Other, "the runner ended"));
            }
            let text = format!("id: {event}\ndata: {version} {id} {event}\n\n");
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            self.runs.lock().unwrap()[number].events = event;
        }
        stream.write_all(b"0\r\n\r\n")
    }

    /// Fails if the caller has closed the connection.
    fn check_open(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nonblocking(true)?;
        let peeked = stream.peek(&mut [0]);
        stream.set_nonblocking(false)?;
        match peeked {
            Ok(0) => Err(io::Error::new(ErrorKind::ConnectionAborted, "closed by the caller")),
            Err(error) if error.kind() != ErrorKind::WouldBlock => Err(error),
            _ => Ok(()),
        }
    }
}

/// A configuration like that of the sheet: streams that may be resumed, streams that may not, batch jobs.
pub fn configuration(version: u64, waiting_tokens: u64) -> String {
    let stream = |name: &str, attempts: u32, resumable: bool| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"/{name}/\",\"type\":\"streaming\",\
             \"timeoutMs\":5000,\"sloMs\":300,\"priority\":0,\"service\":\"{SERVICE}\",\"maxAttempts\":{attempts},\
             \"sticky\":true,\"resumable\":{resumable},\"gapTargetMs\":200}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routeTable\":[{},{},{{\"name\":\"r-batch\",\"host\":\"{HOST}\",\"pathPrefix\":\
         \"/batch/\",\"type\":\"batch\",\"timeoutMs\":15000,\"sloMs\":400,\"priority\":2,\"service\":\"{SERVICE}\",\
         \"maxAttempts\":3,\"sticky\":true,\"resumable\":true,\"gapTargetMs\":200,\"completionTargetMs\":18000,\
         \"retentionS\":60.0,\"maxCount\":{waiting_tokens}}}],\"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\
         \"/health\",\"maxConns\":390,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":{SLOTS},\
         \"kvCapacityTokens\":72000}}}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        stream("counter", 2, true),
        stream("draft", 1, false)
    )
}

/// The body of a batch job.
pub fn batch_job(id: &str, items: usize, tokens: u64) -> String {
    let items: Vec<String> = (0..items)
        .map(|item| {
            format!(
                "{{\"id\":\"{id}-{item:02}\",\"path\":\"/batch/{id}/{item}\",\"headers\":{{\"Model\":\"m\",\
                 \"Token-Usage\":\"{},{}\",\"Prompt-Prefix\":\"9c2e41:{}\"}},\"body\":\"YQ==\",\"tokens\":{tokens}}}",
                tokens / 2,
                tokens - tokens / 2,
                tokens / 2
            )
        })
        .collect();
    format!("{{\"items\":[{}]}}", items.join(","))
}

/// Submits a batch job once; the status, or 0 without an answer.
pub fn submit(lab: &Lab, machine: &Machine, id: &str, body: &str) -> u16 {
    let headers = [("Request-Id", id), ("Content-Type", "application/json")];
    let sent = call(machine.front(), "POST", &format!("/batch/{id}"), &headers, body.as_bytes(), Duration::from_secs(4));
    let status = sent.map_or(0, |answer| answer.status);
    lab.record.note(format!("job {id} sent to {}: {status}", machine.name));
    status
}

/// Reads a batch job until it has this number of results; false if that takes too long.
pub fn is_done(lab: &Lab, machine: &Machine, id: &str, items: usize) -> bool {
    let started = Instant::now();
    while started.elapsed() < STEP_LIMIT {
        if read_job(lab, machine, id).1 == Some(items) {
            return true;
        }
        sleep_ms(1_000);
    }
    false
}

/// Reads a batch job from its start: status, and number of results if it is 200.
pub fn read_job(lab: &Lab, machine: &Machine, id: &str) -> (u16, Option<usize>) {
    let read = call(machine.front(), "GET", &format!("/lots/{id}?after=0"), &[], b"", Duration::from_secs(3));
    let (status, results) = match read {
        Ok(answer) if answer.status == 200 => {
            let text = answer.text();
            let next = text.split("\"next\":").nth(1).unwrap_or_default();
            let next: String = next.chars().take_while(char::is_ascii_digit).collect();
            (200, next.parse().ok())
        }
        Ok(answer) => (answer.status, None),
        Err(_) => (0, None),
    };
    lab.record.note(match results {
        Some(results) => format!("job {id} read at {}: {status}, {results} results", machine.name),
        None => format!("job {id} read at {}: {status}", machine.name),
    });
    (status, results)
}

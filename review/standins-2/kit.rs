//! Small stand-ins for the review's scripts: the platform's store, backend servers ("workers") and
//! clients, with the standard library only. They speak what PROTOCOL.md says and nothing more.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufWriter, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn ms(duration_ms: u64) -> Duration {
    Duration::from_millis(duration_ms)
}

pub fn sleep_ms(duration_ms: u64) {
    thread::sleep(ms(duration_ms));
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

static IDS: AtomicU64 = AtomicU64::new(0);

/// A new request id or instance id.
pub fn new_id() -> String {
    let number = IDS.fetch_add(1, SeqCst);
    let mut mixed = number
        .wrapping_add(unix_ms() << 20)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed ^= mixed >> 29;
    mixed = mixed.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^= mixed >> 32;
    format!("{mixed:016x}")
}

/// The file `record.txt` of a case, and its time zero.
pub struct Recorder {
    file: Mutex<BufWriter<File>>,
    pub start: Instant,
}

impl Recorder {
    pub fn create(folder: &Path) -> Arc<Recorder> {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Arc::new(Recorder {
            file: Mutex::new(BufWriter::new(file)),
            start: Instant::now(),
        })
    }

    /// Milliseconds since the start of the case.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let at = self.now_ms();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>8.3} s  {text}", at as f64 / 1000.0);
    }

    /// A line that is shown on the terminal as well.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}

// ---------------------------------------------------------------------------------------------
// HTTP/1.1

pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0)
    }

    /// Path and query of a request.
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<usize> {
    let mut chunk = [0u8; 16 * 1024];
    let read = stream.read(&mut chunk)?;
    buffer.extend_from_slice(&chunk[..read]);
    Ok(read)
}

fn broken() -> std::io::Error {
    std::io::Error::new(ErrorKind::UnexpectedEof, "the message broke off")
}

/// Reads one request or response; `None` if the connection ends before its first byte.
pub fn read_message(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> std::io::Result<Option<Message>> {
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break at;
        }
        if fill(stream, buffer)? == 0 {
            return if buffer.is_empty() {
                Ok(None)
            } else {
                Err(broken())
            };
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let line = lines.next().unwrap_or_default().to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let mut message = Message {
        line,
        headers,
        body: Vec::new(),
    };
    if message
        .header("transfer-encoding")
        .is_some_and(|value| value.contains("chunked"))
    {
        loop {
            let line_end = loop {
                if let Some(at) = buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                    break at;
                }
                if fill(stream, buffer)? == 0 {
                    return Err(broken());
                }
            };
            let size = String::from_utf8_lossy(&buffer[..line_end]).into_owned();
            let size = size.split(';').next().unwrap_or_default().trim().to_owned();
            let size = usize::from_str_radix(&size, 16).map_err(|_| broken())?;
            buffer.drain(..line_end + 2);
            while buffer.len() < size + 2 {
                if fill(stream, buffer)? == 0 {
                    return Err(broken());
                }
            }
            message.body.extend_from_slice(&buffer[..size]);
            buffer.drain(..size + 2);
            if size == 0 {
                return Ok(Some(message));
            }
        }
    }
    let length = message
        .header("content-length")
        .and_then(|length| length.parse().ok());
    let length: usize = length.unwrap_or(0);
    while buffer.len() < length {
        if fill(stream, buffer)? == 0 {
            return Err(broken());
        }
    }
    message.body = buffer.drain(..length).collect();
    Ok(Some(message))
}

/// Serves a listener with a thread for each connection until the process ends.
pub fn serve<F>(listener: TcpListener, handler: F)
where
    F: Fn(TcpStream) + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            let _ = stream.set_nodelay(true);
            let spawned = thread::Builder::new()
                .stack_size(128 * 1024)
                .spawn(move || handler(stream));
            drop(spawned);
        }
    });
}

// ---------------------------------------------------------------------------------------------
// The store

#[derive(Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
}

#[derive(Default)]
struct StoreState {
    topics: HashMap<String, Topic>,
}

/// The platform's store. Each machine reaches it at an address of its own, so that it can turn single
/// machines away.
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    /// By machine: whether its calls get no answer and are not done.
    silent: Vec<AtomicBool>,
    pub addresses: Vec<SocketAddr>,
    recorder: Arc<Recorder>,
    /// By machine: when its newest read of the configuration began, in milliseconds of the record.
    pub config_read_at: Vec<AtomicU64>,
}

/// Time that an append takes (`appendS`), in milliseconds.
const APPEND_MS: u64 = 2;

impl Store {
    pub fn start(machines: usize, recorder: &Arc<Recorder>) -> Arc<Store> {
        let listeners: Vec<TcpListener> = (0..machines)
            .map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"))
            .collect();
        let store = Arc::new(Store {
            state: Mutex::default(),
            changed: Condvar::new(),
            silent: (0..machines).map(|_| AtomicBool::new(false)).collect(),
            addresses: listeners
                .iter()
                .map(|known| known.local_addr().unwrap())
                .collect(),
            recorder: Arc::clone(recorder),
            config_read_at: (0..machines).map(|_| AtomicU64::new(0)).collect(),
        });
        for (machine, listener) in listeners.into_iter().enumerate() {
            let store = Arc::clone(&store);
            serve(listener, move |stream| {
                let _ = store.connection(stream, machine);
            });
        }
        store
    }

    /// Turns a machine away without an answer, or serves it again.
    pub fn set_silent(&self, machine: usize, is_silent: bool) {
        self.silent[machine].store(is_silent, SeqCst);
        self.changed.notify_all();
    }

    /// Writes a record as the operator does; its return is the confirmation.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut state = self.state.lock().unwrap();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.records.push((key.to_owned(), value.to_vec()));
        drop(state);
        self.changed.notify_all();
    }

    /// Newest value of each key of a topic.
    pub fn newest(&self, topic: &str) -> Vec<(String, String)> {
        let state = self.state.lock().unwrap();
        let mut newest: Vec<(String, String)> = Vec::new();
        for (key, value) in state
            .topics
            .get(topic)
            .map_or(&[][..], |topic| &topic.records[..])
        {
            newest.retain(|(known, _)| known != key);
            newest.push((key.clone(), String::from_utf8_lossy(value).into_owned()));
        }
        newest
    }

    fn is_silent(&self, machine: usize) -> bool {
        self.silent[machine].load(SeqCst)
    }

    fn connection(&self, mut stream: TcpStream, machine: usize) -> std::io::Result<()> {
        let mut buffer = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut buffer)? {
            let answered = if self.is_silent(machine) {
                None
            } else {
                self.answer(&request, machine)
            };
            let Some((status, kind, body)) = answered.filter(|_| !self.is_silent(machine)) else {
                // Nothing more comes on a connection on which an answer was lost.
                let call = request.path().split('?').next().unwrap_or_default();
                self.recorder.line(&format!(
                    "the store gives machine {machine} no answer to {call}"
                ));
                while self.is_silent(machine) {
                    sleep_ms(20);
                }
                return Ok(());
            };
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            stream.write_all(&[head.into_bytes(), body].concat())?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message, machine: usize) -> Option<(u16, &'static str, Vec<u8>)> {
        const JSON: &str = "application/json";
        const RAW: &str = "application/octet-stream";
        let (call, query) = request
            .path()
            .split_once('?')
            .unwrap_or((request.path(), ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(known, _)| *known == name)
                .map(|(_, value)| value.to_owned())
        };
        let number = |name: &str| parameter(name).and_then(|value| value.parse::<u64>().ok());
        let topic_name = parameter("topic")?;
        if topic_name == "keyed.op" {
            self.config_read_at[machine].store(self.recorder.now_ms(), SeqCst);
        }
        match call {
            "/log-append" => {
                if topic_name == "keyed.op" || topic_name == "keyed.servers" {
                    return Some((403, JSON, b"{}".to_vec()));
                }
                sleep_ms(APPEND_MS);
                let mut rest = &request.body[..];
                let mut records = Vec::new();
                while rest.len() >= 5 {
                    let length = u32::from_be_bytes(rest[..4].try_into().ok()?) as usize;
                    let record = &rest[4..4 + length];
                    let key_bytes = usize::from(record[0]);
                    let key = String::from_utf8_lossy(&record[1..=key_bytes]).into_owned();
                    records.push((key, record[1 + key_bytes..].to_vec()));
                    rest = &rest[4 + length..];
                }
                let mut state = self.state.lock().unwrap();
                let topic = state.topics.entry(topic_name.clone()).or_default();
                let offset = topic.records.len();
                topic.records.extend(records);
                let end = topic.records.len();
                drop(state);
                self.changed.notify_all();
                let body = format!("{{\"offset\":{offset},\"endKey\":{end}}}");
                Some((200, JSON, body.into_bytes()))
            }
            "/log-newest" => {
                let state = self.state.lock().unwrap();
                let empty = Topic::default();
                let topic = state.topics.get(&topic_name).unwrap_or(&empty);
                let mut newest: HashMap<&str, usize> = HashMap::new();
                for (offset, (key, _)) in topic.records.iter().enumerate() {
                    newest.insert(key, offset);
                }
                let mut items: Vec<(&str, usize)> = newest.into_iter().collect();
                items.sort_unstable();
                let items: Vec<String> = items
                    .into_iter()
                    .filter(|(_, offset)| !topic.records[*offset].1.is_empty())
                    .map(|(key, offset)| {
                        let value = base64(&topic.records[offset].1);
                        format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
                    })
                    .collect();
                let (items, end) = (items.join(","), topic.records.len());
                let body = format!("{{\"items\":[{items}],\"hasMore\":false,\"endKey\":{end}}}");
                Some((200, JSON, body.into_bytes()))
            }
            "/log-read" => {
                let from = number("from")? as usize;
                let until = Instant::now() + ms(number("waitMs").unwrap_or(0).min(30_000));
                let mut state = self.state.lock().unwrap();
                loop {
                    let topic = state.topics.entry(topic_name.clone()).or_default();
                    let end = topic.records.len();
                    let now = Instant::now();
                    if end > from || now >= until || self.is_silent(machine) {
                        let mut body = [(end as u64).to_be_bytes(), 0u64.to_be_bytes()].concat();
                        for (key, value) in topic.records.iter().skip(from) {
                            let length = (1 + key.len() + value.len()) as u32;
                            body.extend_from_slice(&length.to_be_bytes());
                            body.push(key.len() as u8);
                            body.extend_from_slice(key.as_bytes());
                            body.extend_from_slice(value);
                        }
                        return Some((200, RAW, body));
                    }
                    state = self.changed.wait_timeout(state, until - now).unwrap().0;
                }
            }
            _ => Some((404, JSON, b"{}".to_vec())),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let padded = [
            chunk[0],
            *chunk.get(1).unwrap_or(&0),
            *chunk.get(2).unwrap_or(&0),
        ];
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for digit in 0..4 {
            if digit <= chunk.len() {
                text.push(char::from(DIGITS[(bits >> (18 - 6 * digit)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------------------------------------
// The configuration ("manifest")

pub struct Route {
    pub name: String,
    pub host: String,
    pub prefix: String,
    pub kind: &'static str,
    pub timeout_s: f64,
    pub target_s: f64,
    pub priority: u8,
    pub service: String,
}

pub fn manifest(version: u64, routes: &[Route], services: &[&str]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            let Route {
                name,
                host,
                prefix,
                kind,
                timeout_s,
                target_s,
                priority,
                service,
            } = route;
            format!(
                "{{\"name\":\"{name}\",\"host\":\"{host}\",\"pathPrefix\":\"{prefix}\",\
                 \"kind\":\"{kind}\",\"timeoutS\":{timeout_s},\"targetLatencyS\":{target_s},\
                 \"priority\":{priority},\"service\":\"{service}\",\"maxAttempts\":2}}"
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConnections\":748,\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    let (routes, services) = (routes.join(","), services.join(","));
    format!(
        "{{\"version\":\"r{version}\",\"routes\":[{routes}],\"services\":[{services}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\
         \"idleTimeoutS\":15}}}}"
    )
}

/// A manifest with tenants.
pub fn with_tenants(manifest: &str, tenants: &str) -> String {
    let fields = manifest.strip_suffix('}').unwrap_or(manifest);
    format!("{fields},\"tenants\":{tenants}}}")
}

// ---------------------------------------------------------------------------------------------
// Machines: a relay and a backend server each

pub struct Machine {
    pub index: usize,
    pub zone: String,
    pub service: String,
    pub callers: SocketAddr,
    pub hop: SocketAddr,
    pub hop_listen: SocketAddr,
    pub local: SocketAddr,
    pub ready: SocketAddr,
    pub app: SocketAddr,
    settings: PathBuf,
    pub log: PathBuf,
    child: Mutex<Option<Child>>,
    /// Misses of the readiness check in a row.
    pub misses: AtomicU32,
    pub started_ms: AtomicU64,
}

/// All machines; ends their relays when it is dropped.
pub struct Fleet {
    pub machines: Vec<Arc<Machine>>,
    pub store: Arc<Store>,
    pub recorder: Arc<Recorder>,
    folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for machine in &self.machines {
            machine.kill();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Ports below the range from which the system takes those of outgoing connections, so that none takes the
/// port of a relay that is down.
fn free_ports(count: usize) -> Vec<SocketAddr> {
    const FIRST: u32 = 18_000;
    const COUNT: u32 = 14_000;
    let offset = std::process::id().wrapping_mul(613) % COUNT;
    let candidates = (0..COUNT).map(|step| (FIRST + (offset + step) % COUNT) as u16);
    let addresses = candidates.map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let free = addresses.filter(|address| TcpListener::bind(address).is_ok());
    free.take(count).collect()
}

impl Fleet {
    /// Lays out machines, each given by zone and service, without starting anything but the store. With
    /// `has_proxies` the address of each relay for other relays is that of a proxy.
    pub fn new(layout: &[(String, String)], recorder: &Arc<Recorder>, has_proxies: bool) -> Fleet {
        let store = Store::start(layout.len(), recorder);
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let ports = free_ports(layout.len() * 7);
        let machines = layout.iter().enumerate().map(|(index, (zone, service))| {
            let ports = &ports[index * 7..(index + 1) * 7];
            let machine = Machine {
                index,
                zone: zone.clone(),
                service: service.clone(),
                callers: ports[0],
                hop: ports[1],
                hop_listen: ports[6],
                local: ports[2],
                ready: ports[3],
                app: ports[5],
                settings: folder.join(format!("machine-{index}.json")),
                log: folder.join(format!("machine-{index}.log")),
                child: Mutex::new(None),
                misses: AtomicU32::new(0),
                started_ms: AtomicU64::new(0),
            };
            let listen = match has_proxies {
                true => format!("\"hop_listen_address\": \"{}\", ", ports[6]),
                false => String::new(),
            };
            let settings = format!(
                "{{\"vm\": \"sidecar-{zone}-{index}\", \
                 \"place\": {{\"region\": \"dublin\", \"zone\": \"{zone}\"}}, \
                 \"service\": \"{service}\", \"callers_address\": \"{}\", \"hop_address\": \"{}\", \
                 {listen}\"local_address\": \"{}\", \"ready_address\": \"{}\", \
                 \"metrics_address\": \"{}\", \"backend_address\": \"{}\", \"log_address\": \"{}\", \
                 \"logging\": {{\"level\": \"info\", \"format\": \"json\"}}, \
                 \"bounds\": {{\"drain_s\": 2, \"grace_s\": 6, \"retry_ratio\": 0.2, \
                 \"retry_window_s\": 10, \"retry_slack\": 48}}}}",
                ports[0], ports[1], ports[2], ports[3], ports[4], ports[5], store.addresses[index]
            );
            std::fs::write(&machine.settings, settings).expect("settings can be written");
            Arc::new(machine)
        });
        let machines = machines.collect();
        Fleet {
            machines,
            store,
            recorder: Arc::clone(recorder),
            folder,
        }
    }

    /// Starts all relays and waits until all are ready; false if they are not in time.
    pub fn start_all(&self) -> bool {
        for machine in &self.machines {
            machine.start(&self.recorder);
        }
        let until = Instant::now() + ms(25_000);
        while Instant::now() < until {
            if self.machines.iter().all(|machine| machine.is_ready()) {
                self.watch_readiness();
                return true;
            }
            sleep_ms(50);
        }
        false
    }

    /// Checks each daemon once a second, as the platform does.
    fn watch_readiness(&self) {
        for machine in &self.machines {
            let machine = Arc::clone(machine);
            thread::spawn(move || {
                loop {
                    if machine.is_ready() {
                        machine.misses.store(0, SeqCst);
                    } else {
                        machine.misses.fetch_add(1, SeqCst);
                    }
                    sleep_ms(1_000);
                }
            });
        }
    }

    /// Whether the clients on a machine get new work: not after two misses, unless fewer than half of the
    /// zone's daemons are in.
    pub fn gets_work(machines: &[Arc<Machine>], machine: &Machine) -> bool {
        let is_in = |known: &Machine| known.misses.load(SeqCst) < 2;
        if is_in(machine) {
            return true;
        }
        let zone = machines.iter().filter(|known| known.zone == machine.zone);
        let (mut all, mut inside) = (0, 0);
        for known in zone {
            all += 1;
            inside += usize::from(is_in(known));
        }
        inside * 2 < all
    }
}

impl Machine {
    pub fn start(&self, recorder: &Recorder) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let mut command = Command::new("target/release/burdockhall");
        command.arg("relay").arg("--settings").arg(&self.settings);
        command.stdin(Stdio::null()).stdout(log).stderr(errors);
        // SAFETY: a plain system call between fork and exec. The relay ends if the script is killed.
        unsafe {
            command.pre_exec(|| {
                const PR_SET_PDEATHSIG: i32 = 1;
                const SIGKILL: u64 = 9;
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        let child = command.spawn().expect("the relay can be started");
        self.started_ms.store(recorder.now_ms(), SeqCst);
        *self.child.lock().unwrap() = Some(child);
    }

    /// SIGKILL.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// SIGTERM; a relay that is still there after `graceS` is killed when the case ends.
    pub fn terminate(&self) {
        const SIGTERM: i32 = 15;
        if let Some(child) = &*self.child.lock().unwrap() {
            // SAFETY: plain system call; the process is a child that was not waited for.
            unsafe { kill(child.id() as i32, SIGTERM) };
        }
    }

    pub fn is_ready(&self) -> bool {
        let answer = exchange_once(self.ready, "GET", "/ready", &[], b"", 900);
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// The log lines of its relay.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

/// One request over a new connection.
pub fn exchange_once(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout_ms: u64,
) -> std::io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, ms(timeout_ms.min(1_000)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(ms(timeout_ms.max(1))))?;
    send_request(&mut stream, method, path, headers, body)?;
    read_message(&mut stream, &mut Vec::new())?.ok_or_else(broken)
}

pub fn send_request(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head.push_str("Host: platform\r\n");
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method != "GET" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    stream.write_all(&[head.as_bytes(), body].concat())
}

// ---------------------------------------------------------------------------------------------
// Backend servers

/// What a worker does for each request.
#[derive(Clone)]
pub struct Work {
    pub slots: usize,
    pub queue: usize,
    pub work_ms: u64,
    /// Host and path of a call that it makes through its own machine's relay after its work.
    pub call: Option<(String, String)>,
    /// How often it makes it, one after the other.
    pub calls: usize,
}

/// A request that a worker began to run.
#[derive(Clone)]
pub struct Run {
    pub at_ms: u64,
    pub request_id: String,
    /// Value of `X-Tenant-Id`, if there is one.
    pub tenant: String,
}

pub struct Worker {
    pub machine: Arc<Machine>,
    pub id: String,
    pub born: u64,
    work: Work,
    running: Mutex<(usize, usize)>,
    freed: Condvar,
    sequence: AtomicU64,
    beats: AtomicBool,
    pub is_gone: AtomicBool,
    pub runs: Mutex<Vec<Run>>,
    pub open: AtomicUsize,
    recorder: Arc<Recorder>,
    calls: Mutex<Vec<TcpStream>>,
    connections: Mutex<Vec<TcpStream>>,
}

impl Worker {
    pub fn start(machine: &Arc<Machine>, work: Work, recorder: &Arc<Recorder>) -> Arc<Worker> {
        let listener = TcpListener::bind(machine.app).expect("the worker's port is free");
        let worker = Arc::new(Worker {
            machine: Arc::clone(machine),
            id: format!("i-{}", &new_id()[..8]),
            born: unix_ms(),
            work,
            running: Mutex::new((0, 0)),
            freed: Condvar::new(),
            sequence: AtomicU64::new(0),
            beats: AtomicBool::new(true),
            is_gone: AtomicBool::new(false),
            runs: Mutex::default(),
            open: AtomicUsize::new(0),
            recorder: Arc::clone(recorder),
            calls: Mutex::default(),
            connections: Mutex::default(),
        });
        let served = Arc::clone(&worker);
        thread::spawn(move || served.accept(listener));
        let beating = Arc::clone(&worker);
        thread::spawn(move || {
            while beating.beats.load(SeqCst) {
                let confirmed = beating.heartbeat("ready");
                sleep_ms(if confirmed { 1_500 } else { 300 });
            }
        });
        worker
    }

    fn heartbeat(&self, state: &str) -> bool {
        let sequence = self.sequence.fetch_add(1, SeqCst) + 1;
        let body = format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
             \"zone\":\"{}\",\"slots\":{}}},\"status\":{{\"state\":\"{state}\",\"seq\":{sequence},\
             \"coldRemainingS\":0}}}}",
            self.machine.app, self.born, self.machine.service, self.machine.zone, self.work.slots
        );
        let path = format!("/rpc?call=instances.heartbeat&of={}", self.id);
        self.report(&path, body.as_bytes())
    }

    /// Leaves without a drain before; true if the leaving was confirmed. No heartbeat follows.
    pub fn deregister(&self) -> bool {
        self.beats.store(false, SeqCst);
        let body = format!("{{\"born\":{}}}", self.born);
        let path = format!("/rpc?call=instances.deregister&of={}", self.id);
        self.report(&path, body.as_bytes())
    }

    fn report(&self, path: &str, body: &[u8]) -> bool {
        let headers = [("Content-Type", "application/json")];
        let answer = exchange_once(self.machine.local, "POST", path, &headers, body, 1_000);
        answer.is_ok_and(|answer| (200..300).contains(&answer.status()))
    }

    /// Accepts connections until the worker ends, and then closes the listener.
    fn accept(self: Arc<Worker>, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a listener");
        while !self.is_gone.load(SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                sleep_ms(1);
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            self.connections.lock().unwrap().extend(stream.try_clone());
            let served = Arc::clone(&self);
            let serve = move || {
                let _ = served.connection(stream);
            };
            let _ = thread::Builder::new().stack_size(128 * 1024).spawn(serve);
        }
    }

    /// Ends as a process does: nothing listens at its address any more, all connections are closed, and it
    /// says nothing.
    pub fn exit(&self) {
        self.beats.store(false, SeqCst);
        self.is_gone.store(true, SeqCst);
        self.freed.notify_all();
        sleep_ms(3);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn connection(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut buffer = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut buffer)? {
            if self.is_gone.load(SeqCst) {
                return Ok(());
            }
            let id = request
                .header("x-request-id")
                .unwrap_or_default()
                .to_owned();
            let expected = request.header("x-expect-instance").unwrap_or(&self.id);
            if expected != self.id {
                let head = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: {id}\r\n\
                     X-Instance-Id: {}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                stream.write_all(head.as_bytes())?;
                continue;
            }
            let left = request
                .header("x-deadline-ms")
                .and_then(|left| left.parse().ok());
            let deadline = Instant::now() + ms(left.unwrap_or(30_000));
            if !self.take_slot(deadline) {
                let head = format!(
                    "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: {id}\r\n\
                     X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                stream.write_all(head.as_bytes())?;
                continue;
            }
            self.open.fetch_add(1, SeqCst);
            let ended = self.run(
                &mut stream,
                &id,
                request.header("x-tenant-id").unwrap_or_default(),
                deadline,
            );
            self.open.fetch_sub(1, SeqCst);
            self.running.lock().unwrap().0 -= 1;
            self.freed.notify_one();
            let Some((status, body)) = ended else {
                return Ok(());
            };
            let head = format!(
                "HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\n\
                 X-Response-Signature: 3e1b.07.5a2.{}.0.c9f2a4d1\r\nContent-Length: {}\r\n\
                 Keep-Alive: timeout=10\r\n\r\n",
                body.len(),
                body.len()
            );
            stream.write_all(&[head.as_bytes(), body.as_bytes()].concat())?;
        }
        Ok(())
    }

    fn take_slot(&self, deadline: Instant) -> bool {
        let mut running = self.running.lock().unwrap();
        if running.0 >= self.work.slots && running.1 >= self.work.queue {
            return false;
        }
        running.1 += 1;
        while running.0 >= self.work.slots {
            let now = Instant::now();
            if now >= deadline {
                running.1 -= 1;
                return false;
            }
            running = self.freed.wait_timeout(running, deadline - now).unwrap().0;
        }
        running.1 -= 1;
        running.0 += 1;
        true
    }

    /// Runs a request; `None` if its connection has closed or the worker has ended meanwhile.
    fn run(
        &self,
        stream: &mut TcpStream,
        id: &str,
        tenant: &str,
        deadline: Instant,
    ) -> Option<(&'static str, String)> {
        let at_ms = self.recorder.now_ms();
        self.recorder.line(&format!(
            "worker {} on machine {} runs {id}",
            self.id, self.machine.index
        ));
        self.runs.lock().unwrap().push(Run {
            at_ms,
            request_id: id.to_owned(),
            tenant: tenant.to_owned(),
        });
        let until = Instant::now() + ms(self.work.work_ms);
        if !self.wait(stream, until.min(deadline)) {
            return None;
        }
        if until > deadline {
            return Some(("504 Gateway Timeout", String::new()));
        }
        for number in 1..=self.work.calls {
            let Some((host, path)) = &self.work.call else {
                break;
            };
            let left = deadline
                .saturating_duration_since(Instant::now())
                .as_millis() as u64;
            if !self.call(host, path, &format!("{id}.{number}"), left) {
                let status = if Instant::now() >= deadline {
                    "504 Gateway Timeout"
                } else {
                    "500 Internal Server Error"
                };
                return Some((status, String::new()));
            }
        }
        Some(("200 OK", answer_body(id)))
    }

    /// Waits until a time; false if the connection closes or the worker ends before.
    fn wait(&self, stream: &mut TcpStream, until: Instant) -> bool {
        let mut byte = [0u8; 1];
        loop {
            if self.is_gone.load(SeqCst) {
                return false;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                let _ = stream.set_read_timeout(None);
                return true;
            }
            let step = left.min(ms(25)).max(Duration::from_micros(200));
            let _ = stream.set_read_timeout(Some(step));
            match stream.peek(&mut byte) {
                Ok(0) => return false,
                Ok(_) => thread::sleep(step),
                Err(error)
                    if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return false,
            }
        }
    }

    fn call(&self, host: &str, path: &str, id: &str, left_ms: u64) -> bool {
        let pooled = self.calls.lock().unwrap().pop();
        let mut connection = Connection {
            stream: pooled,
            ..Connection::new(self.machine.callers)
        };
        let answer = connection.request("GET", host, path, id, left_ms, b"");
        let is_served = matches!(&answer, Ok(answer) if is_success(answer, id));
        if answer.is_ok()
            && let Some(stream) = connection.stream
        {
            self.calls.lock().unwrap().push(stream);
        }
        is_served
    }
}

/// The whole body of a worker's answer to a request.
pub fn answer_body(id: &str) -> String {
    format!("answer to {id} {}", ".".repeat(360))
}

pub fn is_success(answer: &Message, id: &str) -> bool {
    answer.status() == 200
        && answer.header("x-response-signature").is_some()
        && answer.body == answer_body(id).as_bytes()
}

// ---------------------------------------------------------------------------------------------
// Clients

/// A client's connection to the relay of its machine, kept open between requests.
pub struct Connection {
    pub stream: Option<TcpStream>,
    pub address: SocketAddr,
    pub credential: Option<String>,
}

impl Connection {
    pub fn new(address: SocketAddr) -> Connection {
        Connection {
            stream: None,
            address,
            credential: None,
        }
    }

    /// Sends one attempt and waits for its answer for the time that it states.
    pub fn request(
        &mut self,
        method: &str,
        host: &str,
        path: &str,
        id: &str,
        left_ms: u64,
        body: &[u8],
    ) -> std::io::Result<Message> {
        let until = Instant::now() + ms(left_ms);
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => {
                let stream =
                    TcpStream::connect_timeout(&self.address, ms(left_ms.clamp(1, 1_000)))?;
                stream.set_nodelay(true)?;
                stream
            }
        };
        let left = left_ms.to_string();
        let mut headers = vec![
            ("Host", host),
            ("X-Request-Id", id),
            ("X-Deadline-Ms", &left),
        ];
        headers.extend(self.credential.as_deref().map(|key| ("X-Credential", key)));
        send_request(&mut stream, method, path, &headers, body)?;
        let left = until.saturating_duration_since(Instant::now()).max(ms(1));
        stream.set_read_timeout(Some(left))?;
        let answer = read_message(&mut stream, &mut Vec::new())?.ok_or_else(broken)?;
        let closes = answer
            .header("connection")
            .is_some_and(|value| value.contains("close"));
        if !closes {
            self.stream = Some(stream);
        }
        Ok(answer)
    }
}

/// What became of one request of a client, over its attempts.
#[derive(Clone)]
pub struct Served {
    pub sent_ms: u64,
    pub is_served: bool,
    /// How each attempt ended.
    pub attempts: Vec<String>,
    /// Id of the first attempt.
    pub first_id: String,
}

/// Sends requests of a `safe` route at a steady rate from one machine, each with one retry.
pub struct Load {
    pub per_s: f64,
    pub threads: usize,
    pub limit_ms: u64,
    pub host: String,
    /// Path of the next request by its number.
    pub path: Arc<dyn Fn(u64) -> String + Send + Sync>,
    /// Key of the tenant that the clients belong to.
    pub credential: Option<String>,
}

pub fn run_clients(
    fleet: &Fleet,
    load: Load,
    machines: &[usize],
    until_ms: u64,
) -> Arc<Mutex<Vec<Served>>> {
    let results: Arc<Mutex<Vec<Served>>> = Arc::default();
    let numbers = Arc::new(AtomicU64::new(0));
    let load = Arc::new(load);
    for index in machines {
        let machine = Arc::clone(&fleet.machines[*index]);
        let all = fleet.machines.clone();
        let (sender, receiver) = std::sync::mpsc::channel::<u64>();
        let receiver = Arc::new(Mutex::new(receiver));
        let recorder = Arc::clone(&fleet.recorder);
        for _ in 0..load.threads {
            let (receiver, results) = (Arc::clone(&receiver), Arc::clone(&results));
            let (machine, recorder) = (Arc::clone(&machine), Arc::clone(&recorder));
            let (load, numbers) = (Arc::clone(&load), Arc::clone(&numbers));
            let worker = move || {
                let mut connection = Connection::new(machine.callers);
                connection.credential = load.credential.clone();
                loop {
                    let next = receiver.lock().unwrap().recv();
                    let Ok(sent_ms) = next else { return };
                    let path = (load.path)(numbers.fetch_add(1, SeqCst));
                    let served =
                        one_request(&mut connection, &machine, &recorder, &load, &path, sent_ms);
                    results.lock().unwrap().push(served);
                }
            };
            thread::Builder::new()
                .stack_size(128 * 1024)
                .spawn(worker)
                .expect("a thread");
        }
        let period = Duration::from_secs_f64(1.0 / load.per_s);
        let start = recorder.start;
        thread::spawn(move || {
            let mut next = Instant::now() + period.mul_f64((machine.index as f64 * 0.618).fract());
            while (start.elapsed().as_millis() as u64) < until_ms {
                if let Some(wait) = next.checked_duration_since(Instant::now()) {
                    thread::sleep(wait);
                }
                next += period;
                if Fleet::gets_work(&all, &machine) {
                    let _ = sender.send(recorder.now_ms());
                }
            }
        });
    }
    results
}

fn one_request(
    connection: &mut Connection,
    machine: &Machine,
    recorder: &Recorder,
    load: &Load,
    path: &str,
    sent_ms: u64,
) -> Served {
    let began = Instant::now();
    let left_ms = || (load.limit_ms).saturating_sub(began.elapsed().as_millis() as u64);
    let mut served = Served {
        sent_ms,
        is_served: false,
        attempts: Vec::new(),
        first_id: String::new(),
    };
    for attempt in 0..2 {
        let left = left_ms();
        if left == 0 {
            break;
        }
        let id = new_id();
        if attempt == 0 {
            served.first_id = id.clone();
        } else {
            connection.stream = None;
        }
        let answer = connection.request("GET", &load.host, path, &id, left, b"");
        match answer {
            Ok(answer) => {
                let source = if answer.header("x-response-signature").is_some() {
                    " signed"
                } else {
                    ""
                };
                served.attempts.push(format!("{}{source}", answer.status()));
                if is_success(&answer, &id) {
                    served.is_served = true;
                    break;
                }
                let retry_s = answer
                    .header("retry-after")
                    .and_then(|after| after.parse::<f64>().ok());
                if attempt == 0
                    && let Some(retry_s) = retry_s
                {
                    let wait_ms = ((retry_s * 1000.0) as u64).min(left_ms() / 3);
                    sleep_ms(wait_ms);
                }
            }
            Err(error) => {
                connection.stream = None;
                served.attempts.push(format!("none ({:?})", error.kind()));
            }
        }
    }
    recorder.line(&format!(
        "client on machine {} request {} {path}: {}",
        machine.index,
        served.first_id,
        served.attempts.join(", ")
    ));
    served
}

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn recv(socket: i32, buffer: *mut u8, length: usize, flags: i32) -> isize;
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, a: u64, b: u64, c: u64, d: u64) -> i32;
}

// ---------------------------------------------------------------------------------------------
// A proxy between relays that resets connections

pub struct Proxy {
    open: Mutex<Vec<(TcpStream, TcpStream)>>,
}

impl Proxy {
    pub fn start(listen: SocketAddr, target: SocketAddr) -> Arc<Proxy> {
        let listener = TcpListener::bind(listen).expect("the proxy's port is free");
        let proxy = Arc::new(Proxy {
            open: Mutex::default(),
        });
        let shared = Arc::clone(&proxy);
        serve(listener, move |client| {
            let Ok(server) = TcpStream::connect(target) else {
                return;
            };
            let _ = server.set_nodelay(true);
            let pair = (client.try_clone().unwrap(), server.try_clone().unwrap());
            shared.open.lock().unwrap().push(pair);
            let (from, to) = (client.try_clone().unwrap(), server.try_clone().unwrap());
            let back = thread::spawn(move || pump(server, client));
            pump(from, to);
            let _ = back.join();
        });
        proxy
    }

    /// Resets two of three connections that it has; returns how many there are.
    pub fn reset_two_thirds(&self) -> usize {
        let mut open = self.open.lock().unwrap();
        open.retain(|(client, _)| is_open(client));
        for (number, (client, server)) in open.iter().enumerate() {
            if number % 3 < 2 {
                for stream in [client, server] {
                    reset_on_close(stream);
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                }
            }
        }
        open.len()
    }
}

/// Whether the other side has not closed a connection.
fn is_open(stream: &TcpStream) -> bool {
    const MSG_PEEK_DONTWAIT: i32 = 0x42;
    let mut byte = [0u8; 1];
    // SAFETY: reads at most one byte into the buffer.
    let read = unsafe { recv(stream.as_raw_fd(), byte.as_mut_ptr(), 1, MSG_PEEK_DONTWAIT) };
    read > 0 || (read < 0 && std::io::Error::last_os_error().kind() == ErrorKind::WouldBlock)
}

/// Has the closing of a socket reset its connection.
fn reset_on_close(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger: [i32; 2] = [1, 0];
    // SAFETY: the option's value has the layout of `struct linger`.
    unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_LINGER,
            linger.as_ptr(),
            8,
        )
    };
}

fn pump(mut from: TcpStream, mut to: TcpStream) {
    let mut chunk = [0u8; 16 * 1024];
    while let Ok(read @ 1..) = from.read(&mut chunk) {
        if to.write_all(&chunk[..read]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Write);
}

//! Stand-in of a worker: what it answers is told by the last but one part of the path.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Head, status_of};
use crate::unix_ms;

/// Interval of liveness reports, as in the settings of the small installations.
const BEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Parts of an answer that comes piece by piece, and the time before each.
pub const PARTS: usize = 10;
const PART_GAP: Duration = Duration::from_millis(100);
const WORK_TIME: Duration = Duration::from_millis(20);

/// What a worker has seen of one request that it has run.
#[derive(Debug, Clone)]
pub struct Run {
    pub instance: String,
    pub id: String,
    pub method: String,
    pub path: String,
    pub body_bytes: usize,
    pub body_hash: u64,
    pub began: Instant,
}

/// Who a worker is, and where it and its relay listen.
#[derive(Debug, Clone)]
pub struct Identity {
    pub service: String,
    pub instance: String,
    pub listen: SocketAddr,
    /// Where its relay takes liveness reports.
    pub control: SocketAddr,
}

/// A worker in this process.
pub struct Worker {
    identity: Identity,
    born: u64,
    /// Number of the last liveness report.
    number: AtomicU64,
    is_leaving: AtomicBool,
    has_ended: AtomicBool,
}

impl Worker {
    /// Makes the next liveness report, which says `ready`; it is sent by [`Worker::send`].
    pub fn make_report(&self) -> String {
        let number = self.number.fetch_add(1, Ordering::SeqCst) + 1;
        let Identity {
            service,
            instance,
            listen,
            ..
        } = &self.identity;
        let born = self.born;
        let body = format!(
            r#"{{"address":"{listen}","born":{born},"info":{{"service":"{service}","version":"v1","zone":"zone-a","slots":100}},"status":{{"state":"ready","seq":{number},"coldRemainingS":0}}}}"#
        );
        self.call("instances.heartbeat", instance, &body)
    }

    /// Sends a call to its relay; returns the status of the answer, 0 without one.
    pub fn send(&self, call: &str) -> u16 {
        status_of(self.identity.control, call.as_bytes())
    }

    /// Says that it leaves, goes on serving and makes no further report. Returns whether that was
    /// confirmed.
    pub fn deregister(&self) -> bool {
        self.is_leaving.store(true, Ordering::SeqCst);
        let body = format!(r#"{{"born":{}}}"#, self.born);
        let call = self.call("instances.deregister", &self.identity.instance, &body);
        self.send(&call) == 200
    }

    /// Ends its process: open connections are closed, and no new ones are taken.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
    }

    fn call(&self, name: &str, instance: &str, body: &str) -> String {
        let (control, length) = (self.identity.control, body.len());
        format!(
            "POST /rpc?call={name}&of={instance} HTTP/1.1\r\nHost: {control}\r\n\
             Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
        )
    }
}

/// Runs a worker in this process; each run is told to `runs`.
pub fn start(identity: &Identity, runs: Sender<Run>) -> io::Result<Arc<Worker>> {
    let listener = TcpListener::bind(identity.listen)?;
    let worker = Arc::new(Worker {
        identity: identity.clone(),
        born: unix_ms(),
        number: AtomicU64::new(0),
        is_leaving: AtomicBool::new(false),
        has_ended: AtomicBool::new(false),
    });
    let shared = Arc::clone(&worker);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (shared, runs) = (Arc::clone(&shared), runs.clone());
            thread::spawn(move || serve(&mut Connection::new(stream), &shared, &runs));
        }
    });
    let reporting = Arc::clone(&worker);
    thread::spawn(move || {
        while !reporting.is_leaving.load(Ordering::SeqCst) {
            // A report that is not confirmed is followed by the next one.
            reporting.send(&reporting.make_report());
            thread::sleep(BEAT_INTERVAL);
        }
    });
    Ok(worker)
}

/// Runs a worker as a process of its own, which prints its runs.
pub fn run_process(identity: &Identity) -> io::Result<()> {
    let (sender, runs) = std::sync::mpsc::channel();
    start(identity, sender)?;
    for run in runs {
        println!("{} {}", run.id, run.path);
        io::stdout().flush()?;
    }
    Ok(())
}

fn serve(connection: &mut Connection, worker: &Worker, runs: &Sender<Run>) -> Option<()> {
    while !worker.has_ended.load(Ordering::SeqCst) {
        let head = connection.read_head().ok()??;
        let body = connection.read_request_body(&head).ok()??;
        let instance = &worker.identity.instance;
        if head.word(1) == "/healthz" {
            let status = match worker.is_leaving.load(Ordering::SeqCst) {
                true => "503 Service Unavailable",
                false => "200 OK",
            };
            let answer = format!(
                "HTTP/1.1 {status}\r\nX-Instance-Id: {instance}\r\nContent-Length: 0\r\n\r\n"
            );
            connection.send(answer.as_bytes()).ok()?;
            continue;
        }
        let id = head.header("x-request-id");
        if head.header("x-expect-instance") != instance {
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {instance}\r\n\
                 X-Request-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            connection.send(answer.as_bytes()).ok()?;
            continue;
        }
        let run = Run {
            instance: instance.clone(),
            id: id.to_owned(),
            method: head.word(0).to_owned(),
            path: head.word(1).to_owned(),
            body_bytes: body.len(),
            body_hash: hash(&body),
            began: Instant::now(),
        };
        runs.send(run).ok()?;
        if !answer(connection, &head, &body).ok()? {
            return None;
        }
    }
    None
}

/// Answers a request; false if the connection ends with the answer.
fn answer(connection: &mut Connection, head: &Head, body: &[u8]) -> io::Result<bool> {
    let id = head.header("x-request-id");
    let signed = format!("X-Request-Id: {id}\r\nX-Response-Signature: 3e1b.07\r\n");
    match head.word(1).rsplit('/').nth(1) {
        // A success without a length, which ends with the connection.
        Some("parts") => {
            let head = format!("HTTP/1.1 200 OK\r\nConnection: close\r\n{signed}\r\n");
            connection.send(head.as_bytes())?;
            for part in 0..PARTS {
                thread::sleep(PART_GAP);
                connection.send(part_text(part).as_bytes())?;
            }
            Ok(false)
        }
        // A failure of the worker's own without a length.
        Some("fails") => {
            thread::sleep(WORK_TIME);
            let status = "HTTP/1.1 500 Internal Server Error";
            let answer = format!("{status}\r\nConnection: close\r\n{signed}\r\nfailed");
            connection.send(answer.as_bytes())?;
            Ok(false)
        }
        _ => {
            thread::sleep(WORK_TIME);
            let text = format!("{} {:016x}", body.len(), hash(body));
            let length = text.len();
            let answer =
                format!("HTTP/1.1 200 OK\r\n{signed}Content-Length: {length}\r\n\r\n{text}");
            connection.send(answer.as_bytes())?;
            Ok(true)
        }
    }
}

/// One part of an answer that comes piece by piece.
pub fn part_text(part: usize) -> String {
    format!("part {part} of {PARTS}\n")
}

/// FNV-1a.
pub fn hash(bytes: &[u8]) -> u64 {
    let start = 0xcbf2_9ce4_8422_2325_u64;
    bytes.iter().fold(start, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

//! A stand-in for a backend server of the platform, which misbehaves as each request asks.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use super::behaviour::Behaviour;
use super::request::receive;
use super::streams::{self, Framing};
use crate::decide::sharded::lock;
use crate::net::NetError;
use crate::net::http;

/// Bytes sent at a time by a behaviour without end.
const ENDLESS_CHUNK_BYTES: usize = 16 * 1024;
/// Concurrent requests that a backend server states.
const DEFAULT_SLOTS: u32 = 8;
/// How long a backend server that has crashed is away.
const CRASH_RESTART: Duration = Duration::from_millis(300);
/// Path of the health check, which is no run.
const HEALTH_PATH: &str = "/healthz";
/// Value of the signature header of a signed answer.
const SIGNATURE: &str = "stand-in.1";

/// A request that was run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Request line: method, path and protocol version.
    pub line: String,
    /// Header values by lower-case name.
    pub headers: HashMap<String, String>,
    /// Length of the body, in bytes.
    pub body_bytes: usize,
    /// Id of the backend server instance that ran it.
    pub instance: String,
    /// Time when the whole request had been received.
    pub began: Instant,
}

impl Run {
    /// Whether the request had this id.
    pub fn has_request_id(&self, id: &str) -> bool {
        self.headers
            .get("x-request-id")
            .is_some_and(|known| known == id)
    }
}

#[derive(Debug)]
pub(super) struct Shared {
    instance: Mutex<String>,
    /// Wakes the listener when a request crashes the backend server.
    crashed: Notify,
    crashes: AtomicU64,
    /// Whether it has said that it is leaving.
    pub(super) is_leaving: AtomicBool,
    /// Number of health checks.
    health_checks: AtomicUsize,
    /// Header lines that all answers carry.
    stated: Mutex<String>,
    runs: Mutex<Vec<Run>>,
    misdirected: Mutex<u32>,
    abandoned: Mutex<u32>,
    endless_streams: AtomicUsize,
    endless_bytes: AtomicU64,
}

/// A running stand-in backend server. Dropping it closes its listener.
#[derive(Debug)]
pub struct StandInWorker {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Address sent in heartbeats; differs from `address` if a proxy is in front of the server.
    pub announced: SocketAddr,
    /// Concurrent requests that it states in heartbeats.
    pub slots: u32,
    pub(super) service: String,
    pub(super) shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl StandInWorker {
    /// Starts a backend server; port 0 takes any free port.
    pub async fn start(
        address: SocketAddr,
        service: &str,
        instance: &str,
    ) -> Result<StandInWorker, NetError> {
        let listener = http::listen(address).await?;
        let address = listener.local_addr().unwrap_or(address);
        let shared = Arc::new(Shared {
            instance: Mutex::new(instance.to_owned()),
            crashed: Notify::new(),
            crashes: AtomicU64::new(0),
            is_leaving: AtomicBool::new(false),
            health_checks: AtomicUsize::new(0),
            stated: Mutex::default(),
            runs: Mutex::default(),
            misdirected: Mutex::default(),
            abandoned: Mutex::default(),
            endless_streams: AtomicUsize::new(0),
            endless_bytes: AtomicU64::new(0),
        });
        let task = tokio::spawn(accept(listener, Arc::clone(&shared)));
        Ok(StandInWorker {
            address,
            announced: address,
            slots: DEFAULT_SLOTS,
            service: service.to_owned(),
            shared,
            task,
        })
    }

    /// Id of the current instance.
    pub fn instance(&self) -> String {
        lock(&self.shared.instance).clone()
    }

    /// Changes the instance id, as if another backend server had started at the same address.
    pub fn set_instance(&self, instance: &str) {
        *lock(&self.shared.instance) = instance.to_owned();
    }

    /// Sets headers that all later answers carry, as pairs of name and value.
    pub fn state(&self, headers: &[(&str, &str)]) {
        let lines = headers
            .iter()
            .map(|(name, value)| format!("{name}: {value}\r\n"));
        *lock(&self.shared.stated) = lines.collect();
    }

    /// Ends it for good, as a process ends: its connections and its listener are closed.
    pub fn end(&self) {
        self.task.abort();
    }

    /// Number of times that a request has crashed it.
    pub fn crashes(&self) -> u64 {
        self.shared.crashes.load(Ordering::Relaxed)
    }

    /// The requests run so far, by all instances.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.shared.runs).clone()
    }

    /// Number of health checks so far.
    pub fn health_checks(&self) -> usize {
        self.shared.health_checks.load(Ordering::Relaxed)
    }

    /// Number of requests that expected another instance and got status 421.
    pub fn misdirected(&self) -> u32 {
        *lock(&self.shared.misdirected)
    }

    /// Number of timed runs that were abandoned because the client closed the connection.
    pub fn abandoned(&self) -> u32 {
        *lock(&self.shared.abandoned)
    }

    /// Number of connections on which it is sending bytes without end.
    pub fn endless_streams(&self) -> usize {
        self.shared.endless_streams.load(Ordering::Relaxed)
    }

    /// Number of bytes sent so far on such connections, in whole chunks.
    pub fn endless_bytes(&self) -> u64 {
        self.shared.endless_bytes.load(Ordering::Relaxed)
    }
}

impl Drop for StandInWorker {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves until the listener fails; a crash closes it with all connections for a while.
async fn accept(mut listener: TcpListener, shared: Arc<Shared>) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    let name = lock(&shared.instance).clone();
    loop {
        let mut connections = tokio::task::JoinSet::new();
        loop {
            let accepted = tokio::select! {
                () = shared.crashed.notified() => break,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, _)) = accepted else { return };
            let shared = Arc::clone(&shared);
            connections.spawn(async move {
                // A broken connection ends this task and affects nothing else.
                let _ = serve(stream, &shared).await;
            });
        }
        drop(listener);
        drop(connections);
        let crashes = shared.crashes.fetch_add(1, Ordering::Relaxed) + 1;
        *lock(&shared.instance) = format!("{name}-{crashes}");
        tokio::time::sleep(CRASH_RESTART).await;
        match http::listen(address).await {
            Ok(reopened) => listener = reopened,
            Err(_) => return,
        }
    }
}

async fn serve(mut stream: TcpStream, shared: &Shared) -> std::io::Result<()> {
    let mut buffer = Vec::new();
    let mut late_answer = String::new();
    while let Some(received) = receive(&mut stream, &mut buffer).await? {
        stream
            .write_all(std::mem::take(&mut late_answer).as_bytes())
            .await?;
        let instance = lock(&shared.instance).clone();
        if received.path() == HEALTH_PATH {
            shared.health_checks.fetch_add(1, Ordering::Relaxed);
            let status = match shared.is_leaving.load(Ordering::Relaxed) {
                true => "503 Service Unavailable",
                false => "200 OK",
            };
            let head = format!("HTTP/1.1 {status}\r\nX-Instance-Id: {instance}\r\n");
            let answer = format!("{head}content-length: 0\r\n\r\n");
            stream.write_all(answer.as_bytes()).await?;
            continue;
        }
        let expected = received.header("x-expect-instance");
        if !expected.is_empty() && expected != instance {
            *lock(&shared.misdirected) += 1;
            let id = received.header("x-request-id");
            let head = format!("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {instance}\r\n");
            let head = format!("{head}X-Request-Id: {id}\r\n");
            stream
                .write_all(format!("{head}content-length: 0\r\n\r\n").as_bytes())
                .await?;
            continue;
        }
        let id = received.header("x-request-id").to_owned();
        let behaviour = received.behaviour();
        let refuses = matches!(
            behaviour,
            Behaviour::Shed | Behaviour::LateShed | Behaviour::EndlessRefusal
        );
        if !refuses {
            let mut run = received.run.clone();
            run.instance = instance;
            lock(&shared.runs).push(run);
        }
        let run_duration = received.run_duration();
        let received_status = received.argument().to_owned();
        let bytes = received.number().unwrap_or(1) as usize;
        let stated = lock(&shared.stated).clone();
        let signed = format!("X-Request-Id: {id}\r\nX-Response-Signature: {SIGNATURE}\r\n");
        let signed = signed + &stated;
        let echoed = format!("X-Request-Id: {id}\r\n{stated}");
        let ok = "HTTP/1.1 200 OK\r\n";
        let length = format!("content-length: {}\r\n\r\n", received.body.len());
        let body = received.body;
        let error = "HTTP/1.1 500 Internal Server Error\r\n";
        let unavailable = "HTTP/1.1 503 Service Unavailable\r\n";
        if let Some(framing) = behaviour.framing() {
            let head = format!("{ok}{signed}");
            let is_whole = !behaviour.crashes();
            streams::send(&mut stream, &head, framing, run_duration, is_whole).await?;
            if is_whole && framing == Framing::Unframed {
                return stream.shutdown().await;
            }
        }
        if behaviour == Behaviour::CrashLate {
            tokio::time::sleep(run_duration).await;
        }
        if behaviour.crashes() {
            shared.crashed.notify_one();
            return std::future::pending().await;
        }
        let (head, body) = match behaviour {
            Behaviour::Echo => (format!("{ok}{signed}{length}"), body),
            Behaviour::Slow | Behaviour::Work | Behaviour::FailLate => {
                let slept = tokio::time::timeout(run_duration, stream.read_buf(&mut buffer)).await;
                if matches!(slept, Ok(Ok(0) | Err(_))) {
                    *lock(&shared.abandoned) += 1;
                    return Ok(());
                }
                let head = if behaviour == Behaviour::FailLate {
                    error
                } else {
                    ok
                };
                (format!("{head}{signed}{length}"), body)
            }
            Behaviour::Fill => {
                let body = "x".repeat(bytes);
                let length = format!("content-length: {bytes}\r\n\r\n");
                (format!("{ok}{signed}{length}{body}"), Vec::new())
            }
            Behaviour::Status => {
                let status = received_status;
                (format!("HTTP/1.1 {status} Odd\r\n{signed}{length}"), body)
            }
            Behaviour::Fail => (format!("{error}{signed}{length}"), body),
            Behaviour::FailChunked => {
                let chunked = "transfer-encoding: chunked\r\n\r\n";
                let chunk = format!("{:x}\r\n{}", body.len(), String::from_utf8_lossy(&body));
                let answer = format!("{error}{signed}{chunked}{chunk}\r\n0\r\n\r\n");
                (answer, Vec::new())
            }
            Behaviour::Shed | Behaviour::LateShed => {
                let head = format!("{unavailable}{echoed}X-Not-Executed: 1\r\n");
                let refusal = format!("{head}content-length: 0\r\n\r\n");
                if behaviour == Behaviour::LateShed {
                    late_answer = refusal.clone();
                }
                (refusal, Vec::new())
            }
            Behaviour::CutHead => {
                let answer = format!("{ok}{signed}content-length: 5\r\n\r\n");
                let sent_bytes = answer.len().saturating_sub(bytes);
                stream.write_all(&answer.as_bytes()[..sent_bytes]).await?;
                return Ok(());
            }
            Behaviour::Lose => return Ok(()),
            Behaviour::Cut => {
                let length = format!("content-length: {}\r\n\r\n", body.len() + 10);
                let head = format!("{ok}{signed}{length}");
                stream.write_all(head.as_bytes()).await?;
                stream.write_all(&body).await?;
                return Ok(());
            }
            Behaviour::Twice => {
                let answer = format!("{ok}{signed}content-length: 5\r\n\r\nfirst");
                let extra = answer.replace("first", "extra");
                (answer + &extra, Vec::new())
            }
            Behaviour::Late | Behaviour::LateUnnamed | Behaviour::LateRefusal => {
                let answer = format!("{ok}{signed}content-length: 5\r\n\r\nfirst");
                late_answer = match behaviour {
                    Behaviour::LateUnnamed => {
                        let named = format!("X-Request-Id: {id}\r\n");
                        answer.replace(&named, "").replace("first", "extra")
                    }
                    Behaviour::LateRefusal => {
                        format!("{unavailable}X-Not-Executed: 1\r\ncontent-length: 0\r\n\r\n")
                    }
                    _ => answer.replace("first", "extra"),
                };
                (answer, Vec::new())
            }
            Behaviour::Unsigned => (format!("{ok}{echoed}{length}"), body),
            Behaviour::False503 => (format!("{unavailable}{echoed}{length}"), body),
            Behaviour::EndlessHeads => {
                return send_endlessly(&mut stream, "HTTP/1.1 103 Early Hints\r\n\r\n", shared)
                    .await;
            }
            Behaviour::EndlessHead => {
                stream.write_all(ok.as_bytes()).await?;
                return send_endlessly(&mut stream, "x-more: more\r\n", shared).await;
            }
            Behaviour::EndlessBody
            | Behaviour::EndlessUnframed
            | Behaviour::EndlessExtension
            | Behaviour::EndlessTrailers => {
                let chunked = "transfer-encoding: chunked\r\n\r\n";
                let (begin, repeated) = match behaviour {
                    Behaviour::EndlessUnframed => ("\r\n".to_owned(), "endless "),
                    Behaviour::EndlessExtension => (format!("{chunked}8;"), "extension="),
                    Behaviour::EndlessTrailers => (format!("{chunked}0\r\n"), "x-more: more\r\n"),
                    _ => (chunked.to_owned(), "8\r\nendless \r\n"),
                };
                let begin = format!("{ok}{signed}{begin}");
                stream.write_all(begin.as_bytes()).await?;
                return send_endlessly(&mut stream, repeated, shared).await;
            }
            Behaviour::EndlessJunk => {
                return send_endlessly(&mut stream, "no answer at all ", shared).await;
            }
            Behaviour::EndlessRefusal => {
                let head = format!("{unavailable}{echoed}X-Not-Executed: 1\r\n");
                let head = format!("{head}transfer-encoding: chunked\r\n\r\n");
                stream.write_all(head.as_bytes()).await?;
                return send_endlessly(&mut stream, "8\r\nendless \r\n", shared).await;
            }
            Behaviour::EndlessExtra => {
                stream
                    .write_all(format!("{ok}{signed}{length}").as_bytes())
                    .await?;
                stream.write_all(&body).await?;
                return send_endlessly(&mut stream, "after the answer ", shared).await;
            }
            Behaviour::Unframed | Behaviour::FailUnframed => {
                let status = if behaviour == Behaviour::Unframed {
                    ok
                } else {
                    error
                };
                let head = format!("{status}{signed}\r\n");
                stream.write_all(head.as_bytes()).await?;
                stream.write_all(&body).await?;
                return stream.shutdown().await;
            }
            // Sent above.
            Behaviour::Crash
            | Behaviour::CrashLate
            | Behaviour::CrashFor
            | Behaviour::CrashStream
            | Behaviour::CrashStreamKnown
            | Behaviour::CrashStreamUnframed
            | Behaviour::Stream
            | Behaviour::StreamKnown
            | Behaviour::StreamUnframed => continue,
        };
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(&body).await?;
    }
    Ok(())
}

/// Sends a text again and again until the other side closes the connection.
async fn send_endlessly(
    stream: &mut TcpStream,
    text: &str,
    shared: &Shared,
) -> std::io::Result<()> {
    let _open = OpenStream::new(&shared.endless_streams);
    let chunk = text.repeat(ENDLESS_CHUNK_BYTES / text.len());
    loop {
        stream.write_all(chunk.as_bytes()).await?;
        let sent_bytes = chunk.len() as u64;
        shared
            .endless_bytes
            .fetch_add(sent_bytes, Ordering::Relaxed);
    }
}

/// Counts a connection on which bytes are sent without end, until it is dropped.
struct OpenStream<'a>(&'a AtomicUsize);

impl OpenStream<'_> {
    fn new(count: &AtomicUsize) -> OpenStream<'_> {
        count.fetch_add(1, Ordering::Relaxed);
        OpenStream(count)
    }
}

impl Drop for OpenStream<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

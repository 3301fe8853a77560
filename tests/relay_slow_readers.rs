//! Callers and backend servers that read nothing for some seconds, over loopback.

mod deployment;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use burdockhall::decide::relay::MAX_BLOCKED_MS;
use deployment::{Deployment, config, route};
use socket2::{Domain, Socket, Type};

/// How long nothing is read. Well within the timeout of the route.
const PAUSE: Duration = Duration::from_millis(3_500);
/// Receive buffer of a caller.
const WINDOW_BYTES: usize = 4 * 1024;

/// Sends a request for an answer of this size, reads its head, pauses, and returns how much of the body arrives.
fn read_slowly(callers: SocketAddr, path: &str, id: &str) -> usize {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket
        .set_recv_buffer_size(WINDOW_BYTES)
        .expect("a small window");
    socket.connect(&callers.into()).expect("a connection");
    let mut stream = TcpStream::from(socket);
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: calls.example\r\nx-request-id: {id}\r\n\
         x-deadline-ms: 9000\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("sent");
    let mut answer = Vec::new();
    let mut buffer = [0; 4 * 1024];
    while !answer.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
        let read = stream.read(&mut buffer).expect("the head");
        assert!(read > 0, "the connection ends before the head");
        answer.extend_from_slice(&buffer[..read]);
    }
    std::thread::sleep(PAUSE);
    // An error ends the answer like a close.
    let _ = stream.read_to_end(&mut answer);
    let head = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    answer.len() - head.expect("a head") - 4
}

/// Guards against LOST: the answer of a caller that read nothing for 2.5 s was reset by the user timeout.
#[tokio::test]
async fn callers_that_read_slowly_get_whole_answers() {
    struct Case {
        name: &'static str,
        path: &'static str,
        entry: usize,
        bytes: usize,
    }
    let cases = [
        Case {
            name: "buffered, beside the backend server",
            path: "/once/fill.30000",
            entry: 0,
            bytes: 30_000,
        },
        Case {
            name: "buffered, over a hop",
            path: "/once/fill.30000",
            entry: 1,
            bytes: 30_000,
        },
        Case {
            name: "larger than all buffers, beside the backend server",
            path: "/safe/fill.16000000",
            entry: 0,
            bytes: 16_000_000,
        },
        Case {
            name: "larger than all buffers, over a hop",
            path: "/once/fill.16000000",
            entry: 1,
            bytes: 16_000_000,
        },
    ];
    let deployment = Deployment::start(&["a", "b"]).await;
    let mut routes = [
        route("safe", "/safe/", "safe", "a"),
        route("once", "/once/", "unsafe", "a"),
    ];
    for route in &mut routes {
        route["timeoutS"] = 10.into();
    }
    deployment.configure(2, &config(2, &routes)).await;
    let deployment = Arc::new(deployment);
    let callers = cases.map(|case| {
        let address = deployment.hosts[case.entry].settings.callers_address;
        let id = format!("slow-{}-{}", case.entry, case.bytes);
        let reader = move || (case.name, read_slowly(address, case.path, &id), case.bytes);
        tokio::task::spawn_blocking(reader)
    });
    for caller in callers {
        let (name, read_bytes, bytes) = caller.await.expect("the caller does not panic");
        assert_eq!(read_bytes, bytes, "{name}");
    }
}

/// Guards against memory that callers hold who never read: without the user timeout nothing else ends them.
#[tokio::test]
async fn a_connection_whose_caller_takes_nothing_ends() {
    let deployment = Deployment::start(&["a"]).await;
    let callers = deployment.hosts[0].settings.callers_address;
    let mut stream = TcpStream::connect(callers).expect("a connection");
    // Answers that the daemon has whole, more of them than the system takes.
    for number in 0..100 {
        let request = format!(
            "POST /once/fill.60000 HTTP/1.1\r\nhost: calls.example\r\nx-request-id: never-{number}\r\n\
             x-deadline-ms: 3000\r\ncontent-length: 0\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).expect("sent");
    }
    let relay = &deployment.hosts[0].relay;
    let until = Instant::now() + Duration::from_millis(MAX_BLOCKED_MS + 5_000);
    let line = "burdockhall_relay_connections_ended_total{cause=\"blocked\"} 1";
    while !relay.metrics.render().expect("metrics").contains(line) {
        assert!(Instant::now() < until, "the connection goes on");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let open = relay.open_requests.load(Ordering::Relaxed);
    assert_eq!(open, 0, "open requests");
}

/// Guards against CONFIG: the time limit of an answer that still arrives took effect only when its caller read.
#[tokio::test]
async fn an_answer_ends_at_its_deadline_though_its_caller_reads_nothing() {
    struct Case {
        name: &'static str,
        entry: usize,
    }
    let cases = [
        Case {
            name: "beside the backend server",
            entry: 0,
        },
        Case {
            name: "over a hop",
            entry: 1,
        },
    ];
    for case in cases {
        let deployment = Deployment::start(&["a", "b"]).await;
        let callers = deployment.hosts[case.entry].settings.callers_address;
        let mut stream = TcpStream::connect(callers).expect("a connection");
        let request = "POST /once/endless_body HTTP/1.1\r\nhost: calls.example\r\n\
                       x-request-id: unread\r\nx-deadline-ms: 3000\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(request.as_bytes()).expect("sent");
        let running = || deployment.hosts[0].relay.tables().admission.running();
        deployment.wait("the run", |_| running() == 1).await;
        let until = Instant::now() + Duration::from_millis(3_000 + 500);
        while running() > 0 {
            assert!(Instant::now() < until, "{}: the slot is held", case.name);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

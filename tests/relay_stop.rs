//! A planned stop under load: what has arrived before the listener closes gets a whole answer.

mod deployment;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use burdockhall::net::relay::state::Stage;
use deployment::{Deployment, config, route};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::Instant;

const REQUESTS: usize = 30;
/// Size of an answer that the daemon has whole before it passes it on.
const SHORT_BYTES: usize = 60_000;
/// How long a request may take to run while its connection still takes answers.
const RUN_LIMIT: Duration = Duration::from_millis(300);
/// What a slow caller reads at a time, and how long it pauses before it. Less than what makes the daemon write
/// again.
const PART_BYTES: usize = 300_000;
const READING_PAUSE: Duration = Duration::from_millis(1_200);
/// Pauses before it reads on without one. The listener closes during them.
const PAUSES: usize = 3;

fn request(id: &str) -> String {
    format!(
        "POST /once/work.300 HTTP/1.1\r\nhost: calls.example\r\nx-request-id: {id}\r\n\
         x-deadline-ms: 3000\r\ncontent-length: 4\r\n\r\nbody"
    )
}

/// Reads one answer in another thread, since the daemon runs on this one.
async fn read_answer(mut stream: TcpStream) -> (TcpStream, String) {
    let read = tokio::task::spawn_blocking(move || {
        let timeout = Some(Duration::from_secs(5));
        stream.set_read_timeout(timeout).expect("a timeout");
        let mut answer = String::new();
        let mut byte = [0];
        while !answer.ends_with("\r\n\r\nbody") {
            match stream.read(&mut byte) {
                Ok(1) => answer.push(char::from(byte[0])),
                Ok(_) | Err(_) => break,
            }
        }
        (stream, answer)
    });
    read.await.expect("the reader ends")
}

#[tokio::test]
async fn requests_that_have_arrived_before_the_listener_closes_are_answered() {
    struct Case {
        name: &'static str,
        is_kept: bool,
    }
    let cases = [
        Case {
            name: "on connections that are not accepted yet",
            is_kept: false,
        },
        Case {
            name: "on kept connections",
            is_kept: true,
        },
    ];
    for case in cases {
        let deployment = Deployment::start(&["a", "a", "a", "a"]).await;
        let host = &deployment.hosts[0];
        let callers = host.settings.callers_address;
        let mut kept = Vec::new();
        if case.is_kept {
            for number in 0..REQUESTS {
                let mut stream = TcpStream::connect(callers).expect("a connection");
                let id = format!("first-{number}");
                stream.write_all(request(&id).as_bytes()).expect("sent");
                let (stream, answer) = read_answer(stream).await;
                assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
                kept.push(stream);
            }
        }
        // Nothing is awaited from here to the change of the stage, so the daemon has read nothing.
        let sent: Vec<_> = (0..REQUESTS)
            .map(|number| {
                let mut stream = match kept.pop() {
                    Some(stream) => stream,
                    None => TcpStream::connect(callers).expect("a connection"),
                };
                let id = format!("last-{number}");
                stream.write_all(request(&id).as_bytes()).expect("sent");
                stream
            })
            .collect();
        host.relay.stage.send_replace(Stage::Closing);
        let mut readers = Vec::new();
        for stream in sent {
            readers.push(tokio::spawn(read_answer(stream)));
        }
        for (number, reader) in readers.into_iter().enumerate() {
            let (_, answer) = reader.await.expect("the reader ends");
            let status = answer.get(..12).unwrap_or("nothing");
            let is_whole = answer.ends_with("body") && status == "HTTP/1.1 200";
            let is_refused = status == "HTTP/1.1 503";
            assert!(is_whole || is_refused, "{}, {number}: {answer}", case.name);
        }
        // Another process of this machine may have taken the port meanwhile.
        if let Ok(mut stream) = TcpStream::connect(callers) {
            stream.write_all(request("after").as_bytes()).expect("sent");
            let (_, answer) = read_answer(stream).await;
            assert!(
                !answer.starts_with("HTTP/1.1 200"),
                "{}: {answer}",
                case.name
            );
            assert_eq!(deployment.runs("after"), 0, "{}: accepted", case.name);
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct LateRequest {
    path: &'static str,
    /// Bytes sent soon after the signal; the head has about 120.
    early_bytes: usize,
    /// When the rest is sent, in milliseconds after the signal.
    whole_ms: u64,
    /// The status, if only one is right.
    status: Option<&'static str>,
}

impl LateRequest {
    /// Sends the request, and returns the status of its answer.
    async fn send(self, callers: std::net::SocketAddr, id: &str, signal: Instant) -> String {
        let text = format!(
            "POST {} HTTP/1.1\r\nhost: calls.example\r\nx-request-id: {id}\r\n\
             x-deadline-ms: 8000\r\ncontent-length: 4\r\n\r\nbody",
            self.path
        );
        let (early, rest) = text.split_at(self.early_bytes.min(text.len() - 1));
        let stream = tokio::net::TcpStream::connect(callers).await;
        let mut stream = stream.expect("the listener is open");
        tokio::time::sleep_until(signal + Duration::from_millis(300)).await;
        stream.write_all(early.as_bytes()).await.expect("open");
        tokio::time::sleep_until(signal + Duration::from_millis(self.whole_ms)).await;
        // What comes after the close may be refused.
        let _ = stream.write_all(rest.as_bytes()).await;
        let mut status = [0; 12];
        match stream.read_exact(&mut status).await {
            Ok(_) => String::from_utf8_lossy(&status[9..]).into_owned(),
            Err(_) => "closed".to_owned(),
        }
    }
}

#[tokio::test]
async fn a_request_that_becomes_whole_late_in_a_shutdown_is_answered_or_not_run() {
    let (in_head, in_body) = (30, usize::MAX);
    let mut cases = Vec::new();
    for path in ["/once/work.1000", "/safe/work.1000"] {
        for early_bytes in [in_head, in_body] {
            for whole_ms in [1_500, 2_500, 3_500, 4_400, 4_900, 5_200, 5_350] {
                let is_accepted = whole_ms <= 2_500;
                cases.push(LateRequest {
                    path,
                    early_bytes,
                    whole_ms,
                    status: is_accepted.then_some("200"),
                });
            }
        }
    }
    cases.push(LateRequest {
        path: "/once/work.6000",
        early_bytes: in_body,
        whole_ms: 1_500,
        status: None,
    });
    let deployment = Deployment::start(&["a", "a", "a", "a"]).await;
    let mut routes = [
        route("once", "/once/", "unsafe", "a"),
        route("safe", "/safe/", "safe", "a"),
    ];
    for route in &mut routes {
        route["timeoutS"] = 10.into();
    }
    deployment.configure(2, &config(2, &routes)).await;
    let callers = deployment.hosts[0].settings.callers_address;
    let signal = Instant::now();
    let mut answers = Vec::new();
    for (number, case) in cases.iter().copied().enumerate() {
        let id = format!("late-{number}");
        answers.push(tokio::spawn(async move {
            case.send(callers, &id, signal).await
        }));
    }
    let unfinished = deployment.stop(0).await;
    // The process ends here, and with it every connection.
    for (number, (case, answer)) in cases.iter().zip(answers).enumerate() {
        let status = if answer.is_finished() {
            answer.await.expect("the caller does not panic")
        } else {
            "cut".to_owned()
        };
        let runs = deployment.runs(&format!("late-{number}"));
        let is_answered = matches!(status.as_str(), "200" | "502" | "504");
        assert!(is_answered || runs == 0, "{case:?}: {status}, {runs} runs");
        if let Some(expected) = case.status {
            assert_eq!(status, expected, "{case:?}");
        }
    }
    assert_eq!(unfinished, 0);
}

#[tokio::test]
async fn a_backend_server_that_works_while_its_daemon_stops_can_make_calls() {
    let deployment = Deployment::start(&["a", "b"]).await;
    let mut routes = [
        route("once", "/once/", "unsafe", "a"),
        route("safe", "/safe/", "safe", "b"),
    ];
    routes[0]["timeoutS"] = 10.into();
    routes[1]["timeoutS"] = 1.into();
    deployment.configure(2, &config(2, &routes)).await;
    let parent = LateRequest {
        path: "/once/work.4200",
        early_bytes: usize::MAX,
        whole_ms: 350,
        status: None,
    };
    let other = deployment.hosts[1].settings.callers_address;
    let parent = parent.send(other, "parent", Instant::now());
    let stop_and_call = async {
        deployment
            .wait("the run", |deployment| deployment.runs("parent") == 1)
            .await;
        let call = async {
            tokio::time::sleep(Duration::from_millis(3_500)).await;
            deployment.call(0, "/safe/work.100", "parent.1", b"").await
        };
        tokio::join!(deployment.stop(0), call)
    };
    let (parent_status, (unfinished, call)) = tokio::join!(parent, stop_and_call);
    assert_eq!(call.status, 200);
    assert_eq!(parent_status, "200");
    assert_eq!(unfinished, 0);
}

/// Guards against LOST around a planned stop: the process ended while it still held the last bytes of answers
/// that their caller reads slowly.
#[test]
fn the_process_does_not_end_before_a_slow_caller_has_got_its_answers() {
    struct Case {
        name: &'static str,
        /// The host that the caller uses and that is stopped.
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
        let processes = tokio::runtime::Runtime::new().expect("a runtime");
        let deployment = processes.block_on(Deployment::start(&["a", "b"]));
        let callers = deployment.hosts[case.entry].settings.callers_address;
        let worker = &deployment.hosts[0].worker;
        let mut sent = 0;
        // Sends a request and reads nothing; whether it has run.
        let mut runs_another = |caller: &mut TcpStream| {
            let before = worker.runs().len();
            let request = format!(
                "POST /once/fill.{SHORT_BYTES} HTTP/1.1\r\nhost: calls.example\r\n\
                 x-request-id: slow-{sent}\r\nx-deadline-ms: 3000\r\ncontent-length: 0\r\n\r\n"
            );
            caller.write_all(request.as_bytes()).expect("sent");
            sent += 1;
            let until = Instant::now() + RUN_LIMIT;
            while worker.runs().len() == before && Instant::now() < until {
                std::thread::sleep(Duration::from_millis(1));
            }
            worker.runs().len() > before
        };
        // Finds out how many requests run until their answers stay in the daemon.
        let mut caller = TcpStream::connect(callers).expect("a connection");
        while runs_another(&mut caller) {}
        let owed = worker.runs().len();
        drop(caller);
        let mut caller = TcpStream::connect(callers).expect("a connection");
        for _ in 0..owed {
            runs_another(&mut caller);
        }
        let reader = std::thread::spawn(move || {
            let mut buffer = [0; 16 * 1024];
            let mut read_bytes = 0;
            let mut pauses = 0;
            loop {
                if pauses < PAUSES && read_bytes >= pauses * PART_BYTES {
                    std::thread::sleep(READING_PAUSE);
                    pauses += 1;
                }
                match caller.read(&mut buffer) {
                    Ok(more_bytes) if more_bytes > 0 => read_bytes += more_bytes,
                    _ => return read_bytes,
                }
            }
        });
        let unfinished = processes.block_on(deployment.stop(case.entry));
        // The process ends here, and with it every connection.
        processes.shutdown_background();
        let read_bytes = reader.join().expect("the reader does not panic");
        let answers = read_bytes / SHORT_BYTES;
        assert_eq!(answers, owed, "{}: whole answers", case.name);
        assert_eq!(unfinished, 0, "{}", case.name);
    }
}

//! Limits of callers' connections follow the configuration on connections that were open before it
//! changed.

mod deployment;

use std::time::Duration;

use burdockhall::decide::relay::{ConnectionPhase, Limits};
use burdockhall::model::TimeMs;
use deployment::{Deployment, standard_config};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time in which a configuration must be in force on a daemon in touch, in milliseconds.
const CONFIG_MS: u64 = 2_000;
/// Longest wait for an answer, in milliseconds.
const ANSWER_MS: u64 = 3_000;
const CONNECTIONS: usize = 4;

fn head(id: &str, padding_bytes: usize) -> String {
    format!(
        "GET /safe/x HTTP/1.1\r\nhost: calls.example\r\nx-request-id: {id}\r\nx-deadline-ms: 3000\r\n\
         x-padding: {}\r\n\r\n",
        "p".repeat(padding_bytes)
    )
}

/// Reads one answer and returns its status; `None` if the connection ends without one.
async fn read_status(stream: &mut TcpStream) -> Option<u16> {
    let mut answer = Vec::new();
    let read = async {
        let mut chunk = [0; 1024];
        loop {
            let received_bytes = stream.read(&mut chunk).await.unwrap_or(0);
            answer.extend_from_slice(&chunk[..received_bytes]);
            if received_bytes == 0 || is_whole(&answer) {
                break;
            }
        }
    };
    // An answer that is late counts as none.
    let _ = tokio::time::timeout(Duration::from_millis(ANSWER_MS), read).await;
    let text = String::from_utf8_lossy(&answer);
    text.split(' ').nth(1)?.parse().ok()
}

fn is_whole(answer: &[u8]) -> bool {
    let text = String::from_utf8_lossy(answer);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(": ")?;
        let is_length = name.eq_ignore_ascii_case("content-length");
        is_length.then(|| value.parse().ok()).flatten()
    });
    body.len() >= length.unwrap_or(0)
}

/// Sends a request, and returns the status of its answer; `None` if the connection has ended.
async fn status_on(stream: &mut TcpStream, request: &str) -> Option<u16> {
    stream.write_all(request.as_bytes()).await.ok()?;
    read_status(stream).await
}

async fn open_connections(deployment: &Deployment, are_used: bool) -> Vec<TcpStream> {
    let callers = deployment.hosts[0].settings.callers_address;
    let mut kept = Vec::new();
    for number in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(callers).await.expect("a connection");
        if are_used {
            let request = head(&format!("first-{number}"), 0);
            let status = status_on(&mut stream, &request).await;
            assert_eq!(status, Some(200));
        }
        kept.push(stream);
    }
    kept
}

fn config_with(version: u64, limit: &str, value: u64) -> Value {
    let mut config = standard_config(version);
    config["limits"][limit] = value.into();
    config
}

#[tokio::test]
async fn a_change_of_the_header_limit_holds_on_connections_opened_before_it() {
    struct Case {
        name: &'static str,
        bytes_before: u64,
        bytes_after: u64,
        are_used: bool,
        padding_bytes: usize,
        status: u16,
    }
    let cases = [
        Case {
            name: "raised, on used connections",
            bytes_before: 16_384,
            bytes_after: 65_536,
            are_used: true,
            padding_bytes: 30_000,
            status: 200,
        },
        Case {
            name: "lowered, on used connections",
            bytes_before: 65_536,
            bytes_after: 16_384,
            are_used: true,
            padding_bytes: 30_000,
            status: 431,
        },
        Case {
            name: "lowered, for a head below both limits",
            bytes_before: 65_536,
            bytes_after: 16_384,
            are_used: true,
            padding_bytes: 0,
            status: 200,
        },
        Case {
            name: "raised, on connections that have carried nothing",
            bytes_before: 16_384,
            bytes_after: 65_536,
            are_used: false,
            padding_bytes: 30_000,
            status: 200,
        },
    ];
    let mut wrong = Vec::new();
    for case in cases {
        let deployment = Deployment::start(&["a"]).await;
        let limit = |version, bytes| config_with(version, "maxHeaderBytes", bytes);
        deployment.configure(2, &limit(2, case.bytes_before)).await;
        let kept = open_connections(&deployment, case.are_used).await;
        deployment.configure(3, &limit(3, case.bytes_after)).await;
        tokio::time::sleep(Duration::from_millis(CONFIG_MS)).await;
        for (number, mut stream) in kept.into_iter().enumerate() {
            let request = head(&format!("last-{number}"), case.padding_bytes);
            let status = status_on(&mut stream, &request).await;
            if status != Some(case.status) {
                wrong.push((case.name, status));
            }
        }
    }
    assert_eq!(wrong, [], "answers by another limit, or closed connections");
}

#[tokio::test]
async fn a_head_beyond_the_buffer_of_an_open_connection_is_served_on_a_new_one() {
    let deployment = Deployment::start(&["a"]).await;
    let mut kept = open_connections(&deployment, true).await;
    let limits = config_with(2, "maxHeaderBytes", 262_144);
    deployment.configure(2, &limits).await;
    tokio::time::sleep(Duration::from_millis(CONFIG_MS)).await;
    let request = head("long", 100_000);
    assert_eq!(status_on(&mut kept[0], &request).await, None);
    let mut renewed = open_connections(&deployment, false).await;
    assert_eq!(status_on(&mut renewed[0], &request).await, Some(200));
}

#[tokio::test]
async fn a_change_of_the_header_limit_cuts_off_no_request_that_runs() {
    let deployment = Deployment::start(&["a"]).await;
    let mut kept = open_connections(&deployment, true).await;
    for stream in &mut kept {
        let request = head("running", 0).replace("/safe/x", "/safe/work.1000");
        stream.write_all(request.as_bytes()).await.expect("open");
    }
    deployment
        .wait("the runs", |deployment| {
            deployment.runs("running") == CONNECTIONS
        })
        .await;
    let limits = config_with(2, "maxHeaderBytes", 65_536);
    deployment.configure(2, &limits).await;
    for mut stream in kept {
        assert_eq!(read_status(&mut stream).await, Some(200));
    }
}

#[tokio::test]
async fn a_change_of_the_idle_time_holds_on_connections_opened_before_it() {
    struct Case {
        name: &'static str,
        idle_before_s: u64,
        idle_after_s: u64,
        is_open: bool,
    }
    let cases = [
        Case {
            name: "raised",
            idle_before_s: 2,
            idle_after_s: 15,
            is_open: true,
        },
        Case {
            name: "lowered",
            idle_before_s: 15,
            idle_after_s: 2,
            is_open: false,
        },
    ];
    for case in cases {
        let deployment = Deployment::start(&["a"]).await;
        let limit = |version, idle_s| config_with(version, "idleTimeoutS", idle_s);
        deployment.configure(2, &limit(2, case.idle_before_s)).await;
        let kept = open_connections(&deployment, true).await;
        deployment.configure(3, &limit(3, case.idle_after_s)).await;
        tokio::time::sleep(Duration::from_secs(4)).await;
        for (number, mut stream) in kept.into_iter().enumerate() {
            let request = head(&format!("last-{number}"), 0);
            let sent = stream.write_all(request.as_bytes()).await;
            let status = read_status(&mut stream).await;
            let is_open = sent.is_ok() && status == Some(200);
            assert_eq!(is_open, case.is_open, "{}: {status:?}", case.name);
        }
    }
}

#[tokio::test]
async fn a_slow_request_head_has_the_header_timeout_and_not_the_idle_time() {
    struct Case {
        name: &'static str,
        header_s: u64,
        idle_s: u64,
        is_served: bool,
    }
    let cases = [
        Case {
            name: "longer than the idle time",
            header_s: 6,
            idle_s: 1,
            is_served: true,
        },
        Case {
            name: "shorter than the idle time",
            header_s: 1,
            idle_s: 15,
            is_served: false,
        },
    ];
    for case in cases {
        for are_used in [false, true] {
            let deployment = Deployment::start(&["a"]).await;
            let mut limits = config_with(2, "headerTimeoutS", case.header_s);
            limits["limits"]["idleTimeoutS"] = case.idle_s.into();
            deployment.configure(2, &limits).await;
            let mut kept = open_connections(&deployment, are_used).await;
            let request = head("slow", 0);
            let (begin, end) = request.split_at(30);
            kept[0].write_all(begin.as_bytes()).await.expect("open");
            tokio::time::sleep(Duration::from_millis(2_500)).await;
            // A connection that was closed meanwhile may refuse the rest.
            let _ = kept[0].write_all(end.as_bytes()).await;
            let is_served = read_status(&mut kept[0]).await == Some(200);
            assert_eq!(is_served, case.is_served, "{}", case.name);
        }
    }
}

#[tokio::test]
async fn a_request_whose_body_stalls_is_answered_at_its_deadline() {
    let deployment = Deployment::start(&["a"]).await;
    let mut kept = open_connections(&deployment, true).await;
    let head = head("stalled", 0).replace("GET", "POST");
    let head = head.replace("x-deadline-ms: 3000", "x-deadline-ms: 500");
    let head = head.replace("x-padding: ", "content-length: 4\r\nx-padding: ");
    kept[0].write_all(head.as_bytes()).await.expect("open");
    kept[0].write_all(b"bo").await.expect("open");
    assert_eq!(read_status(&mut kept[0]).await, Some(408));
    assert_eq!(deployment.runs("stalled"), 0);
}

#[test]
fn a_connection_is_not_idle_while_a_later_request_has_no_answer() {
    let (limits, now) = (Limits::default(), TimeMs(1_000));
    let first = ConnectionPhase::Idle { since: now }.request_arrived();
    let second = first.request_arrived().request_ended(now);
    assert_eq!(second.ends_at(limits), None);
    let idle = second.request_ended(now);
    assert_eq!(idle.ends_at(limits), Some(now.plus_ms(limits.idle_ms)));
    let head = idle.received(now.plus_ms(5)).received(now.plus_ms(9));
    let ends_at = now.plus_ms(5 + limits.header_ms);
    assert_eq!(head.ends_at(limits), Some(ends_at));
    assert_eq!(head.request_arrived().ends_at(limits), None);
}

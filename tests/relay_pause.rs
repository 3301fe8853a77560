//! A daemon that was paused for some seconds gives the requests that have waited meanwhile no more
//! time than they have left.

mod deployment;

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use burdockhall::decide::relay::PauseDetector;
use burdockhall::model::TimeMs;
use deployment::{Deployment, hop_request};

/// Time that the request has when it is sent, in milliseconds.
const LEFT_MS: u64 = 1_000;
const PAUSE: Duration = Duration::from_millis(2_700);

#[test]
fn a_pause_counts_against_what_is_read_right_after_it() {
    struct Case {
        name: &'static str,
        /// Times at which the clock is observed, in milliseconds.
        observed_ms: &'static [u64],
        read_ms: u64,
        held_ms: u64,
    }
    let cases = [
        Case {
            name: "no pause",
            observed_ms: &[1_000, 2_000, 3_050],
            read_ms: 3_060,
            held_ms: 0,
        },
        Case {
            name: "right after a pause",
            observed_ms: &[1_000, 2_000, 6_000],
            read_ms: 6_050,
            held_ms: 4_000,
        },
        Case {
            name: "long after a pause",
            observed_ms: &[1_000, 6_000, 7_000],
            read_ms: 7_000,
            held_ms: 0,
        },
        Case {
            name: "the start of the daemon",
            observed_ms: &[900_000],
            read_ms: 900_000,
            held_ms: 0,
        },
    ];
    for case in cases {
        let mut pauses = PauseDetector::default();
        for at in case.observed_ms {
            pauses.observe(TimeMs(*at));
        }
        assert_eq!(
            pauses.held_ms(TimeMs(case.read_ms)),
            case.held_ms,
            "{}",
            case.name
        );
    }
}

#[tokio::test]
async fn a_request_that_waited_past_its_deadline_is_not_run() {
    struct Case {
        name: &'static str,
        is_hop: bool,
        key: Option<&'static str>,
    }
    let cases = [
        Case {
            name: "at the daemon beside the backend server, non-idempotent",
            is_hop: true,
            key: Some("pause-1"),
        },
        Case {
            name: "at the daemon beside the backend server, idempotent",
            is_hop: true,
            key: None,
        },
        Case {
            name: "at the entry",
            is_hop: false,
            key: None,
        },
    ];
    let deployment = Deployment::start(&["a"]).await;
    // The clock has been observed before the pause.
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    for (number, case) in cases.iter().enumerate() {
        let host = &deployment.hosts[0];
        let id = format!("held-{number}");
        let hop = hop_request("i-0", case.key, LEFT_MS);
        let hop = serde_json::to_string(&hop).expect("a header");
        let (address, header) = if case.is_hop {
            let header = format!("burdockhall-hop: {hop}\r\n");
            (host.settings.hop_address, header)
        } else {
            (host.settings.callers_address, String::new())
        };
        let mut stream = TcpStream::connect(address).expect("a connection");
        let request = format!(
            "POST /once/echo HTTP/1.1\r\nhost: calls.example\r\nx-request-id: {id}\r\n\
             x-deadline-ms: {LEFT_MS}\r\n{header}content-length: 0\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).expect("sent");
        // Blocks the only thread, and with it the daemon.
        std::thread::sleep(PAUSE);
        tokio::time::sleep(Duration::from_millis(1_300)).await;
        assert_eq!(deployment.runs(&id), 0, "{}", case.name);
        let answer = deployment
            .call(0, "/once/echo", &format!("new-{number}"), b"")
            .await;
        assert_eq!(
            answer.status.as_u16(),
            200,
            "{}: new ones are served",
            case.name
        );
    }
}

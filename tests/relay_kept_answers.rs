//! Answers that the entry keeps while it asks another backend server, over loopback.

mod deployment;

use std::time::{Duration, Instant};

use burdockhall::decide::relay::Member;
use deployment::{Deployment, free_address, send_with_headers};
use tokio::net::TcpListener;

/// Time that callers wait, in milliseconds.
const TIME_LIMIT_MS: u64 = 600;

/// Guards against LOST: the failure of a backend server was kept while another attempt waited for a daemon that gives
/// no answer, and was dropped with the caller's connection if its body had no length.
#[tokio::test]
async fn a_failure_is_passed_on_whole_after_a_second_attempt_got_no_answer() {
    struct Case {
        path: &'static str,
        bytes: usize,
    }
    let cases = [
        Case {
            path: "/safe/fail",
            bytes: 8,
        },
        Case {
            path: "/safe/fail_chunked",
            bytes: 8,
        },
        Case {
            path: "/safe/fail_chunked",
            bytes: 60_000,
        },
        Case {
            path: "/safe/fail_unframed",
            bytes: 0,
        },
        Case {
            path: "/safe/fail_unframed",
            bytes: 8,
        },
        Case {
            path: "/safe/fail_unframed",
            bytes: 60_000,
        },
    ];
    let mut running = tokio::task::JoinSet::new();
    for case in cases {
        running.spawn(async move {
            let Case { path, bytes } = case;
            let name = format!("{path}, {bytes} bytes");
            let deployment = Deployment::start(&["a", "b"]).await;
            // A daemon that takes connections and gives no answer, as while it is frozen.
            let silent = free_address();
            let _listener = TcpListener::bind(silent).await.expect("a free address");
            let known = deployment.hosts[0].relay.own_member().expect("a record");
            let member = Member {
                address: silent,
                instance: "i-silent".to_owned(),
                ..known
            };
            let entry = &deployment.hosts[1];
            entry.relay.merge_members(vec![member], "log");
            let limit = TIME_LIMIT_MS.to_string();
            let body = "x".repeat(bytes);
            let mut kept = 0;
            for number in 0..40 {
                let id = format!("r-{number}");
                let headers = [
                    ("host", "calls.example"),
                    ("x-request-id", id.as_str()),
                    ("x-deadline-ms", limit.as_str()),
                ];
                let sent = Instant::now();
                let address = entry.settings.callers_address;
                let answer = send_with_headers(address, path, &headers, body.as_bytes()).await;
                if answer.status != 500 {
                    continue;
                }
                let whole = answer.body.unwrap_or_else(|| panic!("{name}: cut short"));
                assert_eq!(whole, body, "{name}");
                // It has waited for the other daemon.
                kept += u32::from(sent.elapsed() >= Duration::from_millis(TIME_LIMIT_MS / 2));
                if kept == 2 {
                    return;
                }
            }
            panic!("{name}: {kept} answers were kept");
        });
    }
    let mut failed = Vec::new();
    while let Some(finished) = running.join_next().await {
        failed.extend(finished.err().map(|error| error.to_string()));
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

//! Non-idempotent requests whose hop breaks long after they were sent: what the daemon beside the backend server
//! still knows of them.

mod deployment;

use std::time::Duration;

use burdockhall::decide::relay::{HasEnded, OutcomeTable, is_proof_of_absence};
use burdockhall::net::http;
use burdockhall::prelude::*;
use bytes::Bytes;
use deployment::{Deployment, Host, hop_request, send};
use http_body_util::Full;
use hyper::{HeaderMap, Request};

/// Sends a hop directly to the daemon beside a backend server, as another daemon does; returns once it has begun to
/// run, or has ended.
async fn send_hop(deployment: &Deployment, path: &str, key: &str, left_ms: u64, id: &str) {
    let host = &deployment.hosts[0];
    let hop = host.settings.hop_address;
    let hop_request = hop_request(&host.worker.instance(), Some(key), left_ms);
    let header = serde_json::to_vec(&hop_request).expect("JSON");
    let request = Request::post(format!("http://{hop}{path}"))
        .header("burdockhall-hop", header)
        .header("x-request-id", id)
        .body(Full::new(Bytes::new()))
        .expect("a request");
    let client = http::client(0);
    let answered = http::exchange(&client, hop, request, 5_000);
    // The answer of a run that goes on is asked for by a query.
    let _ = tokio::time::timeout(Duration::from_millis(300), answered).await;
}

/// Asks for the outcome of a hop; returns the metadata of the answer.
async fn query(host: &Host, key: &str, left_ms: u64) -> HeaderMap {
    let query = format!(r#"{{"key":"{key}","left_ms":{left_ms}}}"#);
    let hop = host.settings.hop_address;
    let answer = send(hop, "x", "/burdockhall/settle", None, query.as_bytes()).await;
    answer.headers
}

/// Guards against TWICE: a run was forgotten after a minute, also if it had not ended. A query then proved that it
/// had not run, and its entry sent the request to a second backend server.
#[tokio::test]
async fn a_request_that_has_run_is_never_reported_as_not_run() {
    struct Case {
        name: &'static str,
        path: &'static str,
        left_ms: u64,
        /// Time that passes before the query, in milliseconds.
        passes_ms: u64,
        /// Whether the outcome is still known.
        is_known: bool,
    }
    let cases = [
        Case {
            name: "still running after its entry has waited for long",
            path: "/once/work.700",
            left_ms: 100_000,
            passes_ms: 66_000,
            is_known: true,
        },
        Case {
            name: "still running, without end in sight",
            path: "/once/work.700",
            left_ms: 3_000,
            passes_ms: 3_600_000,
            is_known: true,
        },
        Case {
            name: "ended, before its deadline",
            path: "/once/echo",
            left_ms: 100_000,
            passes_ms: 66_000,
            is_known: true,
        },
        Case {
            name: "ended, long after its deadline",
            path: "/once/echo",
            left_ms: 3_000,
            passes_ms: 66_000,
            is_known: false,
        },
    ];
    let deployment = Deployment::start(&["a", "b"]).await;
    let host = &deployment.hosts[0];
    for (number, case) in cases.iter().enumerate() {
        let (key, id) = (format!("k-{number}"), format!("run-{number}"));
        let sent = host.relay.clock.now();
        send_hop(&deployment, case.path, &key, case.left_ms, &id).await;
        assert_eq!(deployment.runs(&id), 1, "{}", case.name);
        let later = host.relay.clock.now().plus_ms(case.passes_ms);
        host.relay.settlements.sweep(later);
        let headers = query(host, &key, 2_000).await;
        let reply = headers["burdockhall-reply"].to_str().expect("text");
        let is_fenced = reply.contains("fenced");
        assert_eq!(!is_fenced, case.is_known, "{}: {reply}", case.name);
        let reply: serde_json::Value = serde_json::from_str(reply).expect("JSON");
        let since_sent_ms = host.relay.clock.now().since_ms(sent);
        let is_proof = is_proof_of_absence(reply["u"].as_u64(), since_sent_ms);
        assert!(!is_fenced || !is_proof, "{}: {reply}", case.name);
    }
}

/// Guards against TWICE: a fence was dropped after a minute, before the deadline of the request that it keeps from
/// running.
#[tokio::test]
async fn a_fence_lasts_until_the_deadline_of_its_request() {
    let deployment = Deployment::start(&["a", "b"]).await;
    let host = &deployment.hosts[0];
    query(host, "k-late", 100_000).await;
    let later = host.relay.clock.now().plus_ms(66_000);
    host.relay.settlements.sweep(later);
    send_hop(&deployment, "/once/echo", "k-late", 30_000, "late").await;
    assert_eq!(deployment.runs("late"), 0);
}

#[derive(Clone, Copy)]
struct Outcome {
    has_ended: bool,
}

impl HasEnded for Outcome {
    fn has_ended(&self) -> bool {
        self.has_ended
    }
}

/// Guards against TWICE: outcomes that are dropped to bound the memory prove nothing about requests of their age.
#[test]
fn a_full_table_drops_what_has_ended_and_proves_nothing_about_its_age() {
    const SENT: u64 = 40_000;
    const HOUR_MS: u64 = 3_600_000;
    let mut table = OutcomeTable::default();
    let started = TimeMs(1_000);
    let running = Outcome { has_ended: false };
    table.insert(TimeMs(2_000), "running", HOUR_MS, running);
    for number in 0..SENT {
        let (now, key) = (TimeMs(10_000 + number), format!("k-{number}"));
        let ended = Outcome { has_ended: true };
        table.insert(now, &key, HOUR_MS, ended);
    }
    let now = TimeMs(10_000 + SENT);
    assert!(table.len() < 20_000, "{} outcomes", table.len());
    assert!(table.get("running").is_some());
    for number in 0..SENT {
        let is_known = table.get(&format!("k-{number}")).is_some();
        let since_sent_ms = now.since_ms(TimeMs(10_000 + number));
        let complete_ms = Some(table.complete_ms(now, started));
        let is_proof = is_proof_of_absence(complete_ms, since_sent_ms);
        assert!(is_known || !is_proof, "k-{number}");
    }
    let complete_ms = Some(table.complete_ms(now, started));
    assert!(is_proof_of_absence(complete_ms, 5_000), "{complete_ms:?}");
}

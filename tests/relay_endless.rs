//! Backend servers that send bytes without end, in place of an answer or beside one: callers get a
//! true answer, the daemon stays responsive, and the connection is closed.

mod deployment;

use std::time::Duration;

use deployment::{Deployment, send};
use tokio::time::Instant;

const CALLERS: usize = 40;
/// Timeout of the route, and how much later an answer may be, in milliseconds.
const ANSWER_MS: u64 = 3_000 + 500;
/// How long the bytes may flow on after the callers have their answers, in milliseconds.
const CLOSE_MS: u64 = 2_000;
/// Most bytes that one request may cost. Covers the buffers of both sockets.
const BYTES_PER_RUN: u64 = 8 * 1024 * 1024;

/// Guards against CONFIG: an answer that dripped without end outlasted the timeout of its route, since the time
/// limit ended with the head.
#[tokio::test]
async fn an_answer_that_never_ends_is_cut_at_the_timeout_of_its_route() {
    struct Case {
        name: &'static str,
        path: &'static str,
        /// The host that callers use.
        entry: usize,
    }
    let cases = [
        Case {
            name: "in chunks, beside the backend server",
            path: "/safe/stream.60000",
            entry: 0,
        },
        Case {
            name: "in chunks, over a hop",
            path: "/once/stream.60000",
            entry: 1,
        },
        Case {
            name: "of known length, over a hop",
            path: "/safe/stream_known.60000",
            entry: 1,
        },
        Case {
            name: "ending with the connection, over a hop",
            path: "/once/stream_unframed.60000",
            entry: 1,
        },
    ];
    let mut running = tokio::task::JoinSet::new();
    for case in cases {
        running.spawn(async move {
            let deployment = Deployment::start(&["a", "b"]).await;
            let callers = deployment.hosts[case.entry].settings.callers_address;
            let began = Instant::now();
            let calls = (0..CALLERS).map(|number| {
                let id = format!("endless-{number}");
                let path = case.path;
                tokio::spawn(
                    async move { send(callers, "calls.example", path, Some(&id), b"x").await },
                )
            });
            let calls: Vec<_> = calls.collect();
            let mut cut = 0;
            for call in calls {
                let answer = call.await.expect("the caller ends");
                // The others are refused, since all slots are taken.
                if answer.status.is_success() {
                    assert!(answer.body.is_none(), "{}: looks whole", case.name);
                    cut += 1;
                }
            }
            assert!(cut > 0, "{}: all are refused", case.name);
            let ended_ms = began.elapsed().as_millis() as u64;
            assert!(ended_ms < ANSWER_MS, "{}: {ended_ms} ms", case.name);
            deployment
                .wait("all slots are free", |deployment| {
                    let tables = deployment.hosts[0].relay.tables();
                    tables.admission.running() == 0
                })
                .await;
        });
    }
    while let Some(finished) = running.join_next().await {
        if let Err(error) = finished {
            std::panic::resume_unwind(error.into_panic());
        }
    }
}

#[tokio::test]
async fn bytes_without_end_are_bounded_and_callers_get_a_true_answer() {
    struct Case {
        name: &'static str,
        path: &'static str,
        statuses: &'static [u16],
    }
    let cases = [
        Case {
            name: "informational answers, idempotent",
            path: "/safe/endless_heads",
            statuses: &[502, 504],
        },
        Case {
            name: "informational answers, non-idempotent",
            path: "/once/endless_heads",
            statuses: &[502, 504],
        },
        Case {
            name: "header lines",
            path: "/once/endless_head",
            statuses: &[502, 504],
        },
        Case {
            name: "no answer",
            path: "/once/endless_junk",
            statuses: &[502, 504],
        },
        Case {
            name: "body of a refusal",
            path: "/once/endless_refusal",
            statuses: &[503],
        },
        Case {
            name: "bytes after the answer",
            path: "/once/endless_extra",
            statuses: &[200],
        },
    ];
    for case in cases {
        let deployment = Deployment::start(&["a", "b"]).await;
        let worker = &deployment.hosts[0].worker;
        let callers = deployment.hosts[1].settings.callers_address;
        let began = Instant::now();
        let calls: Vec<_> = (0..CALLERS)
            .map(|number| {
                let id = format!("endless-{number}");
                let path = case.path;
                tokio::spawn(
                    async move { send(callers, "calls.example", path, Some(&id), b"x").await },
                )
            })
            .collect();
        tokio::time::sleep(Duration::from_millis(300)).await;
        let asked = Instant::now();
        let ready = deployment.hosts[0].settings.ready_address;
        let answer = send(ready, "x", "/ready", None, b"").await;
        assert_eq!(answer.status.as_u16(), 200, "{}", case.name);
        let ready_ms = asked.elapsed().as_millis();
        assert!(
            ready_ms < 1_000,
            "{}: not ready for {ready_ms} ms",
            case.name
        );
        for call in calls {
            let answer = call.await.expect("the caller ends");
            let status = answer.status.as_u16();
            assert!(case.statuses.contains(&status), "{}: {status}", case.name);
        }
        let answered_ms = began.elapsed().as_millis() as u64;
        assert!(answered_ms < ANSWER_MS, "{}: {answered_ms} ms", case.name);
        let until = Instant::now() + Duration::from_millis(CLOSE_MS);
        while worker.endless_streams() > 0 {
            let open = worker.endless_streams();
            assert!(Instant::now() < until, "{}: {open} flow on", case.name);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let runs = worker.runs().len().max(CALLERS) as u64;
        let bytes = worker.endless_bytes();
        assert!(
            bytes < runs * BYTES_PER_RUN,
            "{}: {bytes} bytes for {runs} runs",
            case.name
        );
        let most = if case.path.starts_with("/once/") {
            1
        } else {
            2
        };
        for number in 0..CALLERS {
            let runs = deployment.runs(&format!("endless-{number}"));
            assert!(runs <= most, "{}: {runs} runs", case.name);
        }
    }
}

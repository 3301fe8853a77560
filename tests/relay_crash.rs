//! Requests that crash each backend server that begins to run them, over loopback.

mod deployment;

use std::sync::Arc;
use std::time::{Duration, Instant};

use deployment::Deployment;

/// Time after the third crash within which all daemons must know of it.
const STABLE: Duration = Duration::from_secs(3);
const SPAN: Duration = Duration::from_secs(6);
const CALL_GAP: Duration = Duration::from_millis(60);
const HEARTBEAT_GAP: Duration = Duration::from_millis(100);
/// Most runs later than [`STABLE`] after the third crash.
const MAX_LATE_RUNS: usize = 3;

/// Sends the heartbeats of a backend server, also of its later processes.
async fn send_heartbeats(deployment: Arc<Deployment>, host: usize) {
    let host = &deployment.hosts[host];
    let local = host.settings.local_address;
    for sequence in 2.. {
        let born = 100 + host.worker.crashes();
        host.worker
            .send_heartbeat(local, sequence, "ready", born)
            .await;
        tokio::time::sleep(HEARTBEAT_GAP).await;
    }
}

struct Case {
    name: &'static str,
    path: &'static str,
    /// Service of the callers whose request crashes; all without it. The same request of others ends well.
    crashes_for: Option<&'static str>,
    /// How long callers wait for an answer; to the end without it.
    leaves_after: Option<Duration>,
    /// Time between two calls.
    gap: Duration,
}

#[tokio::test]
async fn a_request_that_crashes_its_backend_servers_is_held_back_everywhere() {
    let cases = [
        Case {
            name: "idempotent",
            path: "/safe/crash",
            crashes_for: None,
            leaves_after: None,
            gap: CALL_GAP,
        },
        Case {
            name: "non-idempotent",
            path: "/once/crash",
            crashes_for: None,
            leaves_after: None,
            gap: CALL_GAP,
        },
    ];
    assert_held_back(cases).await;
}

/// Guards against BUDGET: with the head of its answer a request counted as ended well, so one that crashed its
/// backend server later was sent to one after the other.
#[tokio::test]
async fn a_request_that_crashes_after_the_head_of_its_answer_is_held_back_everywhere() {
    let cases = [
        Case {
            name: "in chunks, idempotent",
            path: "/safe/crash_stream.100",
            crashes_for: None,
            leaves_after: None,
            gap: CALL_GAP,
        },
        Case {
            name: "in chunks, non-idempotent",
            path: "/once/crash_stream.100",
            crashes_for: None,
            leaves_after: None,
            gap: CALL_GAP,
        },
        Case {
            name: "of known length",
            path: "/once/crash_stream_known.100",
            crashes_for: None,
            leaves_after: None,
            gap: CALL_GAP,
        },
        Case {
            name: "ending with the connection",
            path: "/once/crash_stream_unframed.100",
            crashes_for: None,
            leaves_after: None,
            gap: CALL_GAP,
        },
    ];
    assert_held_back(cases).await;
}

/// Guards against BUDGET: a request that crashed its backend servers was cleared of suspicion by the good end
/// of another caller's with the same path and body.
#[tokio::test]
async fn a_crashing_request_is_held_back_though_the_same_of_another_caller_ends_well() {
    let cases = [
        Case {
            name: "idempotent",
            path: "/safe/crash_for.b",
            crashes_for: Some("b"),
            leaves_after: None,
            gap: CALL_GAP,
        },
        Case {
            name: "non-idempotent",
            path: "/once/crash_for.b",
            crashes_for: Some("b"),
            leaves_after: None,
            gap: CALL_GAP,
        },
    ];
    assert_held_back(cases).await;
}

/// Guards against BUDGET: nothing was seen of a crash after the caller had left, so its request was sent to one
/// backend server after the other.
#[tokio::test]
async fn a_request_that_crashes_after_its_caller_has_left_is_held_back_everywhere() {
    let cases = [
        Case {
            name: "idempotent",
            path: "/safe/crash_late.150",
            crashes_for: None,
            leaves_after: Some(Duration::from_millis(50)),
            gap: Duration::from_millis(200),
        },
        Case {
            name: "non-idempotent",
            path: "/once/crash_late.500",
            crashes_for: None,
            leaves_after: Some(Duration::from_millis(50)),
            gap: Duration::from_millis(300),
        },
    ];
    assert_held_back(cases).await;
}

/// Sends the request of each case again and again, and panics if it reaches backend servers in more than
/// [`MAX_LATE_RUNS`] after they must know of it, or if another request does not reach one.
async fn assert_held_back<const N: usize>(cases: [Case; N]) {
    let mut running = tokio::task::JoinSet::new();
    for case in cases {
        running.spawn(async move {
            let deployment = Deployment::start(&["a", "a", "a", "a", "b", "b"]).await;
            let deployment = Arc::new(deployment);
            let mut tasks = tokio::task::JoinSet::new();
            for host in 0..deployment.hosts.len() {
                tasks.spawn(send_heartbeats(Arc::clone(&deployment), host));
            }
            let until = Instant::now() + SPAN;
            let mut number = 0;
            while Instant::now() < until {
                let host = number % deployment.hosts.len();
                let (deployment, id) = (Arc::clone(&deployment), format!("crash-{number}"));
                tasks.spawn(async move {
                    let call = deployment.call(host, case.path, &id, b"the same");
                    let patience = case.leaves_after.unwrap_or(Duration::MAX);
                    // An answer shows nothing, and neither does its absence.
                    let _ = tokio::time::timeout(patience, call).await;
                });
                number += 1;
                tokio::time::sleep(case.gap).await;
            }
            let runs = deployment.hosts.iter().flat_map(|host| host.worker.runs());
            let runs = runs.filter(|run| {
                let caller = run.headers.get("x-caller-service");
                case.crashes_for
                    .is_none_or(|service| caller.is_some_and(|caller| caller == service))
            });
            let mut began: Vec<Instant> = runs.map(|run| run.began).collect();
            began.sort();
            if let Some(third) = began.get(2) {
                let late = began.iter().filter(|at| **at > *third + STABLE).count();
                assert!(
                    late <= MAX_LATE_RUNS,
                    "{}: {late} runs later than {STABLE:?} after the third crash, {} in all",
                    case.name,
                    began.len()
                );
            }
            // Host 4 sends another request, host 0 the same one for another caller.
            let mut others = vec![(4, "/safe/echo", "another")];
            others.extend(case.crashes_for.map(|_| (0, case.path, "the same")));
            for number in 0..20 {
                let id = format!("other-{number}");
                let (host, path, body) = others[number % others.len()];
                let answer = deployment.call(host, path, &id, body.as_bytes()).await;
                assert!(
                    answer.status.is_success(),
                    "{}: {}",
                    case.name,
                    answer.status
                );
            }
        });
    }
    while let Some(finished) = running.join_next().await {
        if let Err(error) = finished {
            std::panic::resume_unwind(error.into_panic());
        }
    }
}

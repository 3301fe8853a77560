//! Requests that crash each backend server that begins to run them, over loopback.

mod deployment;

use std::sync::Arc;
use std::time::{Duration, Instant};

use burdockhall::decide::relay::{CrashSuspect, Member, RequestCaller, RequestDigest};
use burdockhall::net::daemon::unix_ms;
use burdockhall::net::relay::follow::MEMBERS_TOPIC;
use deployment::{Deployment, free_address};

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

/// Time within which a request that is wrongly held back must be served again, as after a final fault.
const RECOVERY: Duration = Duration::from_secs(15);

/// Guards against RECOVER: a request that ran on two lost backend servers was held back by every daemon that had not
/// seen it end well itself, and so by all of them after a restart.
#[tokio::test]
async fn a_request_that_ends_well_is_served_by_daemons_that_start_after_crashes_beside_it() {
    const POPULAR: &str = "/safe/work.100";
    /// Numbers of the calls before which a backend server is lost for good.
    const LOST_BEFORE: [usize; 2] = [100, 250];
    // Callers are beside another service, so the daemons of lost backend servers see no good end.
    let mut deployment = Deployment::start(&["a", "a", "a", "a", "b"]).await;
    let caller = deployment.hosts.len() - 1;
    let mut calls = Vec::new();
    for number in 0..650 {
        if let Some(lost) = LOST_BEFORE.iter().position(|before| *before == number) {
            deployment.hosts[lost].worker.end();
        }
        let id = format!("popular-{number}");
        calls.push(deployment.call_later(caller, POPULAR, id));
        tokio::time::sleep(Duration::from_millis(8)).await;
    }
    for call in calls {
        // Those on a lost backend server fail.
        let _ = call.await;
    }
    deployment.add_host("b", "region").await;
    let (new, known) = (caller + 1, caller + 2);
    deployment
        .wait("the new daemon knows the others", |deployment| {
            let relay = &deployment.hosts[new].relay;
            let directory = &relay.tables().directory;
            relay.config_version() == 1 && directory.all().count() == known
        })
        .await;
    for number in 0..20 {
        let id = format!("after-{number}");
        let answer = deployment.call(new, POPULAR, &id, b"").await;
        assert!(answer.status.is_success(), "{}", answer.status);
    }
}

/// Guards against RECOVER: a request that is held back never runs, so it had no way back, also where the daemons
/// that suspected it were gone for good.
#[tokio::test]
async fn a_request_that_is_held_back_runs_on_trial_and_is_served_again() {
    let deployment = Arc::new(Deployment::start(&["a", "a", "a", "b"]).await);
    let caller = RequestCaller {
        service: "b",
        organisation: None,
    };
    let suspect = CrashSuspect {
        digest: RequestDigest::new("POST", "/safe/echo", b"the same", caller),
        crashes: 1,
        at_unix_ms: unix_ms(),
    };
    for number in 0..2 {
        let own = deployment.hosts[0].relay.own_member().expect("a record");
        let gone = Member {
            address: free_address(),
            instance: format!("i-gone-{number}"),
            suspects: vec![suspect],
            ..own
        };
        let record = serde_json::to_vec(&gone).expect("JSON");
        let key = gone.address.to_string();
        deployment.store.put(MEMBERS_TOPIC, &key, &record);
    }
    deployment
        .wait("the request is held back", |deployment| {
            let mut hosts = deployment.hosts.iter();
            hosts.all(|host| host.relay.tables().directory.is_held_back(suspect.digest))
        })
        .await;
    let mut tasks = tokio::task::JoinSet::new();
    for host in 0..deployment.hosts.len() {
        tasks.spawn(send_heartbeats(Arc::clone(&deployment), host));
    }
    let until = Instant::now() + RECOVERY;
    let (mut served, mut number) = (0, 0);
    while served < 20 {
        assert!(
            Instant::now() < until,
            "{served} served within {RECOVERY:?}"
        );
        let id = format!("again-{number}");
        let answer = deployment.call(3, "/safe/echo", &id, b"the same").await;
        served += usize::from(answer.status.is_success());
        number += 1;
        tokio::time::sleep(CALL_GAP).await;
    }
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

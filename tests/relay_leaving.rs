//! Backend servers that state in their answers that they are leaving, over loopback.

mod deployment;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use burdockhall::decide::relay::MemberState;
use burdockhall::net::daemon::unix_ms;
use deployment::Deployment;

#[tokio::test]
async fn a_backend_server_that_states_its_leaving_gets_no_request_after_the_drain_time() {
    struct Case {
        name: &'static str,
        /// Path of the request whose answer states the leaving.
        path: &'static str,
        /// Host whose relay passes on that answer; the backend server is beside host 0.
        through: usize,
        /// Whether the relay beside the backend server forgets what it has heard.
        is_forgotten: bool,
    }
    let case = |name, path, through, is_forgotten| Case {
        name,
        path,
        through,
        is_forgotten,
    };
    let cases = [
        case("over a hop", "/safe/work.10", 2, false),
        case("on its own VM", "/safe/work.10", 0, false),
        case("non-idempotent", "/once/work.10", 2, false),
        case("an error", "/once/fail_late.10", 2, false),
        case("forgotten beside it", "/safe/work.10", 2, true),
    ];
    let mut running = tokio::task::JoinSet::new();
    for case in cases {
        running.spawn(async move {
            let deployment = Deployment::start(&["a", "a", "b"]).await;
            let leaving = &deployment.hosts[0];
            leaving.worker.state(&[("Server-Leaving", "1")]);
            for number in 0..200 {
                let id = format!("first-{number}");
                deployment.call(case.through, case.path, &id, b"").await;
                if !leaving.worker.runs().is_empty() {
                    break;
                }
            }
            assert!(!leaving.worker.runs().is_empty(), "{}", case.name);
            let drain = Duration::from_secs_f64(leaving.settings.bounds.drain_s);
            let until = Instant::now() + drain;
            if case.is_forgotten {
                // As after a restart that found no record in the store.
                leaving.relay.tables().worker = None;
            }
            let local = leaving.settings.local_address;
            assert_eq!(
                leaving.worker.send_heartbeat(local, 2, "ready", 100).await,
                200
            );
            tokio::time::sleep_until(until.into()).await;
            let before = leaving.worker.runs().len();
            for number in 0..40 {
                let id = format!("late-{number}");
                let answer = deployment
                    .call(case.through, "/safe/work.10", &id, b"")
                    .await;
                assert!(
                    answer.status.is_success(),
                    "{}: {}",
                    case.name,
                    answer.status
                );
            }
            let late = leaving.worker.runs().len() - before;
            assert_eq!(late, 0, "{}: requests after the drain time", case.name);
        });
    }
    running.join_all().await;
}

#[tokio::test]
async fn a_drain_acknowledged_while_the_log_service_was_away_survives_a_restart() {
    let deployment = Deployment::start(&["a", "a", "b"]).await;
    let leaving = &deployment.hosts[0];
    let before = leaving.relay.own_member().expect("a record");
    let faults = deployment.store.faults();
    faults.down.store(true, Ordering::Relaxed);
    let local = leaving.settings.local_address;
    let status = leaving.worker.send_heartbeat(local, 2, "draining", 100);
    assert_eq!(status.await, 200);
    let address = leaving.settings.hop_address;
    deployment
        .wait("a peer knows of the drain", |deployment| {
            let tables = deployment.hosts[2].relay.tables();
            let known = tables.directory.get(address);
            known.is_some_and(|known| known.member.state != before.state)
        })
        .await;
    // A restarted daemon finds its record of before the drain in the log.
    {
        let mut tables = leaving.relay.tables();
        tables.worker = None;
        tables.directory.remove(address);
    }
    leaving.relay.merge_members(vec![before.clone()], "log");
    for number in 0..20 {
        let id = format!("after-{number}");
        deployment.call(0, "/safe/work.10", &id, b"").await;
    }
    assert_eq!(leaving.worker.runs().len(), 0);
}

/// Guards against DRAIN after a restart: a daemon confirmed the deregistration of a backend server that it
/// did not know, forgot it, and used the server again once its record or a late heartbeat had arrived.
#[tokio::test]
async fn a_deregistration_binds_a_daemon_that_learns_of_the_process_later() {
    const BORN: u64 = 100;
    enum Source {
        Log,
        Peer,
        Heartbeat,
    }
    struct Case {
        name: &'static str,
        /// What the deregistration states, if it does.
        born: Option<u64>,
        /// How the daemon learns of the process, in order.
        sources: &'static [Source],
    }
    let cases = [
        Case {
            name: "from the log",
            born: Some(BORN),
            sources: &[Source::Log],
        },
        Case {
            name: "from the log, the process is not stated",
            born: None,
            sources: &[Source::Log],
        },
        Case {
            name: "from a peer",
            born: Some(BORN),
            sources: &[Source::Peer],
        },
        Case {
            name: "from both",
            born: Some(BORN),
            sources: &[Source::Log, Source::Peer],
        },
        Case {
            name: "from a heartbeat that was on its way",
            born: Some(BORN),
            sources: &[Source::Heartbeat],
        },
        Case {
            name: "from the log, after an earlier process of the instance",
            born: Some(BORN + 50),
            sources: &[Source::Log],
        },
    ];
    let mut running = tokio::task::JoinSet::new();
    for case in cases {
        running.spawn(async move {
            let deployment = Deployment::start(&["a", "a", "b"]).await;
            let leaving = &deployment.hosts[0];
            let local = leaving.settings.local_address;
            let before = leaving.relay.own_member().expect("a record");
            // What a daemon knows that has been started again and does not reach the log service.
            {
                let mut tables = leaving.relay.tables();
                tables.worker = None;
                tables.directory.remove(before.address);
            }
            assert_eq!(leaving.worker.deregister(local, case.born).await, 200);
            for source in case.sources {
                let source = match source {
                    Source::Log => "log",
                    Source::Peer => "peer",
                    Source::Heartbeat => {
                        let late = leaving.worker.send_heartbeat(local, 2, "ready", BORN);
                        assert_eq!(late.await, 200);
                        continue;
                    }
                };
                leaving.relay.merge_members(vec![before.clone()], source);
            }
            for number in 0..20 {
                let id = format!("after-{number}");
                deployment.call(0, "/safe/work.10", &id, b"").await;
            }
            assert_eq!(leaving.worker.runs().len(), 0, "{}: runs", case.name);
            deployment
                .wait("the other daemons know of it", |deployment| {
                    let tables = deployment.hosts[2].relay.tables();
                    let known = tables.directory.get(before.address);
                    known.is_some_and(|known| known.member.state == MemberState::Gone)
                })
                .await;
            // A deregistration that does not state its process is about any started before it.
            let next = leaving.worker.send_heartbeat(local, 1, "ready", unix_ms());
            assert_eq!(next.await, 200);
            let tables = leaving.relay.tables();
            let worker = tables.worker.as_ref().expect("a backend server");
            assert_eq!(
                worker.state,
                MemberState::Ready,
                "{}: next process",
                case.name
            );
        });
    }
    running.join_all().await;
}

/// Guards against a backend server that gets no requests: the deregistration of an earlier process of its
/// instance arrived late and removed it.
#[tokio::test]
async fn a_deregistration_of_an_earlier_process_leaves_the_present_one_in_use() {
    let deployment = Deployment::start(&["a", "b"]).await;
    let host = &deployment.hosts[0];
    let local = host.settings.local_address;
    let next = host.worker.send_heartbeat(local, 1, "ready", 200);
    assert_eq!(next.await, 200);
    assert_eq!(host.worker.deregister(local, Some(100)).await, 200);
    let tables = host.relay.tables();
    let worker = tables.worker.as_ref().expect("a backend server");
    assert_eq!(worker.state, MemberState::Ready);
}

/// Guards against DRAIN: a drain that the daemon ignores, since it seems to come from an earlier process, was
/// confirmed all the same.
#[tokio::test]
async fn a_drain_that_is_not_kept_is_not_confirmed() {
    let deployment = Deployment::start(&["a", "b"]).await;
    let host = &deployment.hosts[0];
    let local = host.settings.local_address;
    let earlier = host.worker.send_heartbeat(local, 2, "draining", 50);
    assert_eq!(earlier.await, 409);
    let present = host.worker.send_heartbeat(local, 2, "draining", 100);
    assert_eq!(present.await, 200);
}

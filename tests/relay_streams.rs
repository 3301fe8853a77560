//! Answers whose bodies arrive long after their heads, over loopback: a request lasts until the last
//! byte of its answer.

mod deployment;

use std::sync::Arc;

use deployment::{Deployment, config, route};

const PATHS: [&str; 3] = [
    "/once/stream",
    "/once/stream_known",
    "/once/stream_unframed",
];

/// Guards against LOST around a planned stop: the daemon ended although answers still arrived.
#[tokio::test]
async fn a_planned_stop_waits_for_answers_that_stream() {
    struct Case {
        name: &'static str,
        /// The host that callers use.
        entry: usize,
        /// The host that is stopped.
        stopped: usize,
    }
    let cases = [
        Case {
            name: "at the entry, over a hop",
            entry: 1,
            stopped: 1,
        },
        Case {
            name: "at the entry, beside the backend server",
            entry: 0,
            stopped: 0,
        },
        Case {
            name: "beside the backend server, over a hop",
            entry: 1,
            stopped: 0,
        },
    ];
    let mut running = tokio::task::JoinSet::new();
    for case in cases {
        running.spawn(async move {
            let deployment = Arc::new(long_requests().await);
            let calls = start_calls(&deployment, case.entry, 4_000).await;
            let unfinished = deployment.stop(case.stopped).await;
            // The process ends here, and with it every connection.
            for (path, call) in PATHS.iter().zip(calls) {
                assert!(call.is_finished(), "{}, {path}: cut", case.name);
                let answer: deployment::Answer = call.await.expect("the caller does not panic");
                let is_whole = answer.body.is_some();
                assert!(is_whole, "{}, {path}: not whole", case.name);
            }
            assert_eq!(unfinished, 0, "{}", case.name);
        });
    }
    while let Some(finished) = running.join_next().await {
        if let Err(error) = finished {
            std::panic::resume_unwind(error.into_panic());
        }
    }
}

/// Guards against work without a slot: a backend server that still sent an answer counted as free, and
/// the calls that it made meanwhile as requests of callers.
#[tokio::test]
async fn a_run_keeps_its_slot_until_the_last_byte_of_its_answer() {
    let deployment = Arc::new(long_requests().await);
    let calls = start_calls(&deployment, 1, 1_000).await;
    let (entry, executor) = (&deployment.hosts[1].relay, &deployment.hosts[0].relay);
    let has_slots = |slots: usize| {
        let tables = executor.tables();
        tables.admission.running() as usize == slots && tables.running.len() == slots
    };
    assert!(has_slots(PATHS.len()), "while the answers stream");
    for call in calls {
        let answer = call.await.expect("the caller does not panic");
        assert!(answer.body.is_some());
    }
    let is_idle = |_: &Deployment| has_slots(0);
    deployment.wait("all slots are free", is_idle).await;
    let open = &entry.open_requests;
    let is_closed = |_: &Deployment| open.load(std::sync::atomic::Ordering::Relaxed) == 0;
    deployment.wait("no request is open", is_closed).await;
}

/// A backend server of service `a` beside host 0, and routes that give requests a long time.
async fn long_requests() -> Deployment {
    let deployment = Deployment::start(&["a", "b"]).await;
    let mut routes = [route("once", "/once/", "unsafe", "a")];
    routes[0]["timeoutS"] = 10.into();
    deployment.configure(2, &config(2, &routes)).await;
    deployment
}

/// Sends a request to each of the paths, and returns once the heads of all answers have arrived beside the
/// backend server.
async fn start_calls(
    deployment: &Arc<Deployment>,
    entry: usize,
    duration_ms: u64,
) -> Vec<tokio::task::JoinHandle<deployment::Answer>> {
    let call = |path: &'static str| {
        let deployment = Arc::clone(deployment);
        tokio::spawn(async move {
            let path = format!("{path}.{duration_ms}");
            let long = [("x-deadline-ms", "8000")];
            deployment.call_as(entry, &path, &path, None, &long).await
        })
    };
    let calls = PATHS.map(call);
    deployment
        .wait("all answers have begun", |deployment| {
            let metrics = deployment.hosts[entry].relay.metrics.render();
            let metrics = metrics.expect("metrics");
            metrics.contains("burdockhall_relay_answers_total{status=\"200\"} 3")
        })
        .await;
    calls.into()
}

/// Guards against MIXED: a backend server crashed while it sent an answer that ends with its connection, and callers
/// got what had arrived as a whole success in chunks.
#[tokio::test]
async fn an_answer_without_a_length_is_not_whole_if_its_backend_server_crashes() {
    struct Case {
        path: &'static str,
        is_whole: bool,
    }
    let cases = [
        Case {
            path: "/once/stream_unframed.300",
            is_whole: true,
        },
        Case {
            path: "/once/unframed",
            is_whole: true,
        },
        Case {
            path: "/once/crash_stream_unframed.300",
            is_whole: false,
        },
        Case {
            path: "/safe/crash_stream_unframed.300",
            is_whole: false,
        },
    ];
    for entry in [0, 1] {
        for case in &cases {
            let deployment = Deployment::start(&["a", "b"]).await;
            let answer = deployment.call(entry, case.path, "r", b"text").await;
            let name = format!("{}, entry {entry}", case.path);
            assert!(answer.status.is_success(), "{name}: {}", answer.status);
            assert_eq!(answer.body.is_some(), case.is_whole, "{name}");
        }
    }
}

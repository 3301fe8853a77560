//! End-to-end tests over loopback: callers and real relays, with stand-ins for the platform's
//! store and for its backend servers, which can misbehave.

mod deployment;

use std::sync::atomic::Ordering;
use std::time::Duration;

use burdockhall::decide::relay::{Member, MemberState};
use burdockhall::net::http;
use bytes::Bytes;
use deployment::{
    CONFIG_TOPIC, Deployment, Host, config, hop_request, route, send, standard_config,
};
use http_body_util::Full;
use hyper::{Request, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

#[tokio::test]
async fn each_outcome_at_a_backend_server_is_reported_correctly() {
    struct Case {
        name: &'static str,
        path: &'static str,
        status: u16,
        /// How often the request ran.
        runs: usize,
        is_whole: bool,
        body_bytes: usize,
    }
    let case = |name, path, status, runs| Case {
        name,
        path,
        status,
        runs,
        is_whole: true,
        body_bytes: 4,
    };
    let cases = [
        case("idempotent", "/safe/echo", 200, 1),
        case("non-idempotent", "/once/echo", 200, 1),
        case("server error is retried", "/safe/fail", 500, 2),
        case("server error is passed on", "/once/fail", 500, 1),
        case("idempotent, shed by all", "/safe/shed", 503, 0),
        case("non-idempotent, shed by all", "/once/shed", 503, 0),
        case("lost answer is retried", "/safe/lose", 502, 2),
        case("lost answer is unknown", "/once/lose", 502, 1),
        case("unsigned success is unknown", "/once/unsigned", 502, 1),
        case("unsigned 503 is unknown", "/once/false503", 502, 1),
        case("answer without a length", "/safe/unframed", 200, 1),
        case("truncated short answer, retried", "/safe/cut", 502, 2),
        case("truncated short answer, unknown", "/once/cut", 502, 1),
        Case {
            is_whole: false,
            body_bytes: 200_000,
            ..case("idempotent, truncated long answer", "/safe/cut", 200, 1)
        },
        Case {
            is_whole: false,
            body_bytes: 200_000,
            ..case("non-idempotent, truncated long answer", "/once/cut", 200, 1)
        },
    ];
    let deployment = Deployment::start(&["a", "a", "b"]).await;
    for (number, case) in cases.iter().enumerate() {
        // Over a hop from a host of another service, and from a host of the service itself.
        for host in [2, 0] {
            let id = format!("ending-{number}-{host}");
            let body = vec![b'x'; case.body_bytes];
            let answer = deployment.call(host, case.path, &id, &body).await;
            let name = format!("{} from host {host}", case.name);
            assert_eq!(answer.status.as_u16(), case.status, "{name}");
            assert_eq!(deployment.runs(&id), case.runs, "{name}");
            assert_eq!(answer.headers["x-request-id"], id.as_str(), "{name}");
            let has_body = answer.status.is_success() && case.is_whole;
            if has_body {
                assert_eq!(answer.body.as_deref(), Some(&body[..]), "{name}");
                assert_eq!(
                    answer.headers["x-response-signature"], "stand-in.1",
                    "{name}"
                );
            }
            assert!(
                case.is_whole || answer.body.is_none(),
                "{name}: the truncated answer was accepted as complete"
            );
            if answer.status == StatusCode::SERVICE_UNAVAILABLE {
                assert!(answer.headers.contains_key("retry-after"), "{name}");
            }
        }
    }
}

#[tokio::test]
async fn unroutable_unidentified_and_oversized_requests_are_rejected() {
    struct Case {
        name: &'static str,
        host: &'static str,
        path: &'static str,
        id: Option<&'static str>,
        body_bytes: usize,
        status: u16,
    }
    let cases = [
        Case {
            name: "no such path",
            host: "calls.example",
            path: "/none/echo",
            id: Some("own-1"),
            body_bytes: 0,
            status: 404,
        },
        Case {
            name: "no such host",
            host: "else.example",
            path: "/safe/echo",
            id: Some("own-2"),
            body_bytes: 0,
            status: 404,
        },
        Case {
            name: "no id",
            host: "calls.example",
            path: "/safe/echo",
            id: None,
            body_bytes: 0,
            status: 400,
        },
        Case {
            name: "too large",
            host: "calls.example",
            path: "/safe/echo",
            id: Some("own-3"),
            body_bytes: 4_194_305,
            status: 413,
        },
        Case {
            name: "as large as allowed",
            host: "calls.example",
            path: "/safe/echo",
            id: Some("own-4"),
            body_bytes: 4_194_304,
            status: 200,
        },
    ];
    let deployment = Deployment::start(&["a", "b"]).await;
    for case in cases {
        let body = vec![7; case.body_bytes];
        for host in [0, 1] {
            let address = deployment.hosts[host].settings.callers_address;
            let answer = send(address, case.host, case.path, case.id, &body).await;
            assert_eq!(
                answer.status.as_u16(),
                case.status,
                "{} host {host}",
                case.name
            );
            if answer.status.is_success() {
                assert_eq!(answer.body.map(|body| body.len()), Some(case.body_bytes));
            }
        }
    }
}

#[tokio::test]
async fn headers_name_the_instance_and_the_calling_service() {
    let deployment = Deployment::start(&["a", "b"]).await;
    deployment.call(1, "/once/echo", "headers", b"").await;
    let runs = deployment.hosts[0].worker.runs();
    let headers = &runs[0].headers;
    assert_eq!(runs[0].line, "POST /once/echo HTTP/1.1");
    assert_eq!(headers["x-expect-instance"], "i-0");
    assert_eq!(
        headers["x-caller-service"], "b",
        "the caller's own header must be replaced"
    );
    let left_ms: u64 = headers["x-deadline-ms"].parse().expect("a number");
    assert!(
        left_ms <= 3_000,
        "{left_ms} ms are more than the caller's timeout"
    );
    let own = headers.keys().find(|name| name.starts_with("burdockhall"));
    assert_eq!(
        own, None,
        "an internal header of the daemons reached the backend server"
    );
}

#[tokio::test]
async fn a_duplicate_answer_is_never_taken_for_another_request() {
    let deployment = Deployment::start(&["a", "b"]).await;
    for number in 0..40 {
        let id = format!("twice-{number}");
        // The second answer comes at once, or when the answer to the next request is due; it names
        // its request or not.
        let path = [
            "/safe/twice",
            "/safe/late",
            "/safe/late_unnamed",
            "/safe/late_refusal",
        ][number % 4];
        let answer = deployment.call(1, path, &id, b"").await;
        assert_eq!(answer.body.as_deref(), Some(&b"first"[..]));
        let id = format!("after-{number}");
        let answer = deployment.call(1, "/once/echo", &id, id.as_bytes()).await;
        // The late answer may make this request fail, but must never be taken for its answer.
        if answer.status.is_success() {
            assert_eq!(answer.body.as_deref(), Some(id.as_bytes()));
        } else {
            assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{path}");
        }
        assert!(deployment.runs(&id) <= 1);
    }
}

#[tokio::test]
async fn a_new_instance_at_an_address_gets_no_request_for_the_old_one() {
    let deployment = Deployment::start(&["a", "b"]).await;
    let host = &deployment.hosts[0];
    host.worker.set_instance("i-new");
    let answer = deployment.call(1, "/once/echo", "replaced", b"").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(deployment.runs("replaced"), 0);
    assert_eq!(
        host.worker.misdirected(),
        1,
        "the new instance got one request and refused it"
    );
    let local = host.settings.local_address;
    assert_eq!(
        host.worker.send_heartbeat(local, 1, "ready", 200).await,
        200
    );
    deployment
        .wait("the new instance is known", |deployment| {
            let tables = deployment.hosts[1].relay.tables();
            let address = deployment.hosts[0].settings.hop_address;
            let known = tables.directory.get(address);
            known.is_some_and(|known| known.member.instance == "i-new")
        })
        .await;
    // The worker is skipped for 700 ms after the refusal.
    tokio::time::sleep(Duration::from_millis(800)).await;
    let answer = deployment.call(1, "/once/echo", "anew", b"").await;
    assert_eq!(answer.status, StatusCode::OK);
}

#[tokio::test]
async fn a_leaving_backend_server_gets_no_request_after_the_drain_time() {
    for method in ["draining", "deregister"] {
        let deployment = Deployment::start(&["a", "a", "b"]).await;
        let host = &deployment.hosts[0];
        let local = host.settings.local_address;
        let status = match method {
            "draining" => host.worker.send_heartbeat(local, 2, "draining", 100).await,
            _ => host.worker.deregister(local, None).await,
        };
        assert_eq!(status, 200, "{method}");
        let drain_ms = (host.settings.bounds.drain_s * 1_000.0) as u64;
        tokio::time::sleep(Duration::from_millis(drain_ms)).await;
        let before = host.worker.runs().len();
        for number in 0..20 {
            let id = format!("{method}-{number}");
            let answer = deployment.call(number % 3, "/once/echo", &id, b"").await;
            assert_eq!(answer.status, StatusCode::OK, "{method} {number}");
        }
        // A hop request from a daemon that does not know that the server is leaving is not run either.
        send_hop(host, method, method).await;
        assert_eq!(host.worker.runs().len(), before, "{method}");
    }
}

#[tokio::test]
async fn invalid_heartbeats_change_nothing() {
    let deployment = Deployment::start(&["a", "b"]).await;
    let host = &deployment.hosts[0];
    let address = host.settings.local_address;
    let bodies: [&[u8]; 4] = [
        b"{",
        b"{\"address\":5}",
        b"{\"address\":\"10.0.0.1:1\",\"info\":{\"service\":\"a\",\"slots\":3},\"status\":{\"state\":\"ready\",\"seq\":9}}",
        b"\xff\xfe",
    ];
    for body in bodies {
        let path = "/rpc?call=instances.heartbeat&of=i-forged";
        let answer = send(address, "x", path, None, body).await;
        assert_eq!(answer.status, StatusCode::BAD_REQUEST);
    }
    let answer = deployment.call(1, "/once/echo", "still", b"").await;
    assert_eq!(answer.status, StatusCode::OK);
}

#[tokio::test]
async fn only_a_newer_valid_configuration_takes_effect() {
    let deployment = Deployment::start(&["a", "b"]).await;
    let put = |record: &str| {
        deployment
            .store
            .put(CONFIG_TOPIC, "config", record.as_bytes());
    };
    let newer = config(7, &[route("moved", "/safe/", "safe", "b")]);
    put(&newer.to_string());
    let in_force = |version| {
        move |deployment: &Deployment| {
            let mut hosts = deployment.hosts.iter();
            hosts.all(|host| host.relay.config_version() == version)
        }
    };
    deployment.wait("version 7", in_force(7)).await;
    let answer = deployment.call(0, "/safe/echo", "moved", b"").await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(
        deployment.hosts[1].worker.runs().len(),
        1,
        "the route has moved to b"
    );
    put(&standard_config(3).to_string());
    put(&newer.to_string()[..100]);
    let unknown = config(9, &[route("bad", "/safe/", "safe", "nowhere")]);
    put(&unknown.to_string());
    let negative = config(
        9,
        &[{
            let mut route = route("bad", "/safe/", "safe", "a");
            route["timeoutS"] = (-1).into();
            route
        }],
    );
    put(&negative.to_string());
    deployment.store.expire_history(CONFIG_TOPIC);
    put(&config(8, &[route("back", "/safe/", "safe", "a")]).to_string());
    deployment.wait("version 8", in_force(8)).await;
}

#[tokio::test]
async fn requests_are_served_while_the_store_is_down() {
    let deployment = Deployment::start(&["a", "a", "b"]).await;
    let down = &deployment.store.faults().down;
    down.store(true, Ordering::Relaxed);
    // While the store is unavailable, daemons push a change to each other.
    let host = &deployment.hosts[0];
    host.worker.set_instance("i-later");
    let status = host
        .worker
        .send_heartbeat(host.settings.local_address, 1, "ready", 300)
        .await;
    assert_eq!(status, 200, "acknowledged without the store");
    deployment
        .wait("the change is known without the store", |deployment| {
            let address = deployment.hosts[0].settings.hop_address;
            deployment.hosts.iter().all(|host| {
                let tables = host.relay.tables();
                let known = tables.directory.get(address);
                known.is_some_and(|known| known.member.instance == "i-later")
            })
        })
        .await;
    for number in 0..10 {
        let id = format!("away-{number}");
        let answer = deployment.call(number % 3, "/once/echo", &id, b"").await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    down.store(false, Ordering::Relaxed);
    let record = standard_config(5).to_string();
    deployment
        .store
        .put(CONFIG_TOPIC, "config", record.as_bytes());
    deployment
        .wait("the store is followed again", |deployment| {
            let mut hosts = deployment.hosts.iter();
            hosts.all(|host| host.relay.config_version() == 5)
        })
        .await;
}

#[tokio::test]
async fn a_stopping_daemon_finishes_requests_in_flight_and_others_take_over() {
    let deployment = Deployment::start(&["a", "a"]).await;
    let slow = deployment.call(0, "/once/slow", "slow", b"");
    let stop = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let ready = deployment.hosts[0].settings.ready_address;
        let before = send(ready, "x", "/ready", None, b"").await.status;
        let stopped = deployment.stop(0);
        let during = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            let during = send(ready, "x", "/ready", None, b"").await.status;
            let late = deployment.call(0, "/once/echo", "late", b"").await.status;
            (during, late)
        };
        let (unfinished, (during, late)) = tokio::join!(stopped, during);
        (before, during, late, unfinished)
    };
    let (slow, (before, during, late, unfinished)) = tokio::join!(slow, stop);
    assert_eq!(
        slow.status,
        StatusCode::OK,
        "the request in flight is answered"
    );
    assert_eq!(before, StatusCode::OK);
    assert_eq!(during, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(
        late,
        StatusCode::OK,
        "callers that have not switched yet are still served"
    );
    assert_eq!(unfinished, 0);
    assert_eq!(deployment.runs("slow") + deployment.runs("late"), 2);
}

#[tokio::test]
async fn a_caller_that_disconnects_cancels_its_run() {
    let deployment = Deployment::start(&["a", "b"]).await;
    let worker = &deployment.hosts[0].worker;
    // Over a hop, and at the backend server on the caller's own VM.
    for (number, host) in [1, 0].into_iter().enumerate() {
        let id = format!("leaves-{host}");
        let call = deployment.call(host, "/safe/slow", &id, b"");
        // The run takes one second, so without cancellation it ends 500 ms after the caller leaves.
        let left = tokio::time::timeout(Duration::from_millis(500), call).await;
        assert!(left.is_err(), "the caller has left before the answer");
        deployment
            .wait("the run is cancelled before its end", |_| {
                worker.abandoned() as usize > number
            })
            .await;
    }
}

#[tokio::test]
async fn a_key_queried_before_its_request_arrives_never_runs() {
    let deployment = Deployment::start(&["a", "b"]).await;
    let host = &deployment.hosts[0];
    let query = r#"{"key":"k-1","left_ms":100}"#;
    let hop = host.settings.hop_address;
    let answer = send(hop, "x", "/burdockhall/settle", None, query.as_bytes()).await;
    let reply = answer.headers["burdockhall-reply"].to_str().expect("text");
    assert!(reply.contains("fenced"), "{reply}");
    for (key, runs) in [("k-1", 0), ("k-2", 1), ("k-2", 1)] {
        send_hop(host, key, "copy").await;
        assert_eq!(deployment.runs("copy"), runs, "{key}");
    }
}

/// Sends a hop request directly to the daemon beside a backend server, as another daemon does.
async fn send_hop(host: &Host, key: &str, id: &str) {
    let hop_request = hop_request(&host.worker.instance(), Some(key), 2_000);
    let hop = host.settings.hop_address;
    let request = Request::post(format!("http://{hop}/once/echo"))
        .header(
            "burdockhall-hop",
            serde_json::to_vec(&hop_request).expect("JSON"),
        )
        .header("x-request-id", id)
        .body(Full::new(Bytes::new()))
        .expect("a request");
    let sent = http::exchange(&http::client(0), hop, request, 2_000).await;
    sent.expect("an answer");
}

/// A failed nested call has already been retried. Retrying its parent as well would multiply the
/// retries at each service of the chain.
#[tokio::test]
async fn a_request_with_a_failed_nested_call_is_not_retried() {
    struct Case {
        call: &'static str,
        /// How often the parent request ran.
        runs: usize,
    }
    let cases = [
        Case {
            call: "/other/fail",
            runs: 1,
        },
        Case {
            call: "/other/shed",
            runs: 1,
        },
        Case {
            call: "/other/echo",
            runs: 2,
        },
        // Breaks off after the head of its answer, and ends its backend server.
        Case {
            call: "/other/crash_stream.100",
            runs: 1,
        },
    ];
    let deployment = Deployment::start(&["a", "a", "b"]).await;
    for (number, case) in cases.iter().enumerate() {
        let id = format!("above-{number}");
        let parent = deployment.call(2, "/safe/fail_late.300", &id, b"");
        let nested = async {
            let runs_here =
                |host: &Host| host.worker.runs().iter().any(|run| run.has_request_id(&id));
            let started = |deployment: &Deployment| deployment.hosts.iter().any(runs_here);
            deployment.wait("the parent request", started).await;
            let host = deployment.hosts.iter().position(runs_here).expect("a host");
            let call_id = format!("{id}.1");
            deployment.call(host, case.call, &call_id, b"").await;
        };
        let (answer, ()) = tokio::join!(parent, nested);
        assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!(deployment.runs(&id), case.runs, "{}", case.call);
    }
}

/// Accepts connections until one carries this request; others are exchanges of states between daemons.
async fn accept_of(listener: &TcpListener, request: &str) -> TcpStream {
    loop {
        let (connection, _) = listener.accept().await.expect("a connection");
        let mut head = vec![0; request.len()];
        let read = connection.peek(&mut head).await.expect("a request");
        if head[..read] == *request.as_bytes() {
            return connection;
        }
    }
}

/// Guards against a false "not run": a daemon that is asked for the outcome of a request unknown
/// to it reports the request as fenced. If it was started after the request was sent, its
/// predecessor may have run the request, so the outcome is unknown.
#[tokio::test]
async fn a_restarted_daemon_proves_nothing_about_earlier_requests() {
    struct Case {
        name: &'static str,
        up_ms: Option<u64>,
        status: StatusCode,
    }
    let cases = [
        Case {
            name: "started long before",
            up_ms: Some(60_000),
            status: StatusCode::SERVICE_UNAVAILABLE,
        },
        Case {
            name: "just started",
            up_ms: Some(3),
            status: StatusCode::BAD_GATEWAY,
        },
        Case {
            name: "no uptime in the answer",
            up_ms: None,
            status: StatusCode::BAD_GATEWAY,
        },
    ];
    let deployment = Deployment::start(&["a"]).await;
    let once = route("once-b", "/once-b/", "unsafe", "b");
    let record = config(2, &[once]).to_string();
    deployment
        .store
        .put(CONFIG_TOPIC, "config", record.as_bytes());
    let in_force = |deployment: &Deployment| deployment.hosts[0].relay.config_version() == 2;
    deployment.wait("the route", in_force).await;
    for (number, case) in cases.iter().enumerate() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let up = case
            .up_ms
            .map_or(String::new(), |up_ms| format!(",\"u\":{up_ms}"));
        tokio::spawn(async move {
            // Accepts the request, sleeps longer than the uptime of the second case and closes the
            // connection.
            let first = accept_of(&listener, "POST /once-b/").await;
            tokio::time::sleep(Duration::from_millis(20)).await;
            drop(first);
            let mut second = accept_of(&listener, "POST /burdockhall/settle").await;
            let mut query = vec![0; 4_096];
            let _ = second.read(&mut query).await;
            let outcome = r#"{"not_run":{"reason":"fenced","retry_after_ms":0,"arrived":false}}"#;
            let reply = format!("{{\"o\":{outcome},\"r\":0,\"w\":0,\"l\":8,\"m\":1,\"v\":2{up}}}");
            let answer = format!(
                "HTTP/1.1 202 Accepted\r\nburdockhall-reply: {reply}\r\ncontent-length: 0\r\n\r\n"
            );
            let _ = second.write_all(answer.as_bytes()).await;
            read_until_closed(second).await;
        });
        let member = Member {
            address,
            revision: 1,
            place: deployment.hosts[0].settings.place.clone(),
            service: "b".into(),
            instance: format!("i-stub-{number}"),
            born_unix_ms: 1,
            slots: 8,
            suspects: Vec::new(),
            reviews: Vec::new(),
            state: MemberState::Ready,
        };
        deployment.hosts[0]
            .relay
            .merge_members(vec![member.clone()], "test");
        let answer = deployment
            .call(0, "/once-b/echo", &format!("again-{number}"), b"")
            .await;
        assert_eq!(answer.status, case.status, "{}", case.name);
        let gone = Member {
            revision: 2,
            state: MemberState::Gone,
            ..member
        };
        deployment.hosts[0].relay.merge_members(vec![gone], "test");
    }
}

/// Keeps a connection open until the other side closes it.
async fn read_until_closed(mut stream: TcpStream) {
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest).await;
}

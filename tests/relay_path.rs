//! The whole path over loopback: callers, real relays, stand-ins of the platform's store and of
//! its backend servers with what they may do wrong.

mod deployment;

use std::sync::atomic::Ordering;
use std::time::Duration;

use burdockhall::decide::relay::{Member, MemberState, RootRequest};
use burdockhall::net::http;
use burdockhall::net::relay::hop::HopRequest;
use bytes::Bytes;
use deployment::{CONFIG_TOPIC, Deployment, Host, config, route, send, standard_config};
use http_body_util::Full;
use hyper::{Request, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

#[tokio::test]
async fn each_ending_at_a_backend_server_is_told_truly() {
    struct Case {
        name: &'static str,
        path: &'static str,
        status: u16,
        /// How often it ran.
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
        case("repeatable", "/safe/echo", 200, 1),
        case("once", "/once/echo", 200, 1),
        case("a failure is repeated", "/safe/fail", 500, 2),
        case("a failure is passed on", "/once/fail", 500, 1),
        case("shed by all is not run", "/safe/shed", 503, 0),
        case("shed by all is not run, once", "/once/shed", 503, 0),
        case("a lost answer is repeated", "/safe/lose", 502, 2),
        case("a lost answer is unknown", "/once/lose", 502, 1),
        case("no signature is no success", "/once/unsigned", 502, 1),
        case("a 503 that has run is no promise", "/once/false503", 502, 1),
        case("without a length", "/safe/unframed", 200, 1),
        case("a short answer cut short is repeated", "/safe/cut", 502, 2),
        case("a short answer cut short is unknown", "/once/cut", 502, 1),
        Case {
            is_whole: false,
            body_bytes: 200_000,
            ..case("a long answer is cut short", "/safe/cut", 200, 1)
        },
        Case {
            is_whole: false,
            body_bytes: 200_000,
            ..case("a long answer is cut short, once", "/once/cut", 200, 1)
        },
    ];
    let deployment = Deployment::start(&["a", "a", "b"]).await;
    for (number, case) in cases.iter().enumerate() {
        // From a host whose own backend server is of another service, and from one's own.
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
                "{name}: cut short yet whole"
            );
            if answer.status == StatusCode::SERVICE_UNAVAILABLE {
                assert!(answer.headers.contains_key("retry-after"), "{name}");
            }
        }
    }
}

#[tokio::test]
async fn what_the_daemon_answers_itself() {
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
async fn headers_name_the_run_and_the_calling_service() {
    let deployment = Deployment::start(&["a", "b"]).await;
    deployment.call(1, "/once/echo", "headers", b"").await;
    let runs = deployment.hosts[0].worker.runs();
    let headers = &runs[0].headers;
    assert_eq!(runs[0].line, "POST /once/echo HTTP/1.1");
    assert_eq!(headers["x-expect-instance"], "i-0");
    assert_eq!(
        headers["x-caller-service"], "b",
        "not what the caller forged"
    );
    let left_ms: u64 = headers["x-deadline-ms"].parse().expect("a number");
    assert!(
        left_ms <= 3_000,
        "{left_ms} ms are more than the caller waits"
    );
    let own = headers.keys().find(|name| name.starts_with("burdockhall"));
    assert_eq!(
        own, None,
        "a header of the daemons reached the backend server"
    );
}

#[tokio::test]
async fn a_second_answer_belongs_to_no_request() {
    let deployment = Deployment::start(&["a", "b"]).await;
    for number in 0..20 {
        let id = format!("twice-{number}");
        // At once, or where the answer to the next request is due.
        let path = ["/safe/twice", "/safe/late"][number % 2];
        let answer = deployment.call(1, path, &id, b"").await;
        assert_eq!(answer.body.as_deref(), Some(&b"first"[..]));
        let id = format!("after-{number}");
        let answer = deployment.call(1, "/once/echo", &id, id.as_bytes()).await;
        // The late answer may cost this one its own; it must never be taken for it.
        if answer.status.is_success() {
            assert_eq!(answer.body.as_deref(), Some(id.as_bytes()));
        } else {
            assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
        }
        assert!(deployment.runs(&id) <= 1);
    }
}

#[tokio::test]
async fn another_run_at_the_address_gets_nothing_meant_for_the_last() {
    let deployment = Deployment::start(&["a", "b"]).await;
    let host = &deployment.hosts[0];
    host.worker.become_instance("i-new");
    let answer = deployment.call(1, "/once/echo", "replaced", b"").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(deployment.runs("replaced"), 0);
    assert_eq!(
        host.worker.misdirected(),
        1,
        "it was asked once and has refused"
    );
    let local = host.settings.local_address;
    assert_eq!(host.worker.beat(local, 1, "ready", 200).await, 200);
    deployment
        .wait("the new run is known", |deployment| {
            let tables = deployment.hosts[1].relay.tables();
            let address = deployment.hosts[0].settings.hop_address;
            let known = tables.directory.get(address);
            known.is_some_and(|known| known.member.instance == "i-new")
        })
        .await;
    // The worker was avoided for a moment.
    tokio::time::sleep(Duration::from_millis(800)).await;
    let answer = deployment.call(1, "/once/echo", "anew", b"").await;
    assert_eq!(answer.status, StatusCode::OK);
}

#[tokio::test]
async fn a_leaving_backend_server_gets_nothing_once_it_is_acknowledged_and_its_time_is_up() {
    for leaves in ["draining", "deregister"] {
        let deployment = Deployment::start(&["a", "a", "b"]).await;
        let host = &deployment.hosts[0];
        let local = host.settings.local_address;
        let status = match leaves {
            "draining" => host.worker.beat(local, 2, "draining", 100).await,
            _ => host.worker.deregister(local).await,
        };
        assert_eq!(status, 200, "{leaves}");
        let drain_ms = (host.settings.bounds.drain_s * 1_000.0) as u64;
        tokio::time::sleep(Duration::from_millis(drain_ms)).await;
        let before = host.worker.runs().len();
        for number in 0..20 {
            let id = format!("{leaves}-{number}");
            let answer = deployment.call(number % 3, "/once/echo", &id, b"").await;
            assert_eq!(answer.status, StatusCode::OK, "{leaves} {number}");
        }
        // Not even from a daemon that has not heard of it.
        hop_directly(host, leaves, leaves).await;
        assert_eq!(host.worker.runs().len(), before, "{leaves}");
    }
}

#[tokio::test]
async fn heartbeats_that_cannot_be_used_change_nothing() {
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
async fn the_newest_configuration_is_in_force_and_never_an_older_or_a_damaged_one() {
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
    deployment.store.forget_history(CONFIG_TOPIC);
    put(&config(8, &[route("back", "/safe/", "safe", "a")]).to_string());
    deployment.wait("version 8", in_force(8)).await;
}

#[tokio::test]
async fn without_the_store_the_last_configuration_and_members_serve_on() {
    let deployment = Deployment::start(&["a", "a", "b"]).await;
    let down = &deployment.store.faults().down;
    down.store(true, Ordering::Relaxed);
    // A change while the store is away reaches the others from daemon to daemon.
    let host = &deployment.hosts[0];
    host.worker.become_instance("i-later");
    let status = host
        .worker
        .beat(host.settings.local_address, 1, "ready", 300)
        .await;
    assert_eq!(status, 200, "the daemon's own word is its acknowledgement");
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
async fn a_daemon_that_stops_finishes_what_it_has_and_others_take_over() {
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
    assert_eq!(slow.status, StatusCode::OK, "what it had is answered");
    assert_eq!(before, StatusCode::OK);
    assert_eq!(during, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(
        late,
        StatusCode::OK,
        "callers that have not moved yet are still served"
    );
    assert_eq!(unfinished, 0);
    assert_eq!(deployment.runs("slow") + deployment.runs("late"), 2);
}

#[tokio::test]
async fn a_caller_that_leaves_ends_the_work_for_it_within_half_a_second() {
    let deployment = Deployment::start(&["a", "b"]).await;
    let worker = &deployment.hosts[0].worker;
    // Over a hop, and at the worker beside the entry.
    for (number, host) in [1, 0].into_iter().enumerate() {
        let id = format!("leaves-{host}");
        let call = deployment.call(host, "/safe/slow", &id, b"");
        // The run takes a second, so that it would end by itself half a second later.
        let left = tokio::time::timeout(Duration::from_millis(500), call).await;
        assert!(left.is_err(), "the caller has left before the answer");
        deployment
            .wait("the run is given up before its end", |_| {
                worker.abandoned() as usize > number
            })
            .await;
    }
}

#[tokio::test]
async fn a_key_that_was_asked_for_before_it_came_never_runs() {
    let deployment = Deployment::start(&["a", "b"]).await;
    let host = &deployment.hosts[0];
    let question = r#"{"key":"k-1","left_ms":100}"#;
    let hop = host.settings.hop_address;
    let answer = send(hop, "x", "/burdockhall/settle", None, question.as_bytes()).await;
    let reply = answer.headers["burdockhall-reply"].to_str().expect("text");
    assert!(reply.contains("fenced"), "{reply}");
    for (key, runs) in [("k-1", 0), ("k-2", 1), ("k-2", 1)] {
        hop_directly(host, key, "copy").await;
        assert_eq!(deployment.runs("copy"), runs, "{key}");
    }
}

/// Sends a request to the daemon beside a backend server as another daemon does.
async fn hop_directly(host: &Host, key: &str, id: &str) {
    let order = HopRequest {
        key: Some(key.to_owned()),
        instance: host.worker.instance(),
        route: "once".into(),
        left_ms: 2_000,
        root: RootRequest {
            route: "once".into(),
            priority: 0,
            admitted: 1.0,
        },
        is_call: false,
        is_repeat: false,
        is_first: true,
        config: 1,
    };
    let hop = host.settings.hop_address;
    let request = Request::post(format!("http://{hop}/once/echo"))
        .header("burdockhall-hop", serde_json::to_vec(&order).expect("JSON"))
        .header("x-request-id", id)
        .body(Full::new(Bytes::new()))
        .expect("a request");
    let sent = http::exchange(&http::client(0), hop, request, 2_000).await;
    sent.expect("an answer");
}

/// A failed call has had its own repeats further down: to run the request above it again would
/// multiply them at each service of the chain.
#[tokio::test]
async fn a_request_whose_call_has_failed_is_not_run_again() {
    struct Case {
        call: &'static str,
        /// How often the request above the call ran.
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
    ];
    let deployment = Deployment::start(&["a", "a", "b"]).await;
    for (number, case) in cases.iter().enumerate() {
        let id = format!("above-{number}");
        let above = deployment.call(2, "/safe/fail_late.300", &id, b"");
        let beneath = async {
            let runs_here = |host: &Host| host.worker.runs().iter().any(|run| run.is_of(&id));
            let started = |deployment: &Deployment| deployment.hosts.iter().any(runs_here);
            deployment.wait("the request above", started).await;
            let host = deployment.hosts.iter().position(runs_here).expect("a host");
            let call_id = format!("{id}.1");
            deployment.call(host, case.call, &call_id, b"").await;
        };
        let (answer, ()) = tokio::join!(above, beneath);
        assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!(deployment.runs(&id), case.runs, "{}", case.call);
    }
}

/// The daemon beside a backend server answers for a request that it has not heard of. If it was
/// started after the request was sent, the process before it may have run the request.
#[tokio::test]
async fn a_daemon_that_was_started_again_proves_nothing_about_earlier_requests() {
    struct Case {
        name: &'static str,
        up_ms: Option<u64>,
        status: StatusCode,
    }
    let cases = [
        Case {
            name: "up for long",
            up_ms: Some(60_000),
            status: StatusCode::SERVICE_UNAVAILABLE,
        },
        Case {
            name: "just started",
            up_ms: Some(3),
            status: StatusCode::BAD_GATEWAY,
        },
        Case {
            name: "does not say",
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
            // Takes the request, sleeps past the little that the second case is up, and dies.
            let (first, _) = listener.accept().await.expect("a hop");
            first.readable().await.expect("a request");
            tokio::time::sleep(Duration::from_millis(20)).await;
            drop(first);
            let (mut second, _) = listener.accept().await.expect("a question");
            let mut question = vec![0; 4_096];
            let _ = second.read(&mut question).await;
            let outcome = r#"{"not_run":{"reason":"fenced","retry_after_ms":0,"arrived":false}}"#;
            let reply = format!("{{\"o\":{outcome},\"r\":0,\"w\":0,\"l\":8,\"m\":1,\"v\":2{up}}}");
            let answer = format!(
                "HTTP/1.1 202 Accepted\r\nburdockhall-reply: {reply}\r\ncontent-length: 0\r\n\r\n"
            );
            let _ = second.write_all(answer.as_bytes()).await;
            until_closed(second).await;
        });
        let member = Member {
            address,
            revision: 1,
            place: deployment.hosts[0].settings.place.clone(),
            service: "b".into(),
            instance: format!("i-stub-{number}"),
            born_unix_ms: 1,
            slots: 8,
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

/// Keeps a connection until its other side closes it.
async fn until_closed(mut stream: TcpStream) {
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest).await;
}

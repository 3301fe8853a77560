//! Estimates of a backend server's capacity in a running relay, over loopback.

mod deployment;

use deployment::Deployment;

use burdockhall::net::relay::hop::HopOutcome;

/// Guards against estimates, fields in replies or another limit for servers that state no fourth
/// figure, and against a fourth figure that does not switch them on.
#[tokio::test]
async fn only_a_fourth_figure_switches_the_estimates_on() {
    struct Case {
        name: &'static str,
        load: &'static str,
        is_on: bool,
    }
    let cases = [
        Case {
            name: "three figures",
            load: "1,0,8",
            is_on: false,
        },
        Case {
            name: "malformed",
            load: "1,0,8,fast",
            is_on: false,
        },
        Case {
            name: "four figures",
            load: "1,0,8,130",
            is_on: true,
        },
    ];
    for case in cases {
        let deployment = Deployment::start(&["a"]).await;
        let host = &deployment.hosts[0];
        host.worker.state(&[("X-Server-Load", case.load)]);
        for number in 0..60 {
            let id = format!("capacity-{number}");
            let answer = deployment.call(0, "/safe/work.3", &id, b"body").await;
            assert!(answer.status.is_success(), "{}", case.name);
            // The figures are for the daemon alone.
            assert!(!answer.headers.contains_key("x-server-load"));
        }
        assert_eq!(host.relay.tables().capacity.is_some(), case.is_on);
        let reply = host.relay.reply(HopOutcome::Done, 0);
        let text = serde_json::to_string(&reply).expect("JSON");
        assert_eq!(text.contains("\"x\":"), case.is_on, "{}: {text}", case.name);
        // 0.94 of 8 slots; calls one after another tell nothing else.
        assert_eq!(reply.limit, 7, "{}", case.name);
        // Another process at the address has stated nothing yet.
        host.worker.state(&[("X-Server-Load", "1,0,8")]);
        host.worker.set_instance("another");
        let daemon = host.settings.local_address;
        let status = host.worker.send_heartbeat(daemon, 1, "ready", 300).await;
        assert_eq!(status, 200);
        assert!(host.relay.tables().capacity.is_none(), "{}", case.name);
        assert_eq!(host.relay.reply(HopOutcome::Done, 0).speed, None);
    }
}

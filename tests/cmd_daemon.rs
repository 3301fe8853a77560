//! Runs the binary of `burdockhall daemon`: start, administration commands, graceful shutdown and
//! shutdown cut short.

mod workdir;

use std::io::Write;
use std::process::Child;

use burdockhall::config::Settings;
use workdir::running::{StandIns, call, call_bytes, ticket, wait_for_worker};
use workdir::{
    OPERATOR, Workdir, connect, finish, free_settings, raw, read_answer, request, signal, wait_for,
    wait_ready,
};

const SERVICE_MS: u64 = 800;

struct DaemonProcess {
    workdir: Workdir,
    settings: Settings,
    stand_ins: StandIns,
    child: Child,
}

fn start(service_ms: u64, change: impl FnOnce(&mut Settings)) -> DaemonProcess {
    let mut settings = free_settings();
    change(&mut settings);
    let workdir = Workdir::new();
    workdir.write_settings(&settings);
    let stand_ins = StandIns::start(&settings, service_ms);
    let child = workdir.start(&["daemon", "--settings", "settings.json"]);
    wait_ready(settings.admin_address);
    wait_for_worker(&settings);
    DaemonProcess {
        workdir,
        settings,
        stand_ins,
        child,
    }
}

impl DaemonProcess {
    /// Sends a request and waits until the backend server runs it. The stream receives its answer.
    fn start_request(&self) -> std::net::TcpStream {
        let ticket = ticket(&self.settings).unwrap();
        let mut stream = connect(self.settings.callers_address);
        stream
            .write_all(&call_bytes(&ticket, 0, "voucher 7"))
            .unwrap();
        let state = &self.stand_ins.backend.state;
        wait_for("the request to run", || {
            let started = state.started.load(std::sync::atomic::Ordering::Relaxed);
            (started > 0).then_some(())
        });
        stream
    }

    fn wait_draining(&self) {
        wait_for("the drain", || {
            let bytes = request("GET", "/health/ready", &[], "");
            let answer = raw(self.settings.admin_address, &bytes)?;
            answer.body.contains("draining").then_some(())
        });
    }
}

#[test]
fn a_signal_lets_requests_in_flight_finish_and_refuses_new_ones() {
    let started = start(SERVICE_MS, |_| {});
    let late_ticket = ticket(&started.settings).unwrap();
    let mut running = started.start_request();
    signal(&started.child, "-TERM");
    started.wait_draining();
    let callers = started.settings.callers_address;
    let late = raw(callers, &call_bytes(&late_ticket, 0, "late")).unwrap();
    assert_eq!(late.status, 503, "{late:?}");
    assert_eq!(late.json()["outcome"], "not-run");
    assert_eq!(late.json()["reason"], "leaving");
    let no_ticket = raw(callers, &request("POST", "/ticket/redemptions", &[], "")).unwrap();
    assert_eq!(no_ticket.status, 503);
    assert!(no_ticket.body.contains("leaving"), "{no_ticket:?}");
    let answer = read_answer(&mut running).unwrap();
    assert_eq!((answer.status, answer.body.as_str()), (200, "voucher 7"));
    let ran = finish(started.child);
    assert_eq!(ran.code, 0, "{ran:?}");
    assert!(
        ran.err.contains("everything in flight is finished"),
        "{ran:?}"
    );
    let executions = started.stand_ins.backend.state.executions();
    assert_eq!(executions.len(), 1);
}

struct CutShortCase {
    name: &'static str,
    limit_ms: u64,
    second_signal: bool,
    reason: &'static str,
}

const CUT_SHORT_CASES: [CutShortCase; 2] = [
    CutShortCase {
        name: "second signal",
        limit_ms: 60_000,
        second_signal: true,
        reason: "stop_asked_again",
    },
    CutShortCase {
        name: "limit",
        limit_ms: 200,
        second_signal: false,
        reason: "limit_passed",
    },
];

#[test]
fn a_shutdown_that_is_cut_short_says_what_was_unfinished() {
    for case in &CUT_SHORT_CASES {
        let started = start(30_000, |settings| settings.drain.limit_ms = case.limit_ms);
        let _running = started.start_request();
        signal(&started.child, "-TERM");
        if case.second_signal {
            started.wait_draining();
            signal(&started.child, "-TERM");
        }
        let ran = finish(started.child);
        assert_eq!(ran.code, 4, "{}: {ran:?}", case.name);
        let expected = format!(
            "burdockhall: the shutdown was cut short ({}): 1 calls moved, 1 requests running on \
             the backend server, 0 requests queued, ",
            case.reason
        );
        assert!(ran.err.contains(&expected), "{}: {ran:?}", case.name);
    }
}

#[test]
fn commands_ask_a_daemon_and_drain_stops_it() {
    let started = start(1, |settings| {
        settings.logging.format = burdockhall::config::LogFormat::Json;
    });
    assert_eq!(call(&started.settings, "voucher").unwrap().status, 200);
    let workdir = &started.workdir;
    let here = ["--settings", "settings.json"];
    let ask = |args: &[&str]| {
        let args: Vec<&str> = args.iter().chain(&here).copied().collect();
        workdir.run_with_token(&args, OPERATOR)
    };
    let status = ask(&["status"]);
    assert_eq!(status.code, 0, "{status:?}");
    assert!(
        status.out.contains("phase              serving"),
        "{status:?}"
    );
    let status = ask(&["status", "--json"]);
    let status: serde_json::Value = serde_json::from_str(&status.out).unwrap();
    assert_eq!(status["counters"]["done"], 1);
    let workers = ask(&["workers", "--service", "redemptions"]);
    assert!(
        workers.out.contains("redemptions      serving"),
        "{workers:?}"
    );

    let refused = workdir.run_with_token(
        &["drain", "--settings", "settings.json"],
        "example-redemptions-token",
    );
    assert_eq!(refused.code, 3);
    assert!(
        refused.err.contains("may not do this (drain)"),
        "{refused:?}"
    );
    let no_token = workdir.run(&["drain", "--settings", "settings.json"]);
    assert_eq!(no_token.code, 2);
    assert!(no_token.err.contains("--token-file FILE"), "{no_token:?}");

    let drained = ask(&["drain", "--wait"]);
    assert_eq!(
        (drained.code, drained.out.as_str()),
        (0, "the daemon is stopped\n")
    );
    let ran = finish(started.child);
    assert_eq!(ran.code, 0, "{ran:?}");
    let lines: Vec<serde_json::Value> = ran
        .err
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    let refusal = lines
        .iter()
        .find(|line| line["message"] == "an operator's request was refused")
        .unwrap();
    assert_eq!(refusal["team"], "redemptions");
    assert_eq!(refusal["request"], "POST /v1/drain");
    assert_eq!(refusal["level"], "warn");
    assert!(
        !ran.err.contains("voucher"),
        "no body may be logged: {ran:?}"
    );
}

#[test]
fn a_port_in_use_is_named() {
    let settings = free_settings();
    let workdir = Workdir::new();
    workdir.write_settings(&settings);
    let _holder = std::net::TcpListener::bind(settings.callers_address).unwrap();
    let child = workdir.start(&["daemon", "--settings", "settings.json"]);
    let ran = finish(child);
    assert_eq!(ran.code, 1, "{ran:?}");
    let expected = format!(
        "burdockhall: the network failed\n  because: cannot listen on {}; is another process \
         using it?\n  because: Address already in use (os error 98)\n",
        settings.callers_address
    );
    assert!(ran.err.ends_with(&expected), "{ran:?}");
}

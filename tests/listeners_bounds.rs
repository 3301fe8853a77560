//! A client that violates a limit of a listener gets a specific error, and other clients are served
//! meanwhile.

mod workdir;

use std::io::Write;
use std::net::Shutdown;

use burdockhall::net::listener_counts::Bound;
use workdir::running::{RunningDaemon, call_bytes, ticket};
use workdir::{RawAnswer, connect, raw, read_answer, request, wait_for};

const BODY_BYTES: usize = 1_000;
const TIMEOUT_MS: u64 = 300;

struct Case {
    name: &'static str,
    bytes: Vec<u8>,
    close_sending: bool,
    status: u16,
    body_contains: &'static str,
}

fn cases(keyed: Vec<u8>) -> Vec<Case> {
    let case = |name, bytes: Vec<u8>, close_sending, status, body_contains| Case {
        name,
        bytes,
        close_sending,
        status,
        body_contains,
    };
    let call = "POST /call/redemptions/redeem HTTP/1.1\r\nhost: test\r\n";
    let head = |rest: &str| format!("{call}{rest}").into_bytes();
    vec![
        case(
            "not HTTP",
            b"\x16\x03\x01 hello\r\n\r\n".to_vec(),
            false,
            400,
            "",
        ),
        case(
            "no such route",
            request("GET", "/", &[], ""),
            false,
            404,
            "/call/{service}",
        ),
        case(
            "head too large",
            head(&format!("x: {}\r\n\r\n", "y".repeat(40_000))),
            false,
            431,
            "larger than 32768 bytes",
        ),
        case(
            "head that never ends",
            head(&format!("x: {}", "y".repeat(100_000))),
            false,
            431,
            "",
        ),
        case(
            "body too large by its content-length",
            head("content-length: 1001\r\n\r\n"),
            false,
            413,
            "larger than 1000 bytes",
        ),
        case(
            "body too large in chunks",
            head(&format!(
                "transfer-encoding: chunked\r\n\r\n3e9\r\n{}\r\n0\r\n\r\n",
                "y".repeat(1_001)
            )),
            false,
            413,
            "larger than 1000 bytes",
        ),
        case(
            "slow head",
            head("x: "),
            false,
            408,
            "head of the request did not arrive within 300 ms",
        ),
        case(
            "slow body",
            head("content-length: 10\r\n\r\nfour"),
            false,
            408,
            "body of the request did not arrive within 300 ms",
        ),
        case(
            "incomplete body",
            head("content-length: 10\r\n\r\nfour"),
            true,
            400,
            "",
        ),
        case(
            "sending side closed before the response",
            keyed,
            true,
            400,
            "counts as gone",
        ),
        case(
            "malformed key",
            request(
                "POST",
                "/call/redemptions/redeem",
                &[("burdockhall-key", "seven")],
                "",
            ),
            false,
            400,
            "",
        ),
        case(
            "header that is not a number",
            request(
                "POST",
                "/call/redemptions/redeem",
                &[("burdockhall-time-left-ms", "soon")],
                "",
            ),
            false,
            400,
            "burdockhall-time-left-ms",
        ),
    ]
}

#[test]
fn bad_requests_get_a_specific_error_while_others_are_served() {
    let running = RunningDaemon::start(200, |settings| {
        settings.bounds.callers.body_bytes = BODY_BYTES;
        settings.bounds.callers.header_timeout_ms = TIMEOUT_MS;
        settings.bounds.callers.body_timeout_ms = TIMEOUT_MS;
    });
    let keyed = call_bytes(&ticket(&running.settings).unwrap(), 0, "voucher");
    for case in cases(keyed) {
        let mut stream = connect(running.settings.callers_address);
        stream.write_all(&case.bytes).unwrap();
        if case.close_sending {
            stream.shutdown(Shutdown::Write).unwrap();
        }
        let other = running.call("voucher 7").unwrap();
        assert_eq!(
            (other.status, other.body.as_str()),
            (200, "voucher 7"),
            "{}",
            case.name
        );
        let answer = read_answer(&mut stream);
        let answer = answer.unwrap_or_else(|| panic!("{}: no response", case.name));
        assert_eq!(answer.status, case.status, "{}: {answer:?}", case.name);
        assert!(
            answer.body.contains(case.body_contains),
            "{}: {answer:?}",
            case.name
        );
    }
}

#[test]
fn slow_connections_get_408_while_others_are_served() {
    const SLOW: usize = 50;
    let running = RunningDaemon::start(1, |settings| {
        settings.bounds.callers.header_timeout_ms = TIMEOUT_MS;
    });
    let mut slow: Vec<_> = (0..SLOW)
        .map(|_| {
            let mut stream = connect(running.settings.callers_address);
            stream.write_all(b"POST /call/").unwrap();
            stream
        })
        .collect();
    for _ in 0..20 {
        assert_eq!(running.call("voucher").unwrap().status, 200);
    }
    for stream in &mut slow {
        assert_eq!(read_answer(stream).unwrap().status, 408);
    }
    let daemon = running.daemon.as_ref().unwrap();
    let counts = &daemon.listener_counts().callers;
    assert_eq!(counts.refused(Bound::HeaderTimeout), SLOW as u64);
}

#[test]
fn a_connection_beyond_the_limit_is_refused_and_open_ones_stay_usable() {
    let running = RunningDaemon::start(1, |settings| settings.bounds.callers.connections = 2);
    let address = running.settings.callers_address;
    let open = || {
        let mut stream = connect(address);
        let bytes = request("POST", "/ticket/redemptions", &[], "");
        stream.write_all(&bytes).unwrap();
        let answer = read_answer(&mut stream)?;
        (answer.status == 200).then_some(stream)
    };
    let mut first = wait_for("a connection", open);
    let _second = wait_for("a connection", open);
    let refused = raw(address, &request("GET", "/", &[], "")).unwrap();
    assert_eq!(refused.status, 503);
    assert!(refused.head.contains("retry-after: 1"), "{refused:?}");
    assert!(refused.body.contains("2 connections are open already"));
    first
        .write_all(&request("POST", "/ticket/redemptions", &[], ""))
        .unwrap();
    assert_eq!(read_answer(&mut first).unwrap().status, 200);
}

struct ListenerCase {
    name: &'static str,
    listener: &'static str,
    bytes: Vec<u8>,
    status: u16,
    body_contains: &'static str,
}

#[test]
fn other_listeners_reject_bad_input_with_a_specific_error() {
    let running = RunningDaemon::start(1, |settings| settings.bounds.hop.body_bytes = BODY_BYTES);
    let settings = &running.settings;
    let long = "y".repeat(BODY_BYTES + 1);
    let cases = [
        (
            "truncated JSON",
            "local",
            request("POST", "/announce", &[], "{\"service\":"),
            400,
            "line 1 column 11",
        ),
        (
            "unknown field",
            "local",
            request("POST", "/announce", &[], "{\"colour\":1}"),
            400,
            "colour",
        ),
        (
            "call without its parent",
            "local",
            request("POST", "/call/a/b", &[], ""),
            400,
            "burdockhall-call is missing",
        ),
        (
            "hop without a message",
            "hop",
            request("POST", "/hop", &[], ""),
            400,
            "burdockhall-message is missing",
        ),
        (
            "hop with truncated JSON",
            "hop",
            request(
                "POST",
                "/hop",
                &[("burdockhall-message", "{\"execute\":")],
                "",
            ),
            400,
            "column",
        ),
        (
            "hop with a large body",
            "hop",
            request("POST", "/hop", &[], &long),
            413,
            "larger than 1000 bytes",
        ),
        (
            "control with truncated JSON",
            "control",
            request(
                "POST",
                "/",
                &[("content-type", "application/json")],
                "{\"jsonrpc\":",
            ),
            400,
            "the control message is not JSON-RPC: EOF while parsing a value at line 1 column 11",
        ),
    ]
    .map(
        |(name, listener, bytes, status, body_contains)| ListenerCase {
            name,
            listener,
            bytes,
            status,
            body_contains,
        },
    );
    for case in cases {
        let address = match case.listener {
            "local" => settings.local_address,
            "hop" => settings.hop_address,
            _ => settings.control_address,
        };
        let answer: RawAnswer = raw(address, &case.bytes).unwrap();
        assert_eq!(answer.status, case.status, "{}: {answer:?}", case.name);
        assert!(
            answer.body.contains(case.body_contains),
            "{}: {answer:?}",
            case.name
        );
    }
}

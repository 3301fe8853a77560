//! `burdockhall explain` on log lines of a real run: one request is shed under load, one reaches
//! its deadline because of slow nested calls, one has an unknown outcome after a lost connection.

use std::process::{Command, Output};

const LOG: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/relay.log");
/// Lines as the relay writes them, made up for the test.
const FAIR_SHARES_LOG: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/tests/fixtures/fair-shares.log"
);

fn explain(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_burdockhall"))
        .arg("explain")
        .args(args)
        .output()
        .expect("the command runs")
}

#[test]
fn the_path_and_the_failure_cause_of_a_request_are_explained() {
    struct Case {
        name: &'static str,
        id: &'static str,
        /// Substrings of lines, each inner list in one line, in this order.
        lines: &'static [&'static [&'static str]],
    }
    let cases = [
        Case {
            name: "refused under load",
            id: "f4eedd8692e69778",
            lines: &[&["shed at the entry", "share=0.93", "retry_after_ms=1055"]],
        },
        Case {
            name: "deadline passed because of a slow nested call",
            id: "59bda8135d9fc7b8",
            lines: &[
                &["+0 ", "handed to the backend server", "left_ms=1180"],
                &["refused beside its backend server", "left_ms=78"],
                &["a request has failed", "status=504", "left_ms=19"],
                &["a request has failed", "status=500", "took_ms=1178"],
            ],
        },
        Case {
            name: "unknown outcome after a lost connection",
            id: "8748c9df3133b4d7",
            lines: &[
                &["handed to the backend server", "i-71ccebaeac"],
                &["a hop has failed", "connection error"],
                &["outcome of a request is unknown", "backend_broke"],
                &["outcome of a broken hop was asked for", "outcome=unknown"],
                &["a request has failed", "status=502"],
            ],
        },
    ];
    for case in cases {
        let output = explain(&[case.id, LOG]);
        assert!(output.status.success(), "{}", case.name);
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        let mut remaining = text.lines();
        for parts in case.lines {
            let found = remaining.any(|line| parts.iter().all(|part| line.contains(part)));
            assert!(
                found,
                "{}: no line with {parts:?} in order in\n{text}",
                case.name
            );
        }
        let unrelated = text.lines().filter(|line| !line.contains(case.id)).count();
        assert_eq!(
            unrelated, 0,
            "{}: lines of other requests\n{text}",
            case.name
        );
    }
}

/// Guards against a request refused by its organisation's share that looks like any other.
#[test]
fn a_request_refused_by_the_share_of_its_organisation_is_explained() {
    let output = explain(&["5be0d1c2a9f47f13", FAIR_SHARES_LOG]);
    assert!(output.status.success());
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let lines: Vec<&str> = text.lines().collect();
    let [shed, run] = lines[..] else {
        panic!("{text}");
    };
    for part in [
        "shed by the share of its organisation",
        "organisation=acme",
        "priority=1",
        "share=0.212",
        "retry_after_ms=1284",
    ] {
        assert!(shed.contains(part), "{part} in {text}");
    }
    assert!(
        run.starts_with("+1291") && run.contains("is handed"),
        "{text}"
    );
}

#[test]
fn unusable_arguments_are_reported() {
    struct Case {
        name: &'static str,
        args: &'static [&'static str],
        message: &'static str,
    }
    let cases = [
        Case {
            name: "unknown id",
            args: &["0000", LOG],
            message: "no log line names the request 0000",
        },
        Case {
            name: "part of an id",
            args: &["f4eedd8692e6", LOG],
            message: "no log line names",
        },
        Case {
            name: "no such file",
            args: &["0000", "/nonexistent.log"],
            message: "cannot read the log lines in /nonexistent.log",
        },
    ];
    for case in cases {
        let output = explain(case.args);
        assert_eq!(output.status.code(), Some(2), "{}", case.name);
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(text.contains(case.message), "{}: {text}", case.name);
    }
}

/// Guards against a refusal for a missing or unknown API key that cannot be traced by its id.
#[test]
fn a_request_refused_for_its_api_key_is_explained() {
    const LOG: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/api-keys.log");
    for (id, cause, status) in [
        ("identified-2-1", "cause=missing", "status=401"),
        ("identified-4-0", "cause=unknown", "status=401"),
        ("gold.2", "cause=no_parent", "status=503"),
    ] {
        let output = explain(&[id, LOG]);
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert_eq!(text.lines().count(), 1, "{text}");
        for part in ["refused for its API key", cause, status, "route="] {
            assert!(text.contains(part), "{part} is not in {text}");
        }
    }
}

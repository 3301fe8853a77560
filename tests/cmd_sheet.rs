//! `burdockhall sheet` and `burdockhall audit` against a running daemon.

mod workdir;

use std::sync::atomic::Ordering;

use serde_json::Value;
use workdir::running::RunningDaemon;
use workdir::{OPERATOR, RunOutput, TEAM, Workdir, wait_for};

const HEADER: &str = "kind,service,request,caller,importance,idempotent,deadline_ms,\
                      retry_allowance,share_percent\n";

fn sheet(rows: &str) -> String {
    format!("\u{feff}{HEADER}rule,,,,normal,no,2000,0,\n{rows}")
}

struct Fixture {
    running: RunningDaemon,
    workdir: Workdir,
}

impl Fixture {
    fn start() -> Fixture {
        Fixture {
            running: RunningDaemon::start(5, |_| {}),
            workdir: Workdir::new(),
        }
    }

    fn run(&self, token: &str, args: &[&str]) -> RunOutput {
        let admin = self.running.settings.admin_address.to_string();
        let mut all = args.to_vec();
        all.extend(["--admin", admin.as_str()]);
        self.workdir.run_with_token(&all, token)
    }

    fn publish(&self, token: &str, rows: &str, more: &[&str]) -> RunOutput {
        self.workdir.write("sheet.csv", &sheet(rows));
        let mut args = vec!["sheet", "publish", "sheet.csv"];
        args.extend(more);
        self.run(token, &args)
    }

    fn show(&self) -> Value {
        let shown = self.run(OPERATOR, &["sheet", "show", "--json"]);
        assert_eq!(shown.code, 0, "{}", shown.err);
        serde_json::from_str(&shown.out).unwrap()
    }
}

#[test]
fn check_reports_errors_and_warnings() {
    let workdir = Workdir::new();
    workdir.write("good.csv", &sheet("rule,ledger,,,high,no,900,1,\n"));
    workdir.write("bad.csv", &sheet("share,,,labs,,,,,\"12,5\"\n"));
    workdir.write(
        "odd.csv",
        &format!("{HEADER}rule,ledger,,,high,no,900,1,\n"),
    );
    let cases = [
        ("good.csv", 0, "no errors, no warnings"),
        (
            "bad.csv",
            2,
            "error: row 3, column share_percent, value `12,5`",
        ),
        ("odd.csv", 0, "warning: row 1"),
        ("none.csv", 2, ""),
    ];
    for (file, code, expected) in cases {
        let ran = workdir.run(&["sheet", "check", file]);
        assert_eq!(ran.code, code, "{file}: {ran:?}");
        assert!(ran.out.contains(expected), "{file}: {ran:?}");
    }
}

#[test]
fn publishing_a_sheet_brings_it_into_force_and_records_it_in_the_audit_trail() {
    let fixture = Fixture::start();
    let rows = "rule,redemptions,redeem,,critical,no,900,2,\n";
    let dry = fixture.publish(OPERATOR, rows, &["--dry-run"]);
    assert_eq!(dry.code, 0, "{dry:?}");
    let line = "service redemptions, request redeem, any caller: new: importance critical";
    assert!(dry.out.contains(line), "{dry:?}");
    assert_eq!(fixture.show()["status"]["built_in"], Value::Bool(true));

    let first = fixture.publish(OPERATOR, rows, &["--author", "Aoife", "--id", "monday"]);
    assert_eq!(first.code, 0, "{first:?}");
    assert!(
        first.out.contains("accepted as version 1 at offset 0"),
        "{first:?}"
    );
    assert!(first.out.contains("confirmed by dublin-a"), "{first:?}");
    let again = fixture.publish(OPERATOR, rows, &["--id", "monday"]);
    assert_eq!(again.code, 0, "{again:?}");
    let shown = fixture.show();
    assert_eq!(shown["status"]["base"]["version"], 1);
    assert_eq!(shown["status"]["author"], "Aoife (platform)");

    let conflict = fixture.publish(OPERATOR, "", &["--base", "0"]);
    assert_eq!(conflict.code, 5, "{conflict:?}");
    assert!(
        conflict
            .err
            .contains("version 1 by Aoife (platform) came first"),
        "{conflict:?}"
    );
    let same = fixture.publish(OPERATOR, rows, &[]);
    assert_eq!(same.code, 3, "{same:?}");
    let broken = fixture.publish(OPERATOR, "rule,a,,,urgent,no,1,1,\n", &[]);
    assert_eq!(broken.code, 2, "{broken:?}");

    let forbidden = fixture.publish(TEAM, "rule,ledger,,,high,no,900,1,\n", &[]);
    assert_eq!(forbidden.code, 3, "{forbidden:?}");
    assert!(
        forbidden.err.contains("`ledger` is not among its services"),
        "{forbidden:?}"
    );
    let own = fixture.publish(TEAM, "rule,redemptions,redeem,,high,no,900,2,\n", &[]);
    assert_eq!(own.code, 0, "{own:?}");
    let history = fixture.run(OPERATOR, &["sheet", "history"]);
    assert_eq!(history.out.lines().count(), 2, "{history:?}");

    let trail = wait_for("the audit trail", || {
        let trail = fixture.run(OPERATOR, &["audit", "--since", "1h"]);
        let whole = trail.out.contains("0 -> 1") && trail.out.contains("1 -> 2");
        (whole && trail.out.contains("admin_refused")).then_some(trail)
    });
    assert!(
        trail.out.contains("sheet_conflict  platform  0 -> -"),
        "{trail:?}"
    );
    let by_team = fixture.run(OPERATOR, &["audit", "--author", "redemptions"]);
    assert!(
        by_team.out.contains("1 -> 2") && !by_team.out.contains("0 -> 1"),
        "{by_team:?}"
    );
    let by_service = fixture.run(OPERATOR, &["audit", "--service", "ledger"]);
    assert!(!by_service.out.contains("1 -> 2"), "{by_service:?}");
}

#[test]
fn a_publication_is_resolved_when_the_answer_of_the_log_is_lost() {
    let fixture = Fixture::start();
    let faults = &fixture.running.stand_ins.log.faults;
    faults.lose_answers.store(1, Ordering::Relaxed);
    let published = fixture.publish(OPERATOR, "", &[]);
    assert_eq!(published.code, 0, "{published:?}");
    assert_eq!(fixture.show()["status"]["base"]["version"], 1);
}

//! Parsing and checking of planning sheets in the CSV formats that spreadsheets export.

use burdockhall::model::{SheetChange, SheetContent};
use burdockhall::sheet::{self, Severity};

const HEADER: &str = "kind,service,request,caller,importance,idempotent,deadline_ms,\
                      retry_allowance,share_percent";

/// A default rule, which avoids the warning about a missing one.
const DEFAULT: &str = "rule,,,,normal,no,2000,0,";

fn check(rows: &[&str]) -> sheet::ParsedSheet {
    let text = format!("{HEADER}\n{DEFAULT}\n{}\n", rows.join("\n"));
    sheet::parse(text.as_bytes())
}

struct ExpectedIssue {
    name: &'static str,
    rows: &'static [&'static str],
    severity: Severity,
    row: u64,
    other_row: Option<u64>,
    column: &'static str,
    value: &'static str,
    message: &'static str,
}

const EXPECTED_ISSUES: [ExpectedIssue; 19] = [
    ExpectedIssue {
        name: "decimal comma in a percentage",
        rows: &["share,,,employers,,,,,\"12,5\""],
        severity: Severity::Error,
        row: 3,
        other_row: None,
        column: "share_percent",
        value: "12,5",
        message: "decimal comma",
    },
    ExpectedIssue {
        name: "decimal point in a percentage",
        rows: &["share,,,employers,,,,,0.2"],
        severity: Severity::Error,
        row: 3,
        other_row: None,
        column: "share_percent",
        value: "0.2",
        message: "decimal comma or point",
    },
    ExpectedIssue {
        name: "share above 100 percent",
        rows: &["share,,,employers,,,,,101"],
        severity: Severity::Error,
        row: 3,
        other_row: None,
        column: "share_percent",
        value: "101",
        message: "out of bounds",
    },
    ExpectedIssue {
        name: "share without a caller",
        rows: &["share,,,,,,,,10"],
        severity: Severity::Error,
        row: 3,
        other_row: None,
        column: "caller",
        value: "",
        message: "a share is for one caller",
    },
    ExpectedIssue {
        name: "share with a service",
        rows: &["share,ledger,,employers,,,,,10"],
        severity: Severity::Error,
        row: 3,
        other_row: None,
        column: "service",
        value: "ledger",
        message: "does not belong to a row of kind `share`",
    },
    ExpectedIssue {
        name: "rule with a share",
        rows: &["rule,ledger,,,high,no,100,0,10"],
        severity: Severity::Error,
        row: 3,
        other_row: None,
        column: "share_percent",
        value: "10",
        message: "does not belong to a row of kind `rule`",
    },
    ExpectedIssue {
        name: "unknown kind",
        rows: &["regel,ledger,,,high,no,100,0,"],
        severity: Severity::Error,
        row: 3,
        other_row: None,
        column: "kind",
        value: "regel",
        message: "no such kind",
    },
    ExpectedIssue {
        name: "missing kind",
        rows: &[",ledger,,,high,no,100,0,"],
        severity: Severity::Error,
        row: 3,
        other_row: None,
        column: "kind",
        value: "",
        message: "kind is missing",
    },
    ExpectedIssue {
        name: "unknown importance",
        rows: &["rule,ledger,,,urgent,no,100,0,"],
        severity: Severity::Error,
        row: 3,
        other_row: None,
        column: "importance",
        value: "urgent",
        message: "no such importance",
    },
    ExpectedIssue {
        name: "neither yes nor no",
        rows: &["rule,ledger,,,high,maybe,100,0,"],
        severity: Severity::Error,
        row: 3,
        other_row: None,
        column: "idempotent",
        value: "maybe",
        message: "neither yes nor no",
    },
    ExpectedIssue {
        name: "deadline with a unit",
        rows: &["rule,ledger,,,high,no,100 ms,0,"],
        severity: Severity::Error,
        row: 3,
        other_row: None,
        column: "deadline_ms",
        value: "100 ms",
        message: "not a whole number",
    },
    ExpectedIssue {
        name: "negative allowance",
        rows: &["rule,ledger,,,high,no,100,-1,"],
        severity: Severity::Error,
        row: 3,
        other_row: None,
        column: "retry_allowance",
        value: "-1",
        message: "not a whole number",
    },
    ExpectedIssue {
        name: "deadline of zero",
        rows: &["rule,ledger,,,high,no,0,0,"],
        severity: Severity::Error,
        row: 3,
        other_row: None,
        column: "deadline_ms",
        value: "0",
        message: "out of bounds",
    },
    ExpectedIssue {
        name: "number beyond 64 bits",
        rows: &["rule,ledger,,,high,no,99999999999999999999999,0,"],
        severity: Severity::Error,
        row: 3,
        other_row: None,
        column: "deadline_ms",
        value: "99999999999999999999999",
        message: "out of bounds",
    },
    ExpectedIssue {
        name: "line break in a name",
        rows: &["rule,\"led\nger\",,,high,no,100,0,"],
        severity: Severity::Error,
        row: 3,
        other_row: None,
        column: "service",
        value: "led\nger",
        message: "line break",
    },
    ExpectedIssue {
        name: "rows that contradict each other",
        rows: &[
            "rule,ledger,post,,high,no,100,0,",
            "",
            "rule,ledger,post,,low,no,100,0,",
        ],
        severity: Severity::Error,
        row: 5,
        other_row: Some(3),
        column: "service",
        value: "ledger post *",
        message: "contradict",
    },
    ExpectedIssue {
        name: "equal rows",
        rows: &[
            "rule,ledger,post,,high,no,100,0,",
            "rule,ledger,post,*,HIGH,FALSE,100,0,",
        ],
        severity: Severity::Warning,
        row: 4,
        other_row: Some(3),
        column: "service",
        value: "ledger post *",
        message: "say the same",
    },
    ExpectedIssue {
        name: "a request idempotent for one caller only",
        rows: &[
            "rule,ledger,post,,high,no,100,0,",
            "rule,ledger,post,labs,high,yes,100,0,",
        ],
        severity: Severity::Warning,
        row: 4,
        other_row: Some(3),
        column: "idempotent",
        value: "yes",
        message: "idempotent for one caller",
    },
    ExpectedIssue {
        name: "shares above 100 percent in total",
        rows: &["share,,,a,,,,,60", "share,,,b,,,,,60%"],
        severity: Severity::Warning,
        row: 4,
        other_row: None,
        column: "share_percent",
        value: "60",
        message: "120 percent",
    },
];

#[test]
fn each_issue_has_a_location_and_a_remedy() {
    for case in &EXPECTED_ISSUES {
        let checked = check(case.rows);
        assert_eq!(
            checked.issues.len(),
            1,
            "{}: {:?}",
            case.name,
            checked.issues
        );
        let issue = &checked.issues[0];
        assert_eq!(issue.severity, case.severity, "{}", case.name);
        assert_eq!(
            (issue.row, issue.other_row),
            (case.row, case.other_row),
            "{}",
            case.name
        );
        assert_eq!(issue.column, case.column, "{}", case.name);
        assert_eq!(issue.value, case.value, "{}", case.name);
        assert!(
            issue.message.contains(case.message),
            "{}: {issue}",
            case.name
        );
        assert!(!issue.remedy.is_empty(), "{}", case.name);
    }
}

#[test]
fn all_errors_are_reported_at_once() {
    let checked = check(&[
        "rule,ledger,,,urgent,maybe,soon,many,",
        "share,,,,,,,,\"1,5\"",
        "share,,,a,,,,,10",
        "share,,,a,,,,,20",
    ]);
    let places: Vec<(u64, &str)> = checked
        .issues
        .iter()
        .map(|issue| (issue.row, issue.column.as_str()))
        .collect();
    let expected = [
        (3, "importance"),
        (3, "idempotent"),
        (3, "deadline_ms"),
        (3, "retry_allowance"),
        (4, "share_percent"),
        (4, "caller"),
        (6, "caller"),
    ];
    assert_eq!(places, expected);
    assert!(checked.has_errors());
}

struct Export {
    name: &'static str,
    bytes: &'static [u8],
}

const EXPORTS: [Export; 5] = [
    Export {
        name: "plain",
        bytes: b"kind,service,request,caller,importance,idempotent,deadline_ms,retry_allowance,share_percent\n\
                 rule,,,,normal,no,2000,0,\nrule,ledger,post,,critical,no,900,2,\nshare,,,labs,,,,,20\n",
    },
    Export {
        name: "byte-order mark, CRLF, quotes, empty rows",
        bytes: b"\xEF\xBB\xBF\"kind\",service,request,caller,importance,idempotent,deadline_ms,retry_allowance,share_percent\r\n\
                 \r\n,,,,,,,,\r\nrule,,,,normal,no,2000,0,\r\n\"rule\",\"ledger\",post,,critical,NO,900,2,\r\n\r\nshare,,,labs,,,,,20%\r\n,,,,,,,,\r\n",
    },
    Export {
        name: "semicolons",
        bytes: b"kind;service;request;caller;importance;idempotent;deadline_ms;retry_allowance;share_percent\n\
                 rule;;;;normal;no;2000;0;\nrule;ledger;post;;critical;no;900;2;\nshare;;;labs;;;;;20 %\n",
    },
    Export {
        name: "columns and rows in another order, blanks",
        bytes: b"share_percent,kind,caller,request,service,retry_allowance,deadline_ms,idempotent,importance\n\
                 20,share,labs,,,,,,\n, rule , ,post,ledger ,2,900,false,Critical\n,rule,*,*,*,0,2000,FALSE,NORMAL\n",
    },
    Export {
        name: "a column without a name and no line break at the end",
        bytes: b"kind,service,request,caller,importance,idempotent,deadline_ms,retry_allowance,share_percent,\n\
                 rule,,,,normal,no,2000,0,,\nrule,ledger,post,,critical,no,900,2,,\nshare,,,labs,,,,,20,",
    },
];

#[test]
fn equal_exports_have_the_same_canonical_form() {
    let first = sheet::parse(EXPORTS[0].bytes);
    assert_eq!(
        (first.content.rules.len(), first.content.shares.len()),
        (2, 1)
    );
    for export in &EXPORTS {
        let checked = sheet::parse(export.bytes);
        assert_eq!(checked.issues, [], "{}", export.name);
        assert_eq!(checked.content, first.content, "{}", export.name);
        assert_eq!(
            checked.content.hash(),
            first.content.hash(),
            "{}",
            export.name
        );
    }
}

#[test]
fn invalid_files_are_rejected() {
    let files: [(&str, &[u8], &str); 7] = [
        ("empty", b"", "empty"),
        ("UTF-16", b"\xFF\xFEk\0i\0", "UTF-16"),
        ("header only", HEADER.as_bytes(), "no rule"),
        ("another table", b"name,price\nx,1\n", "no such column"),
        ("missing column", b"kind,service\nrule,x\n", "missing"),
        ("column twice", b"kind,kind\n", "twice"),
        ("Latin-1", b"kind,service,request,caller,importance,idempotent,deadline_ms,retry_allowance,share_percent\nrule,caf\xE9,,,high,no,1,0,\n", "not UTF-8"),
    ];
    for (name, bytes, message) in files {
        let checked = sheet::parse(bytes);
        assert!(checked.has_errors(), "{name}");
        let found = checked
            .issues
            .iter()
            .any(|issue| issue.message.contains(message));
        assert!(found, "{name}: {:?}", checked.issues);
    }
}

#[test]
fn differences_are_described_as_text() {
    let old = check(&[
        "rule,ledger,post,,high,no,100,0,",
        "rule,a,,,low,yes,5,1,",
        "share,,,x,,,,,5",
    ]);
    let new = check(&[
        "rule,ledger,post,,critical,yes,200,1,",
        "rule,b,,,low,yes,5,1,",
        "share,,,x,,,,,7",
    ]);
    insta::assert_snapshot!(sheet::diff::describe(&old.content, &new.content).join("\n"));
    assert!(sheet::diff::describe(&old.content, &old.content).is_empty());
}

#[test]
fn a_change_contains_only_the_services_that_differ() {
    let old = check(&[
        "rule,a,,,low,yes,5,1,",
        "rule,b,,,low,yes,5,1,",
        "rule,c,,,low,yes,5,1,",
    ]);
    let new = check(&[
        "rule,a,,,low,yes,5,1,",
        "rule,b,,,high,yes,5,1,",
        "rule,d,,,low,yes,5,1,",
    ]);
    let change = SheetChange::between(&old.content, &new.content);
    let services: Vec<_> = change.services.iter().map(|s| s.service.clone()).collect();
    assert_eq!(
        services,
        [Some("b".into()), Some("c".into()), Some("d".into())]
    );
    assert_eq!(change.shares, None);
    assert_eq!(change.apply(&old.content), new.content);
    let whole = SheetChange::between(&SheetContent::default(), &new.content);
    assert_eq!(whole.apply(&SheetContent::default()), new.content);
}

#[test]
fn sheets_of_the_documentation_have_no_issues() {
    for name in ["levy-voucher-exchange", "tantuvan-fibre-safety-labs"] {
        let path = format!("{}/docs/sheets/{name}.csv", env!("CARGO_MANIFEST_DIR"));
        let checked = sheet::parse(&std::fs::read(path).unwrap());
        assert_eq!(checked.issues, [], "{name}");
        assert!(checked.content.rules.len() > 5, "{name}");
        assert_eq!(checked.content.shares.len(), 4, "{name}");
    }
}

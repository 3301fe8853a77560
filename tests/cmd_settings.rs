//! The command `burdockhall settings`: its output, errors and exit codes.

mod workdir;

use serde_json::Value;
use workdir::Workdir;

#[test]
fn the_example_passes_the_check() {
    let workdir = Workdir::new();
    let example = workdir.run(&["settings", "example"]);
    assert_eq!(example.code, 0);
    workdir.write("settings.json", &example.out);
    let checked = workdir.run(&["settings", "check", "settings.json"]);
    assert_eq!(checked.code, 0, "{checked:?}");
    assert_eq!(checked.out, "settings.json: 0 errors\n");
}

#[test]
fn five_errors_are_all_reported() {
    let workdir = Workdir::new();
    let example = workdir.run(&["settings", "example"]).out;
    let mut file: Value = serde_json::from_str(&example).unwrap();
    file["place"]["zone"] = "".into();
    file["log_timeout_ms"] = "fast".into();
    file["backend_address"] = "192.0.2.7:80".into();
    file["admin"]["tokens"][1]["role"] = "boss".into();
    file["callers_adress"] = "127.0.0.1:7100".into();
    workdir.write("settings.json", &file.to_string());

    let text = workdir.run(&["settings", "check", "settings.json"]);
    assert_eq!(text.code, 2);
    insta::assert_snapshot!(text.out, @r#"
    place.zone is "": this is empty; give it a name
    backend_address is "192.0.2.7:80": this must be a loopback address, since it is reached from this VM alone; use 127.0.0.1:80
    log_timeout_ms is "fast": this must be a whole number; write a number from 1 to 3600000 without quotes
    admin.tokens[1].role is "boss": this is not one of the names known; use one of viewer, team, operator
    callers_adress is "127.0.0.1:7100": no such field; did you mean `callers_address`?
    settings.json: 5 errors
    "#);

    let json = workdir.run(&["settings", "check", "--json", "settings.json"]);
    assert_eq!(json.code, 2);
    let json: Value = serde_json::from_str(&json.out).unwrap();
    assert_eq!(json["errors"].as_array().unwrap().len(), 5);
    assert_eq!(json["errors"][3]["path"], "admin.tokens[1].role");
}

struct Unreadable {
    name: &'static str,
    text: Option<&'static str>,
    error: &'static str,
}

const UNREADABLE: [Unreadable; 2] = [
    Unreadable {
        name: "no such file",
        text: None,
        error: "burdockhall: the settings cannot be used\n  because: cannot read settings.json\n  because: No such file or directory (os error 2)\n",
    },
    Unreadable {
        name: "truncated JSON",
        text: Some("{\"place\":"),
        error: "burdockhall: the settings cannot be used\n  because: settings.json is not JSON\n  because: EOF while parsing a value at line 1 column 9\n",
    },
];

#[test]
fn a_failure_prints_its_causes() {
    for case in &UNREADABLE {
        let workdir = Workdir::new();
        if let Some(text) = case.text {
            workdir.write("settings.json", text);
        }
        let ran = workdir.run(&["settings", "check", "settings.json"]);
        assert_eq!(ran.code, 2, "{}", case.name);
        assert_eq!(ran.err, case.error, "{}", case.name);
    }
}

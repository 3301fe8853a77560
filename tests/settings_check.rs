//! Checks of settings files: all errors are reported at once, each with path, value and remedy.

use burdockhall::config::document;
use burdockhall::config::schema::{Field, Kind, SETTINGS};
use burdockhall::config::{Finding, RelaySettings, Settings, SettingsError};
use serde_json::{Value, json};

const BASE_PORT: u16 = 7100;

struct Case {
    name: &'static str,
    /// JSON pointer to a value, and the JSON that replaces it; `null` removes the value.
    change: (&'static str, &'static str),
    path: &'static str,
    found: Option<&'static str>,
    remedy: &'static str,
}

const CASES: [Case; 15] = [
    Case {
        name: "unknown field with a near name",
        change: ("/log_timeout", "1"),
        path: "log_timeout",
        found: Some("1"),
        remedy: "did you mean `log_timeout_ms`?",
    },
    Case {
        name: "unknown field in a group",
        change: ("/place/colour", "\"red\""),
        path: "place.colour",
        found: Some("\"red\""),
        remedy: "known fields: region, zone",
    },
    Case {
        name: "missing field",
        change: ("/place/zone", "null"),
        path: "place.zone",
        found: None,
        remedy: "add it",
    },
    Case {
        name: "text for a number",
        change: ("/log_timeout_ms", "\"2000\""),
        path: "log_timeout_ms",
        found: Some("\"2000\""),
        remedy: "without quotes",
    },
    Case {
        name: "fraction",
        change: ("/drain/limit_ms", "1.5"),
        path: "drain.limit_ms",
        found: Some("1.5"),
        remedy: "write a number from 1",
    },
    Case {
        name: "zero bound",
        change: ("/bounds/callers/connections", "0"),
        path: "bounds.callers.connections",
        found: Some("0"),
        remedy: "use a number from 1",
    },
    Case {
        name: "empty name",
        change: ("/place/region", "\" \""),
        path: "place.region",
        found: Some("\" \""),
        remedy: "give it a name",
    },
    Case {
        name: "not an address",
        change: ("/log_address", "\"log.example:7000\""),
        path: "log_address",
        found: Some("\"log.example:7000\""),
        remedy: "IP:PORT",
    },
    Case {
        name: "backend server not on loopback",
        change: ("/backend_address", "\"10.0.0.7:7105\""),
        path: "backend_address",
        found: Some("\"10.0.0.7:7105\""),
        remedy: "127.0.0.1:7105",
    },
    Case {
        name: "port used twice",
        change: ("/hop_address", "\"0.0.0.0:7100\""),
        path: "hop_address",
        found: Some("\"0.0.0.0:7100\""),
        remedy: "give each its own port",
    },
    Case {
        name: "unknown role",
        change: ("/admin/tokens/1/role", "\"boss\""),
        path: "admin.tokens[1].role",
        found: Some("\"boss\""),
        remedy: "viewer, team, operator",
    },
    Case {
        name: "short token is not shown",
        change: ("/admin/tokens/0/token", "\"secret\""),
        path: "admin.tokens[0].token",
        found: Some("not shown"),
        remedy: "at least 16",
    },
    Case {
        name: "team without services",
        change: ("/admin/tokens/1/services", "[]"),
        path: "admin.tokens[1].services",
        found: Some("[]"),
        remedy: "name its services",
    },
    Case {
        name: "group that is not an object",
        change: ("/bounds/log", "7"),
        path: "bounds.log",
        found: Some("7"),
        remedy: "braces",
    },
    Case {
        name: "list that is not an array",
        change: ("/admin/tokens", "{}"),
        path: "admin.tokens",
        found: Some("{}"),
        remedy: "brackets",
    },
];

#[test]
fn each_error_has_path_value_and_remedy() {
    for case in &CASES {
        let mut file = example();
        change(&mut file, case.change);
        let findings = check(&file);
        assert_eq!(findings.len(), 1, "{}: {findings:?}", case.name);
        let finding = &findings[0];
        assert_eq!(finding.path, case.path, "{}", case.name);
        assert_eq!(finding.found.as_deref(), case.found, "{}", case.name);
        let remedy = &finding.remedy;
        assert!(remedy.contains(case.remedy), "{}: {remedy}", case.name);
    }
}

#[test]
fn all_errors_are_reported_at_once() {
    let mut file = example();
    // This case replaces the list of tokens, which other cases change.
    let cases = || CASES.iter().filter(|case| case.path != "admin.tokens");
    // The port conflict is still reported, since no other case changes `callers_address`.
    for case in cases() {
        change(&mut file, case.change);
    }
    let mut found: Vec<String> = check(&file).into_iter().map(|found| found.path).collect();
    found.sort();
    let mut expected: Vec<&str> = cases().map(|case| case.path).collect();
    expected.sort_unstable();
    // The services of a token are not checked while its role is invalid.
    expected.retain(|path| *path != "admin.tokens[1].services");
    assert_eq!(found, expected);
}

#[test]
fn fields_left_out_take_the_defaults_of_the_example() {
    let mut file = example();
    for pointer in ["/bounds", "/logging", "/drain", "/log_timeout_ms"] {
        change(&mut file, (pointer, "null"));
    }
    let settings = Settings::parse("settings.json", &file.to_string()).unwrap();
    assert_eq!(settings, Settings::example(BASE_PORT));
}

#[test]
fn tokens_have_no_default() {
    let mut file = example();
    change(&mut file, ("/admin", "null"));
    let paths: Vec<String> = check(&file).into_iter().map(|found| found.path).collect();
    assert_eq!(paths, ["admin"]);
}

#[test]
fn the_schema_contains_each_field_of_the_settings() {
    assert_eq!(schema_names("", SETTINGS), value_names("", &example()));
}

#[test]
fn the_settings_page_contains_the_reference() {
    let page = include_str!("../docs/SETTINGS.md");
    let reference = document::reference(&example());
    assert!(
        page.contains(&reference),
        "replace the table in docs/SETTINGS.md by the output of `burdockhall settings describe`"
    );
}

#[test]
fn the_settings_page_contains_the_reference_of_the_relay() {
    let page = include_str!("../docs/SETTINGS.md");
    let example = serde_json::to_value(RelaySettings::example(BASE_PORT)).expect("JSON");
    let reference = document::relay_reference(&example);
    assert!(
        page.contains(&reference),
        "replace the table in docs/SETTINGS.md by the output of `burdockhall settings describe --relay`"
    );
}

#[test]
fn all_errors_in_relay_settings_are_reported_at_once() {
    let example = serde_json::to_value(RelaySettings::example(BASE_PORT)).expect("JSON");
    let text = example.to_string();
    assert!(RelaySettings::parse("relay.json", &text).is_ok());
    let mut broken = example;
    broken["hop_address"] = "nowhere".into();
    broken["bounds"]["drain_s"] = "2".into();
    broken["bounds"]["grace_s"] = 0.into();
    broken["extra"] = 1.into();
    broken.as_object_mut().expect("an object").remove("service");
    let read = RelaySettings::parse("relay.json", &broken.to_string());
    let Err(SettingsError::Invalid { findings, .. }) = read else {
        panic!("{read:?}");
    };
    let mut paths: Vec<&str> = findings.iter().map(|found| found.path.as_str()).collect();
    paths.sort_unstable();
    let expected = [
        "bounds.drain_s",
        "bounds.grace_s",
        "extra",
        "hop_address",
        "service",
    ];
    assert_eq!(paths, expected);
    assert!(findings.iter().all(|found| !found.remedy.is_empty()));
}

/// Each field of the relay's settings is in the template from which the platform generates them.
#[test]
fn the_template_has_the_fields_of_the_relay() {
    let template = include_str!("../deploy/settings.template");
    let example = serde_json::to_value(RelaySettings::example(BASE_PORT)).expect("JSON");
    let fields = example.as_object().expect("an object");
    for name in fields.keys() {
        assert!(template.contains(&format!("\"{name}\":")), "{name}");
    }
}

/// Guards against settings that the platform cannot generate, or that the relay refuses, with and
/// without the optional bounds.
#[test]
fn the_template_makes_valid_settings_with_and_without_api_key_bounds() {
    let template = include_str!("../deploy/settings.template");
    let (open, close) = ("{{#bounds.revokeS}}", "{{/bounds.revokeS}}");
    let (before, after) = template.split_once(open).expect("the section");
    let (section, after) = after.split_once(close).expect("its end");
    let (_, before) = before.split_once("\"bounds\":").expect("the bounds");
    let section = section.replace("{{bounds.revokeS|json}}", "7.5");
    let section = section.replace("{{bounds.strictRevoke|json}}", "true");
    for (section, revoke_s, strict_revoke) in [("", 5.0, false), (&*section, 7.5, true)] {
        let text = fill(&format!("{{\"bounds\":{before}{section}{after}"));
        let filled: Value = serde_json::from_str(&text).expect(&text);
        let mut file = serde_json::to_value(RelaySettings::example(BASE_PORT)).expect("JSON");
        file["bounds"] = filled["bounds"].clone();
        let settings = RelaySettings::parse("settings.json", &file.to_string()).expect("valid");
        assert_eq!(settings.bounds.revoke_s, revoke_s);
        assert_eq!(settings.bounds.strict_revoke, strict_revoke);
    }
}

/// Guards against quota bounds that the platform cannot generate, or that a missing section changes.
#[test]
fn the_template_makes_valid_settings_with_quota_bounds() {
    let template = include_str!("../deploy/settings.template");
    let (open, close) = ("{{#bounds.quotaWindowS}}", "{{/bounds.quotaWindowS}}");
    let (before, after) = template.split_once(open).expect("the section");
    let (section, after) = after.split_once(close).expect("its end");
    let (_, before) = before.split_once("\"bounds\":").expect("the bounds");
    let section = section
        .replace("{{bounds.quotaWindowS|json}}", "4")
        .replace("{{bounds.quotaExcess|json}}", "0.2")
        .replace("{{bounds.quotaSlack|json}}", "30");
    for (section, expected) in [("", (5.0, 0.1, 20.0)), (&*section, (4.0, 0.2, 30.0))] {
        let text = fill(&format!("{{\"bounds\":{before}{section}{after}"));
        let filled: Value = serde_json::from_str(&text).expect(&text);
        let mut file = serde_json::to_value(RelaySettings::example(BASE_PORT)).expect("JSON");
        file["bounds"] = filled["bounds"].clone();
        let settings = RelaySettings::parse("settings.json", &file.to_string()).expect("valid");
        let bounds = settings.bounds;
        let bounds = (
            bounds.quota_window_s,
            bounds.quota_excess,
            bounds.quota_slack,
        );
        assert_eq!(bounds, expected);
    }
}

/// Puts 1 in place of every value that the platform fills in, and leaves out other sections.
fn fill(template: &str) -> String {
    let mut filled = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        let (name, after) = after.split_once("}}").expect("an end");
        filled.push_str(before);
        rest = match name.strip_prefix('#') {
            Some(section) => {
                let close = format!("{{{{/{section}}}}}");
                after.split_once(&close).expect("the section's end").1
            }
            None => {
                filled.push('1');
                after
            }
        };
    }
    filled + rest
}

#[test]
fn a_token_is_not_printed_with_the_settings() {
    let text = format!("{:?}", Settings::example(BASE_PORT));
    assert!(!text.contains("example-operator-token"));
    assert!(text.contains("platform"));
}

fn example() -> Value {
    serde_json::to_value(Settings::example(BASE_PORT)).unwrap()
}

fn check(file: &Value) -> Vec<Finding> {
    match Settings::parse("settings.json", &file.to_string()) {
        Ok(_) => Vec::new(),
        Err(SettingsError::Invalid { findings, .. }) => findings,
        Err(error) => panic!("{error}"),
    }
}

fn change(file: &mut Value, (pointer, value): (&str, &str)) {
    let (group, name) = pointer.rsplit_once('/').unwrap();
    let value: Value = serde_json::from_str(value).unwrap();
    let group = file.pointer_mut(group).unwrap();
    match group.as_object_mut().unwrap() {
        group if value.is_null() => drop(group.remove(name)),
        group => drop(group.insert(name.to_owned(), value)),
    }
}

fn schema_names(path: &str, fields: &[Field]) -> Vec<String> {
    let mut names = Vec::new();
    for field in fields {
        let inner = format!("{path}/{}", field.name);
        names.push(inner.clone());
        match field.kind {
            Kind::Group(fields) => names.extend(schema_names(&inner, fields)),
            Kind::List(Kind::Group(fields)) => names.extend(schema_names(&inner, fields)),
            _ => {}
        }
    }
    names.sort();
    names
}

fn value_names(path: &str, value: &Value) -> Vec<String> {
    let group = match value {
        Value::Array(items) if items.first().is_some_and(Value::is_object) => &items[0],
        other => other,
    };
    let mut names = Vec::new();
    for (name, value) in group.as_object().unwrap_or(&serde_json::Map::new()) {
        let inner = format!("{path}/{name}");
        names.extend(value_names(&inner, value));
        names.push(inner);
    }
    names.sort();
    names
}

#[test]
fn truncated_json_is_reported_with_line_and_column() {
    let error = Settings::parse("settings.json", &json!({"a": 1}).to_string()[..4]);
    let error = error.unwrap_err();
    assert_eq!(error.to_string(), "settings.json is not JSON");
    let cause = std::error::Error::source(&error).unwrap().to_string();
    assert!(cause.contains("line 1 column 4"), "{cause}");
}

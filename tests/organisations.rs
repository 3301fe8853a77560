//! Tests of the organisations of a configuration: decoding, validation and the lookup by API key;
//! and of the requests that have just ended.

use std::time::{Duration, Instant};

use burdockhall::decide::relay::ended_requests::{MAX_ID_BYTES, MAX_REQUESTS, RETENTION_MS};
use burdockhall::decide::relay::{EndedRequests, KeyDigest, OrganisationTable, Quota};
use burdockhall::model::TimeMs;
use burdockhall::platform::routing;
use serde_json::{Value, json};

fn decode(tenants: &Value) -> Result<Option<OrganisationTable>, String> {
    let config = json!({
        "version": "r1",
        "routes": [{ "name": "safe", "host": "h", "pathPrefix": "/", "kind": "safe",
            "targetLatencyS": 1.0, "service": "a", "public": true }],
        "services": [{ "name": "a", "maxConnections": 1 }],
        "limits": { "maxHeaderBytes": 1, "maxBodyBytes": 1, "headerTimeoutS": 1, "idleTimeoutS": 1 },
        "tenants": tenants,
    });
    let table = routing::decode(config.to_string().as_bytes())?;
    assert!(table.routes()[0].is_public);
    Ok(table.organisations)
}

fn name_of<'a>(table: &'a OrganisationTable, api_key: &str) -> Option<&'a str> {
    let organisation = table.of_key(KeyDigest::of(api_key.as_bytes()))?;
    Some(organisation.name.as_str())
}

/// Guards against organisations whose limits or priority differ from the record's, in each form
/// that a number may have.
#[test]
fn organisations_are_read_as_the_record_states_them() {
    let quota = |per_s, burst| Some(Quota { per_s, burst });
    let cases = [
        (json!({}), None, None),
        (
            json!({ "priority": 0, "ratePerS": 0, "burst": 0 }),
            Some(0),
            None,
        ),
        (
            json!({ "priority": 2.0, "ratePerS": 1.5 }),
            Some(2),
            quota(1.5, 0.0),
        ),
        (
            json!({ "priority": null, "ratePerS": 8, "burst": 2.5 }),
            None,
            quota(8.0, 2.5),
        ),
        (json!({ "burst": 4 }), None, None),
    ];
    for (mut tenant, priority, quota) in cases {
        let what = tenant.to_string();
        tenant["name"] = json!("Åre");
        tenant["apiKeys"] = json!(["k1", "k1", "k2"]);
        let table = decode(&json!([tenant, { "name": "idle" }])).expect(&what);
        let table = table.expect("organisations");
        let organisation = table.get(&"Åre".into()).expect("the organisation");
        assert_eq!(organisation.priority, priority, "{what}");
        assert_eq!(organisation.quota, quota, "{what}");
        assert_eq!(table.key_count(), 2, "a repeated key counts once");
        assert_eq!(table.all().len(), 2, "one without keys is valid");
        for (api_key, name) in [
            ("k1", Some("Åre")),
            ("k2", Some("Åre")),
            ("k", None),
            ("", None),
        ] {
            assert_eq!(name_of(&table, api_key), name, "{api_key:?}");
        }
    }
    assert!(decode(&Value::Null).expect("valid").is_none());
    assert!(decode(&json!([])).expect("valid").is_some());
}

/// Guards against invalid organisations in force, against a report of only the first problem, and
/// against API keys in the report.
#[test]
fn all_problems_are_reported_without_api_keys() {
    let tenant = |name: &str, api_key: &str| json!({ "name": name, "apiKeys": [api_key] });
    let with = |field: &str, value: Value| {
        let mut tenant = tenant("a", "secret");
        tenant[field] = value;
        json!([tenant])
    };
    let cases = [
        (json!("secret"), vec!["not a list"]),
        (json!(["secret"]), vec!["not an object"]),
        (
            json!([tenant("a", "secret"), tenant("b", "secret")]),
            vec!["another's"],
        ),
        (
            json!([tenant("a", "secret"), tenant("a", "k")]),
            vec!["same name"],
        ),
        (json!([tenant("a", "")]), vec!["API key is empty"]),
        (json!([tenant("", "k")]), vec!["name is empty"]),
        (json!([tenant("a\nb", "k")]), vec!["cannot be sent"]),
        (with("apiKeys", json!("secret")), vec!["apiKeys is not"]),
        (with("apiKeys", json!([7])), vec!["apiKeys is not"]),
        (with("name", json!(["secret"])), vec!["name is empty"]),
        (with("priority", json!(-1)), vec!["priority"]),
        (with("priority", json!(1.5)), vec!["priority"]),
        (with("ratePerS", json!(-0.5)), vec!["ratePerS"]),
        (with("burst", json!("secret")), vec!["burst"]),
        (
            json!([
                tenant("a", "secret"),
                { "name": "a", "apiKeys": ["", "secret"], "ratePerS": -1, "burst": -1 },
                tenant("", "k"),
            ]),
            vec![
                "same name",
                "is empty",
                "another's",
                "ratePerS",
                "burst",
                "tenant 2",
            ],
        ),
    ];
    for (tenants, problems) in cases {
        let error = decode(&tenants).expect_err("invalid");
        for problem in problems {
            assert!(error.contains(problem), "{tenants}: {error}");
        }
        assert!(!error.contains("secret"), "{error}");
    }
    let many: Vec<_> = (0..1_000).map(|_| tenant("a", "")).collect();
    let error = decode(&json!(many)).expect_err("invalid");
    assert!(error.len() < 4_000, "{} bytes", error.len());
}

/// Guards against a lookup or a decoder whose cost grows faster than the number of API keys.
#[test]
fn ten_thousand_api_keys_are_read_in_bounded_time() {
    let key = |organisation: usize, number: usize| format!("key-{organisation}-{number}");
    let tenants: Vec<_> = (0..1_000)
        .map(|organisation| {
            let keys: Vec<_> = (0..10).map(|number| key(organisation, number)).collect();
            json!({ "name": format!("o{organisation}"), "apiKeys": keys })
        })
        .collect();
    let started = Instant::now();
    let table = decode(&json!(tenants))
        .expect("valid")
        .expect("organisations");
    let took = started.elapsed();
    assert_eq!(table.key_count(), 10_000);
    for organisation in 0..1_000 {
        let name = format!("o{organisation}");
        assert_eq!(name_of(&table, &key(organisation, 9)), Some(&*name));
    }
    assert!(took < Duration::from_secs(2), "{took:?}");
}

/// Guards against calls of a request that ended long ago, and against memory that grows with the
/// number of requests or the length of their ids.
#[test]
fn ended_requests_are_kept_for_a_while_and_in_bounded_number() {
    let mut ended = EndedRequests::default();
    ended.record(TimeMs(0), "a", 1);
    ended.record(TimeMs(100), "a", 2);
    ended.record(TimeMs(100), &"x".repeat(MAX_ID_BYTES + 1), 3);
    assert_eq!(ended.len(), 2);
    assert_eq!(ended.get(TimeMs(100 + RETENTION_MS), "a"), Some(&2));
    assert_eq!(ended.get(TimeMs(101 + RETENTION_MS), "a"), None);
    ended.expire(TimeMs(50 + RETENTION_MS));
    assert_eq!(
        ended.get(TimeMs(200), "a"),
        Some(&2),
        "only the first run has expired"
    );
    for number in 0..2 * MAX_REQUESTS {
        ended.record(TimeMs(200), &format!("r{number}"), number);
    }
    assert_eq!(ended.len(), MAX_REQUESTS);
    assert_eq!(ended.get(TimeMs(200), "r0"), None, "the oldest go first");
    ended.expire(TimeMs(201 + RETENTION_MS));
    assert!(ended.is_empty());
}

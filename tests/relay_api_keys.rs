//! Tests of API keys with real relays over loopback: who may send, what reaches a backend server,
//! and how calls and revoked keys are treated.

mod deployment;

use deployment::{Deployment, config, route};
use serde_json::{Value, json};

const GOLD_KEY: &str = "gold-key-1";
const REVOKED_KEY: &str = "gold-key-2";
const TIN_KEY: &str = "tin-key-1";

/// A configuration with two organisations and a public route; `gold_keys` are the first one's.
fn keyed_config(version: u64, gold_keys: &[&str]) -> Value {
    let mut public = route("public", "/public/", "safe", "a");
    public["public"] = json!(true);
    public["priority"] = json!(3);
    let once = route("once", "/once/", "unsafe", "a");
    let other = route("other", "/other/", "safe", "b");
    let mut config = config(
        version,
        &[route("safe", "/safe/", "safe", "a"), once, public, other],
    );
    config["tenants"] = json!([
        { "name": "gold", "apiKeys": gold_keys, "priority": 1 },
        { "name": "tin", "apiKeys": [TIN_KEY], "ratePerS": 5.5, "burst": 0 },
    ]);
    config
}

async fn start(services: &[&str]) -> Deployment {
    let deployment = Deployment::start(services).await;
    let config = keyed_config(2, &[GOLD_KEY, REVOKED_KEY]);
    deployment.configure(2, &config).await;
    deployment
}

/// Guards against requests that run without a valid API key or in the name of an organisation that
/// is not theirs, against API keys at a backend server, and against refusals of valid requests; on
/// the daemon beside the backend server and over a hop.
#[tokio::test]
async fn each_request_runs_for_the_organisation_of_its_key_or_not_at_all() {
    struct Case {
        path: &'static str,
        api_key: Option<&'static str>,
        status: u16,
        organisation: Option<&'static str>,
    }
    let case = |path, api_key, status, organisation| Case {
        path,
        api_key,
        status,
        organisation,
    };
    let cases = [
        case("/safe/echo", Some(GOLD_KEY), 200, Some("gold")),
        case("/once/echo", Some(TIN_KEY), 200, Some("tin")),
        case("/safe/echo", None, 401, None),
        case("/safe/echo", Some(""), 401, None),
        case("/once/echo", Some("nobody's"), 401, None),
        case("/public/echo", None, 200, None),
        case("/public/echo", Some(GOLD_KEY), 200, Some("gold")),
        case("/public/echo", Some("nobody's"), 200, None),
        case("/none/echo", None, 404, None),
    ];
    let deployment = start(&["a", "b"]).await;
    for (number, case) in cases.iter().enumerate() {
        for host in [0, 1] {
            let id = format!("identified-{number}-{host}");
            let forged = [("x-tenant-id", "tin"), ("X-Tenant-Id", "gold")];
            let answer = deployment.call_as(host, case.path, &id, case.api_key, &forged);
            let answer = answer.await;
            assert_eq!(answer.status.as_u16(), case.status, "{id}");
            assert_eq!(answer.headers["x-request-id"], id.as_str());
            if case.status != 200 {
                assert_eq!(deployment.runs(&id), 0, "{id}");
                continue;
            }
            let headers = deployment.headers_of(&id);
            let organisation = headers.get("x-tenant-id").map(String::as_str);
            assert_eq!(organisation, case.organisation, "{id}");
            assert!(!headers.contains_key("x-credential"), "{id}");
        }
    }
    for host in &deployment.hosts {
        let page = host.relay.metrics.render().expect("metrics");
        for line in [
            "burdockhall_relay_not_identified_total{cause=\"missing\"} 2",
            "burdockhall_relay_not_identified_total{cause=\"unknown\"} 1",
            "burdockhall_relay_organisations 2",
            "burdockhall_relay_api_keys 3",
        ] {
            assert!(page.contains(line), "{line} is not in {page}");
        }
        for api_key in [GOLD_KEY, TIN_KEY, "nobody's"] {
            assert!(!page.contains(api_key));
            assert!(!format!("{:?}", host.relay).contains(api_key));
        }
    }
}

/// Guards against changed headers where the configuration names no organisations.
#[tokio::test]
async fn without_organisations_headers_pass_as_they_are() {
    let deployment = Deployment::start(&["a", "b"]).await;
    for host in [0, 1] {
        let id = format!("plain.{host}");
        let sent = [("x-tenant-id", "own")];
        let answer = deployment.call_as(host, "/safe/echo", &id, Some("own-key"), &sent);
        assert_eq!(answer.await.status, 200);
        let headers = deployment.headers_of(&id);
        assert_eq!(headers["x-tenant-id"], "own");
        assert_eq!(headers["x-credential"], "own-key");
    }
}

/// Guards against calls that run for another organisation than their parent, are refused for want
/// of an API key, or run although nothing shows whose they are.
#[tokio::test]
async fn calls_run_for_the_organisation_of_their_parent() {
    struct Case {
        name: &'static str,
        parent_path: &'static str,
        api_key: Option<&'static str>,
        organisation: Option<&'static str>,
        /// Whether the call is made after the parent has ended.
        is_late: bool,
    }
    let case = |name, parent_path, api_key, organisation, is_late| Case {
        name,
        parent_path,
        api_key,
        organisation,
        is_late,
    };
    let cases = [
        case(
            "gold",
            "/safe/work.300",
            Some(GOLD_KEY),
            Some("gold"),
            false,
        ),
        case("tin", "/once/work.300", Some(TIN_KEY), Some("tin"), false),
        case("late", "/safe/echo", Some(TIN_KEY), Some("tin"), true),
        case("nobody", "/public/work.300", None, None, false),
    ];
    // The parent runs beside host 0 and enters at host 1; its call runs beside host 1.
    let deployment = start(&["a", "b"]).await;
    for case in &cases {
        let parent = async {
            let answer = deployment.call_as(1, case.parent_path, case.name, case.api_key, &[]);
            assert_eq!(answer.await.status, 200, "{}", case.name);
        };
        let call_id = format!("{}.1", case.name);
        let call = async {
            let runs = |deployment: &Deployment| deployment.runs(case.name) == 1;
            deployment.wait("the parent", runs).await;
            let forged = [("x-tenant-id", "forged")];
            let answer = deployment.call_as(0, "/other/echo", &call_id, None, &forged);
            assert_eq!(answer.await.status, 200, "{call_id}");
        };
        if case.is_late {
            parent.await;
            call.await;
        } else {
            tokio::join!(parent, call);
        }
        let headers = deployment.headers_of(&call_id);
        let organisation = headers.get("x-tenant-id").map(String::as_str);
        assert_eq!(organisation, case.organisation, "{call_id}");
    }
    // Host 1 has run no parent; a request with a key is a client's whatever its id.
    let unknown = deployment
        .call_as(1, "/other/echo", "gold.2", None, &[])
        .await;
    assert_eq!(unknown.status, 503);
    assert!(unknown.headers.contains_key("retry-after"));
    assert_eq!(deployment.runs("gold.2"), 0);
    let keyed = deployment.call_as(0, "/other/echo", "gold.3", Some(TIN_KEY), &[]);
    assert_eq!(keyed.await.status, 200);
    assert_eq!(deployment.headers_of("gold.3")["x-tenant-id"], "tin");
}

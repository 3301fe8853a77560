//! Tests of API keys with real relays over loopback: who may send, what reaches a backend server,
//! and how calls and revoked keys are treated.

mod deployment;

use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use burdockhall::net::relay::Relay;
use burdockhall::platform;
use deployment::{Deployment, config, hop_request, route, send_with_headers};
use serde_json::{Value, json};

const GOLD_KEY: &str = "gold-key-1";
const REVOKED_KEY: &str = "gold-key-2";
const TIN_KEY: &str = "tin-key-1";
const UNKNOWN_KEY: &str = "key-of-nobody";

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

/// Writes all log lines of this process to a file, and returns its path.
fn log_file() -> &'static PathBuf {
    static PATH: OnceLock<PathBuf> = OnceLock::new();
    PATH.get_or_init(|| {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("relay_api_keys.log");
        let sink = spdlog::sink::FileSink::builder().path(&path).truncate(true);
        let logger = spdlog::Logger::builder()
            .sink(sink.build_arc().expect("a file"))
            .level_filter(spdlog::LevelFilter::All)
            .flush_level_filter(spdlog::LevelFilter::All)
            .build();
        spdlog::set_default_logger(Arc::new(logger.expect("a logger")));
        path
    })
}

fn set_strict(relay: &Relay, revoke_s: f64, strict_revoke: bool) {
    let mut settings = (*relay.settings.load_full()).clone();
    settings.bounds.revoke_s = revoke_s;
    settings.bounds.strict_revoke = strict_revoke;
    relay.settings.store(Arc::new(settings));
}

async fn start(services: &[&str]) -> Deployment {
    log_file();
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
        case("/once/echo", Some(UNKNOWN_KEY), 401, None),
        case("/public/echo", None, 200, None),
        case("/public/echo", Some(GOLD_KEY), 200, Some("gold")),
        case("/public/echo", Some(UNKNOWN_KEY), 200, None),
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
    // As from an entry whose configuration does not name organisations yet.
    let hop = serde_json::to_string(&hop_request("i-0", None, 1_000)).expect("JSON");
    let headers = [
        ("x-request-id", "hop"),
        ("burdockhall-hop", &hop),
        ("x-tenant-id", "gold"),
        ("x-credential", UNKNOWN_KEY),
    ];
    let hop_address = deployment.hosts[0].settings.hop_address;
    send_with_headers(hop_address, "/once/echo", &headers, b"").await;
    let headers = deployment.headers_of("hop");
    assert!(!headers.contains_key("x-tenant-id") && !headers.contains_key("x-credential"));
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
        for api_key in [GOLD_KEY, TIN_KEY, UNKNOWN_KEY] {
            assert!(!page.contains(api_key));
            assert!(!format!("{:?}", host.relay).contains(api_key));
        }
    }
    let log = std::fs::read_to_string(log_file()).expect("the log");
    assert!(log.contains("refused for its API key"), "{log}");
    for api_key in [GOLD_KEY, REVOKED_KEY, TIN_KEY, UNKNOWN_KEY] {
        assert!(!log.contains(api_key), "{log}");
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
        /// The parent's; one that does not work for a while has ended before its call is made.
        path: &'static str,
        api_key: Option<&'static str>,
        organisation: Option<&'static str>,
        /// The organisation's, or else that of the route.
        priority: u8,
    }
    let case = |name, path, api_key, organisation, priority| Case {
        name,
        path,
        api_key,
        organisation,
        priority,
    };
    let (gold, tin) = (Some("gold"), Some("tin"));
    let cases = [
        case("own", "/safe/work.300", Some(GOLD_KEY), gold, 1),
        case("route's", "/once/work.300", Some(TIN_KEY), tin, 0),
        case("late", "/safe/echo", Some(TIN_KEY), tin, 0),
        case("nobody", "/public/work.300", None, None, 3),
    ];
    // The parent runs beside host 0 and enters at host 1; its call runs beside host 1.
    let deployment = start(&["a", "b"]).await;
    for case in &cases {
        let parent = async {
            let answer = deployment.call_as(1, case.path, case.name, case.api_key, &[]);
            assert_eq!(answer.await.status, 200, "{}", case.name);
        };
        let call_id = format!("{}.1", case.name);
        let is_late = case.path.ends_with("echo");
        let call = async {
            let runs = |deployment: &Deployment| deployment.runs(case.name) == 1;
            deployment.wait("the parent", runs).await;
            if !is_late {
                let tables = deployment.hosts[0].relay.tables();
                assert_eq!(tables.running[case.name].root.priority, case.priority);
            }
            let forged = [("x-tenant-id", "forged")];
            let answer = deployment.call_as(0, "/other/echo", &call_id, None, &forged);
            assert_eq!(answer.await.status, 200, "{call_id}");
        };
        if is_late {
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
        .call_as(1, "/other/echo", "own.2", None, &[])
        .await;
    assert_eq!(unknown.status, 503);
    assert!(unknown.headers.contains_key("retry-after"));
    assert_eq!(deployment.runs("own.2"), 0);
    let keyed = deployment.call_as(0, "/other/echo", "own.3", Some(TIN_KEY), &[]);
    assert_eq!(keyed.await.status, 200);
    assert_eq!(deployment.headers_of("own.3")["x-tenant-id"], "tin");
}

/// Guards against a revoked API key that goes on being accepted by a daemon that has lost the log
/// service, against valid requests that are refused there, and against a 401 for an API key that may
/// have been added meanwhile.
#[tokio::test]
async fn without_the_log_service_a_revocation_comes_from_a_peer() {
    let deployment = start(&["a", "b"]).await;
    let send = async |id: &str, api_key| {
        let answer = deployment.call_as(1, "/safe/echo", id, Some(api_key), &[]);
        answer.await.status.as_u16()
    };
    assert_eq!(send("before", REVOKED_KEY).await, 200);
    let down = &deployment.store.faults().down;
    down.store(true, Ordering::Relaxed);
    let is_lost = |deployment: &Deployment| {
        let mut hosts = deployment.hosts.iter();
        hosts.all(|host| !host.relay.is_config_up_to_date())
    };
    deployment
        .wait("the loss of the log service", is_lost)
        .await;
    let record = keyed_config(3, &[GOLD_KEY]).to_string();
    let peer = &deployment.hosts[0].relay;
    assert!(platform::CONFIG.install(peer, record.as_bytes(), "test"));
    let has_newer = |deployment: &Deployment| deployment.hosts[1].relay.config_version() == 3;
    deployment.wait("the newer version", has_newer).await;
    assert_eq!(send("away-valid", GOLD_KEY).await, 200);
    assert_eq!(send("away-revoked", REVOKED_KEY).await, 503);
    down.store(false, Ordering::Relaxed);
    let is_back = |deployment: &Deployment| !is_lost(deployment);
    deployment.wait("the log service", is_back).await;
    let all_back = |deployment: &Deployment| deployment.hosts[1].relay.is_config_up_to_date();
    deployment.wait("the log service at host 1", all_back).await;
    // The log service holds version 2, in which the key was still valid.
    assert_eq!(send("back-revoked", REVOKED_KEY).await, 401);
    assert_eq!(send("back-valid", GOLD_KEY).await, 200);
    assert_eq!(
        deployment.runs("away-revoked") + deployment.runs("back-revoked"),
        0
    );
}

/// Guards against a daemon that serves by an old configuration although the operators forbid it,
/// and against one that refuses although they do not, or although it reaches the log service.
#[tokio::test]
async fn strict_revoke_refuses_only_without_news_of_the_configuration() {
    let deployment = start(&["a", "b"]).await;
    // Shorter than the 2 s for which two readers usually wait in a long poll.
    let revoke_s = 1.8;
    for host in &deployment.hosts {
        set_strict(&host.relay, revoke_s, true);
    }
    let send = async |host, path, id: &str, api_key| {
        let answer = deployment.call_as(host, path, id, api_key, &[]).await;
        let has_retry_after = answer.headers.contains_key("retry-after");
        let status = answer.status.as_u16();
        assert_eq!(has_retry_after, status == 503, "{id}");
        status
    };
    tokio::time::sleep(Duration::from_secs(2)).await;
    for step in 0..40 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        for host in &deployment.hosts {
            let age_ms = host.relay.config_age_ms();
            assert!(
                !host.relay.is_config_too_old(),
                "{age_ms} ms in step {step}"
            );
        }
    }
    assert_eq!(
        send(0, "/safe/echo", "connected", Some(GOLD_KEY)).await,
        200
    );
    deployment
        .store
        .faults()
        .down
        .store(true, Ordering::Relaxed);
    let is_too_old = |deployment: &Deployment| deployment.hosts[1].relay.is_config_too_old();
    deployment.wait("an old configuration", is_too_old).await;
    assert_eq!(send(1, "/safe/echo", "strict", Some(GOLD_KEY)).await, 503);
    assert_eq!(send(1, "/safe/echo", "strict-none", None).await, 401);
    assert_eq!(send(1, "/public/echo", "strict-public", None).await, 200);
    assert_eq!(deployment.runs("strict"), 0);
    set_strict(&deployment.hosts[1].relay, revoke_s, false);
    assert_eq!(send(1, "/safe/echo", "usual", Some(GOLD_KEY)).await, 200);
    set_strict(&deployment.hosts[1].relay, revoke_s, true);
    deployment
        .store
        .faults()
        .down
        .store(false, Ordering::Relaxed);
    deployment
        .wait("news", |deployment| !is_too_old(deployment))
        .await;
    assert_eq!(send(1, "/safe/echo", "back", Some(GOLD_KEY)).await, 200);
}

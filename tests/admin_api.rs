//! Administration API: tokens, roles, health checks and metrics.

mod workdir;

use burdockhall::config::{AdminToken, Role};
use burdockhall::model::Announcement;
use burdockhall::net::admin_auth::{Operation, Team};
use burdockhall::net::admin_status::Status;
use workdir::running::RunningDaemon;
use workdir::{OPERATOR, TEAM, raw, request, wait_for};

struct Route {
    name: &'static str,
    method: &'static str,
    path: &'static str,
    token: Option<&'static str>,
    status: u16,
    body_contains: &'static str,
}

const fn route(
    name: &'static str,
    (method, path): (&'static str, &'static str),
    token: Option<&'static str>,
    status: u16,
    body_contains: &'static str,
) -> Route {
    Route {
        name,
        method,
        path,
        token,
        status,
        body_contains,
    }
}

const STATUS: (&str, &str) = ("GET", "/v1/status");
const DRAIN: (&str, &str) = ("POST", "/v1/drain");

const ROUTES: [Route; 11] = [
    route("no token", STATUS, None, 401, "authorization: Bearer TOKEN"),
    route(
        "wrong token",
        STATUS,
        Some("wrong"),
        401,
        "not known to this daemon",
    ),
    route(
        "prefix of a valid token",
        STATUS,
        Some("example-operator-toke"),
        401,
        "not known",
    ),
    route(
        "operator reads",
        STATUS,
        Some(OPERATOR),
        200,
        "\"phase\":\"serving\"",
    ),
    route(
        "team reads",
        STATUS,
        Some(TEAM),
        200,
        "\"phase\":\"serving\"",
    ),
    route(
        "workers",
        ("GET", "/v1/workers"),
        Some(TEAM),
        200,
        "redemptions",
    ),
    route(
        "team may not drain",
        DRAIN,
        Some(TEAM),
        403,
        "the team `redemptions` with the role `team`",
    ),
    route(
        "unknown route",
        ("GET", "/v2"),
        Some(OPERATOR),
        404,
        "/v1/status",
    ),
    route(
        "metrics without a token",
        ("GET", "/metrics"),
        None,
        200,
        "burdockhall_done_total",
    ),
    route(
        "liveness without a token",
        ("GET", "/health/live"),
        None,
        200,
        "serving",
    ),
    route(
        "readiness without a token",
        ("GET", "/health/ready"),
        None,
        200,
        "serving",
    ),
];

#[test]
fn routes_require_a_token_and_a_role() {
    let running = RunningDaemon::start(1, |_| {});
    for case in &ROUTES {
        let bearer = case.token.map(|token| format!("Bearer {token}"));
        let headers: Vec<(&str, &str)> = bearer
            .iter()
            .map(|bearer| ("authorization", bearer.as_str()))
            .collect();
        let bytes = request(case.method, case.path, &headers, "");
        let answer = raw(running.settings.admin_address, &bytes).unwrap();
        assert_eq!(answer.status, case.status, "{}: {answer:?}", case.name);
        assert!(
            answer.body.contains(case.body_contains),
            "{}: {answer:?}",
            case.name
        );
    }
}

#[test]
fn metrics_require_a_token_if_configured() {
    let running = RunningDaemon::start(1, |settings| settings.admin.metrics_need_token = true);
    let admin = running.settings.admin_address;
    let without_token = raw(admin, &request("GET", "/metrics", &[], "")).unwrap();
    assert_eq!(without_token.status, 401);
    let bearer = format!("Bearer {TEAM}");
    let headers = [("authorization", bearer.as_str())];
    let metrics = raw(admin, &request("GET", "/metrics", &headers, "")).unwrap();
    assert_eq!(metrics.status, 200);
}

#[test]
fn status_and_metrics_count_what_happened() {
    let running = RunningDaemon::start(1, |_| {});
    let answer = running.call("voucher 7").unwrap();
    assert_eq!((answer.status, answer.body.as_str()), (200, "voucher 7"));
    let bearer = format!("Bearer {OPERATOR}");
    let headers = [("authorization", bearer.as_str())];
    let admin = running.settings.admin_address;
    let status = raw(admin, &request("GET", "/v1/status", &headers, "")).unwrap();
    let status: Status = serde_json::from_str(&status.body).unwrap();
    assert_eq!(status.counters["done"], 1);
    assert_eq!(status.counters["handed_over"], 1);
    assert_eq!(status.workers, 1);
    assert_eq!(status.backend_server.unwrap().slots, 4);
    assert!(status.process.resident_bytes > 0);
    let workers = raw(admin, &request("GET", "/v1/workers", &headers, "")).unwrap();
    let workers: Vec<Announcement> = serde_json::from_str(&workers.body).unwrap();
    assert_eq!(workers[0].vm.worker, status.worker);
    let metrics = raw(admin, &request("GET", "/metrics", &[], ""))
        .unwrap()
        .body;
    for line in [
        "# TYPE burdockhall_done_total counter",
        "burdockhall_done_total 1",
        "burdockhall_ready 1",
        "burdockhall_bound_reached_total{bound=\"body\",listener=\"callers\"} 0",
        "# TYPE process_resident_memory_bytes gauge",
    ] {
        assert!(metrics.contains(line), "{line} is missing from\n{metrics}");
    }
}

#[test]
fn a_draining_daemon_is_live_but_not_ready() {
    let running = RunningDaemon::start(1, |_| {});
    let daemon = running.daemon.as_ref().unwrap();
    let event = burdockhall::decide::phase::PhaseEvent::StopRequested;
    daemon.lifecycle().handle(event);
    let admin = running.settings.admin_address;
    let live = raw(admin, &request("GET", "/health/live", &[], "")).unwrap();
    let ready = raw(admin, &request("GET", "/health/ready", &[], "")).unwrap();
    assert_eq!((live.status, ready.status), (200, 503));
    assert_eq!(ready.body, "{\"phase\":\"draining\"}");
}

#[test]
fn an_isolated_daemon_becomes_ready_with_the_built_in_rules() {
    let settings = workdir::free_settings();
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let mechanisms = burdockhall::decide::Mechanisms::ALL;
    let starting = burdockhall::net::Daemon::start(&settings, mechanisms);
    let daemon = runtime.block_on(starting).unwrap();
    let admin = settings.admin_address;
    let first = raw(admin, &request("GET", "/health/ready", &[], "")).unwrap();
    assert_eq!(first.status, 503);
    wait_for("the daemon to serve", || {
        let answer = raw(admin, &request("GET", "/health/ready", &[], ""))?;
        (answer.status == 200).then_some(())
    });
    assert!(!daemon.control().had_contact());
}

struct PermissionCase {
    role: Role,
    operation: Operation,
    allowed: bool,
}

#[test]
fn a_role_limits_what_a_team_may_do() {
    let own_service = || Operation::ChangeRules(Some("redemptions".into()));
    let other_service = || Operation::ChangeRules(Some("ledger".into()));
    let cases = [
        (Role::Viewer, Operation::Read, true),
        (Role::Viewer, Operation::Drain, false),
        (Role::Viewer, own_service(), false),
        (Role::Team, Operation::Read, true),
        (Role::Team, Operation::Drain, false),
        (Role::Team, own_service(), true),
        (Role::Team, other_service(), false),
        (Role::Team, Operation::ChangeRules(None), false),
        (Role::Operator, Operation::Read, true),
        (Role::Operator, Operation::Drain, true),
        (Role::Operator, other_service(), true),
        (Role::Operator, Operation::ChangeRules(None), true),
    ]
    .map(|(role, operation, allowed)| PermissionCase {
        role,
        operation,
        allowed,
    });
    for case in cases {
        let team = Team {
            name: "redemptions".to_owned(),
            role: case.role,
            services: vec!["redemptions".into()],
        };
        let checked = team.check(&case.operation);
        let (role, operation) = (case.role, &case.operation);
        assert_eq!(checked.is_ok(), case.allowed, "{role} {operation:?}");
    }
}

#[test]
fn a_token_identifies_its_team() {
    let tokens = [
        ("first-token-of-all", "one"),
        ("second-token-of-all", "two"),
    ];
    let settings = tokens.map(|(token, team)| AdminToken {
        token: token.to_owned(),
        team: team.to_owned(),
        role: Role::Viewer,
        services: Vec::new(),
    });
    let known = burdockhall::net::admin_auth::Tokens::new(&settings);
    for (token, team) in tokens {
        let mut headers = hyper::HeaderMap::new();
        let value = format!("Bearer {token}").parse().unwrap();
        headers.insert(hyper::header::AUTHORIZATION, value);
        assert_eq!(known.team(&headers).unwrap().name, team);
    }
}

#[test]
fn the_operations_page_documents_each_metric() {
    let page = include_str!("../docs/OPERATIONS.md");
    let running = RunningDaemon::start(1, |_| {});
    let admin = running.settings.admin_address;
    let metrics = raw(admin, &request("GET", "/metrics", &[], ""))
        .unwrap()
        .body;
    let names: Vec<&str> = metrics
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE ")?.split(' ').next())
        .collect();
    assert!(names.len() > 20, "{names:?}");
    for name in names {
        assert!(
            page.contains(&format!("`{name}`")),
            "docs/OPERATIONS.md does not document {name}"
        );
    }
}

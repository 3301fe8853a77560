//! Quotas with real relays over loopback.

mod deployment;

use std::sync::Arc;
use std::time::{Duration, Instant};

use burdockhall::decide::relay::Quota;
use burdockhall::decide::relay::quotas::{QuotaBounds, QuotaRole};
use burdockhall::net::relay::follow::MEMBERS_TOPIC;
use deployment::{Deployment, config, route};
use serde_json::{Value, json};

const GOLD_KEY: &str = "gold-key";
const TIN_KEY: &str = "tin-key";
const QUOTA: Quota = Quota {
    per_s: 20.0,
    burst: 10.0,
};
const SPAN: Duration = Duration::from_secs(9);

fn quota_config(version: u64) -> Value {
    let routes = [
        route("safe", "/safe/", "safe", "a"),
        route("other", "/other/", "safe", "b"),
    ];
    let mut config = config(version, &routes);
    config["tenants"] = json!([
        { "name": "gold", "apiKeys": [GOLD_KEY], "ratePerS": QUOTA.per_s, "burst": QUOTA.burst },
        { "name": "tin", "apiKeys": [TIN_KEY], "ratePerS": 20, "burst": 10 },
    ]);
    config
}

/// Sends at this rate over all hosts in turn; returns the number of answers 200, and of answers 429
/// together with the shortest time after which to retry.
async fn send_at(
    deployment: &Arc<Deployment>,
    api_key: &'static str,
    per_s: f64,
) -> (usize, usize, f64) {
    let until = Instant::now() + SPAN;
    let mut calls = tokio::task::JoinSet::new();
    let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / per_s));
    let mut number = 0;
    while Instant::now() < until {
        ticks.tick().await;
        number += 1;
        let deployment = Arc::clone(deployment);
        calls.spawn(async move {
            let (host, id) = (number % 3, format!("{api_key}-{number}"));
            let answer = deployment.call_as(host, "/safe/echo", &id, Some(api_key), &[]);
            let answer = answer.await;
            let after = answer.headers.get("retry-after");
            let after = after.and_then(|after| after.to_str().ok()?.parse::<f64>().ok());
            (answer.status.as_u16(), after)
        });
    }
    let answers = calls.join_all().await;
    let of = |status: u16| answers.iter().filter(move |answer| answer.0 == status);
    let after = of(429).filter_map(|(_, after)| *after);
    (
        of(200).count(),
        of(429).count(),
        after.fold(f64::MAX, f64::min),
    )
}

/// Guards against QUOTA: a daemon that had read no member record since its start took itself for the whole
/// deployment, and gave the whole quota away beside the others.
#[tokio::test]
async fn a_daemon_that_does_not_know_the_others_has_no_part_of_a_quota() {
    let mut deployment = Deployment::start(&["a", "a"]).await;
    deployment.configure(2, &quota_config(2)).await;
    let faults = deployment.store.faults();
    *faults.down_topic.lock().expect("no panic") = Some(MEMBERS_TOPIC.to_owned());
    deployment.add_host("a", "region").await;
    deployment
        .wait("the configuration at the new host", |deployment| {
            deployment.hosts[2].relay.config_version() == 2
        })
        .await;
    // Longer than it takes to become an aggregator.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let send = async |deployment: &Deployment, name: &str| {
        let mut statuses = Vec::new();
        for number in 0..10 {
            let id = format!("{name}-{number}");
            let answer = deployment.call_as(2, "/safe/echo", &id, Some(GOLD_KEY), &[]);
            statuses.push(answer.await.status.as_u16());
            // Half the quota.
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        statuses
    };
    assert_eq!(send(&deployment, "unknown").await, [429; 10]);
    *deployment
        .store
        .faults()
        .down_topic
        .lock()
        .expect("no panic") = None;
    deployment
        .wait("the members at all hosts", |deployment| {
            let mut hosts = deployment.hosts.iter();
            hosts.all(|host| host.relay.tables().directory.all().count() == 3)
        })
        .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(send(&deployment, "known").await, [200; 10]);
}

/// Guards against an organisation that exceeds its quota because its requests enter at several
/// daemons, against refusals of another one, and against refusals that name no time.
#[tokio::test]
async fn an_organisation_at_ten_times_its_quota_gets_its_quota() {
    let deployment = Deployment::start(&["a", "a", "b"]).await;
    let roles = |deployment: &Deployment| {
        let hosts = deployment.hosts.iter();
        hosts
            .filter_map(|host| host.relay.quota_role())
            .collect::<Vec<_>>()
    };
    assert_eq!(roles(&deployment), [], "exchange without a quota");
    deployment.configure(2, &quota_config(2)).await;
    deployment
        .wait("a root, and daemons that lease", |deployment| {
            let roles = roles(deployment);
            roles.contains(&QuotaRole::Root)
                && roles
                    .iter()
                    .filter(|role| **role == QuotaRole::Leases)
                    .count()
                    == 2
        })
        .await;
    let deployment = Arc::new(deployment);
    let gold = send_at(&deployment, GOLD_KEY, QUOTA.per_s * 10.0);
    let tin = send_at(&deployment, TIN_KEY, 5.0);
    let (gold, tin) = tokio::join!(gold, tin);
    assert_eq!((tin.1, tin.2), (0, f64::MAX), "refused below the quota");
    assert!(gold.1 > 0 && gold.2 > 0.1, "{gold:?}");
    let runs = deployment.hosts.iter().flat_map(|host| host.worker.runs());
    let runs = runs.filter(|run| {
        run.headers
            .get("x-tenant-id")
            .is_some_and(|name| name == "gold")
    });
    let mut began: Vec<Instant> = runs.map(|run| run.began).collect();
    began.sort();
    let bounds = QuotaBounds::default();
    let window = Duration::from_secs_f64(bounds.window_s);
    let within = |start: &Instant| {
        began
            .iter()
            .filter(|at| **at >= *start && **at < *start + window)
            .count()
    };
    let most = began.iter().map(within).max().unwrap_or(0);
    let limit = bounds.window_limit(QUOTA);
    assert!(most as f64 <= limit, "{most} in a window, allowed {limit}");
    let least = QUOTA.per_s * SPAN.as_secs_f64() * 0.95;
    assert!(began.len() as f64 >= least, "{} of {least}", began.len());
    println!(
        "{most} in a window of {limit}; {} in all; {gold:?} {tin:?}",
        began.len()
    );
    let pages = deployment
        .hosts
        .iter()
        .map(|host| host.relay.metrics.render());
    let pages: String = pages.map(|page| page.expect("metrics")).collect();
    for line in [
        "burdockhall_relay_quota_refused_total{cause=\"share\"}",
        "burdockhall_relay_quota_limited_here{organisation=\"gold\"} 1",
        "burdockhall_relay_quota_role{role=\"root\"} 1",
    ] {
        assert!(pages.contains(line), "{line} is not in {pages}");
    }
}

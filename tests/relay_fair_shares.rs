//! A real relay over loopback that knows an organisation to be above the level of a service.

mod deployment;

use burdockhall::decide::relay::{PriorityShares, RootKind, ShareReport};
use burdockhall::prelude::*;
use deployment::{Deployment, config, route};
use serde_json::json;

/// Guards against an organisation that is not held to its share or others that are, against a
/// refusal that has run, and against metrics that do not tell.
#[tokio::test]
async fn an_organisation_above_the_level_is_shed_and_others_are_served() {
    let deployment = Deployment::start(&["a"]).await;
    let mut keyed = config(2, &[route("safe", "/safe/", "safe", "a")]);
    keyed["tenants"] = json!([
        { "name": "gold", "apiKeys": ["gold-key"], "priority": 1 },
        { "name": "tin", "apiKeys": ["tin-key"], "priority": 1 },
        { "name": "lead", "apiKeys": ["lead-key"], "priority": 0 },
    ]);
    deployment.configure(2, &keyed).await;
    let relay = &deployment.hosts[0].relay;
    let report = ShareReport {
        service: "a".into(),
        worker: 77,
        age_ms: 0,
        shares: Vec::new(),
        priorities: Some(vec![PriorityShares {
            priority: 1,
            routes: vec!["safe".into()],
            common: 1.0,
            listed: vec![("gold".into(), 0.25)],
        }]),
        capacity_ratio: 1.0,
    };
    let (mut served, mut shed) = (0, 0);
    for number in 0..40 {
        // A report is in force for 1.5 s, which a busy machine may exceed.
        let now = relay.clock.now();
        relay.tables().entry_shares.record_report(now, &report);
        for (organisation, api_key) in [("tin", "tin-key"), ("lead", "lead-key")] {
            let id = format!("{organisation}-{number}");
            let answer = deployment.call_as(0, "/safe/echo", &id, Some(api_key), &[]);
            assert_eq!(answer.await.status.as_u16(), 200, "{id}");
        }
        let id = format!("gold-{number}");
        let answer = deployment.call_as(0, "/safe/echo", &id, Some("gold-key"), &[]);
        let answer = answer.await;
        if answer.status.as_u16() == 200 {
            served += 1;
            continue;
        }
        shed += 1;
        assert_eq!(answer.status.as_u16(), 503, "{id}");
        assert_eq!(deployment.runs(&id), 0, "{id}");
        let retry_after = answer.headers["retry-after"].to_str().expect("text");
        let retry_after_s: f64 = retry_after.parse().expect("seconds");
        assert!(
            (0.6..=1.4).contains(&retry_after_s),
            "{id}: {retry_after_s}"
        );
    }
    assert!((5..=15).contains(&served), "{served} served");
    relay.observe_limited();
    let page = relay.metrics.render().expect("metrics");
    for line in [
        format!("burdockhall_relay_shed_by_priority_total{{priority=\"1\"}} {shed}"),
        "burdockhall_relay_limited_organisations 1".to_owned(),
    ] {
        assert!(page.contains(&line), "{line} is not in {page}");
    }
}

/// Guards against credits with a fixed start, by which a daemon admits the first request of each
/// organisation always or never.
#[tokio::test]
async fn the_first_requests_of_organisations_are_admitted_by_chance() {
    let deployment = Deployment::start(&["a"]).await;
    let relay = &deployment.hosts[0].relay;
    let route = ServiceName::from("safe");
    let report = ShareReport {
        service: "a".into(),
        worker: 77,
        age_ms: 0,
        shares: vec![("safe".into(), 0.5)],
        priorities: None,
        capacity_ratio: 1.0,
    };
    let mut tables = relay.tables();
    let now = relay.clock.now();
    tables.entry_shares.record_report(now, &report);
    let mut admitted = 0;
    for number in 0..1_000 {
        let organisation = OrganisationName::from(format!("o{number}").as_str());
        let kind = RootKind {
            route: &route,
            priority: 1,
            organisation: Some(&organisation),
        };
        admitted += u32::from(tables.admit(now, kind).is_ok());
    }
    // Six standard deviations around the mean.
    assert!((405..=595).contains(&admitted), "{admitted} admitted");
}

//! The trial's table, HTML page, processor shares and schedule on fixed inputs.

use std::collections::BTreeMap;

use burdockhall::trial::cpu::CpuTimes;
use burdockhall::trial::report::{Bottleneck, ClassReport, Policy, RunReport, TrialReport};
use burdockhall::trial::schedule::{Phases, SURGE_FACTOR, arrivals};
use burdockhall::trial::{Deployment, DeploymentName, Series, TrialResult, page};
use strum::IntoEnumIterator;

#[test]
fn table_for_people() {
    insta::assert_snapshot!(report().table());
}

#[test]
fn json_has_the_documented_fields() {
    let json = serde_json::to_value(report()).unwrap();
    let run = &json["runs"][0];
    for field in [
        "policy",
        "classes",
        "goodput_per_s",
        "important_goodput_per_s",
        "recovery_ms",
        "extra_attempts_max",
        "retry_allowance",
        "executed_twice",
        "not_run_but_ran",
        "wrong_answers",
        "lost_in_drain",
        "added_p50_us",
        "added_p99_us",
    ] {
        assert!(run.get(field).is_some(), "{field} is missing");
    }
    for field in ["class", "offered", "done", "not_run", "unknown", "failed"] {
        assert!(run["classes"][0].get(field).is_some(), "{field} is missing");
    }
    assert_eq!(json["seed"], 11);
    assert_eq!(json["deployment"], "levy");
}

#[test]
fn a_machine_bound_run_omits_figures_but_keeps_violation_counts() {
    let mut run = run(Policy::Fixed);
    run.executed_twice = 3;
    run.bottleneck = Bottleneck::Machine;
    let run = run.without_figures();
    assert_eq!(run.goodput_per_s, None);
    assert_eq!(run.added_p99_us, None);
    assert_eq!(run.classes[0].done, None);
    assert_eq!(run.executed_twice, 3);
    assert_eq!(run.recovery_cell(), "-");
}

#[test]
fn the_page_is_self_contained_and_shades_the_trigger() {
    let html = page::page(&TrialResult {
        report: report(),
        series: vec![series(Policy::None), series(Policy::Burdockhall)],
    });
    assert!(html.contains("<svg"));
    assert!(html.contains("fill=\"#f3d9a4\""));
    assert!(html.contains("Concurrency limit"));
    for external in ["http://", "https://", "<script", "<link"] {
        assert!(!html.contains(external), "{external}");
    }
}

#[derive(Debug)]
struct BusyCase {
    name: &'static str,
    earlier: (&'static str, &'static str),
    later: (&'static str, &'static str),
    all: f64,
    own: f64,
}

const BUSY_CASES: [BusyCase; 2] = [
    BusyCase {
        name: "half busy, a quarter by this process",
        earlier: (
            "cpu  100 0 100 700 100 0 0 0 0 0\n",
            "7 (a b) R 1 1 1 0 0 0 0 0 0 0 10 10 0 0",
        ),
        later: (
            "cpu  130 0 120 740 110 0 0 0 0 0\n",
            "7 (a b) R 1 1 1 0 0 0 0 0 0 0 20 25 0 0",
        ),
        all: 0.5,
        own: 0.25,
    },
    BusyCase {
        name: "no time has passed",
        earlier: (
            "cpu  1 1 1 1 1 0 0 0 0 0\n",
            "7 (x) R 1 1 1 0 0 0 0 0 0 0 1 1 0 0",
        ),
        later: (
            "cpu  1 1 1 1 1 0 0 0 0 0\n",
            "7 (x) R 1 1 1 0 0 0 0 0 0 0 1 1 0 0",
        ),
        all: 1.0,
        own: 0.0,
    },
];

#[test]
fn busy_shares_from_proc() {
    for case in &BUSY_CASES {
        let earlier = CpuTimes::parse(case.earlier.0, case.earlier.1).unwrap();
        let later = CpuTimes::parse(case.later.0, case.later.1).unwrap();
        let share = later.since(&earlier);
        assert_eq!(share.all, case.all, "{}", case.name);
        assert_eq!(share.own, case.own, "{}", case.name);
    }
}

#[test]
fn the_same_seed_gives_the_same_demand() {
    for name in DeploymentName::iter() {
        let deployment = Deployment::of(name);
        let phases = Phases::of(10_000);
        let one = arrivals(&deployment, 100.0, phases, 7);
        assert_eq!(one, arrivals(&deployment, 100.0, phases, 7));
        assert_ne!(one, arrivals(&deployment, 100.0, phases, 8));
        let surge_us = phases.surge_from_ms * 1_000..phases.surge_to_ms * 1_000;
        let in_surge = one.iter().filter(|one| surge_us.contains(&one.at_us));
        let expected = 100.0 * SURGE_FACTOR * (phases.surge_to_ms - phases.surge_from_ms) as f64;
        let deviation = (in_surge.count() as f64 - expected / 1_000.0).abs();
        assert!(
            deviation <= 2.0 * deployment.classes.len() as f64,
            "{name}: {deviation}"
        );
    }
}

#[test]
fn every_deployment_is_consistent() {
    for name in DeploymentName::iter() {
        let deployment = Deployment::of(name);
        let shares: f64 = deployment.classes.iter().map(|class| class.share).sum();
        assert!((shares - 1.0).abs() < 1e-9, "{name}: {shares}");
        let known = |service: &&str| deployment.services.iter().any(|plan| plan.name == *service);
        for class in deployment.classes {
            assert!(class.chain.iter().all(known), "{class:?}");
        }
        assert!(known(&deployment.deep), "{name}");
    }
}

fn report() -> TrialReport {
    TrialReport {
        seed: 11,
        deployment: "levy".to_owned(),
        runs: vec![run(Policy::None), machine_bound(), run(Policy::Burdockhall)],
        scale: 0.05,
        faults: vec!["vm-lost".to_owned()],
    }
}

fn machine_bound() -> RunReport {
    let mut run = run(Policy::Fixed);
    run.bottleneck = Bottleneck::Machine;
    run.without_figures()
}

fn run(policy: Policy) -> RunReport {
    RunReport {
        policy,
        classes: vec![ClassReport {
            class: "redemption".to_owned(),
            offered: 100,
            done: Some(90),
            not_run: Some(7),
            unknown: Some(2),
            failed: Some(1),
        }],
        goodput_per_s: Some(180.4),
        important_goodput_per_s: Some(90.0),
        recovery_ms: (policy == Policy::Burdockhall).then_some(400),
        extra_attempts_max: Some(2),
        retry_allowance: 2,
        executed_twice: 0,
        not_run_but_ran: 0,
        wrong_answers: 0,
        lost_in_drain: 0,
        added_p50_us: Some(200),
        added_p99_us: Some(400),
        busy_share: 0.42,
        own_busy_share: 0.3,
        late_p99_ms: 3,
        bottleneck: Bottleneck::Slots,
        calm_goodput_per_s: Some(250.0),
        surge_goodput_per_s: Some(120.5),
        refusals: BTreeMap::from([("shed_at_entry".to_owned(), 12)]),
        started_after_leaving: 0,
    }
}

fn series(policy: Policy) -> Series {
    Series {
        policy,
        surge_ms: (200, 400),
        done: vec![("redemption".to_owned(), vec![1, 2, 3, 2, 1])],
        refusals: vec![0, 0, 4, 0, 0],
        latency_ms: vec![Some(10.0), None, Some(30.0), Some(12.0), Some(10.0)],
        deep_limit: vec![36, 36, 12, 20, 36],
        front_limit: vec![36, u64::from(u32::MAX) * 6, 36, 36, 36],
    }
}

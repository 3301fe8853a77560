//! Short trials: the execution guarantees hold without faults and with each fault.

use std::collections::BTreeSet;

use burdockhall::trial::{DeploymentName, Fault, Policy, TrialPlan, TrialResult};
use strum::IntoEnumIterator;

/// Duration of the load of a short trial, in milliseconds.
const LOAD_DURATION_MS: u64 = 2_000;

#[derive(Debug)]
struct Case {
    name: &'static str,
    deployment: DeploymentName,
    faults: Vec<Fault>,
}

#[test]
fn guarantees_hold_without_a_fault() {
    let cases = [
        Case {
            name: "levy",
            deployment: DeploymentName::Levy,
            faults: Vec::new(),
        },
        Case {
            name: "tantuvan",
            deployment: DeploymentName::Tantuvan,
            faults: Vec::new(),
        },
    ];
    for case in cases {
        case.check();
    }
}

/// Splits the faults between two trials, since starting a trial takes seconds.
#[test]
fn guarantees_hold_under_every_fault() {
    let (even, odd): (Vec<_>, Vec<_>) = Fault::iter().enumerate().partition(is_even);
    let cases = [
        Case {
            name: "every second fault",
            deployment: DeploymentName::Levy,
            faults: even.into_iter().map(|(_, fault)| fault).collect(),
        },
        Case {
            name: "the other faults",
            deployment: DeploymentName::Tantuvan,
            faults: odd.into_iter().map(|(_, fault)| fault).collect(),
        },
    ];
    for case in cases {
        case.check();
    }
}

fn is_even((index, _): &(usize, Fault)) -> bool {
    index % 2 == 0
}

impl Case {
    fn check(&self) {
        let result = trial(self.deployment, self.faults.iter().copied().collect());
        let run = &result.report.runs[0];
        assert_eq!(run.executed_twice, 0, "{}", self.name);
        assert_eq!(run.not_run_but_ran, 0, "{}", self.name);
        assert_eq!(run.wrong_answers, 0, "{}", self.name);
        let offered = run.classes.iter().all(|class| class.offered > 0);
        assert!(offered, "{}", self.name);
        assert_eq!(
            result.report.faults.len(),
            self.faults.len(),
            "{}",
            self.name
        );
    }
}

fn trial(deployment: DeploymentName, faults: BTreeSet<Fault>) -> TrialResult {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let plan = TrialPlan {
        deployment,
        scale: 0.02,
        seed: 5,
        span_ms: LOAD_DURATION_MS,
        faults,
        policies: vec![Policy::Burdockhall],
    };
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(plan.run(|_| {})).unwrap()
}

//! Short trials: the promises hold, every fault runs, the JSON is whole.

use std::collections::BTreeSet;

use burdockhall::trial::{DeploymentName, Fault, Policy, TrialPlan, TrialResult};
use strum::IntoEnumIterator;

/// Length of the load of a short trial, in milliseconds.
const SPAN_MS: u64 = 2_000;

#[derive(Debug)]
struct Case {
    deployment: DeploymentName,
    faults: Vec<Fault>,
}

#[test]
fn promises_hold_under_every_fault() {
    let quiet = [DeploymentName::Levy, DeploymentName::Tantuvan].map(|deployment| Case {
        deployment,
        faults: Vec::new(),
    });
    // Three faults a trial keep the test short; each fault is in one of them.
    let faults: Vec<Fault> = Fault::iter().collect();
    let faulty = faults.chunks(3).map(|some| Case {
        deployment: DeploymentName::Levy,
        faults: some.to_vec(),
    });
    for case in quiet.into_iter().chain(faulty) {
        let result = trial(case.deployment, case.faults.iter().copied().collect());
        let run = &result.report.runs[0];
        assert_eq!(run.executed_twice, 0, "{case:?}");
        assert_eq!(run.not_run_but_ran, 0, "{case:?}");
        assert_eq!(run.wrong_answers, 0, "{case:?}");
        assert!(
            run.classes.iter().all(|class| class.offered > 0),
            "{case:?}"
        );
        assert_eq!(result.report.faults.len(), case.faults.len(), "{case:?}");
    }
}

fn trial(deployment: DeploymentName, faults: BTreeSet<Fault>) -> TrialResult {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let plan = TrialPlan {
        deployment,
        scale: 0.02,
        seed: 5,
        span_ms: SPAN_MS,
        faults,
        policies: vec![Policy::Burdockhall],
    };
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(plan.run(|_| {})).unwrap()
}

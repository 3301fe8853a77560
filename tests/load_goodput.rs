//! Goodput of user requests at three times the normal load, under the virtual clock.

mod support;

use burdockhall::decide::Mechanisms;
use burdockhall::model::{Importance, TimeMs};

use support::load::{
    AGGRESSIVE_RETRIES, Deployment, LoadDriver, NO_RETRIES, RetryPolicy, levy, tantuvan,
};

/// Minimum goodput of critical requests, in percent of the bottleneck's capacity.
const MIN_CRITICAL_PERCENT: f64 = 95.0;
/// Minimum share of the backend servers' work that is done for successful attempts, in percent.
const MIN_USEFUL_PERCENT: f64 = 90.0;
const WARM_UP_MS: u64 = 1_000;
const OVERLOAD_MS: u64 = 4_000;

struct Case {
    name: &'static str,
    deployment: fn() -> Deployment,
    retry_policy: RetryPolicy,
    seed: u64,
}

const CASES: [Case; 4] = [
    Case {
        name: "levy, patient clients",
        deployment: levy,
        retry_policy: NO_RETRIES,
        seed: 11,
    },
    Case {
        name: "levy, clients that retry hard",
        deployment: levy,
        retry_policy: AGGRESSIVE_RETRIES,
        seed: 12,
    },
    Case {
        name: "tantuvan, patient clients",
        deployment: tantuvan,
        retry_policy: NO_RETRIES,
        seed: 13,
    },
    Case {
        name: "tantuvan, clients that retry hard",
        deployment: tantuvan,
        retry_policy: AGGRESSIVE_RETRIES,
        seed: 14,
    },
];

#[test]
fn critical_requests_keep_the_bottleneck_busy() {
    let mut missed = Vec::new();
    for case in &CASES {
        let deployment = (case.deployment)();
        let mut driver =
            LoadDriver::new(case.seed, Mechanisms::ALL, &deployment, case.retry_policy);
        driver.run(WARM_UP_MS + OVERLOAD_MS, 3.0);
        let to = driver.world.now;
        let from = TimeMs(to.0 - OVERLOAD_MS);
        let done = driver.goodput_per_s(Some(Importance::Critical), from, to);
        let critical_percent = 100.0 * done / deployment.capacity_per_s;
        let useful_percent = 100.0 * driver.useful_work_share();
        if critical_percent < MIN_CRITICAL_PERCENT || useful_percent < MIN_USEFUL_PERCENT {
            missed.push(format!(
                "{} (seed {}): critical {critical_percent:.1} %, useful {useful_percent:.1} %, {:?}",
                case.name, case.seed, driver.outcomes(),
            ));
        }
    }
    assert!(missed.is_empty(), "{missed:#?}");
}

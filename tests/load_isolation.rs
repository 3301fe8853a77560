//! A slow eligibility lookup of one provider must not delay the requests of another provider.

mod support;

use burdockhall::decide::{Mechanisms, Note};
use burdockhall::model::Importance;

use support::load::{Deployment, LoadDriver, NO_RETRIES, ServicePlan, Stream};

/// Maximum rise of the other provider's p99 latency, in percent.
const MAX_RISE_PERCENT: f64 = 10.0;
const WARM_UP_MS: u64 = 2_000;
const MEASURED_MS: u64 = 8_000;

#[derive(Debug)]
struct Case {
    name: &'static str,
    slowdown: u64,
    seed: u64,
}

const CASES: [Case; 2] = [
    Case {
        name: "ten times slower",
        slowdown: 10,
        seed: 41,
    },
    Case {
        name: "fifty times slower",
        slowdown: 50,
        seed: 42,
    },
];

#[test]
fn a_slow_lookup_is_felt_by_its_own_provider_only() {
    for case in &CASES {
        let normal_ms = p99_ms(&mut driver(case.seed, Mechanisms::ALL), 1);
        let mut driver = driver(case.seed, Mechanisms::ALL);
        let slowed_ms = p99_ms(&mut driver, case.slowdown);
        let max_ms = normal_ms * (1.0 + MAX_RISE_PERCENT / 100.0);
        assert!(
            slowed_ms <= max_ms,
            "{}: p99 rose from {normal_ms} ms to {slowed_ms} ms",
            case.name
        );
        let mut refusals = 0;
        for (_, _, note) in &driver.world.notes {
            if let Note::LaneFull { lane, resource } = note {
                assert_eq!(lane.as_str(), "provider-a", "{}", case.name);
                assert_ne!(resource.as_str(), "eligibility-b", "{}", case.name);
                refusals += u32::from(resource.as_str() == "eligibility-a");
            }
        }
        assert!(
            refusals > 0,
            "{}: no refusal names the slow service as its cause",
            case.name
        );
    }
}

/// Confirms that the isolation comes from the lanes: with `caller_shares` off, the requests of the
/// other provider wait or are lost.
#[test]
fn without_lanes_the_other_provider_waits() {
    let mechanisms = Mechanisms {
        caller_shares: false,
        ..Mechanisms::ALL
    };
    let mut driver = driver(41, mechanisms);
    driver.run(WARM_UP_MS, 1.0);
    driver.set_slowdown("eligibility-a", 50);
    let from = driver.world.now;
    driver.run(MEASURED_MS, 1.0);
    let latencies = driver.latencies_ms("provider-b", from);
    let p99_ms = latencies[latencies.len() * 99 / 100];
    let lost = driver.offered("provider-b", from) - latencies.len();
    println!("p99 {p99_ms} ms, {lost} lost");
    assert!(p99_ms > 100 || lost > 100, "p99 {p99_ms} ms, {lost} lost");
}

fn p99_ms(driver: &mut LoadDriver, slowdown: u64) -> f64 {
    driver.run(WARM_UP_MS, 1.0);
    driver.set_slowdown("eligibility-a", slowdown);
    let from = driver.world.now;
    driver.run(MEASURED_MS, 1.0);
    let latencies = driver.latencies_ms("provider-b", from);
    let offered = driver.offered("provider-b", from);
    assert!(
        latencies.len() * 100 >= offered * 98,
        "{} of {offered}",
        latencies.len()
    );
    latencies[latencies.len() * 99 / 100] as f64
}

/// Two providers share the redemptions service, which calls a separate eligibility service for
/// each of them.
fn driver(seed: u64, mechanisms: Mechanisms) -> LoadDriver {
    let service = |name, slots, service_ms| ServicePlan {
        name,
        slots,
        service_ms,
    };
    let stream = |request, caller, chain| Stream {
        request,
        chain,
        caller,
        importance: Importance::Critical,
        keyed: false,
        per_s: 300.0,
    };
    let deployment = Deployment {
        name: "eligibility",
        regions: ["dublin", "cork", "galway"],
        services: vec![
            service("redemptions", 20, 10),
            service("eligibility-a", 20, 20),
            service("eligibility-b", 20, 20),
        ],
        streams: vec![
            stream("redeem-a", "provider-a", &["redemptions", "eligibility-a"]),
            stream("redeem-b", "provider-b", &["redemptions", "eligibility-b"]),
        ],
        shares: Vec::new(),
        capacity_per_s: 4_000.0,
        deep_service: "eligibility-a",
    };
    LoadDriver::new(seed, mechanisms, &deployment, NO_RETRIES)
}

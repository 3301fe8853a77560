//! Goodput under faults: misleading load reports, cold zones, lost zones, and two faults at once.

mod support;

use burdockhall::decide::Mechanisms;

use support::load::{AGGRESSIVE_RETRIES, Deployment, LoadDriver, levy, tantuvan};

/// Offered load as a share of the capacity. Five of the six zones can carry it.
const LOAD: f64 = 0.65;
/// Minimum goodput after the fault, as a share of the goodput before it.
const MIN_GOODPUT_SHARE: f64 = 0.95;
const SETTLE_MS: u64 = 2_000;
const MEASURED_MS: u64 = 3_000;

/// The fault that a case injects.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// One worker of the deep service has only a third of the slots that it announces.
    MisleadingReport,
    /// All processes of a zone restart and are five times slower for 1.5 s.
    ColdZone,
    /// All processes of a zone crash.
    LostZone,
    /// A zone is lost, and a worker in another zone has fewer slots than it announces.
    LostZoneAndMisleadingReport,
}

#[derive(Debug)]
struct Case {
    fault: Fault,
    deployment: fn() -> Deployment,
    seed: u64,
}

const CASES: [Case; 8] = [
    Case {
        fault: Fault::MisleadingReport,
        deployment: levy,
        seed: 51,
    },
    Case {
        fault: Fault::ColdZone,
        deployment: levy,
        seed: 52,
    },
    Case {
        fault: Fault::LostZone,
        deployment: levy,
        seed: 53,
    },
    Case {
        fault: Fault::LostZoneAndMisleadingReport,
        deployment: levy,
        seed: 54,
    },
    Case {
        fault: Fault::MisleadingReport,
        deployment: tantuvan,
        seed: 55,
    },
    Case {
        fault: Fault::ColdZone,
        deployment: tantuvan,
        seed: 56,
    },
    Case {
        fault: Fault::LostZone,
        deployment: tantuvan,
        seed: 57,
    },
    Case {
        fault: Fault::LostZoneAndMisleadingReport,
        deployment: tantuvan,
        seed: 58,
    },
];

#[test]
fn goodput_recovers_after_a_fault() {
    let mut missed = Vec::new();
    for case in &CASES {
        let deployment = (case.deployment)();
        let mut driver =
            LoadDriver::new(case.seed, Mechanisms::ALL, &deployment, AGGRESSIVE_RETRIES);
        driver.run(1_000, LOAD);
        let before = driver.measure_goodput(MEASURED_MS, LOAD);
        case.fault.inject(&mut driver, &deployment);
        driver.run(SETTLE_MS, LOAD);
        let after = driver.measure_goodput(MEASURED_MS, LOAD);
        if after < before * MIN_GOODPUT_SHARE {
            let outcomes = driver.outcomes();
            missed.push(format!(
                "{case:?}: goodput {before:.0}/s before, {after:.0}/s after the fault; {outcomes:?}"
            ));
        }
    }
    assert!(missed.is_empty(), "{missed:#?}");
}

impl Fault {
    fn inject(self, driver: &mut LoadDriver, deployment: &Deployment) {
        let zone = 0..deployment.services.len();
        match self {
            Fault::MisleadingReport => misreport_slots(driver, deployment),
            Fault::ColdZone => {
                for host in zone.clone() {
                    driver.world.replace(host);
                    driver.world.hosts[host].backend.slowdown = 5;
                }
                driver.discard_tickets();
                driver.run(1_500, LOAD);
                for host in zone {
                    driver.world.hosts[host].backend.slowdown = 1;
                }
            }
            Fault::LostZone => lose_zone(driver, zone),
            Fault::LostZoneAndMisleadingReport => {
                lose_zone(driver, zone);
                misreport_slots(driver, deployment);
            }
        }
    }
}

fn misreport_slots(driver: &mut LoadDriver, deployment: &Deployment) {
    let mut hosts = driver.world.hosts.iter_mut().rev();
    let deep = hosts.find(|host| host.plan.service.as_str() == deployment.deep_service);
    let backend = &mut deep.expect("the deployment has its deep service").backend;
    backend.slots = (backend.slots / 3).max(1);
}

fn lose_zone(driver: &mut LoadDriver, zone: std::ops::Range<usize>) {
    for host in zone {
        driver.world.kill(host);
    }
}

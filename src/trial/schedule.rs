//! Schedule of the callers' requests, which is the same for all policies of a trial.

use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use super::deployment::Deployment;

/// Demand during the surge, as a multiple of the calm demand.
pub const SURGE_FACTOR: f64 = 3.0;
/// Shares of the run's duration: before, during and after the surge.
const PHASE_SHARES: [f64; 3] = [0.3, 0.3, 0.4];

/// The phases of a run, in milliseconds from its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Phases {
    /// Start of the surge and of the trigger.
    pub surge_from_ms: u64,
    /// End of the surge and of the trigger.
    pub surge_to_ms: u64,
    /// End of the run.
    pub end_ms: u64,
}

/// A scheduled root request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Scheduled start, in microseconds from the start of the run.
    pub at_us: u64,
    /// Index of its class in the deployment.
    pub class: usize,
    /// Random bits that select the caller, the entry daemon and the jitter of resubmissions.
    pub random_bits: u64,
}

impl Phases {
    /// Divides a run of this duration into its phases, each rounded down to 100 ms.
    pub fn of(run_duration_ms: u64) -> Phases {
        let share = |share: f64| (run_duration_ms as f64 * share) as u64 / 100 * 100;
        let surge_from_ms = share(PHASE_SHARES[0]);
        let surge_to_ms = surge_from_ms + share(PHASE_SHARES[1]);
        Phases {
            surge_from_ms,
            surge_to_ms,
            end_ms: surge_to_ms + share(PHASE_SHARES[2]),
        }
    }
}

/// Generates all root requests of a run in order of time. The requests of a class are evenly spaced
/// with jitter, so that the demand varies little from second to second.
pub fn arrivals(
    deployment: &Deployment,
    calm_per_s: f64,
    phases: Phases,
    seed: u64,
) -> Vec<Arrival> {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let parts = [
        (0, phases.surge_from_ms, 1.0),
        (phases.surge_from_ms, phases.surge_to_ms, SURGE_FACTOR),
        (phases.surge_to_ms, phases.end_ms, 1.0),
    ];
    let mut arrivals = Vec::new();
    for (class, plan) in deployment.classes.iter().enumerate() {
        for (from_ms, to_ms, factor) in parts {
            let gap_us = 1_000_000.0 / (calm_per_s * plan.share * factor);
            let mut at_us = from_ms as f64 * 1_000.0;
            while at_us < to_ms as f64 * 1_000.0 {
                let jitter: f64 = rng.random_range(0.0..1.0);
                arrivals.push(Arrival {
                    at_us: (at_us + jitter * gap_us) as u64,
                    class,
                    random_bits: rng.random(),
                });
                at_us += gap_us;
            }
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at_us);
    arrivals
}

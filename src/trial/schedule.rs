//! When the callers make which requests: the same for every policy of a trial.

use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use super::deployment::Deployment;

/// Demand in the surge, as a multiple of that before it.
pub const SURGE_FACTOR: f64 = 3.0;
/// Shares of the run: before the surge, in it, after it.
const PHASE_SHARES: [f64; 3] = [0.3, 0.3, 0.4];

/// The phases of a run, in milliseconds from its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Phases {
    /// The surge begins, and with it the trigger.
    pub surge_from_ms: u64,
    /// Both end.
    pub surge_to_ms: u64,
    /// The run ends.
    pub end_ms: u64,
}

/// A root request that a caller makes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// When, in microseconds from the start of the run.
    pub at_us: u64,
    /// Class, by its index in the deployment.
    pub class: usize,
    /// Random bits for the caller and the entry daemon.
    pub draw: u64,
}

impl Phases {
    /// Phases of a run of this length.
    pub fn of(span_ms: u64) -> Phases {
        let share = |share: f64| (span_ms as f64 * share) as u64 / 100 * 100;
        let surge_from_ms = share(PHASE_SHARES[0]);
        let surge_to_ms = surge_from_ms + share(PHASE_SHARES[1]);
        Phases {
            surge_from_ms,
            surge_to_ms,
            end_ms: surge_to_ms + share(PHASE_SHARES[2]),
        }
    }
}

/// All root requests of a run, in order. Each class is spread evenly with some
/// jitter, so that the demand of one second differs little from that of the next.
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
                    draw: rng.random(),
                });
                at_us += gap_us;
            }
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at_us);
    arrivals
}

//! How much slower a backend server works the more requests it runs.
//!
//! The durations of requests vary far more than any effect of load, and the server's own speed
//! changes meanwhile. Therefore a fixed set of curves is compared: each has a knee, the number of
//! running requests from which on each further one slows all, and a steepness. For each curve a
//! filter follows the speed that the server would have if the curve held. The better a filter
//! predicts the next duration, the more likely its curve is.

use rand::{Rng, RngExt};

/// Steps into which the slots are divided; loads in between count as the nearest step.
pub const LOAD_STEPS: usize = 80;
/// Lowest and highest knee that is considered, as steps of the slots: 0.4 and 0.95 of them.
const KNEE_STEPS: std::ops::RangeInclusive<usize> = 32..=76;
/// Distance between two knees that are considered, in steps: 0.05 of the slots.
const KNEE_STRIDE: usize = 4;
/// Steepness that is considered: by what fraction of the unloaded duration a load of twice the
/// knee would slow requests. Below 1, more running requests always give a higher throughput.
const STEEPNESS: [f64; 4] = [0.7, 1.8, 3.5, 7.0];
/// Slowdown while the last slots are in use, from the highest knee on, in the last curve.
const LAST_SLOTS_SLOWDOWN: f64 = 1.3;
/// Number of curves: a flat one, and each steepness at each knee, but for the last one.
const CURVES: usize = 1 + 12 * STEEPNESS.len();
/// Initial weight of the curve by which only the last slots slow requests down, relative to one of
/// the others: most servers are best at the fixed limit.
const USUAL_WEIGHT: f64 = 8.0;
/// Initial weight of the curve without an effect of load, relative to one of the others.
const FLAT_WEIGHT: f64 = 2.0;
/// Prediction errors count as at most this many standard deviations; larger ones mean a sudden
/// change of speed, which is no evidence about the load.
const MAX_DEVIATIONS: f64 = 2.5;
/// Uncertainty of the speed before the first duration, as a variance of its logarithm.
const INITIAL_VARIANCE: f64 = 1.0;
/// Least and highest uncertainty of the speed, as variances of its logarithm.
const VARIANCE_RANGE: (f64, f64) = (1e-4, 1.0);
/// Uncertainty of the speed after a sudden change, as a variance of its logarithm.
const JUMP_VARIANCE: f64 = 0.5;
/// Largest advantage of one curve over another, as a difference of log-likelihoods. It bounds how
/// much evidence is needed to notice that the server has changed.
pub const MAX_ADVANTAGE: f64 = 6.0;

/// One measured duration or stated figure.
#[derive(Debug, Clone, Copy)]
pub struct Observation {
    /// Mean number of running requests during the time observed, in steps of the slots.
    pub load: f64,
    /// Logarithm of the duration, relative to the usual duration of its route.
    pub slowdown: f64,
    /// Variance of `slowdown` between equal requests at the same speed and load.
    pub variance: f64,
    /// Whether the load was set by the limit. Otherwise a slow server has more requests running
    /// because it is slow, which tells nothing about the effect of load.
    pub is_evidence: bool,
}

/// Compares curves of slowdown against load by the durations observed.
#[derive(Debug, Clone)]
pub struct LoadCurve {
    /// Logarithm of the slowdown by curve and load.
    slowdowns: Vec<[f64; LOAD_STEPS + 1]>,
    /// Throughput by curve and load, relative to the highest of the curve.
    throughputs: Vec<[f64; LOAD_STEPS + 1]>,
    /// Load with the highest throughput, by curve.
    best: [usize; CURVES],
    /// Log-likelihood by curve before any observation.
    prior: [f64; CURVES],
    /// Log-likelihood by curve.
    likelihood: [f64; CURVES],
    /// Probability by curve, from `likelihood`.
    probability: [f64; CURVES],
    /// Logarithm of the unloaded duration if the curve held, relative to the usual one.
    level: [f64; CURVES],
    /// Uncertainty of `level`, as a variance.
    variance: [f64; CURVES],
}

impl Default for LoadCurve {
    fn default() -> LoadCurve {
        let flat = [0.0; LOAD_STEPS + 1];
        let mut slowdowns = vec![flat];
        for knee in KNEE_STEPS.step_by(KNEE_STRIDE) {
            for steepness in STEEPNESS {
                slowdowns.push(std::array::from_fn(|load| {
                    let excess = load.saturating_sub(knee) as f64 / knee as f64;
                    (1.0 + steepness * excess).ln()
                }));
            }
        }
        slowdowns.pop();
        slowdowns.push(std::array::from_fn(|load| {
            let is_last = load >= *KNEE_STEPS.end();
            if is_last {
                LAST_SLOTS_SLOWDOWN.ln()
            } else {
                0.0
            }
        }));
        let mut best = [LOAD_STEPS; CURVES];
        let mut throughputs = Vec::with_capacity(CURVES);
        for (best, slowdown) in best.iter_mut().zip(&slowdowns) {
            let throughput = |load: usize| load as f64 * (-slowdown[load]).exp();
            for load in (1..=LOAD_STEPS).rev() {
                if throughput(load) > throughput(*best) {
                    *best = load;
                }
            }
            let highest = throughput(*best);
            throughputs.push(std::array::from_fn(|load| throughput(load) / highest));
        }
        let mut prior = [0.0; CURVES];
        prior[0] = FLAT_WEIGHT.ln();
        prior[CURVES - 1] = USUAL_WEIGHT.ln();
        let mut curve = LoadCurve {
            slowdowns,
            throughputs,
            best,
            prior,
            likelihood: prior,
            probability: [0.0; CURVES],
            level: [0.0; CURVES],
            variance: [INITIAL_VARIANCE; CURVES],
        };
        curve.normalise(None, MAX_ADVANTAGE);
        curve
    }
}

impl LoadCurve {
    /// Learns from one observation.
    pub fn observe(&mut self, observation: Observation) {
        let Observation {
            load,
            slowdown,
            variance,
            is_evidence,
        } = observation;
        let (below, part) = split(load);
        for (index, slowdowns) in self.slowdowns.iter().enumerate() {
            let total = self.variance[index] + variance;
            let error = slowdown - between(slowdowns, below, part) - self.level[index];
            let squared = (error * error / total).min(MAX_DEVIATIONS * MAX_DEVIATIONS);
            if is_evidence {
                self.likelihood[index] -= (squared + total.ln()) / 2.0;
            }
            if squared >= MAX_DEVIATIONS * MAX_DEVIATIONS {
                self.variance[index] += JUMP_VARIANCE;
            }
            let gain = self.variance[index] / (self.variance[index] + variance);
            self.level[index] += gain * error;
            self.variance[index] = (gain * variance).max(VARIANCE_RANGE.0);
        }
    }

    /// Allows for a change of speed by `variance`, as a variance of its logarithm.
    pub fn loosen(&mut self, variance: f64) {
        for known in &mut self.variance {
            *known = (*known + variance).min(VARIANCE_RANGE.1);
        }
    }

    /// Forgets a fraction of what was learned, in 0..=1.
    pub fn forget(&mut self, fraction: f64) {
        for (likelihood, prior) in self.likelihood.iter_mut().zip(&self.prior) {
            *likelihood += (prior - *likelihood) * fraction;
        }
    }

    /// Computes the probabilities of the curves. Evidence of `other`, which observes another
    /// quantity, counts only for curves that it finds more likely than no effect of load at all.
    pub fn normalise(&mut self, other: Option<&LoadCurve>, advantage: f64) {
        let highest = self.likelihood.iter().copied().fold(f64::MIN, f64::max);
        for likelihood in &mut self.likelihood {
            *likelihood = (*likelihood - highest).max(-advantage);
        }
        let mut sum = 0.0;
        for (index, probability) in self.probability.iter_mut().enumerate() {
            let more = other.map_or(0.0, |other| {
                (other.likelihood[index] - other.likelihood[0]).clamp(0.0, advantage)
            });
            *probability = (self.likelihood[index] + more).exp();
            sum += *probability;
        }
        for probability in &mut self.probability {
            *probability /= sum;
        }
    }

    /// Expected throughput at a load, relative to the best for the server, in 0..=1.
    pub fn efficiency(&self, load: f64) -> f64 {
        let (below, part) = split(load);
        self.mean(|index| between(&self.throughputs[index], below, part))
    }

    /// Expected logarithm of the slowdown at a load.
    pub fn slowdown(&self, load: f64) -> f64 {
        let (below, part) = split(load);
        self.mean(|index| between(&self.slowdowns[index], below, part))
    }

    /// Expected logarithm of the unloaded duration, relative to the usual one.
    pub fn level(&self) -> f64 {
        self.mean(|index| self.level[index])
    }

    /// Best load of a curve that is drawn by its probability.
    pub fn draw_best(&self, rng: &mut impl Rng) -> usize {
        let mut left: f64 = rng.random();
        for (probability, best) in self.probability.iter().zip(self.best) {
            left -= probability;
            if left <= 0.0 {
                return best;
            }
        }
        LOAD_STEPS
    }

    fn mean(&self, of: impl Fn(usize) -> f64) -> f64 {
        let terms = self.probability.iter().enumerate();
        terms
            .map(|(index, probability)| probability * of(index))
            .sum()
    }
}

/// The step below a load, and the part of the way to the next one, in 0..=1.
fn split(load: f64) -> (usize, f64) {
    let below = (load as usize).min(LOAD_STEPS - 1);
    (below, (load - below as f64).clamp(0.0, 1.0))
}

fn between(values: &[f64; LOAD_STEPS + 1], below: usize, part: f64) -> f64 {
    values[below] + (values[below + 1] - values[below]) * part
}

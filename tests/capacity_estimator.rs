//! The capacity estimator against a simulated backend server whose best limit is known, on a
//! virtual clock. Guards against limits that waste the server or overload it.

use std::collections::HashMap;

use burdockhall::decide::relay::admission::{QueueDecision, fixed_limit};
use burdockhall::decide::relay::{
    Admission, AdmissionDecision, AdmissionRequest, CapacityEstimator, CapacityState, RunEnd,
    ServerLoad, WaiterId,
};
use burdockhall::model::{ServiceName, TimeMs};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// Time for which a caller waits, in milliseconds.
const OBJECTIVE_MS: u64 = 1_200;
/// Median work of a request on each route, in milliseconds.
const ROUTES_MS: [f64; 4] = [20.0, 40.0, 70.0, 120.0];
const SECONDS: usize = 20;
/// When the server changes, in seconds.
const CHANGE_S: usize = 10;

/// The properties of a simulated server.
#[derive(Debug, Clone, Copy)]
struct Server {
    speed: f64,
    /// Fraction of the slots from which on each further request slows all.
    knee: f64,
    /// Slowdown at twice the knee, as a fraction.
    steepness: f64,
    /// Fraction of the slots from which on all requests take 1.3 times as long.
    step: f64,
}

#[derive(Debug, Clone, Copy)]
struct Case {
    name: &'static str,
    slots: u32,
    server: Server,
    changed: Server,
    has_noise: bool,
    states_work: bool,
    /// Fraction of the time of a request that it waits for its own calls.
    waiting: f64,
}

impl Case {
    fn server_at(&self, ms: u64) -> Server {
        if ms < CHANGE_S as u64 * 1_000 {
            self.server
        } else {
            self.changed
        }
    }
}

struct Run {
    route: usize,
    work_ms: f64,
    call_ms: f64,
    arrived: u64,
    started: u64,
}

/// Result of one simulated server.
struct Outcome {
    /// Requests answered within the objective, by second.
    served: [f64; SECONDS],
    /// Limit found at the end of each second.
    limits: [u32; SECONDS],
}

fn normal(rng: &mut Xoshiro256PlusPlus) -> f64 {
    let (a, b): (f64, f64) = (rng.random(), rng.random());
    (-2.0 * (1.0 - a).ln()).sqrt() * (std::f64::consts::TAU * b).cos()
}

/// Runs the server under overload, with a fixed limit or with the estimator.
fn simulate(case: &Case, fixed: Option<u32>, seed: u64) -> Outcome {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut estimator_rng = Xoshiro256PlusPlus::seed_from_u64(seed + 1);
    let mut noise_rng = Xoshiro256PlusPlus::seed_from_u64(seed + 2);
    let routes: Vec<ServiceName> = (0..ROUTES_MS.len())
        .map(|route| ServiceName::from(format!("r{route}").as_str()))
        .collect();
    let start_limit = fixed_limit(case.slots);
    let mut estimator = CapacityEstimator::new(TimeMs(0), case.slots, start_limit);
    let mut admission = Admission::new(case.slots);
    let mut waiting: HashMap<WaiterId, (usize, f64, f64, u64)> = HashMap::new();
    let mut running: Vec<Run> = Vec::new();
    let mut outcome = Outcome {
        served: [0.0; SECONDS],
        limits: [0; SECONDS],
    };
    let mut noise = 1.0;
    let mut next_arrival = 0.0;
    for ms in 0..SECONDS as u64 * 1_000 {
        let now = TimeMs(ms);
        let server = case.server_at(ms);
        if case.has_noise && ms % 600 == 0 {
            noise = if noise_rng.random::<f64>() < 0.15 {
                2.5
            } else {
                1.0
            };
        }
        // Requests that work, as opposed to those that wait for calls, share the server.
        let excess = (running.len() as f64 / f64::from(case.slots) - server.knee).max(0.0);
        let mut slowdown = 1.0 + server.steepness * excess / server.knee;
        if running.len() as f64 >= server.step * f64::from(case.slots) {
            slowdown *= 1.3;
        }
        let pace = server.speed / noise / slowdown;
        let mut ended = Vec::new();
        for (index, run) in running.iter_mut().enumerate() {
            run.work_ms -= pace;
            if run.work_ms <= 0.0 {
                run.call_ms -= 1.0;
                if run.call_ms <= 0.0 {
                    ended.push(index);
                }
            }
        }
        for index in ended.into_iter().rev() {
            let run = running.swap_remove(index);
            let took_ms = ms - run.started;
            if ms - run.arrived <= OBJECTIVE_MS {
                outcome.served[(ms / 1_000) as usize] += ROUTES_MS[run.route];
            }
            let end = RunEnd {
                took_ms,
                usual_ms: None,
            };
            if case.states_work {
                let load = ServerLoad {
                    running: running.len() as u32,
                    waiting: 0,
                    slots: case.slots,
                    work_percent: Some((100.0 / pace) as u32),
                };
                estimator.stated(now, load);
            }
            estimator.finished(now, &routes[run.route], Some(end));
            admission.finished(&routes[run.route], Some(took_ms));
            estimator.decide(now, admission.waiting() > 0, &mut estimator_rng);
        }
        match fixed {
            Some(limit) => admission.set_limit(limit, limit),
            None => admission.set_limit(estimator.concurrency(), estimator.limit_now()),
        }
        let mut start = |(route, work_ms, call_ms, arrived): (usize, f64, f64, u64)| {
            estimator.started(now, &routes[route]);
            running.push(Run {
                route,
                work_ms,
                call_ms,
                arrived,
                started: ms,
            });
        };
        while let Some(decision) = admission.next(now) {
            match decision {
                QueueDecision::Start(id) => start(waiting.remove(&id).expect("it waits")),
                QueueDecision::Refuse { waiter_id, .. } => {
                    waiting.remove(&waiter_id);
                }
            }
        }
        // 1.5 times what all slots could serve without a knee.
        let mean_ms = 62.5 * 1.45 / (1.0 - case.waiting);
        let per_ms = 1.5 * f64::from(case.slots) * server.speed / mean_ms;
        while next_arrival <= ms as f64 {
            next_arrival += -(1.0 - rng.random::<f64>()).ln() / per_ms;
            let route = rng.random_range(0..ROUTES_MS.len());
            let long = if rng.random::<f64>() < 0.01 { 5.0 } else { 1.0 };
            let work_ms = ROUTES_MS[route] * (0.8 * normal(&mut rng)).exp() * long;
            let share = case.waiting / (1.0 - case.waiting);
            let call_ms = ROUTES_MS[route] * share * (0.8 * normal(&mut rng)).exp();
            let request = AdmissionRequest {
                route: &routes[route],
                priority: 0,
                is_call: false,
                deadline: TimeMs(ms + OBJECTIVE_MS),
            };
            match admission.admit(now, request) {
                AdmissionDecision::Start => start((route, work_ms, call_ms, ms)),
                AdmissionDecision::Wait(id) => {
                    waiting.insert(id, (route, work_ms, call_ms, ms));
                }
                AdmissionDecision::TooLate | AdmissionDecision::Refuse { .. } => {}
            }
        }
        if ms % 1_000 == 999 {
            outcome.limits[(ms / 1_000) as usize] = estimator.concurrency();
        }
    }
    outcome
}

fn served(outcomes: &[Outcome], seconds: std::ops::Range<usize>) -> f64 {
    let of = |outcome: &Outcome| outcome.served[seconds.clone()].iter().sum::<f64>();
    outcomes.iter().map(of).sum()
}

const fn stepped(speed: f64) -> Server {
    Server {
        speed,
        knee: 2.0,
        steepness: 0.0,
        step: 0.95,
    }
}

const fn server(speed: f64, knee: f64, steepness: f64) -> Server {
    Server {
        speed,
        knee,
        steepness,
        step: 2.0,
    }
}

#[test]
fn trial() {
    let base = Case {
        name: "",
        slots: 32,
        server: server(1.0, 0.95, 3.0),
        changed: server(1.0, 0.95, 3.0),
        has_noise: true,
        states_work: false,
        waiting: 0.0,
    };
    let mut cases = Vec::new();
    for slots in [16, 32, 64] {
        for (a, b) in [
            (server(1.0, 0.5, 2.0), server(0.5, 0.5, 2.0)),
            (server(1.6, 0.5, 4.0), server(1.6, 0.95, 4.0)),
            (server(1.0, 0.95, 4.0), server(0.5, 0.5, 4.0)),
            (server(0.5, 0.7, 2.0), server(1.6, 0.7, 2.0)),
            (server(1.0, 0.95, 0.5), server(1.0, 0.5, 0.5)),
        ] {
            for states_work in [false, true] {
                cases.push(Case { slots, server: a, changed: b, states_work, ..base });
            }
        }
    }
    for case in &cases {
        let seeds = 6;
        let adaptive: Vec<Outcome> = (0..seeds).map(|seed| simulate(case, None, seed)).collect();
        let fixed: Vec<(u32, Vec<Outcome>)> = (8..=20)
            .map(|part| {
                let limit = (case.slots * part / 20).max(1);
                let outcomes = (0..seeds).map(|seed| simulate(case, Some(limit), seed));
                (limit, outcomes.collect())
            })
            .collect();
        let mut line = format!(
            "S{} {:?}->{:?} f{}:",
            case.slots,
            (case.server.speed, case.server.knee, case.server.steepness),
            (case.changed.speed, case.changed.knee, case.changed.steepness),
            case.states_work as u8
        );
        for seconds in [0..3, 3..10, 10..11, 11..20] {
            let best = fixed
                .iter()
                .map(|(limit, outcomes)| (served(outcomes, seconds.clone()), *limit))
                .max_by(|a, b| a.0.total_cmp(&b.0))
                .unwrap();
            let usual = fixed.iter().find(|(l, _)| *l >= fixed_limit(case.slots)).unwrap();
            line += &format!(
                "  {:.3} ({} fix {:.2})",
                served(&adaptive, seconds.clone()) / best.0,
                best.1,
                served(&usual.1, seconds.clone()) / best.0
            );
        }
        println!("{line}");
        println!("    {:?}", adaptive[0].limits);
    }
    let _ = CapacityState::Steady;
}

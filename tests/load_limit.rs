//! Runs the adaptive concurrency limit against simulated backend servers.

use burdockhall::decide::LimitMode;
use burdockhall::decide::limit::Limiter;
use burdockhall::model::TimeMs;

/// A simulated backend server under a load that always saturates it.
#[derive(Debug)]
struct Case {
    name: &'static str,
    announced: u32,
    slots: u32,
    /// Time of a run without queueing, before and after the change.
    service_ms: [u64; 2],
    /// Bounds of the mean limit over the last five seconds.
    mean_limit: [f64; 2],
}

const CHANGE_MS: u64 = 5_000;
const END_MS: u64 = 20_000;
const MEASURED_MS: u64 = 5_000;

const CASES: [Case; 5] = [
    Case {
        name: "honest",
        announced: 20,
        slots: 20,
        service_ms: [20, 20],
        mean_limit: [19.0, 20.0],
    },
    Case {
        name: "announces eight times its slots",
        announced: 32,
        slots: 4,
        service_ms: [20, 20],
        mean_limit: [3.0, 10.0],
    },
    Case {
        name: "ten times slower at any concurrency",
        announced: 20,
        slots: 20,
        service_ms: [20, 200],
        mean_limit: [18.0, 20.0],
    },
    Case {
        name: "faster again",
        announced: 20,
        slots: 20,
        service_ms: [200, 20],
        mean_limit: [19.0, 20.0],
    },
    Case {
        name: "a single slot",
        announced: 1,
        slots: 1,
        service_ms: [20, 20],
        mean_limit: [1.0, 1.0],
    },
];

#[test]
fn the_limit_finds_what_the_server_completes() {
    for case in &CASES {
        let mean = mean_limit(case);
        let [least, most] = case.mean_limit;
        assert!(mean >= least, "{}: mean limit {mean}", case.name);
        assert!(mean <= most, "{}: mean limit {mean}", case.name);
    }
}

/// Simulates a server with a FIFO queue that is always filled up to the limit, and returns
/// the mean limit over the measured time.
fn mean_limit(case: &Case) -> f64 {
    let mut limiter = Limiter::new(LimitMode::Adaptive, 0);
    limiter.set_slots(case.announced);
    let mut waiting: std::collections::VecDeque<u64> = std::collections::VecDeque::new();
    let mut working: Vec<(u64, u64)> = Vec::new();
    let mut sum = 0.0;
    for now in 1..=END_MS {
        let service_ms = case.service_ms[usize::from(now > CHANGE_MS)];
        let ended: Vec<u64> = working
            .extract_if(.., |(end, _)| *end <= now)
            .map(|(_, arrived)| arrived)
            .collect();
        for arrived in ended {
            limiter.completed(TimeMs(now), now - arrived, true);
        }
        while ((waiting.len() + working.len()) as u32) < limiter.limit() {
            waiting.push_back(now);
        }
        while (working.len() as u32) < case.slots {
            let Some(arrived) = waiting.pop_front() else {
                break;
            };
            working.push((now + service_ms, arrived));
        }
        if now > END_MS - MEASURED_MS {
            sum += f64::from(limiter.limit());
        }
    }
    sum / MEASURED_MS as f64
}

//! Simulation of an overloaded downstream service. Every root request makes a chain of calls to
//! it, more requests arrive than it can serve, and the services that call it are mostly idle.
//! Runs the real admission, share computation and entry decision on a virtual clock and checks
//! which root requests are served.

#[path = "support/simulation.rs"]
mod simulation;

use burdockhall::decide::relay::admission::QueueDecision;
use burdockhall::decide::relay::{
    Admission, AdmissionDecision, AdmissionRequest, EntryShares, Reporter, RootRequest, WaiterId,
    WorkerShares,
};
use burdockhall::prelude::*;
use rand::RngExt;
use simulation::Events;

/// Number of workers of the downstream service, and slots of each.
const WORKERS: usize = 6;
const SLOTS: u32 = 26;
/// Mean duration of a call, in milliseconds.
const CALL_MS: f64 = 40.0;
/// Timeouts of a call and of a root request, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 700;
const ROOT_TIMEOUT_MS: u64 = 1_500;
/// Interval between share reports from the workers to the entry, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 250;

/// A route of root requests.
struct Kind {
    name: &'static str,
    priority: u8,
    /// Number of calls, made in sequence.
    calls: u32,
    /// Fraction of all root requests.
    share: f64,
}

const KINDS: [Kind; 2] = [
    Kind {
        name: "redeem",
        priority: 0,
        calls: 4,
        share: 0.25,
    },
    Kind {
        name: "balance",
        priority: 2,
        calls: 8,
        share: 0.75,
    },
];

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    /// A root request makes its next call.
    Call {
        root: usize,
    },
    /// A worker completes a call.
    CallEnded {
        root: usize,
        worker: usize,
    },
    /// The share reports of all workers reach the entry.
    ReportShares,
}

struct SimulatedRoot {
    kind: usize,
    admitted: f64,
    started: TimeMs,
    calls_left: u32,
}

#[derive(Debug, Default, Clone, Copy)]
struct Counts {
    arrived: u32,
    served: u32,
    shed: u32,
    failed: u32,
}

struct Simulation {
    with_shares: bool,
    events: Events<Event>,
    roots: Vec<SimulatedRoot>,
    admissions: Vec<Admission>,
    shares: Vec<WorkerShares>,
    waiting: Vec<std::collections::HashMap<WaiterId, usize>>,
    entry: EntryShares,
    /// Indexed by second of arrival, then by kind.
    results: Vec<[Counts; KINDS.len()]>,
}

impl Simulation {
    fn new(with_shares: bool, seed: u64, seconds: usize) -> Simulation {
        Simulation {
            with_shares,
            events: Events::new(seed),
            roots: Vec::new(),
            admissions: (0..WORKERS).map(|_| Admission::new(SLOTS)).collect(),
            shares: (0..WORKERS).map(|_| WorkerShares::default()).collect(),
            waiting: vec![std::collections::HashMap::new(); WORKERS],
            entry: EntryShares::default(),
            results: vec![[Counts::default(); KINDS.len()]; seconds],
        }
    }

    /// Simulates root requests; `load` returns the arrival rate in a second as a multiple of the
    /// service's capacity.
    fn simulate(mut self, load: impl Fn(u64) -> f64) -> Vec<[Counts; KINDS.len()]> {
        let calls: f64 = KINDS
            .iter()
            .map(|kind| kind.share * f64::from(kind.calls))
            .sum();
        let capacity = WORKERS as f64 * f64::from(SLOTS) / CALL_MS / calls;
        self.events.schedule(0, Event::Arrive);
        self.events.schedule(0, Event::ReportShares);
        while let Some(event) = self.events.pop() {
            let time = self.events.now;
            if time.0 / 1_000 >= self.results.len() as u64 {
                break;
            }
            match event {
                Event::Arrive => {
                    let rate = capacity * load(time.0 / 1_000);
                    let gap_ms = self.events.exponential(1.0 / rate);
                    self.arrive();
                    self.events.schedule_rounded(gap_ms, Event::Arrive);
                }
                Event::Call { root } => self.call(root),
                Event::CallEnded { root, worker } => self.call_ended(root, worker),
                Event::ReportShares => self.report_shares(),
            }
        }
        self.results
    }

    fn counts(&mut self, root: usize) -> &mut Counts {
        let SimulatedRoot { kind, started, .. } = self.roots[root];
        &mut self.results[(started.0 / 1_000) as usize][kind]
    }

    fn arrive(&mut self) {
        let point = self.events.rng.random::<f64>();
        let kind = usize::from(point >= KINDS[0].share);
        let second = (self.events.now.0 / 1_000) as usize;
        self.results[second][kind].arrived += 1;
        let route = ServiceName::from(KINDS[kind].name);
        let admitted = if self.with_shares {
            self.entry.admit(self.events.now, &route, |_| WORKERS)
        } else {
            Some(1.0)
        };
        let Some(admitted) = admitted else {
            self.results[second][kind].shed += 1;
            return;
        };
        self.roots.push(SimulatedRoot {
            kind,
            admitted,
            started: self.events.now,
            calls_left: KINDS[kind].calls,
        });
        let root = self.roots.len() - 1;
        self.events.schedule(10, Event::Call { root });
    }

    fn call(&mut self, root: usize) {
        let SimulatedRoot {
            kind,
            admitted,
            started,
            ..
        } = self.roots[root];
        let deadline = self.events.now.plus_ms(CALL_TIMEOUT_MS);
        let deadline = deadline.min(started.plus_ms(ROOT_TIMEOUT_MS));
        let route = ServiceName::from("lookup");
        let root_request = RootRequest {
            route: KINDS[kind].name.into(),
            priority: KINDS[kind].priority,
            organisation: None,
            admitted,
        };
        // Power of two choices: the less loaded of two random workers.
        let (one, other) = (
            self.events.rng.random_range(0..WORKERS),
            self.events.rng.random_range(0..WORKERS),
        );
        let load = |worker: usize| {
            let admission = &self.admissions[worker];
            admission.running() as usize + admission.waiting()
        };
        let worker = if load(one) <= load(other) { one } else { other };
        let expected_ms = self.admissions[worker].expected_ms(&route);
        self.shares[worker].record_arrival(&root_request, expected_ms);
        let request = AdmissionRequest {
            route: &route,
            priority: root_request.priority,
            is_call: true,
            deadline,
        };
        match self.admissions[worker].admit(self.events.now, request) {
            AdmissionDecision::Start => self.run(root, worker),
            AdmissionDecision::Wait(waiter_id) => {
                self.waiting[worker].insert(waiter_id, root);
            }
            AdmissionDecision::TooLate => self.counts(root).failed += 1,
            AdmissionDecision::Refuse { .. } => {
                self.shares[worker].record_refusal();
                self.counts(root).failed += 1;
            }
        }
    }

    fn run(&mut self, root: usize, worker: usize) {
        let took_ms = (CALL_MS * 0.5 + self.events.exponential(CALL_MS * 0.5)) as u64;
        self.events
            .schedule(took_ms, Event::CallEnded { root, worker });
    }

    fn call_ended(&mut self, root: usize, worker: usize) {
        self.admissions[worker].finished(&"lookup".into(), Some(CALL_MS as u64));
        while let Some(decision) = self.admissions[worker].next(self.events.now) {
            match decision {
                QueueDecision::Start(waiter_id) => {
                    let started = self.waiting[worker][&waiter_id];
                    self.run(started, worker);
                }
                QueueDecision::Refuse { waiter_id, .. } => {
                    let refused = self.waiting[worker][&waiter_id];
                    self.counts(refused).failed += 1;
                }
            }
        }
        self.roots[root].calls_left -= 1;
        let is_late = self.events.now.since_ms(self.roots[root].started) > ROOT_TIMEOUT_MS;
        if is_late {
            self.counts(root).failed += 1;
        } else if self.roots[root].calls_left == 0 {
            self.counts(root).served += 1;
        } else {
            self.events.schedule(20, Event::Call { root });
        }
    }

    fn report_shares(&mut self) {
        let service = ServiceName::from("deep");
        for worker in 0..WORKERS {
            let reporter = Reporter {
                service: &service,
                worker: worker as u32,
                slots: self.admissions[worker].limit(),
                capacity_ratio: 1.0,
                waiting: self.admissions[worker].waiting(),
            };
            if let Some(report) = self.shares[worker].report(self.events.now, reporter) {
                self.entry.record_report(self.events.now, &report);
            }
        }
        self.events
            .schedule(REPORT_INTERVAL_MS, Event::ReportShares);
    }
}

/// Sums the results of several seconds, by kind.
fn sum(results: &[[Counts; KINDS.len()]]) -> [Counts; KINDS.len()] {
    let mut total = [Counts::default(); KINDS.len()];
    for second in results {
        for (total, counts) in total.iter_mut().zip(second) {
            total.arrived += counts.arrived;
            total.served += counts.served;
            total.shed += counts.shed;
            total.failed += counts.failed;
        }
    }
    total
}

fn served(counts: &Counts) -> f64 {
    f64::from(counts.served) / f64::from(counts.arrived.max(1))
}

#[test]
fn above_capacity_high_priority_roots_are_served_and_no_kind_starves() {
    struct Case {
        load: f64,
        /// Minimum fraction of the lower-priority kind that is served.
        min_served: f64,
    }
    let cases = [
        Case {
            load: 1.3,
            min_served: 0.5,
        },
        Case {
            load: 1.7,
            min_served: 0.35,
        },
        Case {
            load: 2.2,
            min_served: 0.2,
        },
    ];
    for case in cases {
        for seed in 1..=3 {
            let with = Simulation::new(true, seed, 24).simulate(|_| case.load);
            let without = Simulation::new(false, seed, 24).simulate(|_| case.load);
            // Requests that start after second 22 may be cut off by the end of the simulation.
            let [redeem, balance] = sum(&with[4..22]);
            let [redeem_without, balance_without] = sum(&without[4..22]);
            let name = format!("load {} seed {seed}", case.load);
            assert!(served(&redeem) > 0.97, "{name}: {redeem:?}");
            assert!(served(&balance) > case.min_served, "{name}: {balance:?}");
            let all = redeem.served + balance.served;
            let all_without = redeem_without.served + balance_without.served;
            assert!(all > all_without, "{name}: {all} <= {all_without}");
            let failed = redeem.failed + balance.failed;
            let arrived = redeem.arrived + balance.arrived;
            assert!(
                failed * 20 < arrived,
                "{name}: {failed} of {arrived} failed after admission"
            );
        }
    }
}

#[test]
fn below_capacity_and_after_a_burst_all_kinds_are_served() {
    for seed in 1..=3 {
        let load = |second| if (6..14).contains(&second) { 1.8 } else { 0.75 };
        let results = Simulation::new(true, seed, 24).simulate(load);
        let calm = sum(&results[1..6]);
        let after = sum(&results[17..22]);
        for (span, results) in [("before the burst", calm), ("after the burst", after)] {
            for (kind, counts) in KINDS.iter().zip(results) {
                let name = format!("seed {seed}, {span}, {}", kind.name);
                assert!(served(&counts) > 0.97, "{name}: {counts:?}");
            }
        }
    }
}

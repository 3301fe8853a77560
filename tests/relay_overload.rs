//! Simulation of an overloaded downstream service. Every root request makes a chain of calls to
//! it, more requests arrive than it can serve, and the services that call it are mostly idle.
//! Runs the real admission, share computation and entry decision on a virtual clock and checks
//! which root requests are served.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use burdockhall::decide::relay::admission::Verdict;
use burdockhall::decide::relay::{
    Admission, EntryShares, Offer, Offered, Reporter, RootMark, TicketNo, WorkerShares,
};
use burdockhall::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// Number of workers of the downstream service, and slots of each.
const WORKERS: usize = 6;
const SLOTS: u32 = 26;
/// Mean duration of a call, in milliseconds.
const CALL_MS: f64 = 40.0;
/// Timeouts of a call and of a root request, in milliseconds.
const CALL_LEFT_MS: u64 = 700;
const ROOT_LEFT_MS: u64 = 1_500;
/// Interval between share reports from the workers to the entry, in milliseconds.
const NEWS_MS: u64 = 250;

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
    Ended {
        root: usize,
        worker: usize,
    },
    /// The share reports of all workers reach the entry.
    News,
}

struct Root {
    kind: usize,
    admitted: f64,
    started: TimeMs,
    calls_left: u32,
}

#[derive(Debug, Default, Clone, Copy)]
struct Result {
    asked: u32,
    served: u32,
    shed: u32,
    failed: u32,
}

struct World {
    with_shares: bool,
    rng: Xoshiro256PlusPlus,
    events: BinaryHeap<Reverse<(TimeMs, u64, Event)>>,
    number: u64,
    now: TimeMs,
    roots: Vec<Root>,
    admissions: Vec<Admission>,
    shares: Vec<WorkerShares>,
    waiting: Vec<std::collections::HashMap<TicketNo, usize>>,
    entry: EntryShares,
    /// Indexed by second of arrival, then by kind.
    results: Vec<[Result; KINDS.len()]>,
}

impl World {
    fn new(with_shares: bool, seed: u64, seconds: usize) -> World {
        World {
            with_shares,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            events: BinaryHeap::new(),
            number: 0,
            now: TimeMs(0),
            roots: Vec::new(),
            admissions: (0..WORKERS).map(|_| Admission::new(SLOTS)).collect(),
            shares: (0..WORKERS).map(|_| WorkerShares::default()).collect(),
            waiting: vec![std::collections::HashMap::new(); WORKERS],
            entry: EntryShares::default(),
            results: vec![[Result::default(); KINDS.len()]; seconds],
        }
    }

    fn at(&mut self, after_ms: u64, event: Event) {
        self.number += 1;
        let entry = (self.now.plus_ms(after_ms), self.number, event);
        self.events.push(Reverse(entry));
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    /// Simulates root requests; `load` returns the arrival rate in a second as a multiple of the
    /// service's capacity.
    fn play(mut self, load: impl Fn(u64) -> f64) -> Vec<[Result; KINDS.len()]> {
        let calls: f64 = KINDS
            .iter()
            .map(|kind| kind.share * f64::from(kind.calls))
            .sum();
        let capacity = WORKERS as f64 * f64::from(SLOTS) / CALL_MS / calls;
        self.at(0, Event::Arrive);
        self.at(0, Event::News);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            if at.0 / 1_000 >= self.results.len() as u64 {
                break;
            }
            match event {
                Event::Arrive => {
                    let rate = capacity * load(at.0 / 1_000);
                    let gap_ms = self.exponential(1.0 / rate);
                    // The gap may be 0 ms: several requests may arrive in one millisecond.
                    self.arrive();
                    let whole = gap_ms as u64;
                    let rest = u64::from(self.rng.random_bool(gap_ms.fract()));
                    self.at(whole + rest, Event::Arrive);
                }
                Event::Call { root } => self.call(root),
                Event::Ended { root, worker } => self.ended(root, worker),
                Event::News => self.news(),
            }
        }
        self.results
    }

    fn result(&mut self, root: usize) -> &mut Result {
        let Root { kind, started, .. } = self.roots[root];
        &mut self.results[(started.0 / 1_000) as usize][kind]
    }

    fn arrive(&mut self) {
        let point = self.rng.random::<f64>();
        let kind = usize::from(point >= KINDS[0].share);
        let second = (self.now.0 / 1_000) as usize;
        self.results[second][kind].asked += 1;
        let route = ServiceName::from(KINDS[kind].name);
        let admitted = if self.with_shares {
            self.entry.admit(self.now, &route, |_| WORKERS)
        } else {
            Some(1.0)
        };
        let Some(admitted) = admitted else {
            self.results[second][kind].shed += 1;
            return;
        };
        self.roots.push(Root {
            kind,
            admitted,
            started: self.now,
            calls_left: KINDS[kind].calls,
        });
        let root = self.roots.len() - 1;
        self.at(10, Event::Call { root });
    }

    fn call(&mut self, root: usize) {
        let Root {
            kind,
            admitted,
            started,
            ..
        } = self.roots[root];
        let deadline = self.now.plus_ms(CALL_LEFT_MS);
        let deadline = deadline.min(started.plus_ms(ROOT_LEFT_MS));
        let route = ServiceName::from("lookup");
        let mark = RootMark {
            route: KINDS[kind].name.into(),
            priority: KINDS[kind].priority,
            admitted,
        };
        // Power of two choices: the less loaded of two random workers.
        let (one, other) = (
            self.rng.random_range(0..WORKERS),
            self.rng.random_range(0..WORKERS),
        );
        let load = |worker: usize| {
            let admission = &self.admissions[worker];
            admission.running() as usize + admission.waiting()
        };
        let worker = if load(one) <= load(other) { one } else { other };
        let expected_ms = self.admissions[worker].expected_ms(&route);
        self.shares[worker].arrived(&mark, expected_ms);
        let offer = Offer {
            route: &route,
            priority: mark.priority,
            is_call: true,
            deadline,
        };
        match self.admissions[worker].offer(self.now, offer) {
            Offered::Run => self.run(root, worker),
            Offered::Wait(ticket) => {
                self.waiting[worker].insert(ticket, root);
            }
            Offered::TooLate => self.result(root).failed += 1,
            Offered::Refuse { .. } => {
                self.shares[worker].refused();
                self.result(root).failed += 1;
            }
        }
    }

    fn run(&mut self, root: usize, worker: usize) {
        let took_ms = (CALL_MS * 0.5 + self.exponential(CALL_MS * 0.5)) as u64;
        self.at(took_ms, Event::Ended { root, worker });
    }

    fn ended(&mut self, root: usize, worker: usize) {
        self.admissions[worker].finished(&"lookup".into(), Some(CALL_MS as u64));
        while let Some(verdict) = self.admissions[worker].next(self.now) {
            match verdict {
                Verdict::Start(ticket) => {
                    let started = self.waiting[worker][&ticket];
                    self.run(started, worker);
                }
                Verdict::Refuse { ticket, .. } => {
                    let refused = self.waiting[worker][&ticket];
                    self.result(refused).failed += 1;
                }
            }
        }
        self.roots[root].calls_left -= 1;
        let is_late = self.now.since_ms(self.roots[root].started) > ROOT_LEFT_MS;
        if is_late {
            self.result(root).failed += 1;
        } else if self.roots[root].calls_left == 0 {
            self.result(root).served += 1;
        } else {
            self.at(20, Event::Call { root });
        }
    }

    fn news(&mut self) {
        let service = ServiceName::from("deep");
        for worker in 0..WORKERS {
            let reporter = Reporter {
                service: &service,
                worker: worker as u32,
                slots: self.admissions[worker].limit(),
                waiting: self.admissions[worker].waiting(),
            };
            if let Some(report) = self.shares[worker].report(self.now, reporter) {
                self.entry.heard(self.now, &report);
            }
        }
        self.at(NEWS_MS, Event::News);
    }
}

/// Sums the results of several seconds, by kind.
fn sum(results: &[[Result; KINDS.len()]]) -> [Result; KINDS.len()] {
    let mut total = [Result::default(); KINDS.len()];
    for second in results {
        for (total, result) in total.iter_mut().zip(second) {
            total.asked += result.asked;
            total.served += result.served;
            total.shed += result.shed;
            total.failed += result.failed;
        }
    }
    total
}

fn served(result: &Result) -> f64 {
    f64::from(result.served) / f64::from(result.asked.max(1))
}

#[test]
fn beyond_capacity_important_roots_are_whole_and_no_kind_starves() {
    struct Case {
        load: f64,
        /// Minimum fraction of the lower-priority kind that is served.
        least: f64,
    }
    let cases = [
        Case {
            load: 1.3,
            least: 0.5,
        },
        Case {
            load: 1.7,
            least: 0.35,
        },
        Case {
            load: 2.2,
            least: 0.2,
        },
    ];
    for case in cases {
        for seed in 1..=3 {
            let with = World::new(true, seed, 24).play(|_| case.load);
            let without = World::new(false, seed, 24).play(|_| case.load);
            // Requests that start after second 22 may be cut off by the end of the simulation.
            let [redeem, balance] = sum(&with[4..22]);
            let [redeem_without, balance_without] = sum(&without[4..22]);
            let name = format!("load {} seed {seed}", case.load);
            assert!(served(&redeem) > 0.97, "{name}: {redeem:?}");
            assert!(served(&balance) > case.least, "{name}: {balance:?}");
            let all = redeem.served + balance.served;
            let all_without = redeem_without.served + balance_without.served;
            assert!(all > all_without, "{name}: {all} <= {all_without}");
            let lost = redeem.failed + balance.failed;
            let asked = redeem.asked + balance.asked;
            assert!(
                lost * 20 < asked,
                "{name}: {lost} of {asked} failed after admission"
            );
        }
    }
}

#[test]
fn below_capacity_nothing_is_shed_and_after_a_burst_all_is_served_again() {
    for seed in 1..=3 {
        let load = |second| if (6..14).contains(&second) { 1.8 } else { 0.75 };
        let results = World::new(true, seed, 24).play(load);
        let calm = sum(&results[1..6]);
        let after = sum(&results[17..22]);
        for (span, results) in [("before the burst", calm), ("after the burst", after)] {
            for (kind, result) in KINDS.iter().zip(results) {
                let name = format!("seed {seed}, {span}, {}", kind.name);
                assert!(served(&result) > 0.97, "{name}: {result:?}");
            }
        }
    }
}

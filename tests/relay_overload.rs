//! An overloaded downstream service: which root requests are served, by priority.

#[path = "support/overload.rs"]
mod overload;

use overload::{Counts, Kind, Simulation};

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
            let with = Simulation::new(&KINDS, true, seed, 24).simulate(|_| case.load);
            let without = Simulation::new(&KINDS, false, seed, 24).simulate(|_| case.load);
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
        let results = Simulation::new(&KINDS, true, seed, 24).simulate(load);
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

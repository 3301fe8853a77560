//! Prints the comparison tables in docs/decisions. Run it with
//! `cargo test --release --test load_tables -- --ignored --nocapture`.

mod support;

use burdockhall::decide::{LimitMode, Mechanisms};
use burdockhall::model::{Importance, TimeMs};

use support::load::{
    AGGRESSIVE_RETRIES, Deployment, LoadDriver, NO_RETRIES, RetryPolicy, levy, tantuvan,
};

const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];
const WARM_MS: u64 = 1_000;
const OVERLOAD_MS: u64 = 5_000;
const TRIGGER_MS: u64 = 10_000;

struct Variant {
    name: &'static str,
    mechanisms: Mechanisms,
    seeds: &'static [u64],
}

/// The baselines have one seed each and come last: their retries multiply the messages, so
/// they run long.
const VARIANTS: [Variant; 3] = [
    Variant {
        name: "burdockhall",
        mechanisms: Mechanisms::ALL,
        seeds: &SEEDS,
    },
    Variant {
        name: "none",
        mechanisms: Mechanisms::NONE,
        seeds: &[1],
    },
    Variant {
        name: "fixed",
        mechanisms: Mechanisms::FIXED,
        seeds: &[1],
    },
];

#[test]
#[ignore = "prints a table"]
fn goodput() {
    for variant in &VARIANTS {
        for deployment in [levy(), tantuvan()] {
            goodput_row(&deployment, variant, NO_RETRIES);
            goodput_row(&deployment, variant, AGGRESSIVE_RETRIES);
        }
    }
}

#[test]
#[ignore = "prints a table"]
fn recovery() {
    for variant in &VARIANTS {
        for deployment in [levy(), tantuvan()] {
            recovery_row(&deployment, variant);
        }
    }
}

#[test]
#[ignore = "prints a trace"]
fn trace() {
    for deployment in [levy(), tantuvan()] {
        let mut driver = LoadDriver::new(1, Mechanisms::ALL, &deployment, AGGRESSIVE_RETRIES);
        let show = |driver: &mut LoadDriver, factor: f64| {
            let from = driver.world.now;
            driver.run(250, factor);
            let now = driver.world.now;
            let front = deployment.streams[0].chain[0];
            println!(
                "{:6} all {:6.0} critical {:6.0} {front} {:.1?} {:?} {} {:.1?} {:?}",
                now.0,
                driver.goodput_per_s(None, from, now),
                driver.goodput_per_s(Some(Importance::Critical), from, now),
                driver.admission_levels(front),
                driver.concurrency_limits(front),
                deployment.deep_service,
                driver.admission_levels(deployment.deep_service),
                driver.concurrency_limits(deployment.deep_service),
            );
        };
        for _ in 0..8 {
            show(&mut driver, 0.8);
        }
        driver.set_slowdown(deployment.deep_service, 10);
        for _ in 0..20 {
            show(&mut driver, 3.0);
        }
        driver.set_slowdown(deployment.deep_service, 1);
        for _ in 0..12 {
            show(&mut driver, 0.8);
        }
        println!("{:?}", driver.outcomes());
    }
}

/// Turns off one mechanism at a time, under clients that retry hard.
#[test]
#[ignore = "prints a table"]
fn ablation() {
    const ALL: Mechanisms = Mechanisms::ALL;
    let variant_named = |name, mechanisms| Variant {
        name,
        mechanisms,
        seeds: &[1, 2],
    };
    let variants = [
        variant_named("all on", ALL),
        variant_named(
            "fixed limit",
            Mechanisms {
                limit: LimitMode::Fixed,
                ..ALL
            },
        ),
        variant_named(
            "queue by arrival",
            Mechanisms {
                ordered_queue: false,
                ..ALL
            },
        ),
        variant_named(
            "no shedding at entry",
            Mechanisms {
                entry_shedding: false,
                ..ALL
            },
        ),
        variant_named(
            "no deadlines",
            Mechanisms {
                deadlines: false,
                ..ALL
            },
        ),
        variant_named(
            "retries per layer",
            Mechanisms {
                shared_allowance: false,
                retries_per_layer: 3,
                ..ALL
            },
        ),
        variant_named(
            "random routing",
            Mechanisms {
                balanced_routing: false,
                ..ALL
            },
        ),
        variant_named(
            "no lanes",
            Mechanisms {
                caller_shares: false,
                ..ALL
            },
        ),
    ];
    std::thread::scope(|scope| {
        for variant in &variants {
            scope.spawn(move || {
                for deployment in [levy(), tantuvan()] {
                    ablation_row(&deployment, variant);
                }
            });
        }
    });
}

/// Prints each column as the median and the range over the seeds. docs/decisions/shedding.md
/// explains the columns.
fn ablation_row(deployment: &Deployment, variant: &Variant) {
    let mut columns = [const { Vec::new() }; 7];
    for &seed in variant.seeds {
        let new = || LoadDriver::new(seed, variant.mechanisms, deployment, AGGRESSIVE_RETRIES);
        let mut driver = new();
        columns[0].push(critical_percent(&mut driver, deployment));
        columns[1].push(100.0 * driver.useful_work_share());

        let mut driver = misreporting(seed, variant, deployment);
        columns[2].push(critical_percent(&mut driver, deployment));
        let latencies = driver.latencies_ms(deployment.streams[0].caller, TimeMs(1_000));
        let p99_ms = latencies.get(latencies.len() * 99 / 100).copied();
        columns[3].push(p99_ms.unwrap_or(0) as f64);

        let mut driver = new();
        driver.run(WARM_MS, 0.8);
        let before = driver.measure_goodput(2_000, 0.8);
        driver.set_slowdown(deployment.deep_service, 10);
        driver.run(3_000, 3.0);
        driver.set_slowdown(deployment.deep_service, 1);
        driver.run(2_000, 0.8);
        columns[4].push(100.0 * driver.measure_goodput(2_000, 0.8) / before);

        let mut driver = LoadDriver::new(seed, variant.mechanisms, deployment, NO_RETRIES);
        driver.run(WARM_MS, 0.8);
        let from = driver.world.now;
        driver.run(1_000, 1.8);
        driver.run(1_000, 0.0);
        let caller = deployment.streams[0].caller;
        let done = driver.latencies_ms(caller, from).len();
        columns[5].push(100.0 * done as f64 / driver.offered(caller, from) as f64);

        let mut driver = new();
        driver.set_slowdown(deployment.deep_service, 60);
        driver.run(4_000, 0.8);
        columns[6].push(100.0 * driver.useful_work_share());
    }
    let columns: Vec<String> = columns.into_iter().map(spread).collect();
    println!(
        "{:9} {:21} {}",
        deployment.name,
        variant.name,
        columns.join(" | ")
    );
}

/// A deployment whose deep service announces eight times the slots that it has.
fn misreporting(seed: u64, variant: &Variant, deployment: &Deployment) -> LoadDriver {
    let mut announced = match deployment.name {
        "levy" => levy(),
        _ => tantuvan(),
    };
    for service in &mut announced.services {
        if service.name == deployment.deep_service {
            service.slots *= 8;
        }
    }
    let mut driver = LoadDriver::new(seed, variant.mechanisms, &announced, AGGRESSIVE_RETRIES);
    for host in &mut driver.world.hosts {
        if host.plan.service.as_str() == deployment.deep_service {
            host.backend.slots /= 8;
        }
    }
    driver
}

fn critical_percent(driver: &mut LoadDriver, deployment: &Deployment) -> f64 {
    driver.run(WARM_MS, 3.0);
    let from = driver.world.now;
    driver.run(3_000, 3.0);
    let done = driver.goodput_per_s(Some(Importance::Critical), from, driver.world.now);
    100.0 * done / deployment.capacity_per_s
}

fn goodput_row(deployment: &Deployment, variant: &Variant, retry_policy: RetryPolicy) {
    let mut critical = Vec::new();
    let mut useful = Vec::new();
    let mut outcomes = String::new();
    for &seed in variant.seeds {
        let mut driver = LoadDriver::new(seed, variant.mechanisms, deployment, retry_policy);
        driver.run(WARM_MS + OVERLOAD_MS, 3.0);
        let to = driver.world.now;
        let from = TimeMs(to.0 - OVERLOAD_MS);
        let done = driver.goodput_per_s(Some(Importance::Critical), from, to);
        critical.push(100.0 * done / deployment.capacity_per_s);
        useful.push(100.0 * driver.useful_work_share());
        outcomes = format!("{:?}", driver.outcomes());
    }
    println!(
        "{:9} {:12} retries {} critical {}  useful {}\n    {outcomes}",
        deployment.name,
        variant.name,
        retry_policy.retries,
        spread(critical),
        spread(useful)
    );
}

fn recovery_row(deployment: &Deployment, variant: &Variant) {
    let mut before = Vec::new();
    let mut after = Vec::new();
    let mut later = Vec::new();
    for &seed in variant.seeds {
        let mut driver = LoadDriver::new(seed, variant.mechanisms, deployment, AGGRESSIVE_RETRIES);
        driver.run(WARM_MS, 0.8);
        let from = driver.world.now;
        driver.run(2_000, 0.8);
        before.push(driver.goodput_per_s(None, from, driver.world.now));
        driver.set_slowdown(deployment.deep_service, 10);
        driver.run(TRIGGER_MS, 3.0);
        driver.set_slowdown(deployment.deep_service, 1);
        driver.run(2_000, 0.8);
        let from = driver.world.now;
        driver.run(1_000, 0.8);
        after.push(driver.goodput_per_s(None, from, driver.world.now));
        driver.run(5_000, 0.8);
        let from = driver.world.now;
        driver.run(1_000, 0.8);
        later.push(driver.goodput_per_s(None, from, driver.world.now));
    }
    println!(
        "{:9} {:12} before {}  2-3 s after {}  8-9 s after {}",
        deployment.name,
        variant.name,
        spread(before),
        spread(after),
        spread(later)
    );
}

fn spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let median = values[values.len() / 2];
    format!(
        "{median:6.1} ({:.1}..{:.1})",
        values[0],
        values[values.len() - 1]
    )
}

//! Prints the comparison tables in docs/decisions. Run it with
//! `cargo test --release --test load_tables -- --ignored --nocapture`.

mod support;

use burdockhall::decide::{LimitMode, Mechanisms};
use burdockhall::model::{Importance, TimeMs};

use support::load::{Clients, Deployment, Drive, HARD, PATIENT, levy, tantuvan};

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
            goodput_row(&deployment, variant, PATIENT);
            goodput_row(&deployment, variant, HARD);
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
        let mut drive = Drive::new(1, Mechanisms::ALL, &deployment, HARD);
        let show = |drive: &mut Drive, factor: f64| {
            let from = drive.world.now;
            drive.run(250, factor);
            let now = drive.world.now;
            let front = deployment.streams[0].chain[0];
            println!(
                "{:6} all {:6.0} critical {:6.0} {front} {:.1?} {:?} {} {:.1?} {:?}",
                now.0,
                drive.goodput_per_s(None, from, now),
                drive.goodput_per_s(Some(Importance::Critical), from, now),
                drive.levels(front),
                drive.limits(front),
                deployment.deep,
                drive.levels(deployment.deep),
                drive.limits(deployment.deep),
            );
        };
        for _ in 0..8 {
            show(&mut drive, 0.8);
        }
        drive.slow(deployment.deep, 10);
        for _ in 0..20 {
            show(&mut drive, 3.0);
        }
        drive.slow(deployment.deep, 1);
        for _ in 0..12 {
            show(&mut drive, 0.8);
        }
        println!("{:?}", drive.outcomes());
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
        let new = || Drive::new(seed, variant.mechanisms, deployment, HARD);
        let mut drive = new();
        columns[0].push(critical_percent(&mut drive, deployment));
        columns[1].push(100.0 * drive.useful_work());

        let mut drive = misreporting(seed, variant, deployment);
        columns[2].push(critical_percent(&mut drive, deployment));
        let latencies = drive.latencies_ms(deployment.streams[0].caller, TimeMs(1_000));
        let p99_ms = latencies.get(latencies.len() * 99 / 100).copied();
        columns[3].push(p99_ms.unwrap_or(0) as f64);

        let mut drive = new();
        drive.run(WARM_MS, 0.8);
        let before = drive.measure(2_000, 0.8);
        drive.slow(deployment.deep, 10);
        drive.run(3_000, 3.0);
        drive.slow(deployment.deep, 1);
        drive.run(2_000, 0.8);
        columns[4].push(100.0 * drive.measure(2_000, 0.8) / before);

        let mut drive = Drive::new(seed, variant.mechanisms, deployment, PATIENT);
        drive.run(WARM_MS, 0.8);
        let from = drive.world.now;
        drive.run(1_000, 1.8);
        drive.run(1_000, 0.0);
        let caller = deployment.streams[0].caller;
        let done = drive.latencies_ms(caller, from).len();
        columns[5].push(100.0 * done as f64 / drive.offered(caller, from) as f64);

        let mut drive = new();
        drive.slow(deployment.deep, 60);
        drive.run(4_000, 0.8);
        columns[6].push(100.0 * drive.useful_work());
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
fn misreporting(seed: u64, variant: &Variant, deployment: &Deployment) -> Drive {
    let mut announced = match deployment.name {
        "levy" => levy(),
        _ => tantuvan(),
    };
    for service in &mut announced.services {
        if service.name == deployment.deep {
            service.slots *= 8;
        }
    }
    let mut drive = Drive::new(seed, variant.mechanisms, &announced, HARD);
    for host in &mut drive.world.hosts {
        if host.plan.service.as_str() == deployment.deep {
            host.backend.slots /= 8;
        }
    }
    drive
}

fn critical_percent(drive: &mut Drive, deployment: &Deployment) -> f64 {
    drive.run(WARM_MS, 3.0);
    let from = drive.world.now;
    drive.run(3_000, 3.0);
    let done = drive.goodput_per_s(Some(Importance::Critical), from, drive.world.now);
    100.0 * done / deployment.capacity_per_s
}

fn goodput_row(deployment: &Deployment, variant: &Variant, clients: Clients) {
    let mut critical = Vec::new();
    let mut useful = Vec::new();
    let mut outcomes = String::new();
    for &seed in variant.seeds {
        let mut drive = Drive::new(seed, variant.mechanisms, deployment, clients);
        drive.run(WARM_MS + OVERLOAD_MS, 3.0);
        let to = drive.world.now;
        let from = TimeMs(to.0 - OVERLOAD_MS);
        let done = drive.goodput_per_s(Some(Importance::Critical), from, to);
        critical.push(100.0 * done / deployment.capacity_per_s);
        useful.push(100.0 * drive.useful_work());
        outcomes = format!("{:?}", drive.outcomes());
    }
    println!(
        "{:9} {:12} retries {} critical {}  useful {}\n    {outcomes}",
        deployment.name,
        variant.name,
        clients.retries,
        spread(critical),
        spread(useful)
    );
}

fn recovery_row(deployment: &Deployment, variant: &Variant) {
    let mut before = Vec::new();
    let mut after = Vec::new();
    let mut later = Vec::new();
    for &seed in variant.seeds {
        let mut drive = Drive::new(seed, variant.mechanisms, deployment, HARD);
        drive.run(WARM_MS, 0.8);
        let from = drive.world.now;
        drive.run(2_000, 0.8);
        before.push(drive.goodput_per_s(None, from, drive.world.now));
        drive.slow(deployment.deep, 10);
        drive.run(TRIGGER_MS, 3.0);
        drive.slow(deployment.deep, 1);
        drive.run(2_000, 0.8);
        let from = drive.world.now;
        drive.run(1_000, 0.8);
        after.push(drive.goodput_per_s(None, from, drive.world.now));
        drive.run(5_000, 0.8);
        let from = drive.world.now;
        drive.run(1_000, 0.8);
        later.push(drive.goodput_per_s(None, from, drive.world.now));
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

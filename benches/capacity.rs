//! Estimates the memory, CPU time and traffic of a daemon's control decisions at the target size by
//! extrapolating from several sizes.
//!
//! Prints the measurements at each size, then a least-squares fit of each quantity with its
//! largest error.
//! `cargo bench --bench capacity` runs the sizes up to 1,600 workers;
//! `cargo bench --bench capacity -- --full` goes to 6,100.

#[path = "../tests/support/control.rs"]
mod control;

use std::time::Instant;

use burdockhall::decide::control::fold::SheetFold;
use burdockhall::decide::control::members::Members;
use burdockhall::decide::control::record::{LogBatch, LogEntry, LogRecord, Publication, Stream};
use burdockhall::model::sheet::Rule;
use burdockhall::model::{
    Announcement, Contract, Importance, Place, ServerState, ServiceName, SheetChange, SheetContent,
};

use control::{ControlHost, ControlPlan, ControlWorld};

/// Availability zones and regions at the target size.
const ZONES: usize = 13;
const REGIONS: usize = 5;
/// Workers at the target size.
const TARGET_WORKERS: f64 = 6_100.0;
/// Workers per service, as at the target size: 6,100 workers of 800 services.
const WORKERS_PER_SERVICE: f64 = 6_100.0 / 800.0;
/// Number of services that a backend server calls.
const CALLED_SERVICES: usize = 8;
/// Virtual time for the daemons to discover each other, in milliseconds.
const SETTLE_MS: u64 = 30_000;
/// Virtual time over which the steady state is measured, in milliseconds.
const STEADY_MS: u64 = 30_000;
/// Number of restarts measured, one after the other.
const RESTARTS: usize = 10;
/// Number of sheet changes measured, one after the other.
const CHANGES: u64 = 5;
/// Virtual time after each change, in milliseconds.
const CHANGE_MS: u64 = 5_000;
/// Virtual time after each restart, in milliseconds.
const RESTART_MS: u64 = 3_000;

fn main() {
    let full = std::env::args().any(|argument| argument == "--full");
    let mut sizes = vec![104, 208, 416, 832, 1_664];
    if full {
        sizes.push(6_100);
    }
    print_memory();
    let rows: Vec<Row> = sizes.iter().map(|workers| measure(*workers)).collect();
    print_rows(&rows);
    print_fits(&rows);
}

/// Measurements at one number of workers.
struct Row {
    workers: f64,
    known_mean: f64,
    known_gateway: f64,
    messages_per_s: f64,
    bytes_per_s: f64,
    gateway_bytes_per_s: f64,
    log_bytes_per_s: f64,
    cpu_us_per_s: f64,
    bytes_per_restart: f64,
    appends_per_worker: f64,
    zone_restart_bytes: f64,
    zone_restart_appends_per_s: f64,
    sheet: SheetCost,
}

fn measure(workers: usize) -> Row {
    let mut world = ControlWorld::new(17, plans(workers), 5_000);
    world.run_for(SETTLE_MS);
    let appends_per_worker = world.log.appends as f64 / workers as f64;
    let gateways: Vec<usize> = (0..workers)
        .filter(|host| world.hosts[*host].control.members().is_gateway())
        .collect();
    let known = |host: usize| world.hosts[host].control.members().members().len() as f64;
    let known_mean = (0..workers).map(known).sum::<f64>() / workers as f64;
    let known_gateway = gateways.iter().map(|host| known(*host)).fold(0.0, f64::max);
    reset_counters(&mut world);
    let cpu = CpuTime::now();
    world.run_for(STEADY_MS);
    let cpu_us = cpu.elapsed_us();
    let seconds = STEADY_MS as f64 / 1_000.0;
    let per_daemon_s = seconds * workers as f64;
    let traffic = |host: usize| {
        let host = &world.hosts[host];
        (host.sent_bytes + host.received_bytes) as f64
    };
    let bytes: f64 = (0..workers).map(traffic).sum();
    let messages: u64 = world.hosts.iter().map(|host| host.messages).sum();
    let log_bytes: u64 = world.hosts.iter().map(|host| host.log_bytes).sum();
    let gateway_bytes = gateways
        .iter()
        .map(|host| traffic(*host))
        .fold(0.0, f64::max);
    let steady_bytes_per_s: Vec<f64> = (0..workers)
        .map(|host| (traffic(host) + world.hosts[host].log_bytes as f64) / seconds)
        .collect();
    let sheet = measure_publications(&mut world, &steady_bytes_per_s);
    let bytes_per_restart = measure_restarts(&mut world, bytes / per_daemon_s);
    let (zone_restart_bytes, zone_restart_appends_per_s) = measure_zone_restart(&mut world);
    Row {
        workers: workers as f64,
        known_mean,
        known_gateway,
        messages_per_s: messages as f64 / per_daemon_s,
        bytes_per_s: bytes / per_daemon_s,
        gateway_bytes_per_s: gateway_bytes / seconds,
        log_bytes_per_s: log_bytes as f64 / per_daemon_s,
        cpu_us_per_s: cpu_us / per_daemon_s,
        bytes_per_restart,
        appends_per_worker,
        zone_restart_bytes,
        zone_restart_appends_per_s,
        sheet,
    }
}

/// Measures the bytes per daemon that one restart adds to the steady state.
fn measure_restarts(world: &mut ControlWorld, steady_bytes_per_s: f64) -> f64 {
    reset_counters(world);
    let workers = world.hosts.len();
    for restart in 0..RESTARTS {
        let host = restart * (workers / RESTARTS);
        world.announce(host, ServerState::Leaving);
        world.run_for(500);
        world.kill(host);
        world.replace(host, 0);
        world.run_for(RESTART_MS);
    }
    let seconds = RESTARTS as f64 * (RESTART_MS + 500) as f64 / 1_000.0;
    let bytes: u64 = world
        .hosts
        .iter()
        .map(|host| host.sent_bytes + host.received_bytes)
        .sum();
    let mean = bytes as f64 / workers as f64;
    ((mean - steady_bytes_per_s * seconds) / RESTARTS as f64).max(0.0)
}

/// Cost of a publication, and the time until it is in force at every daemon.
struct SheetCost {
    bytes_per_change: f64,
    busiest_bytes_per_change: f64,
    slowest_ms: f64,
}

/// Publishes a sheet with a rule for every service, then measures changes of one rule each.
fn measure_publications(world: &mut ControlWorld, steady_bytes_per_s: &[f64]) -> SheetCost {
    let services = ((world.hosts.len() as f64 / WORKERS_PER_SERVICE) as usize).max(1);
    let mut content = sheet_content(services, 0);
    let mut fold = SheetFold::default();
    let first = Publication::first("first", "planner", 0, &content);
    publish(world, &mut fold, first);
    reset_counters(world);
    let mut slowest_ms = 0;
    for change in 1..=CHANGES {
        let next = sheet_content(services, change);
        let publication = Publication {
            id: format!("change-{change}"),
            base: Some(fold.base()),
            author: "planner".into(),
            published_ms: 0,
            change: SheetChange::between(&content, &next),
        };
        content = next;
        slowest_ms = slowest_ms.max(publish(world, &mut fold, publication));
    }
    let seconds = (CHANGES * CHANGE_MS) as f64 / 1_000.0;
    let per_change = |(host, steady): (&ControlHost, &f64)| {
        let bytes = (host.sent_bytes + host.received_bytes + host.log_bytes) as f64;
        ((bytes - steady * seconds) / CHANGES as f64).max(0.0)
    };
    let hosts = world.hosts.iter().zip(steady_bytes_per_s);
    let bytes_by_host: Vec<f64> = hosts.map(per_change).collect();
    SheetCost {
        bytes_per_change: bytes_by_host.iter().sum::<f64>() / bytes_by_host.len() as f64,
        busiest_bytes_per_change: bytes_by_host.iter().copied().fold(0.0, f64::max),
        slowest_ms: slowest_ms as f64,
    }
}

/// Appends a publication to the log and returns the milliseconds until it is in force at every
/// daemon; `u64::MAX` if that takes longer than [`CHANGE_MS`].
fn publish(world: &mut ControlWorld, fold: &mut SheetFold, publication: Publication) -> u64 {
    let record = LogRecord::Publication(publication);
    let offset = world.append(Stream::Sheets, record.clone());
    let batch = LogBatch {
        first_offset: 0,
        next_offset: offset + 1,
        entries: vec![LogEntry { offset, record }],
    };
    fold.fold_batch(offset, batch);
    let began = world.now;
    world.run_for(CHANGE_MS);
    let version = fold.base().version.0;
    let in_force = |host: &ControlHost| {
        let found = host.in_force.iter().find(|(_, held)| *held >= version);
        found.map_or(u64::MAX, |(at, _)| at.since_ms(began))
    };
    world.hosts.iter().map(in_force).max().unwrap_or(0)
}

fn sheet_content(services: usize, deadline_ms: u64) -> SheetContent {
    let rules = (0..services)
        .map(|index| Rule {
            service: Some(format!("service-{index}").as_str().into()),
            request: None,
            caller: None,
            contract: Contract {
                importance: Importance::Normal,
                idempotent: false,
                deadline_ms: if index == 0 {
                    1_000 + deadline_ms
                } else {
                    1_000
                },
                retry_allowance: 2,
            },
        })
        .collect();
    SheetContent::canonical(rules, Vec::new())
}

/// Restarts all workers of one zone at once. Returns the bytes per restarted worker in the first
/// 20 s, and the most appends to the log in one second.
fn measure_zone_restart(world: &mut ControlWorld) -> (f64, f64) {
    reset_counters(world);
    let zone: Vec<usize> = (0..world.hosts.len())
        .filter(|host| host % ZONES == 1)
        .collect();
    for host in &zone {
        world.kill(*host);
        world.replace(*host, 0);
    }
    let mut busiest = 0;
    for _ in 0..20 {
        let before = world.log.appends;
        world.run_for(1_000);
        busiest = busiest.max(world.log.appends - before);
    }
    let bytes: u64 = zone
        .iter()
        .map(|host| &world.hosts[*host])
        .map(|host| host.sent_bytes + host.received_bytes + host.log_bytes)
        .sum();
    (bytes as f64 / zone.len() as f64, busiest as f64)
}

fn reset_counters(world: &mut ControlWorld) {
    for host in &mut world.hosts {
        host.sent_bytes = 0;
        host.received_bytes = 0;
        host.messages = 0;
        host.log_bytes = 0;
    }
}

fn plans(workers: usize) -> Vec<ControlPlan> {
    let services = ((workers as f64 / WORKERS_PER_SERVICE) as usize).max(1);
    let service =
        |index: usize| -> ServiceName { format!("service-{}", index % services).as_str().into() };
    (0..workers)
        .map(|worker| {
            let zone = worker % ZONES;
            ControlPlan {
                place: Place {
                    region: format!("region-{}", zone % REGIONS).as_str().into(),
                    zone: format!("zone-{zone}").as_str().into(),
                },
                service: service(worker),
                calls: (1..=CALLED_SERVICES)
                    .map(|step| service(worker + step * 31))
                    .collect(),
            }
        })
        .collect()
}

fn print_rows(rows: &[Row]) {
    println!();
    println!(
        "workers  known  known by a gateway  messages/s  bytes/s  bytes/s at the busiest gateway  log bytes/s  processor us/s  bytes a restart  appends a worker  bytes a zone restart  appends/s at a zone restart"
    );
    for row in rows {
        println!(
            "{:>7} {:>6.0} {:>19.0} {:>11.2} {:>8.0} {:>31.0} {:>12.0} {:>15.0} {:>16.0} {:>17.2} {:>21.0} {:>27.0}",
            row.workers,
            row.known_mean,
            row.known_gateway,
            row.messages_per_s,
            row.bytes_per_s,
            row.gateway_bytes_per_s,
            row.log_bytes_per_s,
            row.cpu_us_per_s,
            row.bytes_per_restart,
            row.appends_per_worker,
            row.zone_restart_bytes,
            row.zone_restart_appends_per_s,
        );
    }
}

type Column = (&'static str, fn(&Row) -> f64);

const COLUMNS: [Column; 10] = [
    ("announcements known", |row| row.known_mean),
    ("announcements known by a gateway", |row| row.known_gateway),
    ("bytes/s", |row| row.bytes_per_s),
    ("bytes/s at the busiest gateway", |row| {
        row.gateway_bytes_per_s
    }),
    ("log bytes/s", |row| row.log_bytes_per_s),
    ("processor us/s", |row| row.cpu_us_per_s),
    ("bytes a restart", |row| row.bytes_per_restart),
    ("bytes a zone restart", |row| row.zone_restart_bytes),
    ("bytes a sheet change", |row| row.sheet.bytes_per_change),
    ("bytes a change, busiest daemon", |row| {
        row.sheet.busiest_bytes_per_change
    }),
];

fn print_fits(rows: &[Row]) {
    println!();
    println!("workers  slowest ms until a change is in force everywhere");
    for row in rows {
        println!("{:>7} {:>48.0}", row.workers, row.sheet.slowest_ms);
    }
    println!();
    println!("fits over the workers n, the better of base + slope * n and base + slope / n");
    for (name, value) in COLUMNS {
        let points: Vec<(f64, f64)> = rows.iter().map(|row| (row.workers, value(row))).collect();
        let rising = Fit::new("n", |workers| workers, &points);
        let falling = Fit::new("1/n", |workers| 1.0 / workers, &points);
        let better = if rising.error <= falling.error {
            rising
        } else {
            falling
        };
        better.print(name);
    }
}

/// A least-squares fit; `error` is its largest relative error at any size.
struct Fit {
    regressor: &'static str,
    transform: fn(f64) -> f64,
    base: f64,
    slope: f64,
    error: f64,
}

impl Fit {
    fn new(regressor: &'static str, transform: fn(f64) -> f64, points: &[(f64, f64)]) -> Fit {
        let transformed: Vec<(f64, f64)> =
            points.iter().map(|(x, y)| (transform(*x), *y)).collect();
        let (base, slope) = fit(&transformed);
        let error = transformed
            .iter()
            .map(|(x, y)| (base + slope * x - y).abs() / y.abs().max(1.0))
            .fold(0.0, f64::max);
        Fit {
            regressor,
            transform,
            base,
            slope,
            error,
        }
    }

    fn print(&self, name: &str) {
        println!(
            "{name:<34} base {:>10.1}  slope {:>12.4} over {:<3}  largest error {:>5.1}%  at 6,100: {:>10.0}",
            self.base,
            self.slope,
            self.regressor,
            self.error * 100.0,
            self.base + self.slope * (self.transform)(TARGET_WORKERS)
        );
    }
}

/// Fits a line through the points by least squares and returns its base and slope.
fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    (mean_y - slope * mean_x, slope)
}

/// Prints the resident memory per announcement. Each is decoded separately, as from the network.
fn print_memory() {
    println!("announcements  resident bytes each");
    let world = ControlWorld::new(3, plans(1), 0);
    let announcement = Announcement {
        vm: world.hosts[0].vm.clone(),
        service: "service-0".into(),
        slots: 110,
        connections: 750,
        state: ServerState::Serving,
        started_ms: 1,
        sequence: 1,
    };
    let mut kept = Vec::new();
    for count in [1_000_usize, 2_000, 4_000, 6_100] {
        let before = resident_bytes();
        let mut tables = Vec::new();
        for _ in 0..20 {
            let mut members = Members::default();
            for host in 0..count {
                let mut member = announcement.clone();
                member.vm.worker.address = control::address(host, 0);
                member.vm.control_address = control::address(host, 1);
                let encoded = serde_json::to_vec(&member).unwrap_or_default();
                if let Ok(decoded) = serde_json::from_slice::<Announcement>(&encoded) {
                    members.merge(&std::sync::Arc::new(decoded));
                }
            }
            tables.push(members);
        }
        let bytes = (resident_bytes() - before) / (20.0 * count as f64);
        println!("{count:>13} {bytes:>20.0}");
        kept.push(tables);
    }
}

fn resident_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<f64>().ok())
        .unwrap_or(0.0)
        * 4_096.0
}

/// CPU time of this thread, or wall-clock time where the system does not report it.
struct CpuTime {
    busy_us: Option<f64>,
    started: Instant,
}

impl CpuTime {
    fn now() -> CpuTime {
        CpuTime {
            busy_us: busy_us(),
            started: Instant::now(),
        }
    }

    fn elapsed_us(&self) -> f64 {
        match (self.busy_us, busy_us()) {
            (Some(before), Some(now)) => now - before,
            _ => self.started.elapsed().as_micros() as f64,
        }
    }
}

fn busy_us() -> Option<f64> {
    let schedstat = std::fs::read_to_string("/proc/thread-self/schedstat").ok()?;
    let busy_ns: f64 = schedstat.split_whitespace().next()?.parse().ok()?;
    Some(busy_ns / 1_000.0)
}

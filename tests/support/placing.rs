//! Simulation of a service of uneven servers: the real load balancer in many entries and the real
//! admission beside each server, on a virtual clock.

use std::collections::HashMap;
use std::net::SocketAddr;

use burdockhall::decide::relay::admission::QueueDecision;
use burdockhall::decide::relay::{
    Admission, AdmissionDecision, AdmissionRequest, Candidate, LoadBalancer, PlaceKey,
    PlacementRequest, WaiterId, WorkerLoad,
};
use burdockhall::prelude::*;
use rand::RngExt;

use crate::simulation::Events;

/// Duration of a request on a server of speed 1, in milliseconds.
pub const WORK_MS: f64 = 40.0;
/// Slots of each server.
const SLOTS: u32 = 40;
/// Timeout of a request, in milliseconds.
const TIMEOUT_MS: u64 = 1_000;
/// Interval at which the state of the servers is sampled, in milliseconds.
pub const SAMPLE_MS: u64 = 50;
/// One-way delays to the own zone, another zone and another region, in milliseconds.
const DELAYS_MS: [u64; 3] = [0, 1, 15];

/// Servers and demand.
pub struct Scenario {
    /// Region of each zone.
    pub zones: &'static [u32],
    /// Speeds of the servers of each zone.
    pub speeds: &'static [f64],
    /// Number of entries of each zone.
    pub entries: usize,
    /// Part of the slots from which on each further request slows all.
    pub knee: f64,
    /// Whether servers state their speed and run no more requests than at the knee.
    pub is_adaptive: bool,
    /// Demand in a zone at a time in milliseconds, relative to what its servers can do.
    pub demand: fn(usize, u64) -> f64,
    /// Factor by which a server takes longer at a time in milliseconds.
    pub slowdown: fn(usize, u64) -> f64,
    /// Longest additional delay of a load report, in milliseconds.
    pub report_delay_ms: u64,
    /// Whether two zones cannot reach each other at a time in milliseconds.
    pub is_cut: fn(usize, usize, u64) -> bool,
    /// Latency objective and size of the request body.
    pub objective_ms: u64,
    pub body_bytes: u64,
    pub seconds: u64,
}

/// Four servers of speeds 0.5, 1, 1, 1.5 in one zone, asked for 0.8 of what they can do.
pub const ONE_ZONE: Scenario = Scenario {
    zones: &[0],
    speeds: &[0.5, 1.0, 1.0, 1.5],
    entries: 80,
    knee: 0.6,
    is_adaptive: true,
    demand: |_, _| 0.8,
    slowdown: |_, _| 1.0,
    report_delay_ms: 0,
    is_cut: |_, _, _| false,
    objective_ms: 400,
    body_bytes: 0,
    seconds: 20,
};

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive {
        zone: usize,
    },
    Reach {
        request: usize,
        server: usize,
    },
    End {
        request: usize,
        server: usize,
        took_ms: u64,
    },
    Reply {
        request: usize,
        server: usize,
        took_ms: Option<u64>,
        report: usize,
    },
    Report {
        entry: usize,
        server: usize,
        report: usize,
    },
    Sample,
}

struct Server {
    zone: usize,
    speed: f64,
    admission: Admission,
    waiting: HashMap<WaiterId, usize>,
    /// Mean duration relative to the usual one, as its daemon measures it.
    relative_ms: f64,
}

/// A request and what became of it.
#[derive(Debug, Clone)]
pub struct Simulated {
    pub zone: usize,
    pub started_ms: u64,
    /// Zone and number of the server that it was sent to last.
    pub sent_zone: usize,
    pub server: usize,
    /// Time until its answer, in milliseconds.
    pub answered_ms: Option<u64>,
    entry: usize,
    sent_ms: u64,
    /// Servers that it was sent to, in order.
    pub tried: Vec<SocketAddr>,
}

/// What the simulation has recorded.
#[derive(Default)]
pub struct Recorded {
    pub requests: Vec<Simulated>,
    /// Requests at each server relative to its limit, every [`SAMPLE_MS`].
    pub loads: Vec<Vec<f64>>,
}

impl Recorded {
    /// Fraction of the requests from a time on that were answered within four times the work time.
    pub fn in_time(&self, from_ms: u64) -> f64 {
        let asked = self.requests.iter();
        let asked = asked.filter(|request| request.started_ms >= from_ms);
        let (mut all, mut good) = (0.0, 0.0);
        for request in asked {
            let limit_ms = (4.0 * WORK_MS) as u64;
            all += 1.0;
            good += f64::from(request.answered_ms.is_some_and(|ms| ms <= limit_ms));
        }
        good / all
    }

    /// Fraction of the requests of a zone in a time span that were sent to other zones for which
    /// the condition holds.
    pub fn sent(&self, zone: usize, span_ms: (u64, u64), to: impl Fn(usize) -> bool) -> f64 {
        let of_zone = self.requests.iter().filter(|request| request.zone == zone);
        let asked: Vec<_> = of_zone
            .filter(|request| (span_ms.0..span_ms.1).contains(&request.started_ms))
            .collect();
        let sent = asked.iter().filter(|request| to(request.sent_zone)).count();
        sent as f64 / asked.len().max(1) as f64
    }
}

struct World<'a> {
    scenario: &'a Scenario,
    events: Events<Event>,
    servers: Vec<Server>,
    /// All servers as seen from each zone.
    candidates: Vec<Vec<Candidate>>,
    balancers: Vec<LoadBalancer>,
    reports: Vec<WorkerLoad>,
    recorded: Recorded,
    route: ServiceName,
}

/// Runs a scenario.
pub fn simulate(scenario: &Scenario, seed: u64) -> Recorded {
    let knee = f64::from(SLOTS) * scenario.knee;
    // The admission uses 0.94 of the slots; rounded so that its limit is the knee.
    let slots = if scenario.is_adaptive {
        (knee / 0.94).ceil() as u32
    } else {
        SLOTS
    };
    let servers = (0..scenario.zones.len()).flat_map(|zone| {
        scenario.speeds.iter().map(move |speed| Server {
            zone,
            speed: *speed,
            admission: Admission::new(slots),
            waiting: HashMap::new(),
            relative_ms: 1.0 / speed,
        })
    });
    let mut world = World {
        scenario,
        events: Events::new(seed),
        servers: servers.collect(),
        candidates: Vec::new(),
        balancers: (0..scenario.zones.len() * scenario.entries)
            .map(|_| LoadBalancer::default())
            .collect(),
        reports: Vec::new(),
        recorded: Recorded::default(),
        route: ServiceName::from("r"),
    };
    world.run();
    world.recorded
}

fn address(server: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (server / 250) as u8, (server % 250) as u8], 80))
}

/// Zone of a server of a scenario with four servers in each zone.
pub fn zone_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => usize::from(address.ip().octets()[3]) / 4,
        SocketAddr::V6(_) => 0,
    }
}

impl World<'_> {
    fn run(&mut self) {
        let zones = 0..self.scenario.zones.len();
        self.candidates = zones.map(|zone| self.candidates(zone)).collect();
        for zone in 0..self.scenario.zones.len() {
            self.events.schedule(0, Event::Arrive { zone });
        }
        self.events.schedule(SAMPLE_MS, Event::Sample);
        while let Some(event) = self.events.pop() {
            if self.events.now.0 >= self.scenario.seconds * 1_000 {
                break;
            }
            match event {
                Event::Arrive { zone } => self.arrive(zone),
                Event::Reach { request, server } => self.reach(request, server),
                Event::End {
                    request,
                    server,
                    took_ms,
                } => self.end(request, server, took_ms),
                Event::Reply {
                    request,
                    server,
                    took_ms,
                    report,
                } => {
                    self.reply(request, server, took_ms, report);
                }
                Event::Report {
                    entry,
                    server,
                    report,
                } => {
                    let load = self.reports[report];
                    self.balancers[entry].reported(self.events.now, address(server), load);
                }
                Event::Sample => {
                    let load = |server: &Server| {
                        let requests =
                            server.admission.running() as usize + server.admission.waiting();
                        requests as f64 / f64::from(server.admission.limit())
                    };
                    self.recorded
                        .loads
                        .push(self.servers.iter().map(load).collect());
                    self.events.schedule(SAMPLE_MS, Event::Sample);
                }
            }
        }
    }

    fn arrive(&mut self, zone: usize) {
        let now_ms = self.events.now.0;
        let speeds: f64 = self.scenario.speeds.iter().sum();
        let capacity_per_ms = speeds * f64::from(SLOTS) * self.scenario.knee / WORK_MS;
        let rate = capacity_per_ms * (self.scenario.demand)(zone, now_ms);
        let gap_ms = self.events.exponential(1.0 / rate);
        self.events.schedule_rounded(gap_ms, Event::Arrive { zone });
        let entries = self.scenario.entries;
        let entry = zone * entries + self.events.rng.random_range(0..entries);
        self.recorded.requests.push(Simulated {
            zone,
            started_ms: now_ms,
            sent_zone: zone,
            server: 0,
            answered_ms: None,
            entry,
            sent_ms: now_ms,
            tried: Vec::new(),
        });
        self.place(self.recorded.requests.len() - 1);
    }

    fn distance(&self, zone: usize, other: usize) -> Distance {
        let regions = self.scenario.zones;
        match (zone == other, regions[zone] == regions[other]) {
            (true, _) => Distance::SameZone,
            (_, true) => Distance::SameRegion,
            _ => Distance::OtherRegion,
        }
    }

    fn candidates(&self, zone: usize) -> Vec<Candidate> {
        let servers = self.servers.iter().enumerate();
        let candidates = servers.map(|(number, server)| Candidate {
            address: address(number),
            distance: self.distance(zone, server.zone),
            place: PlaceKey::of(&Place {
                region: format!("r{}", self.scenario.zones[server.zone])
                    .as_str()
                    .into(),
                zone: format!("z{}", server.zone).as_str().into(),
            }),
            slots: SLOTS,
            is_own: false,
        });
        candidates.collect()
    }

    fn place(&mut self, number: usize) {
        let now = self.events.now;
        let request = &self.recorded.requests[number];
        let (zone, entry) = (request.zone, request.entry);
        if request.tried.len() >= 4 || now.since_ms(TimeMs(request.started_ms)) >= TIMEOUT_MS {
            return;
        }
        let candidates = &self.candidates[zone];
        let objective = TimeMs(request.started_ms + self.scenario.objective_ms);
        let placement = PlacementRequest {
            route: &self.route,
            objective_left_ms: objective.since_ms(now),
            body_bytes: self.scenario.body_bytes,
        };
        let balancer = &mut self.balancers[entry];
        let rng = &mut self.events.rng;
        let Some(chosen) = balancer.place(now, placement, candidates, &request.tried, rng) else {
            return;
        };
        let chosen = chosen.candidate;
        balancer.sent(chosen.address);
        let server = candidates.iter().position(|one| *one == chosen).unwrap();
        let request = &mut self.recorded.requests[number];
        request.tried.push(chosen.address);
        (request.sent_zone, request.server) = (self.servers[server].zone, server);
        request.sent_ms = now.0;
        let sent_zone = request.sent_zone;
        if (self.scenario.is_cut)(zone, sent_zone, now.0) {
            balancer.ended(chosen.address);
            balancer.unreachable(now, chosen.address);
            return self.place(number);
        }
        let delay_ms = self.delay_ms(zone, server);
        self.events.schedule(
            delay_ms,
            Event::Reach {
                request: number,
                server,
            },
        );
    }

    fn delay_ms(&self, zone: usize, server: usize) -> u64 {
        DELAYS_MS[self.distance(zone, self.servers[server].zone) as usize]
    }

    fn reach(&mut self, number: usize, server: usize) {
        let now = self.events.now;
        let request = AdmissionRequest {
            organisation: None,
            route: &self.route,
            priority: 0,
            is_call: true,
            deadline: TimeMs(self.recorded.requests[number].started_ms + TIMEOUT_MS),
        };
        match self.servers[server].admission.admit(now, request) {
            AdmissionDecision::Start => self.start(number, server),
            AdmissionDecision::Wait(waiter_id) => {
                self.servers[server].waiting.insert(waiter_id, number);
            }
            AdmissionDecision::TooLate | AdmissionDecision::Refuse { .. } => {
                self.answer(number, server, None);
            }
        }
    }

    fn start(&mut self, request: usize, server: usize) {
        let knee = f64::from(SLOTS) * self.scenario.knee;
        let at = &self.servers[server];
        let beyond = (f64::from(at.admission.running()) / knee - 1.0).max(0.0);
        let factor = (self.scenario.slowdown)(server, self.events.now.0);
        let noise = self.events.rng.random_range(0.7..1.3);
        let took_ms = WORK_MS / at.speed * noise * factor * (1.0 + 2.0 * beyond);
        let took_ms = took_ms as u64;
        self.events.schedule(
            took_ms,
            Event::End {
                request,
                server,
                took_ms,
            },
        );
    }

    fn end(&mut self, request: usize, server: usize, took_ms: u64) {
        let at = &mut self.servers[server];
        at.relative_ms += (took_ms as f64 / WORK_MS - at.relative_ms) * 0.05;
        at.admission.finished(&self.route, Some(took_ms));
        while let Some(decision) = self.servers[server].admission.next(self.events.now) {
            match decision {
                QueueDecision::Start(waiter_id) => {
                    let waited = self.servers[server].waiting[&waiter_id];
                    self.start(waited, server);
                }
                QueueDecision::Refuse { waiter_id, .. } => {
                    let refused = self.servers[server].waiting[&waiter_id];
                    self.answer(refused, server, None);
                }
            }
        }
        self.answer(request, server, Some(took_ms));
    }

    fn answer(&mut self, request: usize, server: usize, took_ms: Option<u64>) {
        let at = &self.servers[server];
        self.reports.push(WorkerLoad {
            running: at.admission.running(),
            waiting: at.admission.waiting() as u32,
            limit: at.admission.limit(),
            mean_ms: at.admission.mean_ms() as u32,
            speed: self.scenario.is_adaptive.then_some(1.0 / at.relative_ms),
            ..WorkerLoad::default()
        });
        let report = self.reports.len() - 1;
        let delay_ms = self.delay_ms(self.recorded.requests[request].zone, server);
        self.events.schedule(
            delay_ms,
            Event::Reply {
                request,
                server,
                took_ms,
                report,
            },
        );
    }

    fn reply(&mut self, number: usize, server: usize, took_ms: Option<u64>, report: usize) {
        let now = self.events.now;
        let request = &mut self.recorded.requests[number];
        let (entry, zone) = (request.entry, request.zone);
        let rest_ms = now.0 - request.sent_ms - took_ms.unwrap_or(0);
        let delay_ms = self.scenario.report_delay_ms;
        let delay_ms = self.events.rng.random_range(0..=delay_ms);
        self.events.schedule(
            delay_ms,
            Event::Report {
                entry,
                server,
                report,
            },
        );
        let candidate = self.candidates[zone][server];
        let balancer = &mut self.balancers[entry];
        balancer.ended(candidate.address);
        let Some(took_ms) = took_ms else {
            return self.place(number);
        };
        self.recorded.requests[number].answered_ms =
            Some(now.0 - self.recorded.requests[number].started_ms);
        balancer.record_outcome(now, candidate.address, true);
        balancer.record_duration(now, candidate.address, &self.route, took_ms);
        balancer.record_round_trip(&candidate, &self.reports[report], rest_ms);
    }
}

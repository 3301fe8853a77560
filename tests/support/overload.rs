//! Simulates an overloaded downstream service. Every root request makes a chain of calls to it, more
//! requests arrive than it can serve, and the services that call it are mostly idle. Runs the real
//! admission, share computation and entry decision on a virtual clock.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use burdockhall::decide::relay::admission::QueueDecision;
use burdockhall::decide::relay::{
    Admission, AdmissionDecision, AdmissionRequest, EntryShares, Reporter, RootKind, RootRequest,
    WaiterId, WorkerShares,
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
const CALL_TIMEOUT_MS: u64 = 700;
const ROOT_TIMEOUT_MS: u64 = 1_500;
/// Interval between share reports from the workers to the entry, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 250;
/// Range of the retry-after time of a request that is shed, in milliseconds, as in
/// `net/relay/state.rs`.
const SHED_RETRY_MS: std::ops::Range<u64> = 600..1_400;

/// A route of root requests.
pub struct Kind {
    pub name: &'static str,
    pub priority: u8,
    /// Number of calls, made in sequence.
    pub calls: u32,
    /// Fraction of all root requests.
    pub share: f64,
}

/// What a client does when its request is shed. Each attempt has its own request id, so that the
/// entry takes it for a new request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Client {
    GivesUp,
    /// Repeats up to three times without waiting.
    RepeatsAtOnce,
    /// Comes back once, when the retry-after time is over.
    ReturnsOnTime,
}

/// An organisation whose requests are sent.
#[derive(Debug, Clone)]
pub struct Sender {
    pub name: OrganisationName,
    /// Its priority; `None` for that of the route.
    pub priority: Option<u8>,
    /// Usual rate, as a fraction of that of all.
    pub rate: f64,
    /// Factors on its rate, each from one second until another.
    pub bursts: Vec<(std::ops::Range<u64>, f64)>,
    /// Clients by fraction of their requests; the others give up.
    pub clients: Vec<(f64, Client)>,
}

impl Sender {
    fn rate_at(&self, second: u64) -> f64 {
        let bursts = self.bursts.iter();
        let in_force = bursts.filter(|(seconds, _)| seconds.contains(&second));
        self.rate * in_force.map(|(_, factor)| factor).product::<f64>()
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    /// A request that was shed comes again.
    Repeat {
        request: usize,
    },
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
    request: usize,
    admitted: f64,
    started: TimeMs,
    calls_left: u32,
}

/// A request of a client, with its repeats.
pub struct SimulatedRequest {
    pub kind: usize,
    /// Index of its organisation.
    pub sender: Option<usize>,
    pub arrived: TimeMs,
    pub client: Client,
    repeats: u32,
    pub is_served: bool,
}

#[derive(Debug, Default, Clone, Copy)]
pub struct Counts {
    pub arrived: u32,
    pub served: u32,
    pub shed: u32,
    pub failed: u32,
}

pub struct Simulation<const KINDS: usize> {
    kinds: &'static [Kind; KINDS],
    with_shares: bool,
    /// Whether waiting requests are ordered by organisation too.
    pub with_fair_queue: bool,
    pub senders: Vec<Sender>,
    pub requests: Vec<SimulatedRequest>,
    /// Second at which the entry restarts.
    pub entry_restarts_at: Option<u64>,
    rng: Xoshiro256PlusPlus,
    events: BinaryHeap<Reverse<(TimeMs, u64, Event)>>,
    next_sequence: u64,
    now: TimeMs,
    roots: Vec<SimulatedRoot>,
    admissions: Vec<Admission>,
    shares: Vec<WorkerShares>,
    waiting: Vec<std::collections::HashMap<WaiterId, usize>>,
    entry: EntryShares,
    /// Indexed by second of arrival, then by kind.
    results: Vec<[Counts; KINDS]>,
}

impl<const KINDS: usize> Simulation<KINDS> {
    pub fn new(
        kinds: &'static [Kind; KINDS],
        with_shares: bool,
        seed: u64,
        seconds: usize,
    ) -> Simulation<KINDS> {
        Simulation {
            kinds,
            with_shares,
            with_fair_queue: true,
            senders: Vec::new(),
            requests: Vec::new(),
            entry_restarts_at: None,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            events: BinaryHeap::new(),
            next_sequence: 0,
            now: TimeMs(0),
            roots: Vec::new(),
            admissions: (0..WORKERS).map(|_| Admission::new(SLOTS)).collect(),
            shares: (0..WORKERS).map(|_| WorkerShares::default()).collect(),
            waiting: vec![std::collections::HashMap::new(); WORKERS],
            entry: EntryShares::default(),
            results: vec![[Counts::default(); KINDS]; seconds],
        }
    }

    fn schedule(&mut self, after_ms: u64, event: Event) {
        self.next_sequence += 1;
        let entry = (self.now.plus_ms(after_ms), self.next_sequence, event);
        self.events.push(Reverse(entry));
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    /// Simulates root requests; `load` returns the arrival rate in a second as a multiple of the
    /// service's capacity.
    pub fn simulate(mut self, load: impl Fn(u64) -> f64) -> Vec<[Counts; KINDS]> {
        self.run_all(load);
        self.results
    }

    /// As [`Self::simulate`], with what has become of each request.
    pub fn requests(mut self, load: impl Fn(u64) -> f64) -> Vec<SimulatedRequest> {
        self.run_all(load);
        self.requests
    }

    fn run_all(&mut self, load: impl Fn(u64) -> f64) {
        let calls: f64 = self
            .kinds
            .iter()
            .map(|kind| kind.share * f64::from(kind.calls))
            .sum();
        let capacity = WORKERS as f64 * f64::from(SLOTS) / CALL_MS / calls;
        self.schedule(0, Event::Arrive);
        self.schedule(0, Event::ReportShares);
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            self.now = time;
            if time.0 / 1_000 >= self.results.len() as u64 {
                break;
            }
            match event {
                Event::Arrive => {
                    let rate = capacity * load(time.0 / 1_000) * self.factor();
                    let gap_ms = self.exponential(1.0 / rate);
                    // The gap may be 0 ms: several requests may arrive in one millisecond.
                    self.arrive();
                    let whole = gap_ms as u64;
                    let rest = u64::from(self.rng.random_bool(gap_ms.fract()));
                    self.schedule(whole + rest, Event::Arrive);
                }
                Event::Repeat { request } => self.ask(request),
                Event::Call { root } => self.call(root),
                Event::CallEnded { root, worker } => self.call_ended(root, worker),
                Event::ReportShares => self.report_shares(),
            }
        }
    }

    /// Rate of all organisations as a multiple of the usual one.
    fn factor(&self) -> f64 {
        if self.senders.is_empty() {
            return 1.0;
        }
        let second = self.now.0 / 1_000;
        let rates = self.senders.iter().map(|sender| sender.rate_at(second));
        rates.sum()
    }

    fn counts(&mut self, root: usize) -> &mut Counts {
        let SimulatedRoot {
            request, started, ..
        } = self.roots[root];
        let kind = self.requests[request].kind;
        &mut self.results[(started.0 / 1_000) as usize][kind]
    }

    fn arrive(&mut self) {
        let point = self.rng.random::<f64>();
        let mut until = 0.0;
        let kind = self.kinds.iter().position(|kind| {
            until += kind.share;
            point < until
        });
        let kind = kind.unwrap_or(KINDS - 1);
        let second = (self.now.0 / 1_000) as usize;
        self.results[second][kind].arrived += 1;
        let (sender, client) = self.choose_sender();
        self.requests.push(SimulatedRequest {
            kind,
            sender,
            arrived: self.now,
            client,
            repeats: 0,
            is_served: false,
        });
        self.ask(self.requests.len() - 1);
    }

    /// Chooses the organisation of a request by rate, and its client.
    fn choose_sender(&mut self) -> (Option<usize>, Client) {
        if self.senders.is_empty() {
            return (None, Client::GivesUp);
        }
        let second = self.now.0 / 1_000;
        let mut point = self.rng.random::<f64>() * self.factor();
        let chosen = self.senders.iter().position(|sender| {
            point -= sender.rate_at(second);
            point < 0.0
        });
        let sender = chosen.unwrap_or(0);
        let mut point = self.rng.random::<f64>();
        let mut clients = self.senders[sender].clients.iter();
        let client = clients.find(|(fraction, _)| {
            point -= fraction;
            point < 0.0
        });
        let client = client.map_or(Client::GivesUp, |(_, client)| *client);
        (Some(sender), client)
    }

    fn kind_of(&self, request: usize) -> (ServiceName, u8, Option<OrganisationName>) {
        let SimulatedRequest { kind, sender, .. } = self.requests[request];
        let Kind { name, priority, .. } = self.kinds[kind];
        let sender = sender.map(|sender| &self.senders[sender]);
        let own = sender.and_then(|sender| sender.priority);
        let organisation = sender.map(|sender| sender.name.clone());
        (name.into(), own.unwrap_or(priority), organisation)
    }

    /// Asks the entry to admit a request.
    fn ask(&mut self, request: usize) {
        if self.entry_restarts_at == Some(self.now.0 / 1_000) {
            self.entry_restarts_at = None;
            self.entry = EntryShares::default();
        }
        let (route, priority, organisation) = self.kind_of(request);
        let admitted = if !self.with_shares {
            Some(1.0)
        } else if organisation.is_some() {
            let kind = RootKind {
                route: &route,
                priority,
                organisation: organisation.as_ref(),
            };
            let start = self.rng.random();
            let entry = &mut self.entry;
            entry.admit_organisation(self.now, kind, start, |_| WORKERS)
        } else {
            self.entry.admit(self.now, &route, |_| WORKERS)
        };
        let Some(admitted) = admitted else {
            return self.shed(request);
        };
        self.roots.push(SimulatedRoot {
            request,
            admitted,
            started: self.now,
            calls_left: self.kinds[self.requests[request].kind].calls,
        });
        let root = self.roots.len() - 1;
        self.schedule(10, Event::Call { root });
    }

    fn shed(&mut self, request: usize) {
        let second = (self.now.0 / 1_000) as usize;
        let asked = &mut self.requests[request];
        self.results[second][asked.kind].shed += 1;
        let after_ms = match asked.client {
            Client::RepeatsAtOnce if asked.repeats < 3 => 5,
            Client::ReturnsOnTime if asked.repeats < 1 => self.rng.random_range(SHED_RETRY_MS),
            _ => return,
        };
        asked.repeats += 1;
        self.schedule(after_ms, Event::Repeat { request });
    }

    fn call(&mut self, root: usize) {
        let SimulatedRoot {
            request,
            admitted,
            started,
            ..
        } = self.roots[root];
        let deadline = self.now.plus_ms(CALL_TIMEOUT_MS);
        let deadline = deadline.min(started.plus_ms(ROOT_TIMEOUT_MS));
        let route = ServiceName::from("lookup");
        let (root_route, priority, organisation) = self.kind_of(request);
        let root_request = RootRequest {
            route: root_route,
            priority,
            organisation,
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
        self.shares[worker].record_arrival(&root_request, expected_ms);
        let request = AdmissionRequest {
            route: &route,
            priority: root_request.priority,
            organisation: root_request
                .organisation
                .as_ref()
                .filter(|_| self.with_fair_queue),
            is_call: true,
            deadline,
        };
        match self.admissions[worker].admit(self.now, request) {
            AdmissionDecision::Start => self.run(root, worker),
            AdmissionDecision::Wait(waiter_id) => {
                self.waiting[worker].insert(waiter_id, root);
                if self.admissions[worker].has_dropped() {
                    self.shares[worker].record_refusal();
                    self.start_waiting(worker);
                }
            }
            AdmissionDecision::TooLate => self.counts(root).failed += 1,
            AdmissionDecision::Refuse { .. } => {
                self.shares[worker].record_refusal();
                self.counts(root).failed += 1;
            }
        }
    }

    fn run(&mut self, root: usize, worker: usize) {
        let took_ms = (CALL_MS * 0.5 + self.exponential(CALL_MS * 0.5)) as u64;
        self.schedule(took_ms, Event::CallEnded { root, worker });
    }

    fn call_ended(&mut self, root: usize, worker: usize) {
        self.admissions[worker].finished(&"lookup".into(), Some(CALL_MS as u64));
        self.start_waiting(worker);
        self.roots[root].calls_left -= 1;
        let is_late = self.now.since_ms(self.roots[root].started) > ROOT_TIMEOUT_MS;
        if is_late {
            self.counts(root).failed += 1;
        } else if self.roots[root].calls_left == 0 {
            self.counts(root).served += 1;
            let request = self.roots[root].request;
            self.requests[request].is_served = true;
        } else {
            self.schedule(20, Event::Call { root });
        }
    }

    fn start_waiting(&mut self, worker: usize) {
        while let Some(decision) = self.admissions[worker].next(self.now) {
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
            if let Some(report) = self.shares[worker].report(self.now, reporter) {
                self.entry.record_report(self.now, &report);
            }
        }
        self.schedule(REPORT_INTERVAL_MS, Event::ReportShares);
    }
}

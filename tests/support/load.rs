//! Generates load on a [`World`]: request streams, clients that retry, and the outcomes of their
//! requests.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use burdockhall::decide::{CallerRequest, Mechanisms};
use burdockhall::model::sheet::{CallerShare, Rule, Sheet};
use burdockhall::model::{
    CallKey, Contract, Importance, Outcome, Place, ServiceName, SheetVersion, Ticket, TimeMs,
};
use rand::RngExt;

use super::{Host, HostPlan, World};

/// A service of a deployment, which has one worker in each zone.
pub struct ServicePlan {
    pub name: &'static str,
    pub slots: u32,
    pub service_ms: u64,
}

/// A stream of requests of one kind from one caller.
#[derive(Clone)]
pub struct Stream {
    pub request: &'static str,
    /// Services that the request passes through, from the entry to the deepest.
    pub chain: &'static [&'static str],
    pub caller: &'static str,
    pub importance: Importance,
    pub keyed: bool,
    /// Requests per second at a load factor of 1.
    pub per_s: f64,
}

/// How clients retry a request that did not end with status 200.
#[derive(Clone, Copy)]
pub struct RetryPolicy {
    /// Maximum number of retries of a request.
    pub retries: u32,
    /// Mean wait before a retry.
    pub wait_ms: u64,
    /// Time after which a client abandons an attempt.
    pub timeout_ms: u64,
}

/// Retries quickly and often, whatever the reason of the failure.
pub const AGGRESSIVE_RETRIES: RetryPolicy = RetryPolicy {
    retries: 5,
    wait_ms: 100,
    timeout_ms: 1_000,
};

/// Never retries.
pub const NO_RETRIES: RetryPolicy = RetryPolicy {
    retries: 0,
    wait_ms: 0,
    timeout_ms: 1_000,
};

/// A scaled-down deployment and its load.
pub struct Deployment {
    pub name: &'static str,
    pub regions: [&'static str; 3],
    pub services: Vec<ServicePlan>,
    pub streams: Vec<Stream>,
    pub shares: Vec<CallerShare>,
    /// Critical requests per second that the bottleneck can complete.
    pub capacity_per_s: f64,
    /// The service that the tests slow down.
    pub deep_service: &'static str,
}

/// A user's request; its client may make several attempts.
#[derive(Debug, Clone)]
pub struct UserRequest {
    pub stream: usize,
    pub started_at: TimeMs,
    pub done_at: Option<TimeMs>,
}

struct Attempt {
    user: usize,
    call: usize,
    number: u32,
    ticket: Option<(Host, &'static str, u64)>,
}

#[derive(Default)]
struct TicketState {
    ticket: Option<Ticket>,
    next_sequence: u64,
    open_sequences: BTreeSet<u64>,
}

/// Runs a deployment under load and records the outcomes.
pub struct LoadDriver {
    pub world: World,
    pub user_requests: Vec<UserRequest>,
    pub streams: Vec<Stream>,
    retry_policy: RetryPolicy,
    attempts: Vec<Attempt>,
    attempt_done: HashMap<bytes::Bytes, bool>,
    retries_due: BTreeMap<TimeMs, Vec<(usize, u32)>>,
    tickets: HashMap<(Host, &'static str), TicketState>,
    outcomes: BTreeMap<String, u32>,
}

impl LoadDriver {
    pub fn new(
        seed: u64,
        mechanisms: Mechanisms,
        deployment: &Deployment,
        retry_policy: RetryPolicy,
    ) -> LoadDriver {
        let plans = deployment.plans();
        let mut world = World::new(seed, mechanisms, deployment.sheet(), plans);
        for stream in &deployment.streams {
            for pair in stream.chain.windows(2) {
                let caller = (pair[0].into(), stream.request.to_owned());
                let called = vec![(pair[1].into(), stream.request.to_owned())];
                world.children.insert(caller, called);
            }
        }
        LoadDriver {
            world,
            user_requests: Vec::new(),
            streams: deployment.streams.clone(),
            retry_policy,
            attempts: Vec::new(),
            attempt_done: HashMap::new(),
            retries_due: BTreeMap::new(),
            tickets: HashMap::new(),
            outcomes: BTreeMap::new(),
        }
    }

    /// Runs for `span_ms` and offers every stream at `factor` times its rate.
    pub fn run(&mut self, span_ms: u64, factor: f64) {
        for _ in 0..span_ms {
            for stream in 0..self.streams.len() {
                self.generate_arrivals(stream, factor);
            }
            self.send_retries();
            self.world.run_for(1);
            self.collect_outcomes();
        }
    }

    /// Runs for `span_ms` and returns the goodput of that time, in user requests per second.
    pub fn measure_goodput(&mut self, span_ms: u64, factor: f64) -> f64 {
        let from = self.world.now;
        self.run(span_ms, factor);
        self.goodput_per_s(None, from, self.world.now)
    }

    /// User requests per second that succeeded between `from` and `to`; `None` counts every
    /// importance.
    pub fn goodput_per_s(&self, importance: Option<Importance>, from: TimeMs, to: TimeMs) -> f64 {
        let done = self.user_requests.iter().filter(|user| {
            let stream = &self.streams[user.stream];
            importance.is_none_or(|importance| stream.importance == importance)
                && user.done_at.is_some_and(|at| at >= from && at < to)
        });
        done.count() as f64 * 1_000.0 / to.since_ms(from) as f64
    }

    /// Sorted latencies of a caller's successful user requests that were made since `from`, over
    /// all their attempts.
    pub fn latencies_ms(&self, caller: &str, from: TimeMs) -> Vec<u64> {
        let mut latencies: Vec<u64> = self
            .user_requests
            .iter()
            .filter(|user| self.streams[user.stream].caller == caller && user.started_at >= from)
            .filter_map(|user| user.done_at.map(|done| done.since_ms(user.started_at)))
            .collect();
        latencies.sort_unstable();
        latencies
    }

    /// Number of user requests that a caller has made since `from`.
    pub fn offered(&self, caller: &str, from: TimeMs) -> usize {
        let users = self.user_requests.iter();
        users
            .filter(|user| self.streams[user.stream].caller == caller && user.started_at >= from)
            .count()
    }

    /// Share of the backend servers' work that was done for successful attempts, from 0 to 1.
    pub fn useful_work_share(&self) -> f64 {
        let mut useful_ms = 0;
        let mut all_ms = 0;
        for host in &self.world.hosts {
            for (body, worked_ms) in &host.backend.worked_ms_by_body {
                all_ms += worked_ms;
                if self.attempt_done.get(body).copied().unwrap_or(false) {
                    useful_ms += worked_ms;
                }
            }
        }
        useful_ms as f64 / all_ms.max(1) as f64
    }

    /// Number of attempts by outcome.
    pub fn outcomes(&self) -> &BTreeMap<String, u32> {
        &self.outcomes
    }

    /// Makes the clients request new tickets, as they must when a daemon was replaced.
    pub fn discard_tickets(&mut self) {
        self.tickets.clear();
    }

    /// Sets the factor by which the service time of a service's backend servers is multiplied.
    pub fn set_slowdown(&mut self, service: &str, slowdown: u64) {
        for host in &mut self.world.hosts {
            if host.plan.service.as_str() == service {
                host.backend.slowdown = slowdown;
            }
        }
    }

    /// Admission levels of the workers of a service, where 1.0 is one step of importance.
    pub fn admission_levels(&self, service: &str) -> Vec<f64> {
        let hosts = self.world.hosts.iter();
        hosts
            .filter(|host| host.plan.service.as_str() == service)
            .map(|host| f64::from(host.node.gauges().level) / 65_536.0)
            .collect()
    }

    /// Concurrency limits of the workers of a service.
    pub fn concurrency_limits(&self, service: &str) -> Vec<u32> {
        let hosts = self.world.hosts.iter();
        hosts
            .filter(|host| host.plan.service.as_str() == service)
            .map(|host| host.node.gauges().limit)
            .collect()
    }

    fn generate_arrivals(&mut self, stream: usize, factor: f64) {
        let mut expected = self.streams[stream].per_s * factor / 1_000.0;
        while expected > 0.0 {
            if self.world.rng.random_bool(expected.min(1.0)) {
                let user = self.user_requests.len();
                self.user_requests.push(UserRequest {
                    stream,
                    started_at: self.world.now,
                    done_at: None,
                });
                self.send_attempt(user, 0);
            }
            expected -= 1.0;
        }
    }

    fn send_retries(&mut self) {
        let later = self.retries_due.split_off(&self.world.now.plus_ms(1));
        let due = std::mem::replace(&mut self.retries_due, later);
        for (user, number) in due.into_values().flatten() {
            self.send_attempt(user, number);
        }
    }

    fn send_attempt(&mut self, user: usize, number: u32) {
        let stream = self.streams[self.user_requests[user].stream].clone();
        let service = stream.chain[0];
        let hosts = self.world.hosts.len();
        let mut host = self.world.rng.random_range(0..hosts);
        while !self.world.hosts[host].alive {
            host = self.world.rng.random_range(0..hosts);
        }
        let body = bytes::Bytes::from(format!("{}", self.world.calls.len()));
        let key = stream.keyed.then(|| self.next_key(host, service));
        let (key, acknowledged_below) = key.flatten().unzip();
        let ticket = key
            .as_ref()
            .map(|key: &CallKey| (host, service, key.sequence));
        let request = CallerRequest {
            service: service.into(),
            request: stream.request.into(),
            caller: stream.caller.into(),
            key,
            acknowledged_below,
            time_left_ms: None,
            parent: None,
            body,
        };
        let call = self.world.call(host, request);
        self.attempts.push(Attempt {
            user,
            call,
            number,
            ticket,
        });
    }

    fn next_key(&mut self, host: Host, service: &'static str) -> Option<(CallKey, u64)> {
        let entry = self.tickets.entry((host, service)).or_default();
        if entry.ticket.is_none() {
            let service: ServiceName = service.into();
            entry.ticket = self.world.hosts[host].node.issue_ticket(&service);
        }
        let ticket = entry.ticket.clone()?;
        let sequence = entry.next_sequence;
        entry.next_sequence += 1;
        entry.open_sequences.insert(sequence);
        let acknowledged_below = entry.open_sequences.first().copied().unwrap_or(sequence);
        Some((CallKey { ticket, sequence }, acknowledged_below))
    }

    fn collect_outcomes(&mut self) {
        let now = self.world.now;
        let open = std::mem::take(&mut self.attempts);
        for attempt in open {
            let call = &self.world.calls[attempt.call];
            let timed_out = now.since_ms(call.started_at) >= self.retry_policy.timeout_ms;
            let body = call.body.clone();
            let (name, done) = match &call.ended {
                Some((_, outcome)) => classify(outcome),
                None if timed_out => ("client timeout".to_owned(), false),
                None => {
                    self.attempts.push(attempt);
                    continue;
                }
            };
            if call.ended.is_none() {
                self.world.abandon(attempt.call);
            }
            *self.outcomes.entry(name).or_default() += 1;
            self.attempt_done.insert(body, done);
            if let Some((host, service, sequence)) = attempt.ticket
                && let Some(ticket) = self.tickets.get_mut(&(host, service))
            {
                ticket.open_sequences.remove(&sequence);
            }
            if done {
                self.user_requests[attempt.user].done_at = Some(now);
            } else if attempt.number < self.retry_policy.retries {
                let wait_ms = self
                    .world
                    .rng
                    .random_range(1..=2 * self.retry_policy.wait_ms.max(1));
                let due = self.retries_due.entry(now.plus_ms(wait_ms)).or_default();
                due.push((attempt.user, attempt.number + 1));
            }
        }
    }
}

fn classify(outcome: &Outcome) -> (String, bool) {
    match outcome {
        Outcome::Done(answer) => (format!("done {}", answer.status), answer.status == 200),
        Outcome::NotRun(not_run) => (format!("not-run {}", not_run.reason), false),
        Outcome::Unknown(reason) => (format!("unknown {reason}"), false),
    }
}

impl Deployment {
    fn plans(&self) -> Vec<HostPlan> {
        let mut plans = Vec::new();
        for region in self.regions {
            for zone in ["a", "b"] {
                for service in &self.services {
                    plans.push(HostPlan {
                        place: Place {
                            region: region.into(),
                            zone: format!("{region}-{zone}").as_str().into(),
                        },
                        service: service.name.into(),
                        slots: service.slots,
                        service_ms: service.service_ms,
                    });
                }
            }
        }
        plans
    }

    fn sheet(&self) -> Sheet {
        let rules = self.streams.iter().map(|stream| Rule {
            service: None,
            request: Some(stream.request.into()),
            caller: None,
            contract: Contract {
                importance: stream.importance,
                idempotent: !stream.keyed,
                deadline_ms: 1_000,
                retry_allowance: 3,
            },
        });
        Sheet {
            version: SheetVersion(1),
            author: "planner".into(),
            published_ms: 0,
            rules: rules.collect(),
            shares: self.shares.clone(),
        }
    }
}

/// A voucher exchange. Redemptions pass through three services of equal size. The first is the
/// bottleneck, because a request holds its slot there for the whole chain.
pub fn levy() -> Deployment {
    let slots = 11;
    let (balances_ms, redemptions_ms, transfers_ms) = (4, 6, 20);
    let held_ms = (balances_ms + redemptions_ms + transfers_ms) as f64;
    let capacity_per_s = 6.0 * f64::from(slots) * 1_000.0 / held_ms;
    Deployment {
        name: "levy",
        regions: ["dublin", "cork", "galway"],
        services: vec![
            service("balances", slots, balances_ms),
            service("redemptions", slots, redemptions_ms),
            service("transfers", slots, transfers_ms),
            service("catalogue", 3, 10),
        ],
        streams: vec![
            Stream {
                request: "redeem",
                chain: &["balances", "redemptions", "transfers"],
                caller: "provider",
                importance: Importance::Critical,
                keyed: true,
                per_s: 0.5 * capacity_per_s,
            },
            Stream {
                request: "check",
                chain: &["balances"],
                caller: "employer",
                importance: Importance::Normal,
                keyed: false,
                per_s: 0.25 * capacity_per_s,
            },
            Stream {
                request: "browse",
                chain: &["catalogue", "balances"],
                caller: "apprentice",
                importance: Importance::Sheddable,
                keyed: false,
                per_s: 0.25 * capacity_per_s,
            },
        ],
        shares: Vec::new(),
        capacity_per_s,
        deep_service: "transfers",
    }
}

/// A safety laboratory. Enrolments pass through four services; the last, a small ledger, is the
/// bottleneck.
pub fn tantuvan() -> Deployment {
    let (slots, ledger_slots, ledger_ms) = (15, 4, 20);
    let capacity_per_s = 6.0 * f64::from(ledger_slots) * 1_000.0 / ledger_ms as f64;
    Deployment {
        name: "tantuvan",
        regions: ["guj-west", "guj-central", "guj-south"],
        services: vec![
            service("coursebook", slots, 4),
            service("enrolment", slots, 4),
            service("certdesk", slots, 4),
            service("ledger", ledger_slots, ledger_ms),
        ],
        streams: vec![
            Stream {
                request: "enrol",
                chain: &["coursebook", "enrolment", "certdesk", "ledger"],
                caller: "contractor",
                importance: Importance::Critical,
                keyed: true,
                per_s: 0.5 * capacity_per_s,
            },
            Stream {
                request: "book",
                chain: &["coursebook", "enrolment", "ledger"],
                caller: "supervisor",
                importance: Importance::High,
                keyed: false,
                per_s: 0.25 * capacity_per_s,
            },
            Stream {
                request: "read",
                chain: &["coursebook"],
                caller: "trainee",
                importance: Importance::Sheddable,
                keyed: false,
                per_s: 0.25 * capacity_per_s,
            },
        ],
        shares: Vec::new(),
        capacity_per_s,
        deep_service: "ledger",
    }
}

fn service(name: &'static str, slots: u32, service_ms: u64) -> ServicePlan {
    ServicePlan {
        name,
        slots,
        service_ms,
    }
}

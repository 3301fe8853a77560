//! Random schedules of calls and faults over many daemons, and the invariants that every schedule
//! must keep.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use burdockhall::decide::{CallerRequest, Counter, Event, Mechanisms};
use burdockhall::model::sheet::{Rule, Sheet};
use burdockhall::model::{
    Answer, CallKey, Contract, Importance, Incarnation, NotRunReason, Outcome, Place, SheetVersion,
    Ticket, UnknownReason,
};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};

use super::{Host, HostPlan, NetworkFaults, World};

pub const HOSTS: usize = 8;
const CLIENTS: usize = 3;
const RETRY_ALLOWANCE: u32 = 2;
const DEADLINE_MS: u64 = 400;
/// Time after which a leaving backend server must get no new work.
const LEAVING_BOUND_MS: u64 = 3_000;

/// One step of a schedule. A call to a host that is not alive goes to the next live one. `key`
/// counts back from the client's latest key, which is 0.
#[derive(Debug, Clone)]
pub enum Step {
    Call {
        client: usize,
        via: Host,
    },
    Resubmit {
        client: usize,
        key: usize,
        via: Host,
        tampered: bool,
    },
    Query {
        client: usize,
        key: usize,
        via: Host,
    },
    CallIdempotent {
        via: Host,
    },
    NewTicket {
        client: usize,
        home: Host,
    },
    Run {
        span_ms: u64,
    },
    Pause {
        host: Host,
        span_ms: u64,
    },
    Kill {
        host: Host,
    },
    Replace {
        host: Host,
        delay_ms: u64,
    },
    Drain {
        host: Host,
        delay_ms: u64,
    },
    Cut {
        host: Host,
    },
    Heal,
    Network {
        lose: u8,
        duplicate: u8,
        delay_ms: u64,
    },
    Sheet {
        host: Host,
    },
}

/// The steps of a run, and the seed of the simulated world.
#[derive(Debug, Clone)]
pub struct Schedule {
    pub seed: u64,
    pub steps: Vec<Step>,
}

/// Outcome counts of one or more schedules.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    pub calls: usize,
    pub done: usize,
    pub not_run: usize,
    pub unknown: usize,
    pub executed_keys: usize,
    /// Sum of the times at which calls ended; a fingerprint for comparing two runs.
    pub ended_ms: u64,
}

impl Stats {
    pub fn plus(&self, other: &Stats) -> Stats {
        Stats {
            calls: self.calls + other.calls,
            done: self.done + other.done,
            not_run: self.not_run + other.not_run,
            unknown: self.unknown + other.unknown,
            executed_keys: self.executed_keys + other.executed_keys,
            ended_ms: self.ended_ms + other.ended_ms,
        }
    }
}

fn step() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS;
    let client = 0..CLIENTS;
    prop_oneof![
        10 => (client.clone(), host.clone()).prop_map(|(client, via)| Step::Call { client, via }),
        4 => (client.clone(), 0..4usize, host.clone(), prop::bool::weighted(0.2)).prop_map(
            |(client, key, via, tampered)| Step::Resubmit { client, key, via, tampered }
        ),
        3 => (client.clone(), 0..4usize, host.clone())
            .prop_map(|(client, key, via)| Step::Query { client, key, via }),
        2 => host.clone().prop_map(|via| Step::CallIdempotent { via }),
        1 => (client, host.clone()).prop_map(|(client, home)| Step::NewTicket { client, home }),
        10 => (1..60u64).prop_map(|span_ms| Step::Run { span_ms }),
        2 => (host.clone(), 1..800u64).prop_map(|(host, span_ms)| Step::Pause { host, span_ms }),
        1 => host.clone().prop_map(|host| Step::Kill { host }),
        2 => (host.clone(), 0..400u64)
            .prop_map(|(host, delay_ms)| Step::Replace { host, delay_ms }),
        1 => (host.clone(), 0..2_000u64).prop_map(|(host, delay_ms)| Step::Drain { host, delay_ms }),
        1 => host.clone().prop_map(|host| Step::Cut { host }),
        1 => Just(Step::Heal),
        2 => (0..3u8, 0..3u8, 0..40u64)
            .prop_map(|(lose, duplicate, delay_ms)| Step::Network { lose, duplicate, delay_ms }),
        1 => host.prop_map(|host| Step::Sheet { host }),
    ]
}

pub fn schedule() -> impl Strategy<Value = Schedule> {
    let steps = prop::collection::vec(step(), 10..50);
    (any::<u64>(), steps).prop_map(|(seed, steps)| Schedule { seed, steps })
}

/// Generates the schedule of a seed and runs it. With `shrink`, a failing schedule is reduced
/// before it is reported.
pub fn check_seed(seed: u64, shrink: bool) -> Result<Stats, String> {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let config = Config {
        failure_persistence: None,
        max_shrink_iters: if shrink { 500 } else { 0 },
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let tree = schedule()
        .new_tree(&mut runner)
        .map_err(|r| r.to_string())?;
    let generated = tree.current();
    let result = runner.run_one(tree, |schedule| match run(&schedule) {
        Ok(_) => Ok(()),
        Err(problem) => Err(TestCaseError::fail(problem)),
    });
    match result {
        Ok(_) => run(&generated),
        Err(TestError::Fail(why, smallest)) => Err(format!(
            "seed {seed}: {why}\nsmallest schedule: {smallest:#?}"
        )),
        Err(other) => Err(format!("seed {seed}: {other:?}")),
    }
}

struct Client {
    ticket: Option<Ticket>,
    sequence: u64,
    keys: Vec<CallKey>,
}

pub struct Driver {
    pub world: World,
    clients: Vec<Client>,
    /// Bodies sent with each key. The first is the original; the others were tampered with.
    bodies: BTreeMap<CallKey, Vec<String>>,
    /// Highest `acknowledged_below` sent for each ticket.
    acknowledged: HashMap<String, u64>,
    draining: BTreeSet<(Host, Incarnation)>,
    /// Description of each exit after a drain that left work unfinished.
    unfinished_drains: Vec<String>,
    next_body: u64,
}

/// Runs a schedule and checks all invariants.
pub fn run(schedule: &Schedule) -> Result<Stats, String> {
    let mut driver = Driver::new(schedule.seed);
    for step in &schedule.steps {
        driver.apply(step);
    }
    driver.heal_and_settle();
    driver.check()?;
    driver.check_resolution()?;
    Ok(driver.stats())
}

impl Driver {
    pub fn new(seed: u64) -> Driver {
        let mut world = World::new(seed, Mechanisms::ALL, sheet(1, false), plans());
        world.tick_ms = 10;
        let redeem = ("balances".into(), "redeem".to_owned());
        let post = vec![("ledger".into(), "post".to_owned())];
        world.children.insert(redeem, post);
        let show = ("balances".into(), "show".to_owned());
        let read = vec![("ledger".into(), "show".to_owned())];
        world.children.insert(show, read);
        let clients = (0..CLIENTS).map(|_| Client {
            ticket: None,
            sequence: 0,
            keys: Vec::new(),
        });
        let mut driver = Driver {
            world,
            clients: clients.collect(),
            bodies: BTreeMap::new(),
            acknowledged: HashMap::new(),
            draining: BTreeSet::new(),
            unfinished_drains: Vec::new(),
            next_body: 0,
        };
        for client in 0..CLIENTS {
            driver.new_ticket(client, client * 3);
        }
        driver
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Call { client, via } => self.call(client, via),
            Step::Resubmit {
                client,
                key,
                via,
                tampered,
            } => {
                self.resubmit(client, key, via, tampered);
            }
            Step::Query { client, key, via } => {
                if let (Some(key), Some(via)) = (self.key(client, key), self.next_alive(via)) {
                    self.world.query(via, key);
                }
            }
            Step::CallIdempotent { via } => self.call_idempotent(via),
            Step::NewTicket { client, home } => self.new_ticket(client, home),
            Step::Run { span_ms } => self.run_for(span_ms),
            Step::Pause { host, span_ms } => self.world.pause(host, span_ms),
            Step::Kill { host } => self.world.kill(host),
            Step::Replace { host, delay_ms } => self.world.replace_with_delay(host, delay_ms),
            Step::Drain { host, delay_ms } => self.drain(host, delay_ms),
            Step::Cut { host } => {
                for other in 0..HOSTS {
                    self.world.cut_link(host, other);
                }
            }
            Step::Heal => self.world.heal(),
            Step::Network {
                lose,
                duplicate,
                delay_ms,
            } => {
                self.world.faults = NetworkFaults {
                    lose_request: f64::from(lose) * 0.1,
                    lose_reply: f64::from(lose) * 0.15,
                    duplicate_request: f64::from(duplicate) * 0.2,
                    extra_delay_ms: delay_ms,
                };
            }
            Step::Sheet { host } => self.world.learn_sheet(host, 0, sheet(2, true)),
        }
    }

    /// Ends all network faults, lets the clients make calls for a while, and waits for the open
    /// calls to end.
    pub fn heal_and_settle(&mut self) {
        self.world.heal();
        self.world.faults = NetworkFaults::default();
        self.run_for(900);
        for host in 0..HOSTS {
            self.world.learn_sheet(host, 100, sheet(2, true));
        }
        self.world.announce_to_all();
        for round in 0..8 {
            for client in 0..CLIENTS {
                self.call(client, round + client);
            }
            self.run_for(500);
        }
        self.world.tick_ms = 50;
        self.run_for(6_000);
    }

    pub fn run_for(&mut self, span_ms: u64) {
        let end = self.world.now.plus_ms(span_ms);
        while self.world.now < end {
            let left_ms = end.since_ms(self.world.now);
            self.world.run_for(left_ms.min(20));
            self.exit_drained_hosts();
        }
    }

    fn exit_drained_hosts(&mut self) {
        for (host, incarnation) in self.draining.clone() {
            let state = &self.world.hosts[host];
            if !self.world.is_running(host, incarnation) {
                self.draining.remove(&(host, incarnation));
                continue;
            }
            if state.paused_until > self.world.now || !state.node.may_exit(self.world.now) {
                continue;
            }
            let waiting = self.world.waiter_count(host, incarnation);
            let running = state.backend.running();
            if waiting > 0 || running > 0 {
                let what = format!("host {host}: {waiting} waiting, {running} running at its exit");
                self.unfinished_drains.push(what);
            }
            self.world.kill(host);
            self.draining.remove(&(host, incarnation));
        }
    }

    pub fn drain(&mut self, host: Host, delay_ms: u64) {
        if !self.world.hosts[host].alive || self.world.hosts[host].backend.leaving {
            return;
        }
        self.world.leave(host, delay_ms);
        self.world.send_event(host, Event::Draining);
        let incarnation = self.world.incarnation(host);
        self.draining.insert((host, incarnation));
    }

    fn next_alive(&self, host: Host) -> Option<Host> {
        (0..HOSTS)
            .map(|offset| (host + offset) % HOSTS)
            .find(|host| self.world.hosts[*host].alive)
    }

    /// All keys that a client has used.
    pub fn keys(&self, client: usize) -> Vec<CallKey> {
        self.clients[client].keys.clone()
    }

    fn key(&self, client: usize, key: usize) -> Option<CallKey> {
        let keys = &self.clients[client].keys;
        keys.iter().rev().nth(key).cloned()
    }

    pub fn new_ticket(&mut self, client: usize, home: Host) {
        let Some(home) = self.next_alive(home) else {
            return;
        };
        let ticket = self.world.hosts[home].node.issue_ticket(&"balances".into());
        self.clients[client].ticket = ticket;
        self.clients[client].sequence = 0;
    }

    pub fn call(&mut self, client: usize, via: Host) {
        if self.clients[client].ticket.is_none() {
            self.new_ticket(client, via);
        }
        let Some(ticket) = self.clients[client].ticket.clone() else {
            return;
        };
        let sequence = self.clients[client].sequence;
        self.clients[client].sequence += 1;
        let key = CallKey { ticket, sequence };
        self.clients[client].keys.push(key.clone());
        let body = self.new_body();
        self.bodies.insert(key.clone(), vec![body.clone()]);
        self.submit(key, body, via);
    }

    pub fn resubmit(&mut self, client: usize, key: usize, via: Host, tampered: bool) {
        let Some(key) = self.key(client, key) else {
            return;
        };
        let body = if tampered {
            let body = self.new_body();
            self.bodies
                .entry(key.clone())
                .or_default()
                .push(body.clone());
            body
        } else {
            self.bodies[&key][0].clone()
        };
        self.submit(key, body, via);
    }

    fn submit(&mut self, key: CallKey, body: String, via: Host) {
        let Some(via) = self.next_alive(via) else {
            return;
        };
        let below = self.answered_below(&key);
        let acknowledged = self.acknowledged.entry(key.ticket.to_string()).or_default();
        *acknowledged = below.max(*acknowledged);
        let request = request("redeem", Some(key), Some(below), body);
        self.world.call(via, request);
    }

    fn call_idempotent(&mut self, via: Host) {
        let body = self.new_body();
        if let Some(via) = self.next_alive(via) {
            self.world.call(via, request("show", None, None, body));
        }
    }

    fn new_body(&mut self) -> String {
        self.next_body += 1;
        format!("voucher {}", self.next_body)
    }

    /// The lowest sequence number of the key's ticket without a final outcome.
    fn answered_below(&self, key: &CallKey) -> u64 {
        let answered: HashSet<u64> = self
            .world
            .calls
            .iter()
            .filter(|call| call.ended.as_ref().is_some_and(|(_, o)| is_final(o)))
            .filter_map(|call| call.key.as_ref())
            .filter(|other| other.ticket == key.ticket)
            .map(|other| other.sequence)
            .collect();
        (0..)
            .find(|sequence| !answered.contains(sequence))
            .unwrap_or(0)
    }

    pub fn check(&self) -> Result<(), String> {
        for (key, count) in &self.world.executions {
            ensure(*count <= 1, || format!("{key} ran {count} times"))?;
        }
        for (key, outcome) in &self.world.sent_outcomes {
            let ran = self.world.executions.contains_key(key);
            let reported_not_run = matches!(outcome, Outcome::NotRun(refusal)
                if refusal.reason != NotRunReason::KeyReused);
            ensure(!(ran && reported_not_run), || {
                format!("{key} ran after {outcome:?}")
            })?;
        }
        self.check_answers()?;
        self.check_retry_allowance()?;
        for run in &self.world.runs {
            let late = self.world.leaving_since.get(&run.host).is_some_and(|left| {
                self.world.incarnation(run.host) == run.incarnation
                    && run.at.since_ms(*left) > LEAVING_BOUND_MS
            });
            ensure(!late, || format!("new work for a leaving server: {run:?}"))?;
        }
        ensure(self.unfinished_drains.is_empty(), || {
            format!("cut in a drain: {:?}", self.unfinished_drains)
        })?;
        for (host, state) in self.world.hosts.iter().enumerate() {
            let breaches = state.node.counters().get(Counter::Breaches);
            ensure(breaches == 0, || format!("{breaches} breaches at {host}"))?;
        }
        Ok(())
    }

    fn check_answers(&self) -> Result<(), String> {
        for (index, call) in self.world.calls.iter().enumerate() {
            let Some((_, outcome)) = &call.ended else {
                let process_gone = !self.world.is_running(call.host, call.incarnation);
                ensure(process_gone, || {
                    format!("call {index} has no outcome: {call:?}")
                })?;
                continue;
            };
            let Outcome::Done(answer) = outcome else {
                continue;
            };
            let expected = match &call.key {
                Some(key) if call.body.is_empty() => self.bodies[key].contains(&body_text(answer)),
                _ => answer.body == call.body,
            };
            ensure(expected, || {
                format!("call {index} got a foreign answer: {call:?}")
            })?;
        }
        Ok(())
    }

    fn check_retry_allowance(&self) -> Result<(), String> {
        for (root, attempts) in &self.world.attempts {
            let first = self.world.callers_of_root[root].len() as u32;
            let extra = attempts.saturating_sub(first);
            ensure(extra <= RETRY_ALLOWANCE, || {
                format!("root {root:x} made {extra} extra attempts")
            })?;
        }
        Ok(())
    }

    /// Checks that a query returns the answer of each key that ran on a process that still runs,
    /// unless the client has acknowledged the key.
    pub fn check_resolution(&mut self) -> Result<(), String> {
        let Some(via) = self.next_alive(0) else {
            return Ok(());
        };
        let mut queries = Vec::new();
        for run in self.world.runs.clone() {
            let Some(key) = run.key.filter(|key| self.bodies.contains_key(key)) else {
                continue;
            };
            let ticket = key.ticket.to_string();
            let acknowledged = self.acknowledged.get(&ticket).copied().unwrap_or(0);
            if !self.world.is_running(run.host, run.incarnation) || key.sequence < acknowledged {
                continue;
            }
            queries.push((self.world.query(via, key.clone()), key));
        }
        self.run_for(6_000);
        self.check()?;
        for (index, key) in queries {
            let ended = &self.world.calls[index].ended;
            let answered = matches!(ended, Some((_, Outcome::Done(answer)))
                if self.bodies[&key].contains(&body_text(answer)));
            ensure(answered, || {
                format!("{key} is done, but the answer is {ended:?}")
            })?;
        }
        Ok(())
    }

    fn stats(&self) -> Stats {
        let mut stats = Stats {
            calls: self.world.calls.len(),
            executed_keys: self.world.executions.len(),
            ..Stats::default()
        };
        for call in &self.world.calls {
            stats.ended_ms += call.ended.as_ref().map_or(0, |(at, _)| at.0);
            match &call.ended {
                Some((_, Outcome::Done(_))) => stats.done += 1,
                Some((_, Outcome::NotRun(_))) => stats.not_run += 1,
                Some((_, Outcome::Unknown(_))) => stats.unknown += 1,
                None => {}
            }
        }
        stats
    }
}

fn ensure(holds: bool, problem: impl FnOnce() -> String) -> Result<(), String> {
    if holds { Ok(()) } else { Err(problem()) }
}

fn is_final(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Done(_) => true,
        Outcome::NotRun(refusal) => refusal.reason != NotRunReason::KeyReused,
        Outcome::Unknown(reason) => *reason == UnknownReason::KeyAcknowledged,
    }
}

fn body_text(answer: &Answer) -> String {
    String::from_utf8_lossy(&answer.body).into_owned()
}

pub fn request(
    name: &str,
    key: Option<CallKey>,
    acknowledged_below: Option<u64>,
    body: String,
) -> CallerRequest {
    CallerRequest {
        service: "balances".into(),
        request: name.into(),
        caller: "employer".into(),
        key,
        acknowledged_below,
        time_left_ms: None,
        parent: None,
        body: body.into(),
    }
}

/// A sheet in which only `show` is idempotent. `changed` gives every request another importance.
pub fn sheet(version: u64, changed: bool) -> Sheet {
    let contract = Contract {
        importance: if changed {
            Importance::High
        } else {
            Importance::Critical
        },
        idempotent: false,
        deadline_ms: DEADLINE_MS,
        retry_allowance: RETRY_ALLOWANCE,
    };
    let rule = |request: Option<&str>, idempotent| Rule {
        service: None,
        request: request.map(Into::into),
        caller: None,
        contract: Contract {
            idempotent,
            ..contract
        },
    };
    Sheet {
        version: SheetVersion(version),
        author: "planner".into(),
        published_ms: 0,
        rules: vec![rule(None, false), rule(Some("show"), true)],
        shares: Vec::new(),
    }
}

pub fn plans() -> Vec<HostPlan> {
    let places = [
        ("dublin", "a"),
        ("dublin", "b"),
        ("cork", "a"),
        ("cork", "b"),
    ];
    let services = [
        "balances", "balances", "balances", "ledger", "ledger", "ledger",
    ];
    let services = services.into_iter().chain(["front", "front"]);
    services
        .enumerate()
        .map(|(host, service)| HostPlan {
            place: Place {
                region: places[host % 4].0.into(),
                zone: format!("{}-{}", places[host % 4].0, places[host % 4].1)
                    .as_str()
                    .into(),
            },
            service: service.into(),
            slots: 3,
            service_ms: 10 + host as u64,
        })
        .collect()
}

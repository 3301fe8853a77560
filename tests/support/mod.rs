//! Simulates many daemons in one thread under a virtual clock.
//!
//! The simulated network delays, loses and duplicates messages. Each daemon has a simulated
//! backend server with slots, a service time and child calls. All randomness comes from one seed.
#![allow(dead_code)]

pub mod backend;
pub mod load;
pub mod random_schedule;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use burdockhall::decide::home::HomeBounds;
use burdockhall::decide::{
    Action, CallId, CallerRequest, Event, ExchangeId, Mechanisms, Node, NodeSettings, Note,
    PeerReply, PeerRequest, SendFailure,
};
use burdockhall::model::{
    Announcement, CallKey, Distance, Incarnation, Outcome, Place, ServerState, ServiceName, Sheet,
    TimeMs, Vm, WorkerId,
};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use backend::{Backend, BackendStep};

/// Default time between two ticks.
const TICK_MS: u64 = 5;
/// Time without progress after which a connection is given up.
const SILENCE_MS: u64 = 300;

/// Index of a daemon with its backend server.
pub type Host = usize;

/// Faults of the simulated network. Probabilities range from 0 to 1.
#[derive(Debug, Clone, Copy, Default)]
pub struct NetworkFaults {
    /// Probability that a request is lost. Its sender sees a silent connection.
    pub lose_request: f64,
    /// Probability that a reply is lost. The sender of the request sees a broken connection.
    pub lose_reply: f64,
    /// Probability that a request arrives a second time, later.
    pub duplicate_request: f64,
    /// Maximum extra delay of a message; each delay is drawn uniformly.
    pub extra_delay_ms: u64,
}

/// Configuration of a simulated daemon and its backend server.
#[derive(Debug, Clone)]
pub struct HostPlan {
    pub place: Place,
    pub service: ServiceName,
    pub slots: u32,
    pub service_ms: u64,
}

/// A simulated daemon and its backend server.
pub struct HostState {
    pub plan: HostPlan,
    pub node: Node,
    pub backend: Backend,
    /// Start number of the process at this host, used as its announced start time.
    pub start_number: u64,
    pub alive: bool,
    pub paused_until: TimeMs,
    sequence: u64,
}

enum Delivery {
    Tick,
    ToNode {
        host: Host,
        incarnation: Incarnation,
        event: Event,
    },
    Request {
        from: Host,
        exchange: Option<ExchangeId>,
        from_incarnation: Incarnation,
        message: PeerRequest,
    },
    ToBackend {
        host: Host,
        incarnation: Incarnation,
        step: BackendStep,
    },
}

struct Scheduled {
    at: TimeMs,
    order: u64,
    delivery: Delivery,
}

/// A call made by a client, and its outcome once it has one.
#[derive(Debug, Clone)]
pub struct ClientCall {
    pub host: Host,
    pub incarnation: Incarnation,
    pub call: CallId,
    pub key: Option<CallKey>,
    pub body: bytes::Bytes,
    pub started_at: TimeMs,
    pub ended: Option<(TimeMs, Outcome)>,
}

/// A run: a request that was handed to a backend server.
#[derive(Debug, Clone)]
pub struct RunRecord {
    pub at: TimeMs,
    pub host: Host,
    pub incarnation: Incarnation,
    pub call: CallId,
    pub key: Option<CallKey>,
}

/// The simulated daemons, the network between them and the clients' calls.
pub struct World {
    pub now: TimeMs,
    /// Time between two ticks, in milliseconds.
    pub tick_ms: u64,
    pub hosts: Vec<HostState>,
    pub faults: NetworkFaults,
    /// Links that lose every message, by sender and receiver.
    pub cut_links: HashSet<(Host, Host)>,
    pub calls: Vec<ClientCall>,
    /// Number of runs of each key, over all hosts.
    pub executions: HashMap<String, u32>,
    /// Number of `Execute` messages sent over the whole call tree, by root request.
    pub attempts: HashMap<u64, u32>,
    pub notes: Vec<(TimeMs, Host, Note)>,
    /// Every run, in the order of their starts.
    pub runs: Vec<RunRecord>,
    /// Every outcome of a keyed call that was sent to a client or to a backend server, with its
    /// key.
    pub sent_outcomes: Vec<(String, Outcome)>,
    /// Time at which each host's backend server announced that it is leaving.
    pub leaving_since: HashMap<Host, TimeMs>,
    /// Calls that made at least one attempt, by root request.
    pub callers_of_root: HashMap<u64, HashSet<(Host, Incarnation, CallId)>>,
    pub rng: Xoshiro256PlusPlus,
    /// Child calls that a run makes, by its service and request.
    pub children: BTreeMap<(ServiceName, String), Vec<(ServiceName, String)>>,
    mechanisms: Mechanisms,
    sheet: Arc<Sheet>,
    queue: BinaryHeap<Reverse<Scheduled>>,
    order: u64,
    client_waiters: HashMap<(Host, Incarnation, CallId), usize>,
    peer_waiters: HashMap<(Host, Incarnation, CallId), (Host, Incarnation, ExchangeId)>,
    peer_calls: HashMap<(Host, Incarnation, ExchangeId), (Host, Incarnation, CallId)>,
    parent_runs: HashMap<(Host, Incarnation, CallId), CallId>,
}

impl World {
    /// Starts all hosts. Each knows all the others.
    pub fn new(seed: u64, mechanisms: Mechanisms, sheet: Sheet, plans: Vec<HostPlan>) -> World {
        let mut world = World {
            now: TimeMs(1),
            tick_ms: TICK_MS,
            hosts: Vec::new(),
            faults: NetworkFaults::default(),
            cut_links: HashSet::new(),
            calls: Vec::new(),
            executions: HashMap::new(),
            attempts: HashMap::new(),
            notes: Vec::new(),
            runs: Vec::new(),
            sent_outcomes: Vec::new(),
            leaving_since: HashMap::new(),
            callers_of_root: HashMap::new(),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            children: BTreeMap::new(),
            mechanisms,
            sheet: Arc::new(sheet),
            queue: BinaryHeap::new(),
            order: 0,
            client_waiters: HashMap::new(),
            peer_waiters: HashMap::new(),
            peer_calls: HashMap::new(),
            parent_runs: HashMap::new(),
        };
        for (host, plan) in plans.into_iter().enumerate() {
            let state = world.start_host(host, plan, 1);
            world.hosts.push(state);
        }
        world.announce_to_all();
        world.schedule(TICK_MS, Delivery::Tick);
        world
    }

    /// Makes a call at a host and returns its index in [`World::calls`].
    pub fn call(&mut self, host: Host, request: CallerRequest) -> usize {
        let node = &self.hosts[host].node;
        let incarnation = node.vm().worker.incarnation;
        let call = node.next_call();
        let index = self.calls.len();
        self.calls.push(ClientCall {
            host,
            incarnation,
            call,
            key: request.key.clone(),
            body: request.body.clone(),
            started_at: self.now,
            ended: None,
        });
        self.client_waiters.insert((host, incarnation, call), index);
        self.deliver_later(host, incarnation, 0, Event::CallArrived { call, request });
        index
    }

    /// Disconnects the client of a call before its answer.
    pub fn abandon(&mut self, index: usize) {
        let client = &self.calls[index];
        let (host, incarnation, call) = (client.host, client.incarnation, client.call);
        self.client_waiters.remove(&(host, incarnation, call));
        self.deliver_later(host, incarnation, 0, Event::CallAbandoned { call });
    }

    /// Queries a host for the outcome of a key and returns the call's index in [`World::calls`].
    pub fn query(&mut self, host: Host, key: CallKey) -> usize {
        let node = &self.hosts[host].node;
        let incarnation = node.vm().worker.incarnation;
        let call = node.next_call();
        let index = self.calls.len();
        self.calls.push(ClientCall {
            host,
            incarnation,
            call,
            key: Some(key.clone()),
            body: bytes::Bytes::new(),
            started_at: self.now,
            ended: None,
        });
        self.client_waiters.insert((host, incarnation, call), index);
        self.deliver_later(host, incarnation, 0, Event::KeyQueried { call, key });
        index
    }

    /// Advances the virtual clock to `until` and delivers everything that is due.
    pub fn run_until(&mut self, until: TimeMs) {
        while let Some(Reverse(next)) = self.queue.peek() {
            if next.at > until {
                break;
            }
            let Some(Reverse(next)) = self.queue.pop() else {
                break;
            };
            self.now = next.at;
            self.deliver(next.delivery);
        }
        self.now = until;
    }

    /// Advances the virtual clock by `span_ms`.
    pub fn run_for(&mut self, span_ms: u64) {
        self.run_until(self.now.plus_ms(span_ms));
    }

    /// Crashes a daemon and its backend server.
    pub fn kill(&mut self, host: Host) {
        self.hosts[host].alive = false;
    }

    /// Starts a new process at the address of a host and announces it to all hosts.
    pub fn replace(&mut self, host: Host) {
        let plan = self.hosts[host].plan.clone();
        let start_number = self.hosts[host].start_number + 1;
        self.hosts[host] = self.start_host(host, plan, start_number);
        self.leaving_since.remove(&host);
        self.announce_to_all();
    }

    /// Starts a new process at the address of a host. The other hosts learn of it after `delay_ms`.
    pub fn replace_with_delay(&mut self, host: Host, delay_ms: u64) {
        let plan = self.hosts[host].plan.clone();
        let start_number = self.hosts[host].start_number + 1;
        self.hosts[host] = self.start_host(host, plan, start_number);
        self.leaving_since.remove(&host);
        let workers = self.announcements();
        for other in 0..self.hosts.len() {
            let wait_ms = if other == host { 0 } else { delay_ms };
            let event = Event::WorkersLearned(workers.clone());
            self.deliver_later(other, self.incarnation(other), wait_ms, event);
        }
    }

    /// Delivers a sheet to one host after a delay.
    pub fn learn_sheet(&mut self, host: Host, delay_ms: u64, sheet: Sheet) {
        let event = Event::SheetLearned(Arc::new(sheet));
        self.deliver_later(host, self.incarnation(host), delay_ms, event);
    }

    /// Delivers an event to the current process at a host.
    pub fn send_event(&mut self, host: Host, event: Event) {
        self.deliver_later(host, self.incarnation(host), 0, event);
    }

    /// Incarnation of the current process at a host.
    pub fn incarnation(&self, host: Host) -> Incarnation {
        self.hosts[host].node.vm().worker.incarnation
    }

    /// Whether this incarnation still runs at the host.
    pub fn is_running(&self, host: Host, incarnation: Incarnation) -> bool {
        self.hosts[host].alive && self.incarnation(host) == incarnation
    }

    /// Number of clients and daemons that wait for an answer from this process.
    pub fn waiter_count(&self, host: Host, incarnation: Incarnation) -> usize {
        let clients = self.client_waiters.keys();
        let peers = self.peer_waiters.keys();
        let at_host = |key: &(Host, Incarnation, CallId)| key.0 == host && key.1 == incarnation;
        clients.copied().filter(at_host).count() + peers.copied().filter(at_host).count()
    }

    /// Pauses a daemon for `span_ms`. Events that reach it meanwhile are delivered afterwards. If
    /// the pause lasts at least [`SILENCE_MS`], daemons that wait for its replies see a silent
    /// connection.
    pub fn pause(&mut self, host: Host, span_ms: u64) {
        let until = self.now.plus_ms(span_ms);
        self.hosts[host].paused_until = until.max(self.hosts[host].paused_until);
        if span_ms < SILENCE_MS {
            return;
        }
        let calls_here = self.peer_waiters.iter().filter(|(at, _)| at.0 == host);
        let mut waiting: Vec<_> = calls_here.map(|(_, sender)| *sender).collect();
        waiting.sort_unstable();
        for (sender, incarnation, exchange) in waiting {
            let silent = Event::PeerFailed {
                exchange,
                failure: SendFailure::Silent,
            };
            self.deliver_later(sender, incarnation, SILENCE_MS, silent);
        }
    }

    /// Announces that a backend server is leaving: immediately to its own daemon, after `delay_ms`
    /// to all.
    pub fn leave(&mut self, host: Host, delay_ms: u64) {
        let incarnation = self.hosts[host].node.vm().worker.incarnation;
        self.hosts[host].backend.leaving = true;
        self.leaving_since.entry(host).or_insert(self.now);
        let slots = self.hosts[host].plan.slots;
        let event = Event::LocalServer {
            slots,
            leaving: true,
        };
        self.deliver_later(host, incarnation, 0, event);
        let workers = self.announcements();
        for other in 0..self.hosts.len() {
            let incarnation = self.hosts[other].node.vm().worker.incarnation;
            let event = Event::WorkersLearned(workers.clone());
            self.deliver_later(other, incarnation, delay_ms, event);
        }
    }

    /// Cuts the link between two hosts in both directions.
    pub fn cut_link(&mut self, one: Host, other: Host) {
        self.cut_links.insert((one, other));
        self.cut_links.insert((other, one));
    }

    /// Restores all links.
    pub fn heal(&mut self) {
        self.cut_links.clear();
    }

    /// Sends the announcements of `workers` to one host.
    pub fn announce_to(&mut self, host: Host, workers: Vec<Announcement>) {
        let incarnation = self.hosts[host].node.vm().worker.incarnation;
        self.handle(host, incarnation, Event::WorkersLearned(workers));
    }

    /// Sends the announcements of all live hosts to every host.
    pub fn announce_to_all(&mut self) {
        let workers = self.announcements();
        for host in 0..self.hosts.len() {
            let incarnation = self.hosts[host].node.vm().worker.incarnation;
            let event = Event::WorkersLearned(workers.clone());
            self.handle(host, incarnation, event);
        }
    }

    /// New announcements of all live hosts.
    pub fn announcements(&mut self) -> Vec<Announcement> {
        let mut announcements = Vec::new();
        for host in self.hosts.iter_mut().filter(|host| host.alive) {
            host.sequence += 1;
            announcements.push(Announcement {
                vm: host.node.vm().clone(),
                service: host.plan.service.clone(),
                slots: host.plan.slots,
                connections: 100,
                state: if host.backend.leaving {
                    ServerState::Leaving
                } else {
                    ServerState::Serving
                },
                started_ms: host.start_number,
                sequence: host.sequence,
            });
        }
        announcements
    }

    fn start_host(&mut self, host: Host, plan: HostPlan, start_number: u64) -> HostState {
        let seed: u64 = self.rng.random();
        let node = Node::new(NodeSettings {
            vm: Vm {
                worker: WorkerId {
                    address: address(host),
                    incarnation: Incarnation(seed),
                },
                control_address: address(host),
                place: plan.place.clone(),
            },
            service: Some(plan.service.clone()),
            home: HomeBounds {
                open_keys: 10_000,
                tickets: 10_000,
            },
            executor_records: 10_000,
            reply_grace_ms: 500,
            silence_ms: SILENCE_MS,
            mechanisms: self.mechanisms,
            seed,
        });
        let mut actions = Vec::new();
        node.handle(
            self.now,
            Event::SheetLearned(Arc::clone(&self.sheet)),
            &mut actions,
        );
        let event = Event::LocalServer {
            slots: plan.slots,
            leaving: false,
        };
        node.handle(self.now, event, &mut actions);
        HostState {
            backend: Backend::new(plan.slots, plan.service_ms),
            plan,
            node,
            start_number,
            alive: true,
            paused_until: TimeMs(0),
            sequence: 0,
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Tick => {
                for host in 0..self.hosts.len() {
                    let incarnation = self.hosts[host].node.vm().worker.incarnation;
                    if self.hosts[host].alive && self.hosts[host].paused_until <= self.now {
                        self.handle(host, incarnation, Event::Tick);
                    }
                }
                self.schedule(self.tick_ms, Delivery::Tick);
            }
            Delivery::ToNode {
                host,
                incarnation,
                event,
            } => self.handle(host, incarnation, event),
            Delivery::Request {
                from,
                from_incarnation,
                exchange,
                message,
            } => self.request_arrives(from, from_incarnation, exchange, message),
            Delivery::ToBackend {
                host,
                incarnation,
                step,
            } => self.backend_step(host, incarnation, step),
        }
    }

    /// Delivers an event to a node, unless its process is gone. A paused process gets the event
    /// when it resumes.
    fn handle(&mut self, host: Host, incarnation: Incarnation, event: Event) {
        let state = &self.hosts[host];
        if !state.alive || state.node.vm().worker.incarnation != incarnation {
            return;
        }
        if state.paused_until > self.now {
            let wait_ms = state.paused_until.since_ms(self.now);
            return self.deliver_later(host, incarnation, wait_ms, event);
        }
        let mut actions = Vec::new();
        state.node.handle(self.now, event, &mut actions);
        for action in actions {
            self.carry_out(host, incarnation, action);
        }
    }

    fn carry_out(&mut self, host: Host, incarnation: Incarnation, action: Action) {
        match action {
            Action::Answer { call, outcome, key } => {
                if let Some(key) = key {
                    self.sent_outcomes.push((key.to_string(), outcome.clone()));
                }
                self.deliver_answer(host, incarnation, call, outcome);
            }
            Action::ReplyPeer { call, reply } => self.reply(host, incarnation, call, reply),
            Action::SendPeer {
                exchange,
                message,
                timeout_ms,
                ..
            } => self.send(host, incarnation, exchange, message, timeout_ms),
            Action::CancelPeer { exchange } => {
                let arrived = self.peer_calls.remove(&(host, incarnation, exchange));
                if let Some((to, to_incarnation, call)) = arrived {
                    self.peer_waiters.remove(&(to, to_incarnation, call));
                    let delay_ms = self.delay_ms(host, to);
                    let event = Event::CallAbandoned { call };
                    self.deliver_later(to, to_incarnation, delay_ms, event);
                }
            }
            Action::RunLocal(run) => {
                if let Some(key) = &run.key {
                    *self.executions.entry(key.to_string()).or_default() += 1;
                }
                self.runs.push(RunRecord {
                    at: self.now,
                    host,
                    incarnation,
                    call: run.call,
                    key: run.key.clone(),
                });
                let children = self
                    .children
                    .get(&(run.service.clone(), run.request.to_string()))
                    .cloned()
                    .unwrap_or_default();
                let now = self.now;
                let steps = self.hosts[host].backend.arrive(now, run, children);
                self.schedule_steps(host, incarnation, steps);
            }
            Action::CancelLocal { call } => {
                let now = self.now;
                let steps = self.hosts[host].backend.cancel(now, call);
                self.schedule_steps(host, incarnation, steps);
            }
            Action::Note(note) => self.notes.push((self.now, host, note)),
            Action::FetchSheet { .. } | Action::DiscoverWorkers { .. } => {}
        }
    }

    fn send(
        &mut self,
        from: Host,
        incarnation: Incarnation,
        exchange: ExchangeId,
        message: PeerRequest,
        timeout_ms: u64,
    ) {
        self.count_attempt(from, &message, exchange);
        let to = host_of(message.to().address);
        let silent = Event::PeerFailed {
            exchange,
            failure: SendFailure::Silent,
        };
        self.deliver_later(from, incarnation, timeout_ms, silent);
        if self.cut_links.contains(&(from, to)) || self.chance(self.faults.lose_request) {
            let silent = Event::PeerFailed {
                exchange,
                failure: SendFailure::Silent,
            };
            self.deliver_later(from, incarnation, timeout_ms.min(SILENCE_MS), silent);
            return;
        }
        let delay_ms = self.delay_ms(from, to);
        if !self.hosts[to].alive {
            let refused = Event::PeerFailed {
                exchange,
                failure: SendFailure::NoByteSent,
            };
            return self.deliver_later(from, incarnation, 2 * delay_ms, refused);
        }
        if self.chance(self.faults.duplicate_request) {
            let late_ms = delay_ms + self.rng.random_range(1..=2_000);
            let duplicate = Delivery::Request {
                from,
                from_incarnation: incarnation,
                exchange: None,
                message: message.clone(),
            };
            self.schedule(late_ms, duplicate);
        }
        let request = Delivery::Request {
            from,
            from_incarnation: incarnation,
            exchange: Some(exchange),
            message,
        };
        self.schedule(delay_ms, request);
    }

    fn count_attempt(&mut self, from: Host, message: &PeerRequest, exchange: ExchangeId) {
        if let PeerRequest::Execute(request) = message {
            let root = request.context.root.0;
            *self.attempts.entry(root).or_default() += 1;
            let caller = (from, self.incarnation(from), exchange.call);
            self.callers_of_root.entry(root).or_default().insert(caller);
        }
    }

    fn request_arrives(
        &mut self,
        from: Host,
        from_incarnation: Incarnation,
        exchange: Option<ExchangeId>,
        message: PeerRequest,
    ) {
        let to = host_of(message.to().address);
        if !self.hosts[to].alive {
            if let Some(exchange) = exchange {
                let broken = Event::PeerFailed {
                    exchange,
                    failure: SendFailure::Broken,
                };
                self.deliver_later(from, from_incarnation, 1, broken);
            }
            return;
        }
        let node = &self.hosts[to].node;
        let incarnation = node.vm().worker.incarnation;
        let call = node.next_call();
        if let Some(exchange) = exchange {
            let waiting = (from, from_incarnation, exchange);
            self.peer_waiters.insert((to, incarnation, call), waiting);
            self.peer_calls.insert(waiting, (to, incarnation, call));
        }
        self.handle(to, incarnation, Event::PeerArrived { call, message });
    }

    fn reply(&mut self, host: Host, incarnation: Incarnation, call: CallId, reply: PeerReply) {
        let waiting = self.peer_waiters.remove(&(host, incarnation, call));
        let Some((to, to_incarnation, exchange)) = waiting else {
            return;
        };
        self.peer_calls.remove(&(to, to_incarnation, exchange));
        if self.cut_links.contains(&(host, to)) {
            return;
        }
        let delay_ms = self.delay_ms(host, to);
        let event = if self.chance(self.faults.lose_reply) {
            Event::PeerFailed {
                exchange,
                failure: SendFailure::Broken,
            }
        } else {
            Event::PeerReplied { exchange, reply }
        };
        self.deliver_later(to, to_incarnation, delay_ms, event);
    }

    fn deliver_answer(
        &mut self,
        host: Host,
        incarnation: Incarnation,
        call: CallId,
        outcome: Outcome,
    ) {
        if let Some(index) = self.client_waiters.remove(&(host, incarnation, call)) {
            self.calls[index].ended = Some((self.now, outcome));
            return;
        }
        if let Some(run) = self.parent_runs.remove(&(host, incarnation, call)) {
            let now = self.now;
            let steps = self.hosts[host].backend.child_answered(now, run, outcome);
            self.schedule_steps(host, incarnation, steps);
        }
    }

    fn backend_step(&mut self, host: Host, incarnation: Incarnation, step: BackendStep) {
        let state = &self.hosts[host];
        if !state.alive || state.node.vm().worker.incarnation != incarnation {
            return;
        }
        if state.paused_until > self.now {
            let wait_ms = state.paused_until.since_ms(self.now);
            let delivery = Delivery::ToBackend {
                host,
                incarnation,
                step,
            };
            return self.schedule(wait_ms, delivery);
        }
        match step {
            BackendStep::WorkFinished(run) => {
                let now = self.now;
                let steps = self.hosts[host].backend.work_finished(now, run);
                self.schedule_steps(host, incarnation, steps);
            }
            BackendStep::Call(run, request) => {
                let call = self.hosts[host].node.next_call();
                self.parent_runs.insert((host, incarnation, call), run);
                self.handle(host, incarnation, Event::CallArrived { call, request });
            }
            BackendStep::Answer(call, answer) => {
                self.handle(host, incarnation, Event::BackendReplied { call, answer });
            }
        }
    }

    fn schedule_steps(
        &mut self,
        host: Host,
        incarnation: Incarnation,
        steps: Vec<(u64, BackendStep)>,
    ) {
        for (delay_ms, step) in steps {
            let delivery = Delivery::ToBackend {
                host,
                incarnation,
                step,
            };
            self.schedule(delay_ms, delivery);
        }
    }

    fn deliver_later(&mut self, host: Host, incarnation: Incarnation, delay_ms: u64, event: Event) {
        let delivery = Delivery::ToNode {
            host,
            incarnation,
            event,
        };
        self.schedule(delay_ms, delivery);
    }

    fn schedule(&mut self, delay_ms: u64, delivery: Delivery) {
        self.order += 1;
        self.queue.push(Reverse(Scheduled {
            at: self.now.plus_ms(delay_ms),
            order: self.order,
            delivery,
        }));
    }

    fn delay_ms(&mut self, from: Host, to: Host) -> u64 {
        let base_ms =
            match Distance::between(&self.hosts[from].plan.place, &self.hosts[to].plan.place) {
                Distance::SameZone => 0,
                Distance::SameRegion => 1,
                Distance::OtherRegion => 8,
            };
        let extra_ms = self.faults.extra_delay_ms;
        base_ms + self.rng.random_range(0..=extra_ms)
    }

    fn chance(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.random_bool(probability)
    }
}

/// Address of a host's daemon.
pub fn address(host: Host) -> SocketAddr {
    let [high, low] = (host as u16).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7000))
}

fn host_of(address: SocketAddr) -> Host {
    match address {
        SocketAddr::V4(v4) => {
            let [_, _, high, low] = v4.ip().octets();
            usize::from(u16::from_be_bytes([high, low]))
        }
        SocketAddr::V6(_) => usize::MAX,
    }
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

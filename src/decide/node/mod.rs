//! The façade for calls: events and the time go in, actions come out.

mod arrive;
mod dispatching;
mod executing;
mod parking;
mod settling;
mod tickets;
mod wanting;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use arc_swap::ArcSwap;
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;

use self::parking::Parked;
use self::wanting::{CalledServices, WaitingCall};
use super::acks::Acknowledgements;
use super::admission::Admission;
use super::counters::{Counter, Counters};
use super::dispatch::Dispatch;
use super::entry::EntryLevels;
use super::execution::Execution;
use super::executor::ExecutorTable;
use super::home::{HomeBounds, HomeTable};
use super::mechanisms::Mechanisms;
use super::message::{Action, AttemptId, CallId, Event, ExchangeId, Note, PeerReply, PeerRequest};
#[cfg(test)]
use super::mutation::{self, Mutation};
use super::replay::ReplayWindows;
use super::retry_budget::RetryBudgets;
use super::route::Router;
use super::rules::RuleTable;
use super::sharded::{Sharded, lock};
use super::timers::{Timers, Wakeup};
use super::waits::DependencyWaits;
use crate::model::key::MAX_CANDIDATES;
use crate::model::{
    Announcement, CallKey, Incarnation, Outcome, ServiceName, Sheet, SheetVersion, TimeMs, Vm,
};

/// What a [`Node`] is made from.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// The VM and this process start.
    pub vm: Vm,
    /// The service of the backend server beside this daemon, if there is one.
    pub service: Option<ServiceName>,
    /// Bounds of the home's table.
    pub home: HomeBounds,
    /// Most records at the executor.
    pub executor_records: usize,
    /// Longest wait for an executor's or home's reply beyond the deadline, in milliseconds.
    pub reply_grace_ms: u64,
    /// Longest silence of a connection to another daemon before it is abandoned
    /// and its call is resolved over a new one, in milliseconds.
    pub silence_ms: u64,
    /// Which mechanisms are on.
    pub mechanisms: Mechanisms,
    /// Seed of the random choices.
    pub seed: u64,
}

/// Who waits for the outcome of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyTo {
    /// A caller or the local backend server.
    Caller(CallId),
    /// Another daemon.
    Peer(CallId),
    /// This daemon's own dispatch.
    Local(ExchangeId),
}

/// Counts that operators watch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NodeGauges {
    /// The concurrency limit of the local backend server.
    pub limit: u32,
    /// Requests at the local backend server.
    pub in_flight: u32,
    /// Requests that wait for the local backend server.
    pub queued: usize,
    /// The lowest priority admitted by the local backend server.
    pub level: u32,
    /// Calls that this daemon moves.
    pub dispatches: usize,
    /// Keys open at this home.
    pub open_keys: usize,
    /// Records at this executor.
    pub records: usize,
}

/// The decisions of one daemon about calls. Any number of threads may share it.
#[derive(Debug)]
pub struct Node {
    settings: NodeSettings,
    next_call: AtomicU64,
    rules: ArcSwap<RuleTable>,
    router: Router,
    levels: EntryLevels,
    budgets: RetryBudgets,
    dispatches: Sharded<CallId, Dispatch>,
    executions: Sharded<CallId, Execution>,
    admission: Mutex<Admission>,
    home: HomeTable,
    executor: ExecutorTable,
    acks: Acknowledgements,
    last_run_end: AtomicU64,
    timers: Timers,
    rng: Mutex<Xoshiro256PlusPlus>,
    noted_limit: Mutex<u32>,
    parked: Mutex<Vec<Parked>>,
    draining: AtomicBool,
    attempts: AtomicU64,
    replays: ReplayWindows,
    waits: DependencyWaits,
    counters: Counters,
    called: CalledServices,
    waiting_calls: Mutex<Vec<WaitingCall>>,
}

/// One call of [`Node::handle`]: the time, the work left and the actions found.
struct Turn<'a> {
    now: TimeMs,
    work: VecDeque<Work>,
    actions: &'a mut Vec<Action>,
}

enum Work {
    Event(Event),
    Arrived {
        call: CallId,
        reply_to: ReplyTo,
        message: PeerRequest,
    },
}

impl Node {
    /// A node that knows no sheet and no worker yet.
    pub fn new(settings: NodeSettings) -> Node {
        let mechanisms = settings.mechanisms;
        Node {
            next_call: AtomicU64::new(1),
            rules: ArcSwap::default(),
            router: Router::new(settings.vm.place.clone(), mechanisms.balanced_routing),
            levels: EntryLevels::default(),
            budgets: RetryBudgets::default(),
            dispatches: Sharded::default(),
            executions: Sharded::default(),
            admission: Mutex::new(Admission::new(mechanisms)),
            home: HomeTable::new(settings.vm.worker, settings.home),
            executor: ExecutorTable::new(settings.executor_records),
            acks: Acknowledgements::default(),
            last_run_end: AtomicU64::new(0),
            timers: Timers::default(),
            rng: Mutex::new(Xoshiro256PlusPlus::seed_from_u64(settings.seed)),
            noted_limit: Mutex::new(0),
            parked: Mutex::default(),
            draining: AtomicBool::new(false),
            attempts: AtomicU64::new(0),
            replays: ReplayWindows::default(),
            waits: DependencyWaits::default(),
            counters: Counters::default(),
            called: CalledServices::default(),
            waiting_calls: Mutex::default(),
            settings,
        }
    }

    /// The VM and process start that this node decides for.
    pub fn vm(&self) -> &Vm {
        &self.settings.vm
    }

    /// Longest silence of a connection to another daemon, in milliseconds.
    pub fn silence_ms(&self) -> u64 {
        self.settings.silence_ms
    }

    /// A number for a call that is about to arrive.
    pub fn next_call(&self) -> CallId {
        CallId(self.next_call.fetch_add(1, Ordering::Relaxed))
    }

    /// Takes in an event and appends the actions that follow from it.
    pub fn handle(&self, now: TimeMs, event: Event, actions: &mut Vec<Action>) {
        let mut turn = Turn {
            now,
            work: VecDeque::from([Work::Event(event)]),
            actions,
        };
        while let Some(work) = turn.work.pop_front() {
            self.step(&mut turn, work);
        }
        for service in self.called.take_new() {
            turn.actions.push(Action::WantWorkers { service });
        }
    }

    /// When [`Event::Tick`] should be handled next, if anything waits for it.
    pub fn next_wakeup(&self) -> Option<TimeMs> {
        self.timers.next()
    }

    /// The version of the sheet in use.
    pub fn sheet_version(&self) -> SheetVersion {
        self.rules.load().version()
    }

    /// What this node has counted since it started.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Counts for the metrics.
    pub fn gauges(&self) -> NodeGauges {
        let admission = lock(&self.admission);
        NodeGauges {
            limit: admission.limit(),
            in_flight: admission.in_flight(),
            queued: admission.queued(),
            level: admission.level().0,
            dispatches: self.dispatches.len(),
            open_keys: self.home.open_keys(),
            records: self.executor.len(),
        }
    }

    fn step(&self, turn: &mut Turn<'_>, work: Work) {
        let event = match work {
            Work::Event(event) => event,
            Work::Arrived {
                call,
                reply_to,
                message,
            } => return self.message_arrived(turn, call, reply_to, message),
        };
        match event {
            Event::CallArrived { call, request } => self.call_arrived(turn, call, request),
            Event::KeyQueried { call, key } => self.key_queried(turn, call, key),
            Event::CallAbandoned { call } => self.call_abandoned(turn, call),
            Event::PeerArrived { call, message } => {
                self.message_arrived(turn, call, ReplyTo::Peer(call), message);
            }
            Event::PeerReplied { exchange, reply } => self.peer_replied(turn, exchange, reply),
            Event::PeerFailed { exchange, failure } => self.peer_failed(turn, exchange, failure),
            Event::BackendReplied { call, answer } => self.backend_replied(turn, call, answer),
            Event::BackendFailed { call, failure } => self.backend_failed(turn, call, failure),
            Event::BackendRefused {
                call,
                retry_after_ms,
            } => self.backend_refused(turn, call, retry_after_ms),
            Event::SheetLearned(sheet) => self.sheet_learned(turn, &sheet),
            Event::WorkersLearned(workers) => {
                self.workers_learned(turn.now, &workers);
                self.resume_waiting(turn);
            }
            Event::LocalServer { slots, leaving } => self.local_server(turn, slots, leaving),
            Event::Draining => self.drain(turn),
            Event::Tick => self.tick(turn),
        }
    }

    fn message_arrived(
        &self,
        turn: &mut Turn<'_>,
        call: CallId,
        reply_to: ReplyTo,
        message: PeerRequest,
    ) {
        if self.park_if_behind(turn, call, reply_to, &message) {
            return;
        }
        self.message_ready(turn, call, reply_to, message);
    }

    fn message_ready(
        &self,
        turn: &mut Turn<'_>,
        call: CallId,
        reply_to: ReplyTo,
        message: PeerRequest,
    ) {
        match message {
            PeerRequest::Execute(request) => self.execute(turn, call, reply_to, request),
            PeerRequest::Submit(request) => self.submit(turn, call, reply_to, request),
            PeerRequest::Settle {
                to,
                key,
                fingerprint,
            } => self.settle(turn, reply_to, to, key, fingerprint),
            PeerRequest::Acknowledge { to, home, closings } => {
                self.acknowledged(turn, reply_to, to, home, &closings)
            }
        }
    }

    /// A sheet only ever replaces an older one. Messages that waited for it go on.
    fn sheet_learned(&self, turn: &mut Turn<'_>, sheet: &Sheet) {
        let compiled = Arc::new(RuleTable::compile(sheet));
        self.rules.rcu(|current| {
            if current.version() < compiled.version() {
                Arc::clone(&compiled)
            } else {
                Arc::clone(current)
            }
        });
        self.unpark(turn);
    }

    fn workers_learned(&self, now: TimeMs, workers: &[Announcement]) {
        #[cfg(test)]
        let workers = &Node::with_leaving_ignored(workers);
        self.router.set_workers(now, workers);
        let present: HashMap<SocketAddr, Incarnation> = workers
            .iter()
            .map(|announcement| announcement.vm.worker)
            .map(|worker| (worker.address, worker.incarnation))
            .collect();
        self.executor.mark_replaced_homes(now, &present);
        self.acks.retain(|executor| {
            let incarnation = present.get(&executor.address);
            incarnation.is_none_or(|incarnation| *incarnation == executor.incarnation)
        });
    }

    #[cfg(test)]
    fn with_leaving_ignored(workers: &[Announcement]) -> Vec<Announcement> {
        let mut workers = workers.to_vec();
        if mutation::is_on(Mutation::IgnoreLeaving) {
            for worker in &mut workers {
                worker.state = crate::model::ServerState::Serving;
            }
        }
        workers
    }

    /// Reports that an invariant would have been broken. The caller refuses the request.
    fn breach(&self, turn: &mut Turn<'_>, invariant: &'static str, key: Option<&CallKey>) {
        self.counters.add(Counter::Breaches);
        turn.actions.push(Action::Note(Note::Breach {
            invariant,
            key: key.cloned(),
        }));
    }

    fn tick(&self, turn: &mut Turn<'_>) {
        for wakeup in self.timers.due(turn.now) {
            match wakeup {
                Wakeup::Dispatch(call) => self.dispatch_due(turn, call),
                Wakeup::Execution(call) => self.execution_due(turn, call),
            }
        }
        self.expire_parked(turn);
        self.executor.expire_replaced_homes(turn.now);
        self.send_acknowledgements(turn);
        self.resume_waiting(turn);
        self.release_queue(turn);
        self.note_limit(turn);
    }

    fn note_limit(&self, turn: &mut Turn<'_>) {
        let limit = lock(&self.admission).limit();
        let mut noted = lock(&self.noted_limit);
        if *noted != limit {
            turn.actions.push(Action::Note(Note::LimitChanged {
                from: *noted,
                to: limit,
            }));
            *noted = limit;
        }
    }

    fn deliver(&self, turn: &mut Turn<'_>, reply_to: ReplyTo, reply: PeerReply) {
        match reply_to {
            ReplyTo::Caller(call) => {
                self.counters.add(match &reply.outcome {
                    Outcome::Done(_) => Counter::Done,
                    Outcome::NotRun(_) => Counter::NotRun,
                    Outcome::Unknown(_) => Counter::Unknown,
                });
                turn.actions.push(Action::Answer {
                    call,
                    outcome: reply.outcome,
                    key: reply.key,
                });
            }
            ReplyTo::Peer(call) => turn.actions.push(Action::ReplyPeer { call, reply }),
            ReplyTo::Local(exchange) => {
                let event = Event::PeerReplied { exchange, reply };
                turn.work.push_back(Work::Event(event));
            }
        }
    }

    /// Delivers one outcome to all who wait; only the first gets the allowance back.
    fn deliver_all(&self, turn: &mut Turn<'_>, waiters: &[ReplyTo], reply: &PeerReply) {
        for (index, waiter) in waiters.iter().enumerate() {
            #[cfg(test)]
            if index > 0 && mutation::is_on(Mutation::AnswerFirstOnly) {
                break;
            }
            let mut reply = reply.clone();
            if index > 0 {
                reply.allowance_left = 0;
            }
            self.deliver(turn, *waiter, reply);
        }
    }

    fn next_attempt(&self) -> AttemptId {
        AttemptId {
            sender: self.settings.vm.worker.incarnation,
            number: self.attempts.fetch_add(1, Ordering::Relaxed),
        }
    }

    fn candidates(&self, service: &ServiceName) -> Vec<crate::model::WorkerId> {
        let mut rng = lock(&self.rng);
        self.router.candidates(service, MAX_CANDIDATES, &mut *rng)
    }
}

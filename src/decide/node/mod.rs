//! The state machine for calls: it takes the current time and an event, and returns actions.
//!
//! A daemon takes up to three roles for a call. The entry receives it from a caller. The home of
//! a keyed call issued the ticket of its key and is the only daemon that may start it. The
//! executor runs it on its local backend server.

mod arrival;
mod deferred_messages;
mod dispatching;
mod executing;
mod settling;
mod tickets;
mod worker_discovery;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use arc_swap::ArcSwap;
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;

use self::deferred_messages::DeferredMessage;
use self::worker_discovery::{CalledServices, DeferredCall};
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

/// Configuration of a [`Node`].
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// The local VM, with the incarnation of this process.
    pub vm: Vm,
    /// The service of the local backend server; `None` on a daemon without one.
    pub service: Option<ServiceName>,
    /// Capacity of the table of keyed calls for which this daemon is the home.
    pub home: HomeBounds,
    /// Maximum number of key records that this daemon keeps as an executor.
    pub executor_records: usize,
    /// Maximum wait for the reply of an executor or a home past the call's deadline, in milliseconds.
    pub reply_grace_ms: u64,
    /// Idle timeout of a connection to another daemon, in milliseconds. After it the connection is
    /// closed and the outcome of its call is requested over a new one.
    pub silence_ms: u64,
    /// The overload control mechanisms that are enabled.
    pub mechanisms: Mechanisms,
    /// Seed of the random number generator for ranks, routing and retry waits.
    pub seed: u64,
}

/// A waiter for the outcome of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyTo {
    /// A caller, or the local backend server for a child call.
    Caller(CallId),
    /// Another daemon, whose message was received under this id.
    Peer(CallId),
    /// A dispatch of this daemon that sent the message to itself.
    Local(ExchangeId),
}

/// Gauges for the metrics and the status.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NodeGauges {
    /// Concurrency limit of the local backend server.
    pub limit: u32,
    /// Requests running on the local backend server.
    pub in_flight: u32,
    /// Requests in the admission queue of the local backend server.
    pub queued: usize,
    /// Admission level of the local backend server: the lowest priority that it admits.
    pub level: u32,
    /// Calls that this daemon is dispatching, as their entry or home.
    pub dispatches: usize,
    /// Keyed calls in the home's table, running or with a stored outcome.
    pub open_keys: usize,
    /// Key records in the executor's table.
    pub records: usize,
}

/// Decides what one daemon does with calls. Any number of threads may share it.
#[derive(Debug)]
pub struct Node {
    settings: NodeSettings,
    next_call: AtomicU64,
    rules: ArcSwap<RuleTable>,
    router: Router,
    entry_levels: EntryLevels,
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
    reported_limit: Mutex<u32>,
    deferred_messages: Mutex<Vec<DeferredMessage>>,
    draining: AtomicBool,
    attempts: AtomicU64,
    replays: ReplayWindows,
    waits: DependencyWaits,
    counters: Counters,
    called_services: CalledServices,
    deferred_calls: Mutex<Vec<DeferredCall>>,
}

/// State of one turn, which is the handling of one event by [`Node::handle`]: the current time, the
/// work that is left, the actions so far.
struct Turn<'a> {
    now: TimeMs,
    work: VecDeque<WorkItem>,
    actions: &'a mut Vec<Action>,
}

enum WorkItem {
    Event(Event),
    /// A message that this daemon sent to itself has arrived.
    Arrived {
        call: CallId,
        reply_to: ReplyTo,
        message: PeerRequest,
    },
}

impl Node {
    /// Creates a node that knows no sheet and no worker yet.
    pub fn new(settings: NodeSettings) -> Node {
        let mechanisms = settings.mechanisms;
        Node {
            next_call: AtomicU64::new(1),
            rules: ArcSwap::default(),
            router: Router::new(settings.vm.place.clone(), mechanisms.balanced_routing),
            entry_levels: EntryLevels::default(),
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
            reported_limit: Mutex::new(0),
            deferred_messages: Mutex::default(),
            draining: AtomicBool::new(false),
            attempts: AtomicU64::new(0),
            replays: ReplayWindows::default(),
            waits: DependencyWaits::default(),
            counters: Counters::default(),
            called_services: CalledServices::default(),
            deferred_calls: Mutex::default(),
            settings,
        }
    }

    /// The local VM, with the incarnation of this process.
    pub fn vm(&self) -> &Vm {
        &self.settings.vm
    }

    /// Idle timeout of a connection to another daemon, in milliseconds.
    pub fn silence_ms(&self) -> u64 {
        self.settings.silence_ms
    }

    /// Allocates the id of a call or message that is about to arrive.
    pub fn next_call(&self) -> CallId {
        CallId(self.next_call.fetch_add(1, Ordering::Relaxed))
    }

    /// Processes an event and appends the resulting actions.
    pub fn handle(&self, now: TimeMs, event: Event, actions: &mut Vec<Action>) {
        let mut turn = Turn {
            now,
            work: VecDeque::from([WorkItem::Event(event)]),
            actions,
        };
        while let Some(work) = turn.work.pop_front() {
            self.step(&mut turn, work);
        }
        for service in self.called_services.take_unreported() {
            turn.actions.push(Action::DiscoverWorkers { service });
        }
    }

    /// When the next [`Event::Tick`] is due; `None` if no timer is set.
    pub fn next_wakeup(&self) -> Option<TimeMs> {
        self.timers.next()
    }

    /// The version of the sheet in force.
    pub fn sheet_version(&self) -> SheetVersion {
        self.rules.load().version()
    }

    /// Counters since the start of the process.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Current values of the gauges.
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

    fn step(&self, turn: &mut Turn<'_>, work: WorkItem) {
        let event = match work {
            WorkItem::Event(event) => event,
            WorkItem::Arrived {
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
                self.resume_deferred_calls(turn);
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
        if self.defer_if_sheet_behind(turn, call, reply_to, &message) {
            return;
        }
        self.process_message(turn, call, reply_to, message);
    }

    fn process_message(
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

    /// Puts a sheet in force if it is newer than the current one, and resumes the messages that
    /// waited for it.
    fn sheet_learned(&self, turn: &mut Turn<'_>, sheet: &Sheet) {
        let compiled = Arc::new(RuleTable::compile(sheet));
        self.rules.rcu(|current| {
            if current.version() < compiled.version() {
                Arc::clone(&compiled)
            } else {
                Arc::clone(current)
            }
        });
        self.resume_deferred_messages(turn);
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

    /// Reports that a request would have violated an invariant. The calling function refuses it.
    fn report_breach(&self, turn: &mut Turn<'_>, invariant: &'static str, key: Option<&CallKey>) {
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
        self.expire_deferred_messages(turn);
        self.executor.expire_replaced_homes(turn.now);
        self.send_acknowledgements(turn);
        self.resume_deferred_calls(turn);
        self.release_queue(turn);
        self.report_limit_change(turn);
    }

    fn report_limit_change(&self, turn: &mut Turn<'_>) {
        let limit = lock(&self.admission).limit();
        let mut reported = lock(&self.reported_limit);
        if *reported != limit {
            turn.actions.push(Action::Note(Note::LimitChanged {
                from: *reported,
                to: limit,
            }));
            *reported = limit;
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
                turn.work.push_back(WorkItem::Event(event));
            }
        }
    }

    /// Delivers a reply to all waiters. Only the first gets the remaining allowance, so that it isn't
    /// spent twice.
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

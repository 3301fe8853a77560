//! Simulates the control plane of many daemons in one thread under a virtual clock.
//!
//! The log service is a fake with retention and injected faults. The network delays messages,
//! can be partitioned, and counts the bytes sent.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::net::SocketAddr;

use burdockhall::decide::control::ControlMessage;
use burdockhall::decide::control::record::{LogBatch, LogEntry, LogRecord, Stream};
use burdockhall::decide::{Control, ControlAction, ControlEvent};
use burdockhall::model::{
    Announcement, Distance, Incarnation, Place, ServerState, ServiceName, TimeMs, Vm, WorkerId,
};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// Time between two ticks of a daemon.
const TICK_MS: u64 = 50;
/// Time after which a message lost to a cut or a pause counts as unanswered.
const TIMEOUT_MS: u64 = 2_000;
/// Bytes added to each message for its request line, its headers and the response.
const OVERHEAD_BYTES: u64 = 400;
/// Maximum number of records in one page of the log.
const PAGE_RECORDS: usize = 1_000;

/// Index of a daemon.
pub type Host = usize;

/// Configuration of a simulated daemon.
#[derive(Debug, Clone)]
pub struct ControlPlan {
    pub place: Place,
    pub service: ServiceName,
    /// Services that the daemon's backend server calls.
    pub calls: Vec<ServiceName>,
}

/// A simulated daemon and its traffic counters.
pub struct ControlHost {
    pub plan: ControlPlan,
    pub vm: Vm,
    pub control: Control,
    pub alive: bool,
    pub paused_until: TimeMs,
    pub started_ms: u64,
    /// Bytes of the control messages sent, including overhead; log traffic is not counted.
    pub sent_bytes: u64,
    /// Bytes of the control messages received, counted in the same way.
    pub received_bytes: u64,
    /// Number of control messages sent.
    pub messages: u64,
    /// Bytes of the records appended to the log and of the batches read, including overhead.
    pub log_bytes: u64,
    /// Each sheet version with the time at which it came into force at this daemon.
    pub in_force: Vec<(TimeMs, u64)>,
    /// Number of `WorkersLearned` actions.
    pub workers_learned: u64,
}

/// An in-memory log service.
#[derive(Debug, Default)]
pub struct FakeLog {
    pub down: bool,
    pub slow_ms: u64,
    /// Number of upcoming appends that take effect but are reported to the daemon as failed.
    pub lose_answers: u32,
    pub appends: u64,
    streams: HashMap<Stream, FakeStream>,
}

#[derive(Debug, Default)]
struct FakeStream {
    first_offset: u64,
    records: Vec<LogRecord>,
}

enum Delivery {
    Tick(Host),
    Event(Host, Incarnation, Box<ControlEvent>),
    Message {
        from: Host,
        from_incarnation: Incarnation,
        to: Host,
        message: Box<ControlMessage>,
    },
}

struct Scheduled {
    at: TimeMs,
    order: u64,
    delivery: Delivery,
}

/// The simulated daemons, the network between them and the log service.
pub struct ControlWorld {
    pub now: TimeMs,
    pub hosts: Vec<ControlHost>,
    pub log: FakeLog,
    /// Pairs of zones that cannot reach each other, with each pair in both orders.
    pub cut_zones: BTreeSet<(String, String)>,
    /// Zones that cannot reach the log.
    pub cut_from_log: BTreeSet<String>,
    pub rng: Xoshiro256PlusPlus,
    /// Workers that were declared gone, with the time of each `WorkerGone` action.
    pub removed_workers: Vec<(TimeMs, WorkerId)>,
    queue: BinaryHeap<Reverse<Scheduled>>,
    order: u64,
}

impl ControlWorld {
    /// Starts all daemons, each after a random delay of up to `start_spread_ms`.
    pub fn new(seed: u64, plans: Vec<ControlPlan>, start_spread_ms: u64) -> ControlWorld {
        let mut world = ControlWorld {
            now: TimeMs(1),
            hosts: Vec::new(),
            log: FakeLog::default(),
            cut_zones: BTreeSet::new(),
            cut_from_log: BTreeSet::new(),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            removed_workers: Vec::new(),
            queue: BinaryHeap::new(),
            order: 0,
        };
        for (host, plan) in plans.into_iter().enumerate() {
            let state = world.start_host(host, plan, 1_000);
            world.hosts.push(state);
            let wait_ms = world.rng.random_range(0..=start_spread_ms);
            world.schedule_start(host, wait_ms);
        }
        world
    }

    /// Advances the virtual clock by `span_ms` and delivers everything that is due.
    pub fn run_for(&mut self, span_ms: u64) {
        let until = self.now.plus_ms(span_ms);
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

    /// Crashes a daemon.
    pub fn kill(&mut self, host: Host) {
        self.hosts[host].alive = false;
    }

    /// Starts a new process at a daemon's address. Its wall clock is off by `skew_ms`.
    pub fn replace(&mut self, host: Host, skew_ms: i64) {
        let plan = self.hosts[host].plan.clone();
        let started_ms = (1_000 + self.now.0).saturating_add_signed(skew_ms);
        self.hosts[host] = self.start_host(host, plan, started_ms);
        self.schedule_start(host, 0);
    }

    /// Makes a daemon's backend server announce a state.
    pub fn announce(&mut self, host: Host, state: ServerState) {
        let announcement = self.announcement(host, state);
        let event = ControlEvent::LocalAnnounced(announcement);
        let incarnation = self.hosts[host].vm.worker.incarnation;
        self.schedule(0, Delivery::Event(host, incarnation, Box::new(event)));
    }

    /// Pauses a daemon for `span_ms`. Messages and events that reach it meanwhile are lost.
    pub fn pause(&mut self, host: Host, span_ms: u64) {
        self.hosts[host].paused_until = self.now.plus_ms(span_ms);
    }

    /// Cuts the network between two zones in both directions.
    pub fn cut(&mut self, one: &str, other: &str) {
        self.cut_zones.insert((one.to_owned(), other.to_owned()));
        self.cut_zones.insert((other.to_owned(), one.to_owned()));
    }

    /// Restores all connections between zones and to the log.
    pub fn heal(&mut self) {
        self.cut_zones.clear();
        self.cut_from_log.clear();
    }

    /// The announcement of `of` that `host` holds, if any.
    pub fn known_announcement(&self, host: Host, of: Host) -> Option<&Announcement> {
        let members = self.hosts[host].control.members().members();
        members.get(address(of, 0)).map(|known| &**known)
    }

    /// Appends a record to the log directly, regardless of the injected log faults.
    pub fn append(&mut self, stream: Stream, record: LogRecord) -> u64 {
        self.log.append(stream, record)
    }

    /// Drops the oldest records of a stream, as log retention does, and keeps the last `keep`.
    pub fn truncate(&mut self, stream: Stream, keep: usize) {
        let held = self.log.streams.entry(stream).or_default();
        let excess = held.records.len().saturating_sub(keep);
        held.records.drain(..excess);
        held.first_offset += excess as u64;
    }

    fn schedule_start(&mut self, host: Host, wait_ms: u64) {
        let incarnation = self.hosts[host].vm.worker.incarnation;
        let announcement = self.announcement(host, ServerState::Serving);
        let announced = ControlEvent::LocalAnnounced(announcement);
        self.schedule(
            wait_ms,
            Delivery::Event(host, incarnation, Box::new(announced)),
        );
        for service in self.hosts[host].plan.calls.clone() {
            let called = ControlEvent::ServiceCalled { service };
            self.schedule(
                wait_ms,
                Delivery::Event(host, incarnation, Box::new(called)),
            );
        }
        self.schedule(wait_ms, Delivery::Tick(host));
    }

    fn announcement(&self, host: Host, state: ServerState) -> Announcement {
        let host_state = &self.hosts[host];
        Announcement {
            vm: host_state.vm.clone(),
            service: host_state.plan.service.clone(),
            slots: 110,
            connections: 750,
            state,
            started_ms: host_state.started_ms,
            sequence: 1,
        }
    }

    fn start_host(&mut self, host: Host, plan: ControlPlan, started_ms: u64) -> ControlHost {
        let seed: u64 = self.rng.random();
        let vm = Vm {
            worker: WorkerId {
                address: address(host, 0),
                incarnation: Incarnation(seed),
            },
            control_address: address(host, 1),
            place: plan.place.clone(),
        };
        ControlHost {
            control: Control::new(vm.clone(), seed),
            plan,
            vm,
            alive: true,
            paused_until: TimeMs(0),
            started_ms,
            sent_bytes: 0,
            received_bytes: 0,
            messages: 0,
            log_bytes: 0,
            in_force: Vec::new(),
            workers_learned: 0,
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Tick(host) => {
                if self.hosts[host].alive {
                    let incarnation = self.hosts[host].vm.worker.incarnation;
                    self.handle(host, incarnation, ControlEvent::Tick);
                    self.schedule(TICK_MS, Delivery::Tick(host));
                }
            }
            Delivery::Event(host, incarnation, event) => self.handle(host, incarnation, *event),
            Delivery::Message {
                from,
                from_incarnation,
                to,
                message,
            } => self.message_arrives(from, from_incarnation, to, *message),
        }
    }

    fn handle(&mut self, host: Host, incarnation: Incarnation, event: ControlEvent) {
        let state = &mut self.hosts[host];
        let stale = state.vm.worker.incarnation != incarnation;
        if !state.alive || stale || state.paused_until > self.now {
            return;
        }
        let mut actions = Vec::new();
        state.control.handle(self.now, event, &mut actions);
        for action in actions {
            self.carry_out(host, incarnation, action);
        }
    }

    fn carry_out(&mut self, host: Host, incarnation: Incarnation, action: ControlAction) {
        match action {
            ControlAction::Send { to, message } => self.send(host, incarnation, to, message),
            ControlAction::ReadLog {
                stream,
                from_offset,
            } => {
                let batch = self.log.read(stream, from_offset);
                self.finish_log_read(host, incarnation, stream, batch);
            }
            ControlAction::ReadLogTail { stream, records } => {
                let batch = self.log.read_tail(stream, records);
                self.finish_log_read(host, incarnation, stream, batch);
            }
            ControlAction::Append { stream, record } => {
                self.append_from(host, incarnation, stream, record);
            }
            ControlAction::SheetLearned(sheet) => {
                let at = self.now;
                self.hosts[host].in_force.push((at, sheet.version.0));
            }
            ControlAction::WorkersLearned(_) => self.hosts[host].workers_learned += 1,
            ControlAction::WorkerGone { worker, .. } => {
                self.removed_workers.push((self.now, worker))
            }
            #[allow(unreachable_patterns)]
            _ => {}
        }
    }

    fn append_from(
        &mut self,
        host: Host,
        incarnation: Incarnation,
        stream: Stream,
        record: LogRecord,
    ) {
        let zone = self.hosts[host].plan.place.zone.to_string();
        let failed = ControlEvent::AppendFailed {
            stream,
            record: record.clone(),
        };
        let wait_ms = 5 + self.log.slow_ms;
        if self.log.down || self.cut_from_log.contains(&zone) {
            let delivery = Delivery::Event(host, incarnation, Box::new(failed));
            return self.schedule(wait_ms, delivery);
        }
        self.hosts[host].log_bytes += encoded_len(&record);
        let offset = self.log.append(stream, record);
        let mut event = ControlEvent::Appended { stream, offset };
        if self.log.lose_answers > 0 {
            self.log.lose_answers -= 1;
            event = failed;
        }
        self.schedule(wait_ms, Delivery::Event(host, incarnation, Box::new(event)));
    }

    fn finish_log_read(
        &mut self,
        host: Host,
        incarnation: Incarnation,
        stream: Stream,
        batch: LogBatch,
    ) {
        let zone = self.hosts[host].plan.place.zone.to_string();
        let unreachable = self.log.down || self.cut_from_log.contains(&zone);
        let event = if unreachable {
            ControlEvent::LogFailed { stream }
        } else {
            self.hosts[host].log_bytes += encoded_len(&batch);
            ControlEvent::LogRead { stream, batch }
        };
        let wait_ms = 5 + self.log.slow_ms;
        self.schedule(wait_ms, Delivery::Event(host, incarnation, Box::new(event)));
    }

    fn send(
        &mut self,
        from: Host,
        from_incarnation: Incarnation,
        to: SocketAddr,
        message: ControlMessage,
    ) {
        let bytes = encoded_len(&message);
        self.hosts[from].sent_bytes += bytes;
        self.hosts[from].messages += 1;
        let host = host_of(to);
        if host >= self.hosts.len() {
            return;
        }
        let one = &self.hosts[from].plan.place;
        let other = &self.hosts[host].plan.place;
        let pair = (one.zone.to_string(), other.zone.to_string());
        let delay_ms = match Distance::between(one, other) {
            Distance::SameZone | Distance::SameRegion => 1,
            Distance::OtherRegion => 8,
        };
        if self.cut_zones.contains(&pair) || self.hosts[host].paused_until > self.now {
            let silent = ControlEvent::MessageUnanswered { to };
            let delivery = Delivery::Event(from, from_incarnation, Box::new(silent));
            return self.schedule(TIMEOUT_MS, delivery);
        }
        self.schedule(
            delay_ms,
            Delivery::Message {
                from,
                from_incarnation,
                to: host,
                message: Box::new(message),
            },
        );
    }

    fn message_arrives(
        &mut self,
        from: Host,
        from_incarnation: Incarnation,
        to: Host,
        message: ControlMessage,
    ) {
        if !self.hosts[to].alive {
            let silent = ControlEvent::MessageUnanswered { to: address(to, 1) };
            let delivery = Delivery::Event(from, from_incarnation, Box::new(silent));
            return self.schedule(1, delivery);
        }
        self.hosts[to].received_bytes += encoded_len(&message);
        let incarnation = self.hosts[to].vm.worker.incarnation;
        let from = address(from, 1);
        self.handle(
            to,
            incarnation,
            ControlEvent::MessageReceived { from, message },
        );
    }

    fn schedule(&mut self, delay_ms: u64, delivery: Delivery) {
        self.order += 1;
        self.queue.push(Reverse(Scheduled {
            at: self.now.plus_ms(delay_ms),
            order: self.order,
            delivery,
        }));
    }
}

impl FakeLog {
    /// The retained records of a stream.
    pub fn records(&self, stream: Stream) -> &[LogRecord] {
        self.streams.get(&stream).map_or(&[], |held| &held.records)
    }

    fn append(&mut self, stream: Stream, record: LogRecord) -> u64 {
        self.appends += 1;
        let held = self.streams.entry(stream).or_default();
        held.records.push(record);
        held.first_offset + held.records.len() as u64 - 1
    }

    fn read_tail(&mut self, stream: Stream, records: u32) -> LogBatch {
        let held = self.streams.entry(stream).or_default();
        let end = held.first_offset + held.records.len() as u64;
        self.read(stream, end.saturating_sub(u64::from(records)))
    }

    fn read(&mut self, stream: Stream, from_offset: u64) -> LogBatch {
        let held = self.streams.entry(stream).or_default();
        let start = from_offset.max(held.first_offset);
        let skip = (start - held.first_offset) as usize;
        let entries: Vec<LogEntry> = held
            .records
            .iter()
            .skip(skip)
            .take(PAGE_RECORDS)
            .zip(start..)
            .map(|(record, offset)| LogEntry {
                offset,
                record: record.clone(),
            })
            .collect();
        LogBatch {
            first_offset: held.first_offset,
            next_offset: entries.last().map_or(from_offset, |last| last.offset + 1),
            entries,
        }
    }
}

/// Address of a daemon. `kind` is 0 for the call address and 1 for the control address.
pub fn address(host: Host, kind: u16) -> SocketAddr {
    let [_, high, low, last] = (host as u32).to_be_bytes();
    SocketAddr::from(([10, high, low, last], 7000 + kind))
}

fn host_of(address: SocketAddr) -> Host {
    match address {
        SocketAddr::V4(v4) => {
            let [_, high, low, last] = v4.ip().octets();
            u32::from_be_bytes([0, high, low, last]) as Host
        }
        SocketAddr::V6(_) => usize::MAX,
    }
}

fn encoded_len<T: serde::Serialize>(value: &T) -> u64 {
    let encoded = serde_json::to_vec(value).map_or(0, |encoded| encoded.len());
    encoded as u64 + OVERHEAD_BYTES
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

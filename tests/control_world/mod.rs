//! Simulates the control logic of many daemons in one thread under a virtual clock, with fakes of
//! the log service and of the network between the daemons.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::net::SocketAddr;

use burdockhall::decide::control::ControlMessage;
use burdockhall::decide::control::publish::{PublishRequest, PublishStatus};
use burdockhall::decide::control::record::{LogBatch, LogEntry, LogRecord, Stream};
use burdockhall::decide::{Control, ControlAction, ControlEvent};
use burdockhall::model::{
    Announcement, Contract, Importance, Incarnation, Place, Rule, ServerState, SheetContent,
    SheetVersion, TimeMs, Vm, WorkerId,
};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// Time between two ticks of a daemon.
const TICK_MS: u64 = 50;
/// Time after which a lost message or answer counts as failed.
const TIMEOUT_MS: u64 = 2_000;
/// Longest wait for an answer from the log service.
const LOG_TIMEOUT_MS: u64 = 5_000;
/// Maximum number of records in one page of the log.
const PAGE_RECORDS: usize = 500;
/// Index into [`World::daemons`].
pub type Host = usize;

/// In-memory log service with faults that tests switch on.
#[derive(Default)]
pub struct FakeLog {
    pub records: BTreeMap<Stream, Vec<(u64, LogRecord)>>,
    pub first_offsets: BTreeMap<Stream, u64>,
    pub next_offsets: BTreeMap<Stream, u64>,
    pub down: bool,
    pub slow_ms: u64,
    /// Number of upcoming appends to the sheet stream that take effect but are reported to the
    /// daemon as failed.
    pub lose_answers: u32,
    pub appends: u64,
    pub reads: u64,
}

impl FakeLog {
    pub fn append(&mut self, stream: Stream, record: LogRecord) -> u64 {
        self.appends += 1;
        let next = self.next_offsets.entry(stream).or_default();
        let offset = *next;
        *next += 1;
        self.records
            .entry(stream)
            .or_default()
            .push((offset, record));
        offset
    }

    /// Drops all records below an offset.
    pub fn truncate(&mut self, stream: Stream, first: u64) {
        let first = first.min(self.next_offsets.get(&stream).copied().unwrap_or(0));
        self.first_offsets.insert(stream, first);
        let records = self.records.entry(stream).or_default();
        records.retain(|(offset, _)| *offset >= first);
    }

    pub fn read(&mut self, stream: Stream, from: u64) -> LogBatch {
        self.reads += 1;
        let records = self.records.get(&stream).map_or(&[][..], Vec::as_slice);
        let page = records.iter().filter(|(offset, _)| *offset >= from);
        let entries: Vec<LogEntry> = page
            .take(PAGE_RECORDS)
            .map(|(offset, record)| LogEntry {
                offset: *offset,
                record: record.clone(),
            })
            .collect();
        LogBatch {
            first_offset: self.first_offsets.get(&stream).copied().unwrap_or(0),
            next_offset: entries.last().map_or(from, |last| last.offset + 1),
            entries,
        }
    }
}

/// A simulated daemon and what the tests observe of it.
pub struct Daemon {
    pub control: Control,
    pub announcement: Announcement,
    pub zone: usize,
    pub alive: bool,
    /// Number of the process at this address; events for earlier processes are dropped.
    pub start_number: u64,
    /// Sheet versions in the order in which they came into force.
    pub versions: Vec<SheetVersion>,
    pub sheet_messages_sent: u64,
    pub sheet_bytes_sent: u64,
}

enum Delivery {
    Event(Host, u64, ControlEvent),
    Append(Host, u64, Stream, LogRecord),
    Read(Host, u64, Stream, u64),
}

struct Scheduled {
    at: TimeMs,
    order: u64,
    delivery: Delivery,
}

/// Simulation of all daemons, the log service and the network.
pub struct World {
    pub now: TimeMs,
    pub log: FakeLog,
    pub daemons: Vec<Daemon>,
    /// Pairs of zones; messages from the first to the second are lost.
    pub cut_zones: HashSet<(usize, usize)>,
    /// Zones that cannot reach the log service.
    pub cut_from_log: HashSet<usize>,
    /// Publication reports: time, daemon, publication id and status.
    pub reports: Vec<(TimeMs, Host, String, PublishStatus)>,
    pub rng: Xoshiro256PlusPlus,
    queue: BinaryHeap<Reverse<Scheduled>>,
    order: u64,
}

impl World {
    pub fn new(seed: u64, zones: usize, daemons_per_zone: usize) -> World {
        let mut world = World {
            now: TimeMs(1),
            log: FakeLog::default(),
            daemons: Vec::new(),
            cut_zones: HashSet::new(),
            cut_from_log: HashSet::new(),
            reports: Vec::new(),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            order: 0,
        };
        for host in 0..zones * daemons_per_zone {
            let daemon = world.new_daemon(host, host / daemons_per_zone, 1);
            world.daemons.push(daemon);
        }
        for host in 0..world.daemons.len() {
            world.announce_backend(host);
        }
        world
    }

    /// Replaces a daemon by a new process without state at the same address.
    pub fn restart(&mut self, host: Host) {
        self.restart_unannounced(host);
        self.announce_backend(host);
    }

    /// Replaces a daemon by a new process to which its backend server has not announced itself.
    pub fn restart_unannounced(&mut self, host: Host) {
        let (zone, start_number) = (self.daemons[host].zone, self.daemons[host].start_number + 1);
        self.daemons[host] = self.new_daemon(host, zone, start_number);
    }

    pub fn kill(&mut self, host: Host) {
        self.daemons[host].alive = false;
    }

    /// Cuts a zone off from all others in both directions.
    pub fn cut_zone(&mut self, zone: usize) {
        let zones = self.daemons.iter().map(|daemon| daemon.zone).max();
        for other in (0..=zones.unwrap_or(0)).filter(|other| *other != zone) {
            self.cut_zones.insert((zone, other));
            self.cut_zones.insert((other, zone));
        }
    }

    pub fn heal(&mut self) {
        self.cut_zones.clear();
        self.cut_from_log.clear();
    }

    pub fn publish(&mut self, host: Host, id: &str, base: Option<u64>, content: SheetContent) {
        let request = PublishRequest {
            id: id.to_owned(),
            base: base.map(SheetVersion),
            base_chain: None,
            author: format!("author of {id}").as_str().into(),
            published_ms: 1_700_000_000_000 + self.now.0,
            content,
        };
        self.handle(host, ControlEvent::Publish(request));
    }

    /// Returns the latest reported status of a publication.
    pub fn status(&self, id: &str) -> Option<&PublishStatus> {
        let reports = self.reports.iter().rev();
        reports
            .clone()
            .find(|report| report.2 == id)
            .map(|report| &report.3)
    }

    pub fn version(&self, host: Host) -> u64 {
        self.daemons[host].control.sheets().sheet().version.0
    }

    pub fn all_hold(&self, version: u64) -> bool {
        let mut alive = (0..self.daemons.len()).filter(|host| self.daemons[*host].alive);
        alive.all(|host| self.version(host) >= version)
    }

    /// Runs until all running daemons have at least this sheet version. Returns the time taken, or
    /// `None` after `limit_ms`.
    pub fn run_until_held(&mut self, version: u64, limit_ms: u64) -> Option<u64> {
        let start = self.now;
        while !self.all_hold(version) {
            if self.now.since_ms(start) >= limit_ms {
                return None;
            }
            self.run_for(10);
        }
        Some(self.now.since_ms(start))
    }

    pub fn run_for(&mut self, span_ms: u64) {
        let until = self.now.plus_ms(span_ms);
        while self.queue.peek().is_some_and(|next| next.0.at <= until) {
            let Some(Reverse(next)) = self.queue.pop() else {
                break;
            };
            self.now = next.at;
            self.deliver(next.delivery);
        }
        self.now = until;
    }

    pub fn handle(&mut self, host: Host, event: ControlEvent) {
        let daemon = &mut self.daemons[host];
        if !daemon.alive {
            return;
        }
        let mut actions = Vec::new();
        daemon.control.handle(self.now, event, &mut actions);
        for action in actions {
            self.execute(host, action);
        }
    }

    fn new_daemon(&mut self, host: Host, zone: usize, start_number: u64) -> Daemon {
        let address = address(host);
        let incarnation = Incarnation(self.rng.random());
        let vm = Vm {
            worker: WorkerId {
                address,
                incarnation,
            },
            control_address: address,
            place: Place {
                region: format!("region-{}", zone / 3).as_str().into(),
                zone: zone_name(zone).as_str().into(),
            },
        };
        let mut control = Control::new(vm.clone(), incarnation.0);
        control.set_unix_origin(1_700_000_000_000);
        let offset_ms = self.rng.random_range(0..TICK_MS);
        self.schedule(
            offset_ms,
            Delivery::Event(host, start_number, ControlEvent::Tick),
        );
        Daemon {
            control,
            announcement: Announcement {
                vm,
                service: "balances".into(),
                slots: 8,
                connections: 64,
                state: ServerState::Serving,
                started_ms: start_number,
                sequence: 1,
            },
            zone,
            alive: true,
            start_number,
            versions: Vec::new(),
            sheet_messages_sent: 0,
            sheet_bytes_sent: 0,
        }
    }

    /// Announces a daemon's backend server to it.
    pub fn announce_backend(&mut self, host: Host) {
        let announcement = self.daemons[host].announcement.clone();
        self.handle(host, ControlEvent::LocalAnnounced(announcement));
    }

    fn execute(&mut self, host: Host, action: ControlAction) {
        let start_number = self.daemons[host].start_number;
        match action {
            ControlAction::ReadLog {
                stream,
                from_offset,
            } => {
                let delay_ms = self.log_delay_ms(host);
                let read = Delivery::Read(host, start_number, stream, from_offset);
                self.schedule(delay_ms, read);
            }
            ControlAction::ReadLogTail { stream, records } => {
                let next = self.log.next_offsets.get(&stream).copied().unwrap_or(0);
                let delay_ms = self.log_delay_ms(host);
                let from = next.saturating_sub(u64::from(records));
                self.schedule(delay_ms, Delivery::Read(host, start_number, stream, from));
            }
            ControlAction::Append { stream, record } => {
                let delay_ms = self.log_delay_ms(host);
                self.schedule(
                    delay_ms,
                    Delivery::Append(host, start_number, stream, record),
                );
            }
            ControlAction::Send { to, message } => self.send(host, to, message),
            ControlAction::SheetLearned(sheet) => {
                let daemon = &mut self.daemons[host];
                let before = daemon.versions.last().copied().unwrap_or_default();
                assert!(sheet.version >= before, "{before} after {}", sheet.version);
                daemon.versions.push(sheet.version);
            }
            ControlAction::PublishEnded(report) => {
                self.reports
                    .push((self.now, host, report.id, report.status));
            }
            _ => {}
        }
    }

    fn log_delay_ms(&mut self, host: Host) -> u64 {
        let latency_ms = 1 + 8 * (self.daemons[host].zone / 3).min(1) as u64;
        latency_ms + self.log.slow_ms
    }

    fn send(&mut self, from: Host, to: SocketAddr, message: ControlMessage) {
        let receiver = host_of(to);
        let (from_zone, to_zone) = (self.daemons[from].zone, self.daemons[receiver].zone);
        if matches!(message, ControlMessage::Sheet(_)) {
            self.daemons[from].sheet_messages_sent += 1;
            let bytes = serde_json::to_vec(&message).map_or(0, |bytes| bytes.len());
            self.daemons[from].sheet_bytes_sent += bytes as u64;
        }
        let start_number = self.daemons[from].start_number;
        if self.cut_zones.contains(&(from_zone, to_zone)) || !self.daemons[receiver].alive {
            let unanswered = ControlEvent::MessageUnanswered { to };
            let is_alive = self.daemons[receiver].alive;
            let delay_ms = if is_alive { TIMEOUT_MS } else { 2 };
            return self.schedule(delay_ms, Delivery::Event(from, start_number, unanswered));
        }
        let latency_ms = if from_zone / 3 == to_zone / 3 { 1 } else { 8 };
        let delay_ms = latency_ms + self.rng.random_range(0..=2);
        let received = ControlEvent::MessageReceived {
            from: address(from),
            message,
        };
        let receiver_start_number = self.daemons[receiver].start_number;
        self.schedule(
            delay_ms,
            Delivery::Event(receiver, receiver_start_number, received),
        );
    }

    fn deliver(&mut self, delivery: Delivery) {
        let (host, start_number) = match &delivery {
            Delivery::Event(host, start_number, _)
            | Delivery::Append(host, start_number, _, _)
            | Delivery::Read(host, start_number, _, _) => (*host, *start_number),
        };
        let is_stale = !self.daemons[host].alive || self.daemons[host].start_number != start_number;
        match delivery {
            Delivery::Event(..) if is_stale => {}
            Delivery::Event(_, _, event) => {
                if matches!(event, ControlEvent::Tick) {
                    let next = Delivery::Event(host, start_number, ControlEvent::Tick);
                    self.schedule(TICK_MS, next);
                }
                self.handle(host, event);
            }
            Delivery::Append(_, _, stream, record) => {
                self.append(host, start_number, stream, record)
            }
            Delivery::Read(_, _, stream, from) => {
                let delay_ms = self.log_delay_ms(host);
                let is_late = 2 * delay_ms > LOG_TIMEOUT_MS;
                let event = if is_late || self.is_log_unreachable(host) {
                    ControlEvent::LogFailed { stream }
                } else {
                    let batch = self.log.read(stream, from);
                    ControlEvent::LogRead { stream, batch }
                };
                self.schedule(delay_ms, Delivery::Event(host, start_number, event));
            }
        }
    }

    /// Appends a record; it takes effect even if its daemon has stopped in the meantime.
    fn append(&mut self, host: Host, start_number: u64, stream: Stream, record: LogRecord) {
        if self.is_log_unreachable(host) {
            let failed = ControlEvent::AppendFailed { stream, record };
            return self.schedule(TIMEOUT_MS, Delivery::Event(host, start_number, failed));
        }
        let offset = self.log.append(stream, record.clone());
        let is_late = 2 * self.log_delay_ms(host) > LOG_TIMEOUT_MS;
        if is_late || stream == Stream::Sheets && self.log.lose_answers > 0 {
            self.log.lose_answers = self.log.lose_answers.saturating_sub(1);
            let failed = ControlEvent::AppendFailed { stream, record };
            return self.schedule(TIMEOUT_MS, Delivery::Event(host, start_number, failed));
        }
        let delay_ms = self.log_delay_ms(host);
        let appended = ControlEvent::Appended { stream, offset };
        self.schedule(delay_ms, Delivery::Event(host, start_number, appended));
    }

    fn is_log_unreachable(&self, host: Host) -> bool {
        self.log.down || self.cut_from_log.contains(&self.daemons[host].zone)
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

/// Returns a sheet with a rule for all services and one for each service given, all with the
/// deadline `deadline_ms`.
pub fn content(deadline_ms: u64, services: &[&str]) -> SheetContent {
    let rule = |service: Option<&str>| Rule {
        service: service.map(Into::into),
        request: None,
        caller: None,
        contract: Contract {
            importance: Importance::Critical,
            idempotent: false,
            deadline_ms,
            retry_allowance: 2,
        },
    };
    let mut rules = vec![rule(None)];
    rules.extend(services.iter().map(|service| rule(Some(service))));
    SheetContent::canonical(rules, Vec::new())
}

pub fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

pub fn address(host: Host) -> SocketAddr {
    let host = host as u32 + 1;
    let octets = [10, (host >> 16) as u8, (host >> 8) as u8, host as u8];
    SocketAddr::from((octets, 7000))
}

fn host_of(address: SocketAddr) -> Host {
    let SocketAddr::V4(address) = address else {
        panic!("not an address of a simulated daemon");
    };
    let [_, high, middle, low] = address.ip().octets();
    (u32::from(high) << 16 | u32::from(middle) << 8 | u32::from(low)) as usize - 1
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

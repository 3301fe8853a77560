//! Membership: learns workers by gossip with peers, from gateways, and from the log while no peer
//! is known.
//!
//! Every daemon keeps the workers of its own zone, and those workers of other zones whose services
//! it calls. A few daemons of each zone, the gateways, keep all workers.

mod compare;
mod indirect_probe;
mod push;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::RngExt;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};

use self::indirect_probe::send_votes;
use super::failure_votes::{AnnouncementVersion, FailureVotes};
use super::gateways::gateways;
use super::interests::Interests;
use super::members::{Members, Rank, rank};
use super::record::{LogBatch, LogRecord, Stream};
use super::{ControlAction, ControlMessage, ControlTurn};
use crate::model::{Announcement, ServerState, ServiceName, TimeMs, Vm, ZoneName};

/// Mean time between two probes of a zone peer, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 1_000;
/// Time between two comparisons of a gateway with one of another zone, in milliseconds.
const GATEWAY_INTERVAL_MS: u64 = 2_000;
/// Time between two checks whether this daemon is selected as a gateway, in milliseconds. Short,
/// since a publication right after the start waits for the first gateway.
const GATEWAY_CHECK_INTERVAL_MS: u64 = 250;
/// Time for which a daemon must stay selected before it becomes a gateway, in milliseconds.
const GATEWAY_SETTLE_MS: u64 = 3_000;
/// Time between two comparisons with a gateway of the own zone, in milliseconds.
const INTEREST_INTERVAL_MS: u64 = 15_000;
/// The same interval shortly after a service is first called, in milliseconds.
const NEW_INTEREST_INTERVAL_MS: u64 = 2_000;
/// Time for which the shorter interval applies, in milliseconds; gateways find each other within
/// it.
const NEW_INTEREST_PERIOD_MS: u64 = 20_000;
/// Time for which new announcements are batched before they are pushed, in milliseconds.
const PUSH_INTERVAL_MS: u64 = 200;
/// Number of random zone peers that new announcements are pushed to.
const UPDATE_FAN_OUT: usize = 3;
/// Batches of at least this many announcements are pushed to one zone peer only; the comparison of
/// digests spreads the rest.
const BULK_UPDATES: usize = 16;
/// Least time between two comparisons by bucket of one zone that this daemon starts, in
/// milliseconds.
const BUCKETS_INTERVAL_MS: u64 = 500;
/// Time between two reads of the log, in milliseconds.
const LOG_INTERVAL_MS: u64 = 5_000;
/// Time between two reads of the log while no peer is known, in milliseconds.
const PEER_SEARCH_INTERVAL_MS: u64 = 500;
/// Number of newest log records read to find a peer.
const TAIL_RECORDS: u32 = 200;
/// Mean time between two renewals of an announcement, in milliseconds.
const RENEW_INTERVAL_MS: u64 = 1_800_000;
/// Longest random delay before a first announcement is appended to the log, in milliseconds.
const JOIN_JITTER_MS: u64 = 5_000;
/// Time without a renewal after which an announcement is dropped, in milliseconds.
const ANNOUNCEMENT_TTL_MS: u64 = 4 * RENEW_INTERVAL_MS;
/// Time for which the tombstone of a gone worker is kept, in milliseconds.
const TOMBSTONE_TTL_MS: u64 = 86_400_000;
/// Time between two sweeps for expired entries, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 60_000;

/// A membership message between two daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberMessage {
    /// Liveness probe, with a digest of the zone to compare.
    Probe {
        /// Digest of the sender's zone; `None` checks liveness only.
        digest: Option<u64>,
    },
    /// Digests of the zones that the sender, a gateway, keeps.
    ZoneDigests(Vec<(ZoneName, u64)>),
    /// Digests of one zone by bucket, sent if the digests of the whole zone differ.
    Buckets {
        /// The zone.
        zone: ZoneName,
        /// One digest for each bucket.
        digests: Vec<u64>,
    },
    /// Versions that the sender knows in the buckets that differ. The receiver answers with the
    /// announcements that are newer on its side, and requests those that are newer at the sender.
    Differing {
        /// The zone.
        zone: ZoneName,
        /// Indexes of the buckets that differ.
        buckets: Vec<u8>,
        /// Worker address and rank of each announcement that the sender has in these buckets.
        versions: Vec<(SocketAddr, Rank)>,
    },
    /// Requests announcements by worker address.
    Want(Vec<SocketAddr>),
    /// Announcements that the sender believes to be new to the receiver.
    Known(Vec<Arc<Announcement>>),
    /// Services that the sender calls, with its digest of each; subscribes it to them.
    Interest(Vec<(ServiceName, u64)>),
    /// The sender cannot reach a worker and asks the receiver to probe it.
    Doubt {
        /// The worker's control address.
        worker: SocketAddr,
        /// The version of its announcement.
        version: AnnouncementVersion,
    },
    /// Answer to `Doubt`: the sender cannot reach the worker either.
    Vote {
        /// The worker's control address.
        worker: SocketAddr,
        /// The version of its announcement.
        version: AnnouncementVersion,
    },
}

/// One daemon's view of the other daemons and their workers, and the gossip that maintains it.
#[derive(Debug)]
pub struct MemberControl {
    vm: Vm,
    members: Members,
    interests: Interests,
    failure_votes: FailureVotes,
    local: Option<Announcement>,
    bootstrap_peers: Vec<SocketAddr>,
    probe_queue: Vec<SocketAddr>,
    updates: Vec<Arc<Announcement>>,
    refreshed_at: BTreeMap<SocketAddr, TimeMs>,
    buckets_sent_at: BTreeMap<ZoneName, TimeMs>,
    gateway: bool,
    selected_since: Option<TimeMs>,
    workers_changed: bool,
    next_offset: u64,
    new_interest_until: TimeMs,
    due: Due,
}

/// When each periodic task is due.
#[derive(Debug, Default)]
struct Due {
    probe: TimeMs,
    gateway_check: TimeMs,
    gateway: TimeMs,
    interest: TimeMs,
    push: TimeMs,
    log: TimeMs,
    join: Option<TimeMs>,
    renew: TimeMs,
    expiry: TimeMs,
}

impl MemberControl {
    /// Creates the membership of the daemon on `vm`, with no other daemon known.
    pub fn new(vm: Vm) -> MemberControl {
        MemberControl {
            vm,
            members: Members::default(),
            interests: Interests::default(),
            failure_votes: FailureVotes::default(),
            local: None,
            bootstrap_peers: Vec::new(),
            probe_queue: Vec::new(),
            updates: Vec::new(),
            refreshed_at: BTreeMap::new(),
            buckets_sent_at: BTreeMap::new(),
            gateway: false,
            selected_since: None,
            workers_changed: false,
            next_offset: 0,
            new_interest_until: TimeMs::default(),
            due: Due::default(),
        }
    }

    /// Sets the control addresses to probe while no zone peer is known, such as those of neighbours
    /// in the settings.
    pub fn set_bootstrap_peers(&mut self, bootstrap_peers: Vec<SocketAddr>) {
        self.bootstrap_peers = bootstrap_peers;
    }

    /// The workers that calls from this daemon may go to.
    pub fn workers(&self) -> Vec<Announcement> {
        self.members
            .all()
            .filter(|known| self.needs(known))
            .map(|known| Announcement::clone(known))
            .collect()
    }

    /// All announcements known to this daemon.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Whether this daemon is a gateway, which keeps the workers of all zones.
    pub fn is_gateway(&self) -> bool {
        self.gateway
    }

    /// Control addresses of the other daemons in this zone that are not gone.
    pub fn zone_peers(&self) -> Vec<SocketAddr> {
        self.members
            .alive_in_zone(&self.vm.place.zone)
            .map(|known| known.vm.control_address)
            .filter(|address| *address != self.vm.control_address)
            .collect()
    }

    /// Handles an announcement of the local backend server; its start time and sequence are raised
    /// where needed, so that it is newer than the announcement before it.
    pub fn local_announced(&mut self, turn: &mut ControlTurn<'_>, announcement: Announcement) {
        let before = self.local.take();
        let mut local = announcement;
        if let Some(before) = &before {
            local.started_ms = local.started_ms.max(before.started_ms);
            local.sequence = local.sequence.max(before.sequence + 1);
        }
        if before.is_none() {
            let wait_ms = turn.rng.random_range(0..=JOIN_JITTER_MS);
            self.due.join = Some(turn.now.plus_ms(wait_ms));
            self.due.renew = next_renewal(turn);
        }
        self.local = Some(local);
        self.announce_local(turn);
    }

    /// Records that a service is called; for a new one, a gateway is asked soon.
    pub fn service_called(&mut self, turn: &mut ControlTurn<'_>, service: &ServiceName) {
        if self.interests.record_call(turn.now, service) {
            self.send_interests_soon(turn.now);
            self.workers_changed = true;
        }
    }

    /// Learns the announcements in records of the member stream.
    pub fn log_read(&mut self, turn: &mut ControlTurn<'_>, batch: LogBatch) {
        let more = batch.next_offset > self.next_offset && !batch.entries.is_empty();
        self.next_offset = self.next_offset.max(batch.next_offset);
        for entry in batch.entries {
            if let LogRecord::Member(announcement) = entry.record {
                self.learn(turn, &Arc::new(announcement));
            }
        }
        if more && self.gateway {
            self.due.log = turn.now;
        }
    }

    /// Schedules a retry after the local announcement could not be appended to the log.
    pub fn append_failed(&mut self, turn: &mut ControlTurn<'_>) {
        let wait_ms = turn.rng.random_range(0..=2 * JOIN_JITTER_MS);
        self.due.join = Some(turn.now.plus_ms(wait_ms));
    }

    /// Handles a message from another daemon.
    pub fn message_received(
        &mut self,
        turn: &mut ControlTurn<'_>,
        from: SocketAddr,
        message: MemberMessage,
    ) {
        match message {
            MemberMessage::Probe { digest } => self.probe_received(turn, from, digest),
            MemberMessage::ZoneDigests(digests) => self.zone_digests_received(turn, from, &digests),
            MemberMessage::Buckets { zone, digests } => {
                self.buckets_received(turn, from, zone, &digests);
            }
            MemberMessage::Differing {
                zone,
                buckets,
                versions,
            } => self.difference_received(turn, from, &zone, &buckets, &versions),
            MemberMessage::Want(addresses) => {
                let known: Vec<Arc<Announcement>> = addresses
                    .iter()
                    .filter_map(|address| self.members.get(*address).cloned())
                    .collect();
                send(turn, from, MemberMessage::Known(known));
            }
            MemberMessage::Known(known) => self.learn_all(turn, &known),
            MemberMessage::Interest(services) => self.interest_received(turn, from, &services),
            MemberMessage::Doubt { worker, version } => {
                self.failure_votes
                    .add_probe_request(turn.now, worker, version, from);
                send(turn, worker, MemberMessage::Probe { digest: None });
            }
            MemberMessage::Vote { worker, version } => {
                self.vote_received(turn, from, worker, version);
            }
        }
    }

    /// Handles a message to `to` that got no answer: votes if other daemons asked about that
    /// worker, otherwise asks others to probe it.
    pub fn message_unanswered(&mut self, turn: &mut ControlTurn<'_>, to: SocketAddr) {
        let probe_requests = self.failure_votes.take_probe_requests(turn.now, to);
        if !probe_requests.is_empty() {
            return send_votes(turn, to, &probe_requests);
        }
        let Some(known) = self.members.get_by_control(to) else {
            return;
        };
        let in_zone = known.vm.place.zone == self.vm.place.zone;
        if !in_zone || known.state == ServerState::Gone {
            return;
        }
        let version = known.version();
        let me = self.vm.control_address;
        if self.failure_votes.open_vote(turn.now, to, version, me) {
            self.request_probes(turn, to, version);
        }
    }

    /// Runs the periodic tasks that are due.
    pub fn tick(&mut self, turn: &mut ControlTurn<'_>) {
        let now = turn.now;
        if now >= self.due.probe {
            let wait_ms = turn
                .rng
                .random_range(PROBE_INTERVAL_MS / 2..=3 * PROBE_INTERVAL_MS / 2);
            self.due.probe = now.plus_ms(wait_ms);
            self.probe(turn);
        }
        if now >= self.due.gateway_check {
            self.due.gateway_check = now.plus_ms(GATEWAY_CHECK_INTERVAL_MS);
            self.update_gateway_role(now);
        }
        if now >= self.due.gateway {
            self.due.gateway = now.plus_ms(GATEWAY_INTERVAL_MS);
            self.compare_with_another_zone(turn);
        }
        if now >= self.due.interest {
            let is_new = now < self.new_interest_until;
            self.due.interest = now.plus_ms(if is_new {
                NEW_INTEREST_INTERVAL_MS
            } else {
                INTEREST_INTERVAL_MS
            });
            self.send_interests(turn);
        }
        if now >= self.due.push {
            self.due.push = now.plus_ms(PUSH_INTERVAL_MS);
            self.push_updates(turn);
        }
        if now >= self.due.log {
            self.read_log(turn);
        }
        self.renew_if_due(turn);
        if now >= self.due.expiry {
            self.due.expiry = now.plus_ms(EXPIRY_INTERVAL_MS);
            self.expire(now);
        }
        if std::mem::take(&mut self.workers_changed) {
            let workers = self.workers();
            turn.actions.push(ControlAction::WorkersLearned(workers));
        }
    }

    /// Becomes a gateway once this daemon has been selected for [`GATEWAY_SETTLE_MS`], since a
    /// daemon that knows few others selects itself too easily.
    fn update_gateway_role(&mut self, now: TimeMs) {
        let selected =
            gateways(&self.members, &self.vm.place.zone).contains(&self.vm.control_address);
        if !selected {
            self.selected_since = None;
            if std::mem::take(&mut self.gateway) {
                self.drop_unneeded();
                self.send_interests_soon(now);
            }
            return;
        }
        let since = *self.selected_since.get_or_insert(now);
        self.gateway = now.since_ms(since) >= GATEWAY_SETTLE_MS;
    }

    fn send_interests_soon(&mut self, now: TimeMs) {
        self.due.interest = now;
        self.new_interest_until = now.plus_ms(NEW_INTEREST_PERIOD_MS);
    }

    fn drop_unneeded(&mut self) {
        let unneeded: Vec<SocketAddr> = self
            .members
            .all()
            .filter(|known| !self.keeps(known))
            .map(|known| known.vm.worker.address)
            .collect();
        for address in unneeded {
            self.members.forget(address);
            self.refreshed_at.remove(&address);
        }
        self.workers_changed = true;
    }

    fn announce_local(&mut self, turn: &mut ControlTurn<'_>) {
        if let Some(local) = self.local.clone() {
            self.learn(turn, &Arc::new(local));
        }
    }

    /// Merges one announcement if this daemon keeps announcements of its zone or service.
    fn learn(&mut self, turn: &mut ControlTurn<'_>, announcement: &Arc<Announcement>) {
        if self.refute(announcement) {
            return self.announce_local(turn);
        }
        if !self.keeps(announcement) {
            return;
        }
        let address = announcement.vm.worker.address;
        let before = self.members.get(address).cloned();
        if !self.members.merge(announcement) {
            return;
        }
        self.refreshed_at.insert(address, turn.now);
        self.updates.push(Arc::clone(announcement));
        let renewed_only = before.is_some_and(|before| is_renewal(&before, announcement));
        self.workers_changed |= !renewed_only && self.needs(announcement);
    }

    fn learn_all(&mut self, turn: &mut ControlTurn<'_>, announcements: &[Arc<Announcement>]) {
        for announcement in announcements {
            self.learn(turn, announcement);
        }
    }

    fn keeps(&self, announcement: &Announcement) -> bool {
        self.gateway || self.needs(announcement)
    }

    /// Whether calls from this daemon may go to this worker.
    fn needs(&self, announcement: &Announcement) -> bool {
        announcement.vm.place.zone == self.vm.place.zone
            || self.interests.is_tracked(&announcement.service)
    }

    /// Refutes an announcement for this daemon's own address that outranks its own, such as one
    /// that declares it gone: raises the own announcement above it and returns true.
    fn refute(&mut self, announcement: &Announcement) -> bool {
        let Some(local) = &mut self.local else {
            return false;
        };
        if announcement.vm.worker.address != local.vm.worker.address {
            return false;
        }
        if rank(announcement) <= rank(local) {
            return false;
        }
        if announcement.vm.worker.incarnation == local.vm.worker.incarnation {
            local.sequence = announcement.sequence + 1;
        } else {
            local.started_ms = announcement.started_ms + 1;
        }
        true
    }

    fn probe(&mut self, turn: &mut ControlTurn<'_>) {
        self.failure_votes.expire(turn.now);
        let digest = Some(self.members.zone_digest(&self.vm.place.zone));
        match self.next_to_probe(turn) {
            Some(peer) => send(turn, peer, MemberMessage::Probe { digest }),
            None => {
                for peer in self.bootstrap_peers.clone() {
                    send(turn, peer, MemberMessage::Probe { digest });
                }
            }
        }
    }

    /// The next zone peer to probe, in shuffled rounds: each peer is probed once per round.
    fn next_to_probe(&mut self, turn: &mut ControlTurn<'_>) -> Option<SocketAddr> {
        loop {
            if self.probe_queue.is_empty() {
                self.probe_queue = self.zone_peers();
                self.probe_queue.shuffle(turn.rng);
            }
            let peer = self.probe_queue.pop()?;
            let known = self.members.get_by_control(peer);
            if known.is_some_and(|known| known.state != ServerState::Gone) {
                return Some(peer);
            }
        }
    }

    /// Reads the log: gateways follow it, and a daemon without a zone peer looks for one among the
    /// newest records.
    fn read_log(&mut self, turn: &mut ControlTurn<'_>) {
        self.due.log = turn.now.plus_ms(LOG_INTERVAL_MS);
        if self.gateway {
            turn.actions.push(ControlAction::ReadLog {
                stream: Stream::Members,
                from_offset: self.next_offset,
            });
        }
        if self.zone_peers().is_empty() {
            self.due.log = turn.now.plus_ms(PEER_SEARCH_INTERVAL_MS);
            turn.actions.push(ControlAction::ReadLogTail {
                stream: Stream::Members,
                records: TAIL_RECORDS,
            });
        }
    }

    fn renew_if_due(&mut self, turn: &mut ControlTurn<'_>) {
        let joining = self.due.join.is_some_and(|join| turn.now >= join);
        if joining {
            self.due.join = None;
        } else if self.local.is_some() && turn.now >= self.due.renew {
            self.due.renew = next_renewal(turn);
            if let Some(local) = &mut self.local {
                local.sequence += 1;
            }
            self.announce_local(turn);
        } else {
            return;
        }
        let Some(local) = self.local.clone() else {
            return;
        };
        turn.actions.push(ControlAction::Append {
            stream: Stream::Members,
            record: LogRecord::Member(local),
        });
    }

    fn expire(&mut self, now: TimeMs) {
        self.interests.expire(now);
        let me = self.vm.worker.address;
        let members = &mut self.members;
        let workers_changed = &mut self.workers_changed;
        self.refreshed_at.retain(|address, refreshed_at| {
            let gone = members
                .get(*address)
                .is_some_and(|known| known.state == ServerState::Gone);
            let ttl_ms = if gone {
                TOMBSTONE_TTL_MS
            } else {
                ANNOUNCEMENT_TTL_MS
            };
            let keep = *address == me || now.since_ms(*refreshed_at) < ttl_ms;
            if !keep {
                members.forget(*address);
                *workers_changed = true;
            }
            keep
        });
    }
}

fn send(turn: &mut ControlTurn<'_>, to: SocketAddr, message: MemberMessage) {
    turn.actions.push(ControlAction::Send {
        to,
        message: ControlMessage::Member(message),
    });
}

/// Whether `after` only renews `before`, without a change that affects calls.
fn is_renewal(before: &Announcement, after: &Announcement) -> bool {
    before.vm == after.vm
        && before.service == after.service
        && before.slots == after.slots
        && before.connections == after.connections
        && before.state == after.state
}

fn next_renewal(turn: &mut ControlTurn<'_>) -> TimeMs {
    let wait_ms = turn
        .rng
        .random_range(RENEW_INTERVAL_MS * 4 / 5..=RENEW_INTERVAL_MS * 6 / 5);
    turn.now.plus_ms(wait_ms)
}

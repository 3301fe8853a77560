//! Learns the sheet in force from the log and from other daemons, and passes it on.

use std::net::SocketAddr;
use std::sync::Arc;

use rand::RngExt;
use serde::{Deserialize, Serialize};

use super::checkpoint::CheckpointSchedule;
use super::fold::SheetFold;
use super::member_control::MemberControl;
use super::publish::{PublishControl, PublishRequest, PublishView};
use super::record::{AcceptedChange, LogBatch, SheetBase, Stream};
use super::spread::{SheetDigest, SheetMessage, ZoneDirectory, ZoneView};
use super::{ControlAction, ControlMessage, ControlTurn};
use crate::model::{AuthorName, Sheet, SheetVersion, TimeMs, Vm};

/// Longest time between two reads of the log by a reader of the zone, in milliseconds.
const READ_INTERVAL_MS: u64 = 600;
/// Time between two reads of the log while a publication waits for it, in milliseconds.
const PUBLISH_READ_INTERVAL_MS: u64 = 200;
/// Age of the sheet beyond which a daemon that is not a reader reads the log itself, in
/// milliseconds.
const FALLBACK_AGE_MS: u64 = 10_000;
/// Least time between two such reads, in milliseconds; a random time up to the same length is
/// added.
const FALLBACK_INTERVAL_MS: u64 = 30_000;
/// Longest time between two digests sent to a random daemon of the zone, in milliseconds.
const DIGEST_INTERVAL_MS: u64 = 1_000;
/// Longest time between two digests sent to a daemon of another zone, in milliseconds.
const OTHER_ZONE_DIGEST_INTERVAL_MS: u64 = 5_000;
/// Time between two updates of the zone views from the membership, in milliseconds.
const VIEW_INTERVAL_MS: u64 = 1_000;
/// Time as a gateway after which a daemon is taken to know all zones, in milliseconds.
const ZONES_KNOWN_MS: u64 = 4_000;
/// Least time between two lookups of a newer version that calls carried, in milliseconds.
const LOOKUP_INTERVAL_MS: u64 = 100;
/// Number of random zone peers asked in such a lookup.
const LOOKUP_PEERS: usize = 2;

/// The state of the sheet in force at one daemon, for status and metrics.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SheetStatus {
    /// Version and chain hash of the sheet.
    pub base: SheetBase,
    /// The operator who published it.
    pub author: AuthorName,
    /// Time of publication, in milliseconds since the Unix epoch.
    pub published_ms: u64,
    /// Whether no sheet is known, so that
    /// [`Contract::FALLBACK`](crate::model::Contract::FALLBACK) applies to every request.
    pub built_in: bool,
    /// Time since the sheet was last known to be the newest, in milliseconds; absent if it never
    /// was.
    pub age_ms: Option<u64>,
    /// Whether log records are missing, so that the fold waits for a checkpoint or a peer's state.
    pub gap: bool,
    /// Whether the last read of the log failed.
    pub log_failing: bool,
    /// Whether this daemon is one of its zone's readers of the log.
    pub reader: bool,
}

/// Reads of the sheet stream: their start offsets in flight, and when to read next.
#[derive(Debug, Default)]
struct LogReads {
    in_flight: Vec<u64>,
    read_again: bool,
    from_override: Option<u64>,
    failing: bool,
    next_at: TimeMs,
}

/// The sheet state of one daemon: the fold, the publications, and the exchange with others.
#[derive(Debug)]
pub struct SheetControl {
    vm: Vm,
    fold: SheetFold,
    publish: PublishControl,
    checkpoints: CheckpointSchedule,
    reads: LogReads,
    zone: ZoneView,
    zones: ZoneDirectory,
    other_zone_daemons: Vec<SocketAddr>,
    pushed_to: Vec<SocketAddr>,
    known_newest_at: Option<TimeMs>,
    gateway_since: Option<TimeMs>,
    next_view: TimeMs,
    next_digest: TimeMs,
    next_other_zone_digest: TimeMs,
    next_lookup: TimeMs,
}

impl SheetControl {
    /// Creates the state of the daemon on `vm`, with no sheet known.
    pub fn new(vm: Vm) -> SheetControl {
        SheetControl {
            publish: PublishControl::new(vm.clone()),
            zone: ZoneView::without_peers(&vm),
            zones: ZoneDirectory::default(),
            vm,
            fold: SheetFold::default(),
            checkpoints: CheckpointSchedule::default(),
            reads: LogReads::default(),
            other_zone_daemons: Vec::new(),
            pushed_to: Vec::new(),
            known_newest_at: None,
            gateway_since: None,
            next_view: TimeMs::default(),
            next_digest: TimeMs::default(),
            next_other_zone_digest: TimeMs::default(),
            next_lookup: TimeMs::default(),
        }
    }

    /// The sheet in force at this daemon.
    pub fn sheet(&self) -> &Arc<Sheet> {
        self.fold.sheet()
    }

    /// The fold of the sheet stream.
    pub fn fold(&self) -> &SheetFold {
        &self.fold
    }

    /// The state of the sheet at time `now`, for status and metrics.
    pub fn status(&self, now: TimeMs) -> SheetStatus {
        let sheet = self.fold.sheet();
        SheetStatus {
            base: self.fold.base(),
            author: sheet.author.clone(),
            published_ms: sheet.published_ms,
            built_in: sheet.version == SheetVersion(0),
            age_ms: self
                .known_newest_at
                .map(|known_newest_at| now.since_ms(known_newest_at)),
            gap: self.fold.has_gap(),
            log_failing: self.reads.failing,
            reader: self.zone.is_reader(),
        }
    }

    /// Handles the result of a read of the sheet stream.
    pub fn log_read(&mut self, turn: &mut ControlTurn<'_>, batch: LogBatch) {
        let Some(from) = self.reads.take_start_offset() else {
            return;
        };
        self.reads.failing = false;
        let records = batch.entries.iter();
        let new = records.filter(|entry| entry.offset >= self.fold.next_offset());
        self.checkpoints
            .observe(turn.now, new.map(|entry| &entry.record));
        let at_end = batch.next_offset <= self.fold.next_offset();
        let before = self.fold.base();
        self.fold.fold_batch(from, batch);
        if at_end && !self.fold.has_gap() {
            self.known_newest_at = Some(turn.now);
        }
        self.propagate_if_changed(turn, before);
        if !at_end || std::mem::take(&mut self.reads.read_again) {
            self.read(turn);
        }
    }

    /// Handles a failed read of the log; a later tick retries it.
    pub fn log_failed(&mut self, turn: &mut ControlTurn<'_>) {
        self.reads.take_start_offset();
        self.reads.read_again = false;
        self.reads.failing = true;
        self.advance_publications(turn);
    }

    /// Handles an append of this daemon. An offset below those already read means that the log was
    /// reset; a new history is then read from there.
    pub fn appended(&mut self, turn: &mut ControlTurn<'_>, offset: u64) {
        let below = offset < self.fold.next_offset();
        if below && self.publish.pending_new_history().is_some() {
            self.reads.from_override = Some(offset);
        }
        self.read(turn);
    }

    /// Reads the log to find out whether a failed append took effect.
    pub fn append_failed(&mut self, turn: &mut ControlTurn<'_>) {
        self.read(turn);
    }

    /// Starts a publication, and asks the readers for all zones if they are not known.
    pub fn publish(&mut self, turn: &mut ControlTurn<'_>, request: PublishRequest) {
        let view = PublishView {
            fold: &self.fold,
            zones: &self.zones,
        };
        self.publish.start(turn, &view, request);
        if !self.zones.is_complete() {
            for reader in self.zone.readers() {
                turn.send_sheet(*reader, SheetMessage::WantZones);
            }
        }
        if self.publish.waits_for_log() {
            self.read(turn);
        }
    }

    /// Handles a message from another daemon.
    pub fn message_received(
        &mut self,
        turn: &mut ControlTurn<'_>,
        from: SocketAddr,
        message: SheetMessage,
    ) {
        let before = self.fold.base();
        match message {
            SheetMessage::Digest(digest) => self.digest_received(turn, from, &digest),
            SheetMessage::Want(digest) => self.send_newer(turn, from, &digest),
            SheetMessage::Changes(changes) => {
                self.fold.merge_changes(&changes);
                self.propagate_if_changed(turn, before);
                self.request_if_behind(turn, from, &changes);
            }
            SheetMessage::State(state) => {
                self.fold.merge_state(&state);
                self.propagate_if_changed(turn, before);
            }
            SheetMessage::WantZones if self.zones.is_complete() => {
                turn.send_sheet(from, SheetMessage::Zones(self.zones.contacts()));
            }
            SheetMessage::WantZones => {}
            SheetMessage::Zones(contacts) => {
                self.zones.merge(contacts);
                self.advance_publications(turn);
            }
            SheetMessage::Probe(changes) => {
                self.fold.merge_changes(&changes);
                self.propagate_if_changed(turn, before);
                turn.send_sheet(from, SheetMessage::Digest(self.digest(turn.now)));
            }
        }
    }

    /// Handles a message to `to` that got no answer: digests go to the daemons that it would have
    /// forwarded the change to.
    pub fn message_unanswered(&mut self, turn: &mut ControlTurn<'_>, to: SocketAddr) {
        let Some(at) = self.pushed_to.iter().position(|peer| *peer == to) else {
            return;
        };
        self.pushed_to.swap_remove(at);
        let digest = self.digest(turn.now);
        for child in self.zone.children_of(to) {
            self.pushed_to.push(*child);
            turn.send_sheet(*child, SheetMessage::Digest(digest));
        }
    }

    /// Looks up a newer version that a call carried, on the log and in the zone at once.
    pub fn newer_version_seen(&mut self, turn: &mut ControlTurn<'_>, version: SheetVersion) {
        if version <= self.fold.sheet().version || turn.now < self.next_lookup {
            return;
        }
        self.next_lookup = turn.now.plus_ms(LOOKUP_INTERVAL_MS);
        self.read(turn);
        for _ in 0..LOOKUP_PEERS {
            self.request_newer_from_zone(turn);
        }
    }

    /// Runs the periodic tasks that are due and advances the publications.
    pub fn tick(&mut self, turn: &mut ControlTurn<'_>, members: &MemberControl) {
        if turn.now >= self.next_view {
            self.next_view = turn.now.plus_ms(VIEW_INTERVAL_MS);
            self.update_views(turn.now, members);
        }
        if turn.now >= self.reads.next_at {
            self.read_if_due(turn);
        }
        if turn.now >= self.next_digest {
            self.next_digest = turn.now.plus_ms(jittered(turn, DIGEST_INTERVAL_MS));
            self.send_digest_to_zone(turn);
        }
        if turn.now >= self.next_other_zone_digest {
            self.send_digest_to_other_zone(turn);
        }
        let complete = self.fold.base() != SheetBase::default() && !self.fold.has_gap();
        if self.zone.is_reader() && complete && self.checkpoints.is_due(turn) {
            self.checkpoint(turn);
        }
        self.advance_publications(turn);
    }

    fn update_views(&mut self, now: TimeMs, members: &MemberControl) {
        self.zone = ZoneView::new(members.members(), &self.vm);
        if !members.is_gateway() {
            self.gateway_since = None;
        }
        let since = members
            .is_gateway()
            .then(|| *self.gateway_since.get_or_insert(now));
        let knows_all_zones = since.is_some_and(|since| now.since_ms(since) >= ZONES_KNOWN_MS);
        self.zones.update(members.members(), knows_all_zones);
        let own = &self.vm.place.zone;
        let elsewhere = self.zones.zones().filter(|zone| *zone != own);
        self.other_zone_daemons = elsewhere
            .flat_map(|zone| self.zones.daemons(zone))
            .copied()
            .collect();
    }

    fn advance_publications(&mut self, turn: &mut ControlTurn<'_>) {
        let view = PublishView {
            fold: &self.fold,
            zones: &self.zones,
        };
        self.publish.advance(turn, &view);
    }

    /// Puts the sheet in force and pushes it to other daemons if it is newer than at `before`.
    fn propagate_if_changed(&mut self, turn: &mut ControlTurn<'_>, before: SheetBase) {
        self.checkpoint_new_history(turn);
        if self.fold.base() != before {
            let sheet = Arc::clone(self.fold.sheet());
            turn.actions.push(ControlAction::SheetLearned(sheet));
            let message = match self.fold.changes_since(&before) {
                Some(changes) => SheetMessage::Changes(changes),
                None => SheetMessage::Digest(self.digest(turn.now)),
            };
            self.pushed_to = self.zone.push_targets();
            for child in &self.pushed_to {
                turn.send_sheet(*child, message.clone());
            }
        }
        self.advance_publications(turn);
    }

    /// Writes a checkpoint as soon as a new history started here is accepted, for readers that lack
    /// the records before it.
    fn checkpoint_new_history(&mut self, turn: &mut ControlTurn<'_>) {
        let started = self.publish.pending_new_history();
        let Some(id) = started.map(|publication| publication.id.clone()) else {
            return;
        };
        if self.fold.accepted(&id).is_some() {
            self.fold.skip_records_before(&id);
            self.checkpoint(turn);
        }
    }

    fn checkpoint(&self, turn: &mut ControlTurn<'_>) {
        turn.actions.push(ControlAction::Append {
            stream: Stream::Sheets,
            record: CheckpointSchedule::record(self.fold.state()),
        });
    }

    fn digest(&self, now: TimeMs) -> SheetDigest {
        SheetDigest {
            base: self.fold.base(),
            published_ms: self.fold.sheet().published_ms,
            age_ms: self
                .known_newest_at
                .map(|known_newest_at| now.since_ms(known_newest_at)),
        }
    }

    fn digest_received(
        &mut self,
        turn: &mut ControlTurn<'_>,
        from: SocketAddr,
        digest: &SheetDigest,
    ) {
        if digest.rank() > self.fold.rank() {
            return turn.send_sheet(from, SheetMessage::Want(self.digest(turn.now)));
        }
        if digest.rank() < self.fold.rank() {
            self.send_newer(turn, from, digest);
        } else if let Some(age_ms) = digest.age_ms {
            let known_newest_at = TimeMs(turn.now.0.saturating_sub(age_ms));
            self.known_newest_at = self.known_newest_at.max(Some(known_newest_at));
        }
        let view = PublishView {
            fold: &self.fold,
            zones: &self.zones,
        };
        self.publish.digest_received(turn, &view, from, digest);
    }

    fn send_newer(&self, turn: &mut ControlTurn<'_>, to: SocketAddr, digest: &SheetDigest) {
        if digest.rank() >= self.fold.rank() {
            return;
        }
        let message = match self.fold.changes_since(&digest.base) {
            Some(changes) => SheetMessage::Changes(changes),
            None => SheetMessage::State(Box::new(self.fold.state())),
        };
        turn.send_sheet(to, message);
    }

    /// Requests the missing changes if the received ones build on a newer base than the state here
    /// and could not be applied.
    fn request_if_behind(
        &self,
        turn: &mut ControlTurn<'_>,
        from: SocketAddr,
        changes: &[AcceptedChange],
    ) {
        let last = changes.last().and_then(|change| change.publication.base);
        if last.is_some_and(|base| base.version >= self.fold.base().version) {
            turn.send_sheet(from, SheetMessage::Want(self.digest(turn.now)));
        }
    }

    fn send_digest_to_zone(&self, turn: &mut ControlTurn<'_>) {
        if let Some(peer) = self.random_peer(turn) {
            turn.send_sheet(peer, SheetMessage::Digest(self.digest(turn.now)));
        }
    }

    fn request_newer_from_zone(&self, turn: &mut ControlTurn<'_>) {
        if let Some(peer) = self.random_peer(turn) {
            turn.send_sheet(peer, SheetMessage::Want(self.digest(turn.now)));
        }
    }

    fn random_peer(&self, turn: &mut ControlTurn<'_>) -> Option<SocketAddr> {
        let count = self.zone.peer_count();
        let number = (count > 0).then(|| turn.sheet_rng.random_range(0..count))?;
        self.zone.peer(number)
    }

    /// On a reader, sends a digest to a daemon of another zone; more often while reads of the log
    /// fail or records are missing.
    fn send_digest_to_other_zone(&mut self, turn: &mut ControlTurn<'_>) {
        let complete = !self.reads.failing && !self.fold.has_gap();
        let interval_ms = if complete {
            OTHER_ZONE_DIGEST_INTERVAL_MS
        } else {
            DIGEST_INTERVAL_MS
        };
        self.next_other_zone_digest = turn.now.plus_ms(jittered(turn, interval_ms));
        if self.zone.is_reader() && !self.other_zone_daemons.is_empty() {
            let number = turn
                .sheet_rng
                .random_range(0..self.other_zone_daemons.len());
            let digest = self.digest(turn.now);
            turn.send_sheet(
                self.other_zone_daemons[number],
                SheetMessage::Digest(digest),
            );
        }
    }

    fn read_if_due(&mut self, turn: &mut ControlTurn<'_>) {
        if self.publish.waits_for_log() {
            self.read(turn);
            self.reads.next_at = turn.now.plus_ms(PUBLISH_READ_INTERVAL_MS);
            return;
        }
        if self.zone.is_reader() {
            self.read(turn);
            return;
        }
        let age_ms = self
            .known_newest_at
            .map(|known_newest_at| turn.now.since_ms(known_newest_at));
        if age_ms.is_none_or(|age_ms| age_ms > FALLBACK_AGE_MS) {
            self.read(turn);
            self.reads.next_at = turn.now.plus_ms(jittered(turn, 2 * FALLBACK_INTERVAL_MS));
        }
    }

    fn read(&mut self, turn: &mut ControlTurn<'_>) {
        let waiting_for_log = usize::from(self.publish.waits_for_log());
        if self.reads.in_flight.len() > waiting_for_log {
            self.reads.read_again = true;
            return;
        }
        let from_offset = self
            .reads
            .from_override
            .take()
            .unwrap_or(self.fold.next_offset());
        self.reads.next_at = turn.now.plus_ms(jittered(turn, READ_INTERVAL_MS));
        self.reads.in_flight.push(from_offset);
        turn.actions.push(ControlAction::ReadLog {
            stream: Stream::Sheets,
            from_offset,
        });
    }
}

impl LogReads {
    /// Ends a read in flight and returns the start offset to assume for its answer. An answer does
    /// not name its read, so of two in flight the higher offset is assumed: then no record counts
    /// as covered by an answer that starts after it.
    fn take_start_offset(&mut self) -> Option<u64> {
        let from = self.in_flight.iter().max().copied()?;
        let first = self
            .in_flight
            .iter()
            .enumerate()
            .min_by_key(|(_, from)| **from);
        if let Some((index, _)) = first {
            self.in_flight.swap_remove(index);
        }
        Some(from)
    }
}

impl ControlTurn<'_> {
    /// Queues a sheet message to another daemon.
    pub(super) fn send_sheet(&mut self, to: SocketAddr, message: SheetMessage) {
        self.actions.push(ControlAction::Send {
            to,
            message: ControlMessage::Sheet(message),
        });
    }
}

/// A random time between half of a span and the whole span, in milliseconds.
fn jittered(turn: &mut ControlTurn<'_>, span_ms: u64) -> u64 {
    turn.sheet_rng.random_range(span_ms / 2..=span_ms)
}

//! Chooses which daemons read the log service: a few in each availability zone. The others follow
//! a reader of their zone. Each daemon decides by what it believes about the zone; two daemons that
//! disagree cost some calls to the log service or a short delay.

use std::net::SocketAddr;

use super::directory::Directory;
use super::silent_peers::{SilentPeers, rendezvous_hash};
use crate::model::{Distance, Place, TimeMs};

/// Readers in each availability zone, whatever its size.
const MIN_ZONE_READERS: usize = 2;
/// Daemons of a zone for each reader beyond those, which bounds the followers of one reader.
const DAEMONS_PER_READER: usize = 128;
/// How long a daemon without an answer from a reader that reaches the log service waits before it
/// reads by itself, in milliseconds. Below the time within which a configuration must be in force.
const UNHEARD_MS: u64 = 1_200;
/// How long a daemon that answers but does not reach the log service is passed over, in
/// milliseconds.
const NO_LOG_MS: u64 = 1_000;
/// Interval at which some reader of the deployment starts a new read of a topic, in milliseconds:
/// a hanging read of one reader is noticed by what another has read.
const FRESH_READ_MS: u64 = 1_000;
/// Longest wait of one read for new records, in milliseconds.
const MAX_WAIT_MS: u64 = 10_000;
/// First and longest backoff after failed reads of the log service, in milliseconds: of the daemons
/// that are to read it, and of those that try because no reader reaches it. These hear from the
/// readers when the log service is back.
const APPOINTED_BACKOFF_MS: (u64, u64) = (100, 1_000);
const STAND_IN_BACKOFF_MS: (u64, u64) = (400, 2_500);
/// Every how many polls an appointed reader asks a daemon of another region.
const FAR_POLL_INTERVAL: u64 = 4;

/// Where a daemon gets configurations and member records from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadingPlan {
    /// Whether it reads the log service.
    pub reads_log: bool,
    /// The reader of its zone that it follows; a reader follows another one.
    pub follows: Option<SocketAddr>,
}

/// What this daemon believes about the readers of its availability zone.
#[derive(Debug, Default)]
pub struct Readers {
    silent: SilentPeers,
    /// When a reader that reaches the log service last answered.
    heard_at: Option<TimeMs>,
    peer_polls: u64,
}

impl Readers {
    /// Decides whether this daemon reads the log service, and whom it follows.
    pub fn plan(&self, now: TimeMs, directory: &Directory) -> ReadingPlan {
        let own = directory.own_address();
        let readers = self.zone_readers(now, directory);
        let others = readers.iter().copied().filter(|reader| *reader != own);
        // Spreads the followers over the readers.
        let follows = others.max_by_key(|reader| pair_hash(own, *reader));
        let is_heard = self
            .heard_at
            .is_some_and(|at| now.since_ms(at) < UNHEARD_MS);
        ReadingPlan {
            reads_log: readers.contains(&own) || !is_heard,
            follows,
        }
    }

    /// Records an answer of a reader; `reaches_log` tells whether it reads the log service now.
    pub fn answered(&mut self, now: TimeMs, reader: SocketAddr, reaches_log: bool) {
        if reaches_log {
            self.heard_at = Some(now);
            self.silent.answered(reader);
            return;
        }
        self.silent.pass_over(now, reader, NO_LOG_MS, 0);
    }

    /// Time since a reader that reaches the log service last answered, in milliseconds; `None` for
    /// never.
    pub fn heard_ms(&self, now: TimeMs) -> Option<u64> {
        self.heard_at.map(|at| now.since_ms(at))
    }

    /// Records that a reader has not answered.
    pub fn failed(&mut self, now: TimeMs, reader: SocketAddr) {
        self.silent.failed(now, reader);
    }

    /// How long a read of the log service waits for new records, in milliseconds. The readers of the
    /// whole deployment together start one read each [`FRESH_READ_MS`]; a daemon on its own does so
    /// at half of it, since nobody else would notice that its read hangs.
    pub fn wait_ms(directory: &Directory) -> u64 {
        let readers = reader_count(directory);
        if readers <= 1 {
            return FRESH_READ_MS / 2;
        }
        (readers * FRESH_READ_MS).min(MAX_WAIT_MS)
    }

    /// How long the first read after new records waits for the next ones, in milliseconds. New
    /// records end the reads of all readers at once, so each waits up to its own turn in
    /// [`Readers::wait_ms`]; otherwise no read would start before all of these end together.
    pub fn first_wait_ms(directory: &Directory) -> u64 {
        let readers = reader_count(directory);
        if readers <= 1 {
            return Readers::wait_ms(directory);
        }
        let own_place = directory.place();
        let zones_before = directory
            .active_zones()
            .take_while(|(place, _)| *place < own_place);
        let before: u64 = zones_before
            .map(|(_, daemons)| zone_readers_of(daemons.len()))
            .sum();
        let in_zone = directory.active_in_own_zone().count();
        let rank = own_rank(directory) as u64 % zone_readers_of(in_zone).max(1);
        let turn = (before + rank) % readers;
        (turn + 1) * Readers::wait_ms(directory) / readers
    }

    /// The daemon of another zone whose configuration version this daemon watches if it reads the log
    /// service: a reader of the next zone, and for every second reader of one halfway around. A
    /// version that any reader has read thus reaches the readers of all zones, also of those whose
    /// reads hang.
    pub fn watches(&self, now: TimeMs, directory: &Directory) -> Option<SocketAddr> {
        let zones: Vec<_> = directory.active_zones().collect();
        let own = zones
            .iter()
            .position(|(place, _)| *place == directory.place())?;
        let rank = own_rank(directory);
        let first = 1 + (rank % 2) * (zones.len() / 2).saturating_sub(1);
        // All other zones, that one first.
        let others = (0..zones.len() - 1).map(|step| (first - 1 + step) % (zones.len() - 1) + 1);
        let mut candidates = others.filter_map(|distance| {
            let (place, daemons) = zones[(own + distance) % zones.len()];
            let ranked = self.ranked(now, place, daemons.iter().copied());
            ranked.first().copied()
        });
        candidates.find(|daemon| !self.silent.is_passed_over(now, *daemon))
    }

    /// Records that a daemon of another zone has answered.
    pub fn reached(&mut self, daemon: SocketAddr) {
        self.silent.answered(daemon);
    }

    /// Whether this daemon is to read the log service, whatever it believes about the others.
    pub fn is_appointed(directory: &Directory) -> bool {
        let daemons = directory.active_in_own_zone().count();
        own_rank(directory) < zone_reader_count(daemons)
    }

    /// Longest time until the next read after `failures` failed ones, in milliseconds.
    pub fn backoff_ms(directory: &Directory, failures: u32) -> u64 {
        let (first_ms, longest_ms) = if Readers::is_appointed(directory) {
            APPOINTED_BACKOFF_MS
        } else {
            STAND_IN_BACKOFF_MS
        };
        (first_ms << failures.min(8)).min(longest_ms)
    }

    /// Chooses whom to ask for changes that do not come from the log service: readers of this region
    /// in turn. Daemons appointed as readers ask now and then one of another region, since the reads
    /// of a whole region may hang; few answers cross regions that way.
    pub fn next_peer(&mut self, now: TimeMs, directory: &Directory) -> Option<SocketAddr> {
        self.peer_polls += 1;
        let is_far_turn =
            self.peer_polls.is_multiple_of(FAR_POLL_INTERVAL) && Readers::is_appointed(directory);
        let (far, near): (Vec<_>, Vec<_>) = self
            .spread_targets(now, directory)
            .into_iter()
            .partition(|(distance, _)| *distance == Distance::OtherRegion);
        let (from, turn) = if (is_far_turn || near.is_empty()) && !far.is_empty() {
            (far, self.peer_polls / FAR_POLL_INTERVAL)
        } else {
            (near, self.peer_polls)
        };
        let index = turn as usize % from.len().max(1);
        from.get(index).map(|(_, peer)| *peer)
    }

    /// Daemons that a changed record is sent to while the log service is unavailable: the readers of
    /// this region's zones, and one reader of each zone elsewhere.
    pub fn spread_targets(
        &self,
        now: TimeMs,
        directory: &Directory,
    ) -> Vec<(Distance, SocketAddr)> {
        let own = directory.own_address();
        let mut targets = Vec::new();
        for (place, daemons) in directory.active_zones() {
            let distance = Distance::between(directory.place(), place);
            let most = match distance {
                Distance::OtherRegion => 1,
                Distance::SameZone | Distance::SameRegion => MIN_ZONE_READERS,
            };
            let others = daemons.iter().copied().filter(|daemon| *daemon != own);
            let ranked = self.ranked(now, place, others);
            let chosen = ranked.into_iter().take(most);
            targets.extend(chosen.map(|daemon| (distance, daemon)));
        }
        targets
    }

    fn zone_readers(&self, now: TimeMs, directory: &Directory) -> Vec<SocketAddr> {
        let own = directory.own_address();
        let daemons: Vec<_> = directory.active_in_own_zone().collect();
        let count = zone_reader_count(daemons.len());
        let usable = daemons
            .into_iter()
            .filter(|daemon| *daemon == own || !self.silent.is_passed_over(now, *daemon));
        let mut ranked: Vec<_> = usable.collect();
        ranked
            .sort_by_cached_key(|daemon| std::cmp::Reverse(zone_hash(directory.place(), *daemon)));
        ranked.truncate(count);
        ranked
    }

    /// Daemons of a zone, the most likely readers first, those passed over last.
    fn ranked(
        &self,
        now: TimeMs,
        place: &Place,
        daemons: impl Iterator<Item = SocketAddr>,
    ) -> Vec<SocketAddr> {
        let mut ranked: Vec<_> = daemons.collect();
        ranked.sort_by_cached_key(|daemon| {
            let is_passed_over = self.silent.is_passed_over(now, *daemon);
            (is_passed_over, std::cmp::Reverse(zone_hash(place, *daemon)))
        });
        ranked
    }
}

fn zone_reader_count(daemons: usize) -> usize {
    MIN_ZONE_READERS + daemons / DAEMONS_PER_READER
}

/// Readers of a zone with this many daemons.
fn zone_readers_of(daemons: usize) -> u64 {
    zone_reader_count(daemons).min(daemons) as u64
}

/// Readers of the whole deployment.
fn reader_count(directory: &Directory) -> u64 {
    let zones = directory.active_zones();
    zones
        .map(|(_, daemons)| zone_readers_of(daemons.len()))
        .sum()
}

/// Number of daemons of this daemon's zone that rank before it.
fn own_rank(directory: &Directory) -> usize {
    let place = directory.place();
    let own_hash = zone_hash(place, directory.own_address());
    let daemons = directory.active_in_own_zone();
    daemons
        .filter(|daemon| zone_hash(place, *daemon) > own_hash)
        .count()
}

/// Rendezvous hash of a daemon in its zone.
fn zone_hash(place: &Place, daemon: SocketAddr) -> u64 {
    rendezvous_hash(place.zone.as_str(), daemon)
}

fn pair_hash(follower: SocketAddr, reader: SocketAddr) -> u64 {
    rendezvous_hash(&follower.to_string(), reader)
}

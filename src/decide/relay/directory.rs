//! Membership directory: the daemons of the deployment, each with its backend server.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::ops::Bound;

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::crash_evidence::{CrashEvidence, Suspicion};
use super::crash_review::{HeldBack, SuspectReview, trial_order};
use super::crash_witness::{CrashCounts, CrashSuspect, Standing, is_held_back, standing};
use super::request_digest::RequestDigest;
use crate::model::{Distance, Place, ServiceName, TimeMs};

/// Whether a member accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum MemberState {
    /// Accepts requests.
    Ready,
    /// Finishes requests in flight and accepts no new ones.
    Draining,
    /// The daemon is stopping; its backend server may keep running.
    Stopped,
    /// The backend server has deregistered.
    Gone,
}

/// One daemon and its backend server, as published to other daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Address of the daemon's hop listener; identifies the member.
    pub address: SocketAddr,
    /// Version of this member's record; a higher revision replaces a lower one.
    pub revision: u64,
    /// Region and availability zone of the VM.
    pub place: Place,
    /// Service that the backend server provides.
    pub service: ServiceName,
    /// Identifier that the backend server chose for its current process.
    pub instance: String,
    /// Start of that process, in milliseconds since the Unix epoch.
    pub born_unix_ms: u64,
    /// Number of requests that the backend server processes concurrently.
    pub slots: u32,
    /// Whether it accepts requests.
    pub state: MemberState,
    /// Requests that were running when its backend server ended without notice.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<CrashSuspect>,
    /// What the daemon has found out about suspected requests.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub reviews: Vec<SuspectReview>,
}

impl Member {
    /// Whether the daemon is neither stopped nor gone.
    pub fn is_active(&self) -> bool {
        !matches!(self.state, MemberState::Gone | MemberState::Stopped)
    }
}

/// A member with local information that is not published.
#[derive(Debug, Clone)]
pub struct MemberEntry {
    /// Record with the highest revision received.
    pub member: Member,
    /// Distance from this daemon.
    pub distance: Distance,
    /// Time when the record was received.
    pub received_at: TimeMs,
    /// Number of the change that brought this record; see [`Directory::changes_since`].
    pub change: u64,
}

/// All members known to this daemon, indexed by service, by availability zone and by change. Each
/// change costs time logarithmic in the number of members.
#[derive(Debug)]
pub struct Directory {
    own_address: SocketAddr,
    place: Place,
    members: HashMap<SocketAddr, MemberEntry>,
    ready: HashMap<ServiceName, BTreeSet<SocketAddr>>,
    active: BTreeMap<Place, BTreeSet<SocketAddr>>,
    active_count: usize,
    evidence: CrashEvidence,
    changes: BTreeMap<u64, SocketAddr>,
    last_change: u64,
    digest: u64,
}

impl Directory {
    /// Creates an empty directory for the daemon at `own_address` in `place`.
    pub fn new(own_address: SocketAddr, place: Place) -> Directory {
        Directory {
            own_address,
            place,
            members: HashMap::new(),
            ready: HashMap::new(),
            active: BTreeMap::new(),
            active_count: 0,
            evidence: CrashEvidence::default(),
            changes: BTreeMap::new(),
            last_change: 0,
            digest: 0,
        }
    }

    /// Stores a record; returns false if it is not newer than the stored one.
    pub fn merge(&mut self, now: TimeMs, member: Member) -> bool {
        let known = self.members.get(&member.address);
        if known.is_some_and(|known| known.member.revision >= member.revision) {
            return false;
        }
        self.take_out(member.address);
        self.last_change += 1;
        let entry = MemberEntry {
            distance: Distance::between(&self.place, &member.place),
            received_at: now,
            change: self.last_change,
            member,
        };
        self.put_in(entry);
        true
    }

    /// Removes a member; returns false if it is not known.
    pub fn remove(&mut self, address: SocketAddr) -> bool {
        self.take_out(address).is_some()
    }

    /// Members of a service that accept requests, ordered by address.
    pub fn ready<'a>(&'a self, service: &ServiceName) -> impl Iterator<Item = &'a MemberEntry> {
        let addresses = self.ready.get(service).into_iter().flatten();
        addresses.filter_map(|address| self.members.get(address))
    }

    /// Number of members of a service that accept requests.
    pub fn ready_count(&self, service: &ServiceName) -> usize {
        self.ready.get(service).map_or(0, BTreeSet::len)
    }

    /// Looks up a member by its hop address.
    pub fn get(&self, address: SocketAddr) -> Option<&MemberEntry> {
        self.members.get(&address)
    }

    /// All members, whatever their state, in no particular order.
    pub fn all(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values()
    }

    /// Number of daemons that are neither stopped nor gone, this one included if it is known.
    pub fn active_count(&self) -> usize {
        self.active_count
    }

    /// Availability zones with daemons that are neither stopped nor gone, and their hop addresses,
    /// ordered by region, zone and address. This daemon is included.
    pub fn active_zones(&self) -> impl Iterator<Item = (&Place, &BTreeSet<SocketAddr>)> {
        self.active.iter()
    }

    /// Hop addresses of the active daemons in this daemon's availability zone, itself included.
    pub fn active_in_own_zone(&self) -> impl Iterator<Item = SocketAddr> {
        self.active.get(&self.place).into_iter().flatten().copied()
    }

    /// Region and availability zone of this daemon.
    pub fn place(&self) -> &Place {
        &self.place
    }

    /// Hop address of this daemon.
    pub fn own_address(&self) -> SocketAddr {
        self.own_address
    }

    /// What all members state of suspected requests.
    pub fn evidence(&self) -> &CrashEvidence {
        &self.evidence
    }

    /// Crashes of backend servers while this request ran, over all members, less those that a good end
    /// has cleared.
    pub fn crashes(&self, digest: RequestDigest) -> CrashCounts {
        self.evidence.crashes(digest)
    }

    /// Whether a request that has not ended well lately is held back.
    pub fn is_held_back(&self, digest: RequestDigest) -> bool {
        is_held_back(self.crashes(digest), false)
    }

    /// What a request that has not ended well lately may do.
    pub fn standing(&self, digest: RequestDigest) -> Standing {
        standing(self.crashes(digest), false)
    }

    /// What is known of a suspected request.
    pub fn suspicion(&self, digest: RequestDigest) -> Suspicion {
        self.evidence.suspicion(digest)
    }

    /// Number of requests with so many crashes that they are held back where none has ended well.
    pub fn held_back_count(&self) -> usize {
        self.evidence.held_back().count()
    }

    /// Requests to `service` that are held back, as this daemon sees them in this turn; none while its own
    /// backend server is not ready.
    pub fn held_back_at(&self, service: &ServiceName, turn: u64) -> Vec<HeldBack> {
        let Some(ready) = self.ready.get(service) else {
            return Vec::new();
        };
        if !ready.contains(&self.own_address) {
            return Vec::new();
        }
        let is_of_service = |digest: &RequestDigest| {
            let mut witnesses = self.evidence.witnesses(*digest);
            witnesses.any(|address| {
                let witness = self.members.get(&address);
                witness.is_some_and(|witness| witness.member.service == *service)
            })
        };
        let held_back = self.evidence.held_back().filter(is_of_service);
        held_back
            .map(|digest| HeldBack {
                digest,
                suspicion: self.suspicion(digest),
                is_own_turn: self.trier(ready, digest, turn) == Some(self.own_address),
            })
            .collect()
    }

    /// The daemon whose turn it is to try a request. One whose backend server has crashed during it may be
    /// gone for good, and has a turn only if there is no other.
    fn trier(
        &self,
        ready: &BTreeSet<SocketAddr>,
        digest: RequestDigest,
        turn: u64,
    ) -> Option<SocketAddr> {
        let witnesses: BTreeSet<SocketAddr> = self.evidence.witnesses(digest).collect();
        let order = |address: &&SocketAddr| trial_order(digest, turn, **address);
        let others = ready.difference(&witnesses);
        others
            .min_by_key(order)
            .or(ready.iter().min_by_key(order))
            .copied()
    }

    /// The member of `service` that has reserved the newest trial of a request, with its time in
    /// milliseconds since the Unix epoch.
    pub fn trial_at(
        &self,
        service: &ServiceName,
        digest: RequestDigest,
    ) -> Option<(SocketAddr, u64)> {
        let trials = self.evidence.trials(digest);
        let at_ready = trials.filter(|(address, _)| {
            let ready = self.ready.get(service);
            ready.is_some_and(|addresses| addresses.contains(address))
        });
        at_ready.max_by_key(|(_, at_unix_ms)| *at_unix_ms)
    }

    /// Forgets crashes and trials until this time of day.
    pub fn forget_crashes_until(&mut self, unix_ms: u64) {
        self.evidence.forget_until(unix_ms);
    }

    /// Number of the newest change; increases with each record that was merged.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Records merged after the change with this number, oldest change first.
    pub fn changes_since(&self, change: u64) -> impl Iterator<Item = &Member> {
        let later = self
            .changes
            .range((Bound::Excluded(change), Bound::Unbounded));
        later.filter_map(|(_, address)| Some(&self.members.get(address)?.member))
    }

    /// Digest of all addresses and revisions; equal for directories with the same records.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    fn put_in(&mut self, entry: MemberEntry) {
        let member = &entry.member;
        let address = member.address;
        if member.state == MemberState::Ready {
            let addresses = self.ready.entry(member.service.clone()).or_default();
            addresses.insert(address);
        }
        if member.is_active() {
            let addresses = self.active.entry(member.place.clone()).or_default();
            self.active_count += usize::from(addresses.insert(address));
        }
        self.evidence.put_in(member);
        self.digest ^= record_hash(member);
        self.changes.insert(entry.change, address);
        self.members.insert(address, entry);
    }

    fn take_out(&mut self, address: SocketAddr) -> Option<MemberEntry> {
        let entry = self.members.remove(&address)?;
        self.changes.remove(&entry.change);
        let member = &entry.member;
        self.digest ^= record_hash(member);
        self.evidence.take_out(member);
        if let Some(addresses) = self.ready.get_mut(&member.service) {
            addresses.remove(&address);
        }
        if let Some(addresses) = self.active.get_mut(&member.place) {
            self.active_count -= usize::from(addresses.remove(&address));
            if addresses.is_empty() {
                self.active.remove(&member.place);
            }
        }
        Some(entry)
    }
}

fn record_hash(member: &Member) -> u64 {
    xxh3_64_with_seed(member.address.to_string().as_bytes(), member.revision)
}

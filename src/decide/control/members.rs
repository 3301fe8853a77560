//! The known workers: the newest announcement of each address, with digests for anti-entropy.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

use crate::model::{Announcement, ServerState, ServiceName, ZoneName};

/// Number of buckets into which the announcements of a zone are split for comparison.
pub const BUCKETS: usize = 64;

/// One digest for each bucket of a zone; equal digests mean equal announcements.
pub type BucketDigests = [u64; BUCKETS];

/// The newest announcement of each worker, keyed by the address at which its daemon takes calls.
#[derive(Debug, Default)]
pub struct Members {
    by_address: BTreeMap<SocketAddr, Arc<Announcement>>,
    by_control: HashMap<SocketAddr, SocketAddr>,
    by_service: HashMap<ServiceName, BTreeSet<SocketAddr>>,
    zones: BTreeMap<ZoneName, ZoneTable>,
}

/// The announcements of one zone.
#[derive(Debug)]
struct ZoneTable {
    addresses: BTreeSet<SocketAddr>,
    digests: BucketDigests,
}

impl Default for ZoneTable {
    fn default() -> Self {
        ZoneTable {
            addresses: BTreeSet::new(),
            digests: [0; BUCKETS],
        }
    }
}

impl Members {
    /// Stores an announcement; false if a newer or the same one is known.
    ///
    /// Of two announcements of one version, the one that declares the worker gone wins.
    pub fn merge(&mut self, announcement: &Arc<Announcement>) -> bool {
        let address = announcement.vm.worker.address;
        if let Some(known) = self.by_address.get(&address) {
            if rank(known) >= rank(announcement) {
                return false;
            }
            let known = Arc::clone(known);
            self.unindex(&known);
        }
        self.index(announcement);
        self.by_address.insert(address, Arc::clone(announcement));
        true
    }

    /// Removes the announcement of a worker address.
    pub fn forget(&mut self, address: SocketAddr) {
        if let Some(known) = self.by_address.remove(&address) {
            self.unindex(&known);
        }
    }

    /// The announcement of a worker address, gone workers included.
    pub fn get(&self, address: SocketAddr) -> Option<&Arc<Announcement>> {
        self.by_address.get(&address)
    }

    /// The announcement of the daemon with a control address.
    pub fn get_by_control(&self, control_address: SocketAddr) -> Option<&Arc<Announcement>> {
        self.get(*self.by_control.get(&control_address)?)
    }

    /// Number of announcements, gone workers included.
    pub fn len(&self) -> usize {
        self.by_address.len()
    }

    /// Whether no announcement is known.
    pub fn is_empty(&self) -> bool {
        self.by_address.is_empty()
    }

    /// All announcements, ordered by worker address.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Announcement>> {
        self.by_address.values()
    }

    /// Announcements of workers in a zone that are not gone.
    pub fn alive_in_zone(&self, zone: &ZoneName) -> impl Iterator<Item = &Arc<Announcement>> {
        self.in_zone(zone)
            .filter(|known| known.state != ServerState::Gone)
    }

    /// Announcements of a service in all zones but one.
    pub fn of_service_outside<'a>(
        &'a self,
        service: &ServiceName,
        zone: &'a ZoneName,
    ) -> impl Iterator<Item = &'a Arc<Announcement>> {
        let addresses = self.by_service.get(service).into_iter().flatten();
        addresses
            .filter_map(|address| self.by_address.get(address))
            .filter(move |known| known.vm.place.zone != *zone)
    }

    /// Digest over [`Members::of_service_outside`]; does not depend on the order.
    pub fn service_digest(&self, service: &ServiceName, zone: &ZoneName) -> u64 {
        self.of_service_outside(service, zone)
            .fold(0, |digest, known| digest ^ entry_digest(known))
    }

    /// The zones that have or had an announcement.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneName> {
        self.zones.keys()
    }

    /// Digests of a zone, one for each bucket; zeros if the zone is unknown.
    pub fn zone_buckets(&self, zone: &ZoneName) -> BucketDigests {
        let table = self.zones.get(zone);
        table.map_or([0; BUCKETS], |table| table.digests)
    }

    /// A single digest over all buckets of a zone.
    pub fn zone_digest(&self, zone: &ZoneName) -> u64 {
        digest_of(&self.zone_buckets(zone))
    }

    /// Announcements of a zone in the buckets flagged in `differs`.
    pub fn in_buckets(&self, zone: &ZoneName, differs: &[bool; BUCKETS]) -> Vec<Arc<Announcement>> {
        self.in_zone(zone)
            .filter(|known| differs[bucket(known.vm.worker.address)])
            .cloned()
            .collect()
    }

    fn index(&mut self, announcement: &Announcement) {
        let address = announcement.vm.worker.address;
        self.toggle_digest(announcement);
        let zone = self.zones.entry(announcement.vm.place.zone.clone());
        zone.or_default().addresses.insert(address);
        self.by_control
            .insert(announcement.vm.control_address, address);
        let addresses = self.by_service.entry(announcement.service.clone());
        addresses.or_default().insert(address);
    }

    fn unindex(&mut self, announcement: &Announcement) {
        let address = announcement.vm.worker.address;
        self.toggle_digest(announcement);
        if let Some(zone) = self.zones.get_mut(&announcement.vm.place.zone) {
            zone.addresses.remove(&address);
        }
        self.by_control.remove(&announcement.vm.control_address);
        if let Some(addresses) = self.by_service.get_mut(&announcement.service) {
            addresses.remove(&address);
        }
    }

    /// Adds an announcement to its bucket's digest, or removes it: the digest is an XOR.
    fn toggle_digest(&mut self, announcement: &Announcement) {
        let zone = announcement.vm.place.zone.clone();
        let table = self.zones.entry(zone).or_default();
        table.digests[bucket(announcement.vm.worker.address)] ^= entry_digest(announcement);
    }

    fn in_zone(&self, zone: &ZoneName) -> impl Iterator<Item = &Arc<Announcement>> {
        let addresses = self.zones.get(zone).into_iter();
        addresses
            .flat_map(|table| &table.addresses)
            .filter_map(|address| self.by_address.get(address))
    }
}

/// Sort key of announcements with one address: the version, and whether the worker is gone.
pub type Rank = ((u64, u64, u64), bool);

/// Combines the digests of all buckets into one.
pub fn digest_of(digests: &[u64]) -> u64 {
    let mut hasher = Xxh3::new();
    for digest in digests {
        hasher.update(&digest.to_le_bytes());
    }
    hasher.digest()
}

/// The rank of an announcement; of two with one address, the higher one replaces the other.
pub fn rank(announcement: &Announcement) -> Rank {
    let gone = announcement.state == ServerState::Gone;
    (announcement.version(), gone)
}

fn entry_digest(announcement: &Announcement) -> u64 {
    let (version, gone) = rank(announcement);
    let mut hasher = Xxh3::new();
    hasher.update(&address_hash(announcement.vm.worker.address).to_le_bytes());
    hasher.update(&version.0.to_le_bytes());
    hasher.update(&version.1.to_le_bytes());
    hasher.update(&version.2.to_le_bytes());
    hasher.update(&[u8::from(gone)]);
    hasher.digest()
}

fn bucket(address: SocketAddr) -> usize {
    address_hash(address) as usize % BUCKETS
}

/// Hash of an address; it must be the same in every process, since daemons compare by it.
pub fn address_hash(address: SocketAddr) -> u64 {
    let seed = u64::from(address.port());
    match address {
        SocketAddr::V4(v4) => xxh3_64_with_seed(&v4.ip().octets(), seed),
        SocketAddr::V6(v6) => xxh3_64_with_seed(&v6.ip().octets(), seed),
    }
}

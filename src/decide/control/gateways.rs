//! Selects the gateways of a zone, the daemons that keep the workers of all zones, by rendezvous
//! hashing.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::members::{Members, address_hash};
use crate::model::{ServerState, ZoneName};

/// Number of gateways per zone.
pub const GATEWAYS_PER_ZONE: usize = 3;

/// Control addresses of a zone's gateways, selected among the members known here.
///
/// Daemons with different views may select different gateways; this costs an extra message and is
/// otherwise harmless.
pub fn gateways(members: &Members, zone: &ZoneName) -> Vec<SocketAddr> {
    let seed = zone_seed(zone);
    let mut ranked: Vec<(u64, SocketAddr)> = members
        .alive_in_zone(zone)
        .filter(|known| known.state == ServerState::Serving)
        .map(|known| {
            (
                rendezvous_hash(seed, known.vm.worker.address),
                known.vm.control_address,
            )
        })
        .collect();
    ranked.sort_unstable();
    ranked.truncate(GATEWAYS_PER_ZONE);
    ranked.into_iter().map(|(_, address)| address).collect()
}

/// Hash seed for ranking the daemons of a zone.
pub fn zone_seed(zone: &ZoneName) -> u64 {
    xxh3_64_with_seed(zone.as_str().as_bytes(), 0)
}

/// Rendezvous hash of a daemon in its zone; the serving daemons with the lowest are its gateways.
pub fn rendezvous_hash(zone_seed: u64, worker_address: SocketAddr) -> u64 {
    xxh3_64_with_seed(&address_hash(worker_address).to_le_bytes(), zone_seed)
}

//! The workers known, by the newest announcement of each address.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::model::Announcement;

/// Newest announcement by address.
#[derive(Debug, Default)]
pub struct Members {
    by_address: BTreeMap<SocketAddr, Announcement>,
}

impl Members {
    /// Takes in an announcement; false if a newer or the same one is known.
    pub fn merge(&mut self, announcement: &Announcement) -> bool {
        let address = announcement.vm.worker.address;
        let known = self.by_address.get(&address);
        if known.is_some_and(|known| known.version() >= announcement.version()) {
            return false;
        }
        self.by_address.insert(address, announcement.clone());
        true
    }

    /// All announcements, by address.
    pub fn snapshot(&self) -> Vec<Announcement> {
        self.by_address.values().cloned().collect()
    }
}

//! What backend servers beside other daemons have stated in answers that this daemon has passed on.
//!
//! The daemon beside a backend server forgets this with a restart, while those that have passed on
//! the answers remain bound by them.

use std::collections::HashMap;
use std::net::SocketAddr;

use super::directory::Member;
use super::stated_rate::{RateStatements, RelayedRate};
use crate::model::TimeMs;

/// Newest statements by hop address, for one process of the backend server there.
#[derive(Debug, Default)]
pub struct PeerStatements {
    by_address: HashMap<SocketAddr, ProcessStatements>,
}

#[derive(Debug, Default)]
struct ProcessStatements {
    instance: String,
    born_unix_ms: u64,
    rate: RateStatements,
    is_leaving: bool,
}

impl PeerStatements {
    /// Records a rate limit that the daemon at `address` has passed on.
    pub fn record_rate(&mut self, now: TimeMs, address: SocketAddr, relayed: &RelayedRate) {
        if let Some(process) = self.process(address, &relayed.instance, relayed.born_unix_ms) {
            process.rate.record_relayed(now, relayed);
        }
    }

    /// Records that the backend server has stated that it is leaving; this is final for the process.
    pub fn record_leaving(&mut self, address: SocketAddr, instance: &str, born_unix_ms: u64) {
        if let Some(process) = self.process(address, instance, born_unix_ms) {
            process.is_leaving = true;
        }
    }

    /// Whether the member's backend process has stated that it is leaving.
    pub fn is_leaving(&self, member: &Member) -> bool {
        self.known(member).is_some_and(|process| process.is_leaving)
    }

    /// The newest rate limit of the member's backend process, for the daemon beside it.
    pub fn relayed_rate(&self, now: TimeMs, member: &Member) -> Option<RelayedRate> {
        let rate = self.known(member)?.rate;
        rate.relayed(now, &member.instance, member.born_unix_ms)
    }

    /// Forgets the backend server beside the daemon at `address`.
    pub fn forget(&mut self, address: SocketAddr) {
        self.by_address.remove(&address);
    }

    fn known(&self, member: &Member) -> Option<&ProcessStatements> {
        let known = self.by_address.get(&member.address)?;
        let is_same =
            known.instance == member.instance && known.born_unix_ms == member.born_unix_ms;
        is_same.then_some(known)
    }

    /// The entry of this process, which replaces an older one; `None` if a younger one is known.
    fn process(
        &mut self,
        address: SocketAddr,
        instance: &str,
        born_unix_ms: u64,
    ) -> Option<&mut ProcessStatements> {
        let known = self.by_address.entry(address).or_default();
        if known.instance != instance || known.born_unix_ms != born_unix_ms {
            if born_unix_ms < known.born_unix_ms {
                return None;
            }
            *known = ProcessStatements {
                instance: instance.to_owned(),
                born_unix_ms,
                ..ProcessStatements::default()
            };
        }
        Some(known)
    }
}

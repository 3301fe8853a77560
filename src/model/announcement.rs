//! Announcements, by which a daemon tells other daemons about itself and its backend server.

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use super::names::ServiceName;
use super::vm::Vm;

/// Lifecycle state of a backend server.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ServerState {
    /// Accepts new requests.
    Serving,
    /// Finishes its requests in flight and accepts no new ones.
    Leaving,
    /// The daemon has stopped, or other daemons have agreed that it is lost.
    Gone,
}

/// A versioned announcement of one backend server by the daemon on its VM.
///
/// Of two announcements with the same address, the one with the larger
/// `(started_ms, incarnation, sequence)` is newer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The VM of the backend server, with its daemon.
    pub vm: Vm,
    /// The service that the backend server belongs to.
    pub service: ServiceName,
    /// Number of requests that the backend server can process concurrently.
    pub slots: u32,
    /// Maximum number of connections that the backend server accepts.
    pub connections: u32,
    /// Lifecycle state of the backend server.
    pub state: ServerState,
    /// Start time of the daemon by the wall clock, in milliseconds since the Unix epoch.
    /// It orders the incarnations of one address.
    pub started_ms: u64,
    /// Sequence number of the announcement within this incarnation.
    pub sequence: u64,
}

impl Announcement {
    /// The sort key of announcements with the same address.
    pub fn version(&self) -> (u64, u64, u64) {
        (self.started_ms, self.vm.worker.incarnation.0, self.sequence)
    }
}

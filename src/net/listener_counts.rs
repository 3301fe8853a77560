//! Counts of open connections, unanswered requests and refusals by listener.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use strum::{EnumCount, EnumIter, IntoStaticStr};

/// Limit of a listener that a client can violate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
#[repr(usize)]
pub enum Bound {
    /// More connections than allowed.
    Connections,
    /// Head too large or malformed.
    Header,
    /// Head not received in time.
    HeaderTimeout,
    /// Body too large.
    Body,
    /// Body not received in time.
    BodyTimeout,
    /// Request incomplete, or client disconnected before its response.
    Gone,
}

/// Counts of one listener.
#[derive(Debug, Default)]
pub struct ListenerCounts {
    refused: [AtomicU64; Bound::COUNT],
    open: AtomicU64,
    answering: AtomicU64,
}

impl ListenerCounts {
    /// Number of refusals for `bound` since the start.
    pub fn refused(&self, bound: Bound) -> u64 {
        self.refused[bound as usize].load(Ordering::Relaxed)
    }

    /// Number of open connections.
    pub fn open(&self) -> u64 {
        self.open.load(Ordering::Relaxed)
    }

    /// Requests received that have no response yet.
    pub fn answering(&self) -> u64 {
        self.answering.load(Ordering::Relaxed)
    }

    pub(super) fn add_refusal(&self, bound: Bound) {
        self.refused[bound as usize].fetch_add(1, Ordering::Relaxed);
    }
}

/// Counts of all HTTP listeners of a daemon.
#[derive(Debug, Default)]
pub struct DaemonListenerCounts {
    /// Listener for callers.
    pub callers: Arc<ListenerCounts>,
    /// Listener for the backend server.
    pub local: Arc<ListenerCounts>,
    /// Listener for calls from other daemons.
    pub hop: Arc<ListenerCounts>,
    /// Listener for control messages from other daemons.
    pub control: Arc<ListenerCounts>,
    /// Listener for operators.
    pub admin: Arc<ListenerCounts>,
}

impl DaemonListenerCounts {
    /// Counts with the name of each listener in the settings.
    pub fn by_name(&self) -> [(&'static str, &ListenerCounts); 5] {
        [
            ("callers", &self.callers),
            ("local", &self.local),
            ("hop", &self.hop),
            ("control", &self.control),
            ("admin", &self.admin),
        ]
    }
}

/// Counts a request as unanswered until dropped.
pub(super) struct AnsweringGuard<'a>(&'a ListenerCounts);

impl<'a> AnsweringGuard<'a> {
    pub(super) fn new(counts: &'a ListenerCounts) -> AnsweringGuard<'a> {
        counts.answering.fetch_add(1, Ordering::Relaxed);
        AnsweringGuard(counts)
    }
}

impl Drop for AnsweringGuard<'_> {
    fn drop(&mut self) {
        self.0.answering.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a connection as open until dropped.
pub(super) struct OpenGuard {
    pub(super) counts: Arc<ListenerCounts>,
}

impl OpenGuard {
    pub(super) fn new(counts: Arc<ListenerCounts>) -> OpenGuard {
        counts.open.fetch_add(1, Ordering::Relaxed);
        OpenGuard { counts }
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.counts.open.fetch_sub(1, Ordering::Relaxed);
    }
}

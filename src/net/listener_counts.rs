//! What the listeners count: connections, answers due, bounds reached.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use strum::{EnumCount, EnumIter, IntoStaticStr};

/// What a listener has refused by a bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
#[repr(usize)]
pub enum Bound {
    /// Too many connections.
    Connections,
    /// A head too large or malformed.
    Header,
    /// A head that took too long.
    HeaderTimeout,
    /// A body too large.
    Body,
    /// A body that took too long.
    BodyTimeout,
    /// A body that broke off, or a client gone before its answer.
    Gone,
}

/// What one listener counts.
#[derive(Debug, Default)]
pub struct ListenerCounts {
    refused: [AtomicU64; Bound::COUNT],
    open: AtomicU64,
    answering: AtomicU64,
}

impl ListenerCounts {
    /// How often a bound was reached.
    pub fn refused(&self, bound: Bound) -> u64 {
        self.refused[bound as usize].load(Ordering::Relaxed)
    }

    /// Connections open now.
    pub fn open(&self) -> u64 {
        self.open.load(Ordering::Relaxed)
    }

    /// Requests whose answer is due.
    pub fn answering(&self) -> u64 {
        self.answering.load(Ordering::Relaxed)
    }

    pub(super) fn add(&self, bound: Bound) {
        self.refused[bound as usize].fetch_add(1, Ordering::Relaxed);
    }
}

/// The counts of a daemon's HTTP listeners.
#[derive(Debug, Default)]
pub struct Listeners {
    /// The listener for callers.
    pub callers: Arc<ListenerCounts>,
    /// The listener for the backend server.
    pub local: Arc<ListenerCounts>,
    /// The listener for calls from other daemons.
    pub hop: Arc<ListenerCounts>,
    /// The listener for control messages from other daemons.
    pub control: Arc<ListenerCounts>,
    /// The listener for operators.
    pub admin: Arc<ListenerCounts>,
}

impl Listeners {
    /// The counts by the listener's name in the settings.
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

/// Counts a request as being answered until it is dropped.
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

/// Counts a connection as open until it is dropped.
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

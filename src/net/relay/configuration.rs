//! The configuration in force.

use std::fmt;

use bytes::Bytes;

use crate::decide::relay::RouteTable;
use crate::model::TimeMs;

/// A configuration and its encoded record.
pub struct Configuration {
    /// Decoded routes, services and limits.
    pub table: RouteTable,
    /// The record as stored in the log, for sending to peers.
    pub raw: Bytes,
    /// Where it came from.
    pub source: &'static str,
    /// When it was put in force.
    pub since: TimeMs,
}

impl fmt::Debug for Configuration {
    /// Leaves out the record, which contains API keys.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut shown = f.debug_struct("Configuration");
        shown.field("table", &self.table).finish_non_exhaustive()
    }
}

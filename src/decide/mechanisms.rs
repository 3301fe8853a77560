//! Switches for the overload control mechanisms. The daemon runs with all of them on; the
//! trial and the load tests turn some off to build baselines for comparison.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// How the number of requests at a backend server is limited.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum LimitMode {
    /// No limit: every request is handed over at once.
    None,
    /// The limit is the announced number of slots.
    Fixed,
    /// The limit adapts to the completions of the backend server.
    Adaptive,
}

/// Which overload control mechanisms are on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mechanisms {
    /// How the concurrency at the backend server is limited.
    pub limit: LimitMode,
    /// Order the admission queue by importance, sunk time and rank instead of arrival, and
    /// bound the wait in it.
    pub ordered_queue: bool,
    /// Shed root requests at the entry by the admission level that replies carry.
    pub entry_shedding: bool,
    /// Refuse requests that can't finish before their deadline, and cancel those that nobody
    /// waits for.
    pub deadlines: bool,
    /// One retry allowance for the whole call tree and a retry budget for each service.
    /// If off, each layer makes up to [`Mechanisms::retries_per_layer`] retries.
    pub shared_allowance: bool,
    /// Maximum number of retries in each layer while `shared_allowance` is off.
    pub retries_per_layer: u32,
    /// Prefer near workers and choose the less loaded of two random ones. If off, choose one
    /// at random.
    pub balanced_routing: bool,
    /// Bound each caller's share of the slots and the queue.
    pub caller_shares: bool,
}

impl Mechanisms {
    /// The product: every mechanism on.
    pub const ALL: Mechanisms = Mechanisms {
        limit: LimitMode::Adaptive,
        ordered_queue: true,
        entry_shedding: true,
        deadlines: true,
        shared_allowance: true,
        retries_per_layer: 0,
        balanced_routing: true,
        caller_shares: true,
    };

    /// Baseline without a limit and with three retries in each layer.
    pub const NONE: Mechanisms = Mechanisms {
        limit: LimitMode::None,
        ordered_queue: false,
        entry_shedding: false,
        deadlines: false,
        shared_allowance: false,
        retries_per_layer: 3,
        balanced_routing: false,
        caller_shares: false,
    };

    /// Baseline with a fixed limit and three retries in each layer.
    pub const FIXED: Mechanisms = Mechanisms {
        limit: LimitMode::Fixed,
        ..Mechanisms::NONE
    };
}

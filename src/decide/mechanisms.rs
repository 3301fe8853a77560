//! Which mechanisms are on. The daemon runs with all of them; the trial switches
//! them off one at a time and builds its baselines from them.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// How the number of requests at a backend server is limited.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum LimitMode {
    /// No limit: everything is handed over at once.
    None,
    /// The announced slots.
    Fixed,
    /// Follows what the backend server completes.
    Adaptive,
}

/// Switches of the decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mechanisms {
    /// The concurrency limit.
    pub limit: LimitMode,
    /// Order the admission queue by importance, sunk work and share, and bound the wait.
    pub ordered_queue: bool,
    /// Shed at the entry by the level carried on replies.
    pub entry_shedding: bool,
    /// Refuse what cannot finish in its time left, and cancel what nobody waits for.
    pub deadlines: bool,
    /// One allowance for the whole tree and a budget for each service;
    /// without it each layer makes up to [`Mechanisms::retries_per_layer`].
    pub shared_allowance: bool,
    /// Retries in each layer where `shared_allowance` is off.
    pub retries_per_layer: u32,
    /// Choose between two workers by own requests in flight, near ones first; else at random.
    pub balanced_routing: bool,
    /// Bound each caller's share of the slots.
    pub caller_shares: bool,
}

impl Mechanisms {
    /// The product: everything on.
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

    /// The baseline without any limit and with three retries in each layer.
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

    /// The baseline with a fixed limit and three retries in each layer.
    pub const FIXED: Mechanisms = Mechanisms {
        limit: LimitMode::Fixed,
        ..Mechanisms::NONE
    };
}

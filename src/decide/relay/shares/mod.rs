//! Load shedding at the entry: the share of each kind of root request that is admitted.
//!
//! When a downstream service is overloaded and the services that call it are not, root requests
//! that are admitted anyway fail after most of their work is done, as soon as one of their calls
//! is refused. Therefore the daemons of an overloaded service compute, by priority, which share
//! of each route's root requests they can serve, and report it upstream with every reply. Entry
//! daemons admit that share and shed the rest before any work is done.
//!
//! Within a priority the capacity is divided over organisations by max-min fairness: a report
//! lists the organisations that ask for more than the common level, each with its own share.

mod entry;
mod level;
mod organisation_demand;
mod worker;

pub use entry::EntryShares;
pub use level::{MAX_LISTED, OrganisationShares, divide};
pub use worker::{Reporter, WorkerShares};

use serde::{Deserialize, Serialize};

use crate::model::{OrganisationName, ServiceName};

/// Minimum share, since replies to admitted requests carry the reports of free capacity.
const MIN_SHARE: f64 = 0.05;
/// Minimum share of one organisation. Lower than [`MIN_SHARE`], since replies to the requests of
/// the others carry the reports, and an organisation may ask for many times its level.
const MIN_ORGANISATION_SHARE: f64 = 0.01;
/// Shares from this value on count as 1 and are not reported.
const FULL_SHARE: f64 = 0.985;

/// The root request that a request belongs to; sent along with every call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RootRequest {
    /// Route of the root request.
    #[serde(rename = "r")]
    pub route: ServiceName,
    /// Priority of the root request; 0 is the highest.
    #[serde(rename = "p")]
    pub priority: u8,
    /// Organisation on whose behalf it is made; `None` without an API key.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<OrganisationName>,
    /// Share of the route's root requests that the entry admitted at the time, in 0..=1.
    #[serde(rename = "a")]
    pub admitted: f64,
}

impl RootRequest {
    /// The kind of root request that shares are kept for.
    pub fn kind(&self) -> RootKind<'_> {
        RootKind {
            route: &self.route,
            priority: self.priority,
            organisation: self.organisation.as_ref(),
        }
    }

    /// The admitted share, by which a worker divides to get the demand before shedding.
    fn admitted_share(&self) -> f64 {
        let min_share = match self.organisation {
            Some(_) => MIN_ORGANISATION_SHARE,
            None => MIN_SHARE,
        };
        self.admitted.clamp(min_share, 1.0)
    }
}

/// Kind of root request that shares are kept for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RootKind<'a> {
    /// Route of the root request.
    pub route: &'a ServiceName,
    /// Its priority; not used without an organisation, since a route then has only one.
    pub priority: u8,
    /// Organisation on whose behalf it is made.
    pub organisation: Option<&'a OrganisationName>,
}

impl<'a> From<&'a ServiceName> for RootKind<'a> {
    /// Root requests of a route that are made without an organisation.
    fn from(route: &'a ServiceName) -> RootKind<'a> {
        RootKind {
            route,
            priority: 0,
            organisation: None,
        }
    }
}

/// Shares that one worker of an overloaded service reports.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareReport {
    /// The overloaded service.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// Identifies the reporting worker within the service.
    #[serde(rename = "w")]
    pub worker: u32,
    /// Time since the shares were computed, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Admitted share by route of root requests without an organisation, in 0..=1.
    #[serde(rename = "r")]
    pub shares: Vec<(ServiceName, f64)>,
    /// Shares of root requests of organisations, for each scarce priority; `None` if the worker
    /// gets none of them. Then [`Self::shares`] applies to them too.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub priorities: Option<Vec<PriorityShares>>,
    /// Fraction of the worker's capacity that a rate limit leaves, in 0..=1.
    #[serde(rename = "f", default = "whole", skip_serializing_if = "is_whole")]
    pub capacity_ratio: f64,
}

/// Shares of the organisations' root requests of one priority at one worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PriorityShares {
    /// Priority of the root requests; 0 is the highest.
    #[serde(rename = "p")]
    pub priority: u8,
    /// Routes of the root requests. One share holds for all of them, since capacity is allocated
    /// by priority and not by route.
    #[serde(rename = "r")]
    pub routes: Vec<ServiceName>,
    /// Admitted share of the organisations that are not listed, in 0..=1.
    #[serde(rename = "c")]
    pub common: f64,
    /// Organisations above the level with their own shares, in 0..=1; at most [`MAX_LISTED`].
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub listed: Vec<(OrganisationName, f64)>,
}

impl PriorityShares {
    /// Whether these shares hold for this kind of root request.
    fn covers(&self, kind: RootKind<'_>) -> bool {
        self.priority == kind.priority && self.routes.contains(kind.route)
    }

    /// The organisation's own share if it is listed, else the common one.
    fn of(&self, organisation: &OrganisationName) -> f64 {
        let listed = self.listed.iter().find(|(name, _)| name == organisation);
        listed.map_or(self.common, |(_, share)| *share)
    }
}

impl ShareReport {
    /// The share that this report states for a kind of root request.
    pub fn share(&self, kind: RootKind<'_>) -> f64 {
        if let (Some(organisation), Some(priorities)) = (kind.organisation, &self.priorities) {
            let covering = priorities.iter().find(|shares| shares.covers(kind));
            return covering.map_or(1.0, |shares| shares.of(organisation));
        }
        let by_route = self.shares.iter().find(|(route, _)| route == kind.route);
        by_route.map_or(1.0, |(_, share)| *share)
    }
}

fn whole() -> f64 {
    1.0
}

fn is_whole(ratio: &f64) -> bool {
    *ratio >= 1.0
}

/// Rounds to two decimals to keep messages short.
fn rounded(share: f64) -> f64 {
    (share * 100.0).round() / 100.0
}

/// Rounds an organisation's own share to three decimals: two would move a level by up to 10 % at a
/// share of 0.05.
fn rounded_fine(share: f64) -> f64 {
    (share * 1_000.0).round() / 1_000.0
}

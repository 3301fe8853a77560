//! Links between regions, and the distance between two VMs.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoStaticStr};

use super::names::RegionName;
use super::vm::Place;

/// Network distance between two VMs, nearest first.
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
    EnumIter,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Distance {
    /// In the same availability zone.
    SameZone,
    /// In another availability zone of the same region.
    SameRegion,
    /// In another region, across a link that is billed by volume.
    OtherRegion,
}

impl Distance {
    /// Returns the distance between two places.
    pub fn between(a: &Place, b: &Place) -> Distance {
        if a.region != b.region {
            return Distance::OtherRegion;
        }
        if a.zone != b.zone {
            return Distance::SameRegion;
        }
        Distance::SameZone
    }
}

/// A link between two regions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// The region at one end.
    pub from: RegionName,
    /// The region at the other end.
    pub to: RegionName,
    /// Bandwidth that this VM may use on the link, in bytes per second.
    pub bytes_per_s: u64,
}

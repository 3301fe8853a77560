//! Links between regions, and how far apart two VMs are.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoStaticStr};

use super::names::RegionName;
use super::vm::Place;

/// How far apart two VMs are, nearest first.
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
    /// In another region, across a link that is paid by volume.
    OtherRegion,
}

impl Distance {
    /// The distance between two places.
    pub fn between(one: &Place, other: &Place) -> Distance {
        if one.region != other.region {
            return Distance::OtherRegion;
        }
        if one.zone != other.zone {
            return Distance::SameRegion;
        }
        Distance::SameZone
    }
}

/// A link between two regions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// One end.
    pub from: RegionName,
    /// The other end.
    pub to: RegionName,
    /// What this VM may send across the link, in bytes a second.
    pub bytes_per_s: u64,
}

//! Network round-trip times to availability zones, measured by the hops of requests.
//!
//! The time of a hop, less the time that the server took, is the round trip plus any wait in the
//! queue there. Only hops whose reply shows an empty queue are counted, and the estimate follows a
//! shorter time at once and a longer one slowly, so that waits and pauses do not count as distance.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::model::Place;

/// Weight of a sample that is shorter than the estimate.
const SHORTER_WEIGHT: f64 = 0.5;
/// Weight of a sample that is longer than the estimate. A link that has become longer is followed
/// within a few hundred hops; a single slow hop moves the estimate by little.
const LONGER_WEIGHT: f64 = 0.01;

/// Identifies an availability zone within its region, without its names.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct PlaceKey(u64);

impl PlaceKey {
    /// The key of a region and availability zone.
    pub fn of(place: &Place) -> PlaceKey {
        let region = xxh3_64_with_seed(place.region.as_str().as_bytes(), 0);
        PlaceKey(xxh3_64_with_seed(place.zone.as_str().as_bytes(), region))
    }
}

/// Smoothed minimum of the round-trip times to each availability zone, in milliseconds.
#[derive(Debug, Default)]
pub(super) struct RoundTrips {
    by_place: HashMap<PlaceKey, f64>,
}

impl RoundTrips {
    pub(super) fn record(&mut self, place: PlaceKey, round_trip_ms: u64) {
        let sample_ms = round_trip_ms as f64;
        let estimate_ms = self.by_place.entry(place).or_insert(sample_ms);
        let weight = if sample_ms < *estimate_ms {
            SHORTER_WEIGHT
        } else {
            LONGER_WEIGHT
        };
        *estimate_ms += (sample_ms - *estimate_ms) * weight;
    }

    /// The round-trip time to a zone, in milliseconds; `None` if it was never measured.
    pub(super) fn to(&self, place: PlaceKey) -> Option<f64> {
        self.by_place.get(&place).copied()
    }
}

//! Max-min fairness: divides the capacity of one priority over organisations.
//!
//! Addresses an organisation that sends several times its usual rate, or whose clients repeat at
//! once: it is held to the level, and the others get what they ask for.

use crate::model::OrganisationName;

use super::{FULL_SHARE, MIN_ORGANISATION_SHARE, rounded_fine};

/// Most organisations that a report lists for one priority, which bounds its size. The largest
/// are listed; any further ones above the level are held back by the common share.
pub const MAX_LISTED: usize = 8;

/// Shares of the organisations of one priority.
#[derive(Debug, Clone, PartialEq)]
pub struct OrganisationShares {
    /// Level up to which each organisation is served, in the unit of the demands; infinite if all
    /// demands fit.
    pub level: f64,
    /// Share of the organisations that are not listed, in 0..=1.
    pub common: f64,
    /// Organisations above the level with their own shares, the largest first.
    pub listed: Vec<(OrganisationName, f64)>,
}

/// Divides `capacity` by max-min fairness: each organisation gets the lesser of its demand and a
/// common level. `untracked` is the demand of organisations that are too small to be told apart;
/// they count as below the level. All are in the same unit, such as slots.
pub fn divide(
    mut demands: Vec<(&OrganisationName, f64)>,
    untracked: f64,
    capacity: f64,
) -> OrganisationShares {
    // The name decides between equal demands, so that daemons list the same organisations.
    demands.sort_unstable_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(b.0)));
    let level = max_min_level(&demands, capacity - untracked);
    let above = demands.iter().take_while(|(_, demand)| *demand > level);
    let above = above.count();
    let (listed, rest) = demands.split_at(above.min(MAX_LISTED));
    let common = if above > MAX_LISTED {
        let asked: f64 = rest.iter().map(|(_, demand)| demand).sum();
        let served: f64 = rest.iter().map(|(_, demand)| demand.min(level)).sum();
        ((served + untracked) / (asked + untracked).max(1e-9)).clamp(MIN_ORGANISATION_SHARE, 1.0)
    } else {
        1.0
    };
    let shares = listed.iter().map(|(name, demand)| {
        let share = (level / demand).clamp(MIN_ORGANISATION_SHARE, 1.0);
        ((*name).clone(), rounded_fine(share))
    });
    OrganisationShares {
        level,
        common: rounded_fine(common),
        listed: shares.filter(|(_, share)| *share < FULL_SHARE).collect(),
    }
}

/// The level at which the lesser of demand and level sums to the capacity. `demands` are sorted,
/// the largest first.
fn max_min_level(demands: &[(&OrganisationName, f64)], capacity: f64) -> f64 {
    let mut left = capacity.max(0.0);
    // From the smallest: each that asks for less than an equal part of what is left gets it whole.
    for (index, (_, demand)) in demands.iter().enumerate().rev() {
        let equal_part = left / (index + 1) as f64;
        if *demand > equal_part {
            return equal_part;
        }
        left -= demand;
    }
    f64::INFINITY
}

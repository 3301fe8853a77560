//! The requests that wait for one backend server, in the order in which they are served: by
//! priority, calls before root requests, then by deadline.
//!
//! Requests of one priority and kind (root request or call) that belong to several organisations
//! are served by deficit round robin over the organisations, so that a burst of one does not make
//! the others wait. Each organisation's own requests are served by deadline.

use std::collections::{BTreeMap, HashMap, VecDeque};

use super::admission::WaiterId;
use crate::model::{OrganisationName, TimeMs};

/// Requests without an organisation are served as those of one organisation.
type Owner = Option<OrganisationName>;

/// Requests of one priority and kind: the priority, and whether they are root requests.
pub(super) type Rank = (u8, bool);

/// Where a waiting request stands.
#[derive(Debug, Clone)]
struct Place {
    rank: Rank,
    owner: Owner,
    deadline: TimeMs,
}

/// A waiting request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Waiting {
    pub(super) waiter_id: WaiterId,
    pub(super) deadline: TimeMs,
    pub(super) expected_ms: f64,
}

/// Waiting requests of one organisation and rank.
#[derive(Debug, Default)]
struct OwnerQueue {
    /// Expected time in milliseconds, by deadline and arrival.
    waiting: BTreeMap<(TimeMs, WaiterId), f64>,
    /// Sum of the expected times, in milliseconds.
    sum_ms: f64,
    /// Service time that is due to the organisation, in milliseconds.
    deficit_ms: f64,
}

/// Waiting requests of one rank. No owner's queue is empty.
#[derive(Debug, Default)]
struct RankQueue {
    owners: HashMap<Owner, OwnerQueue>,
    /// The owners in the order of the round robin.
    turns: VecDeque<Owner>,
    count: usize,
    /// Whether the owner whose turn it is has got its quantum.
    front_has_quantum: bool,
    /// Longest expected time that has waited, in milliseconds: the time that an organisation is due
    /// in each round, so that each visit serves at least one request.
    quantum_ms: f64,
}

/// All waiting requests of one backend server.
#[derive(Debug, Default)]
pub(super) struct WaitQueue {
    /// Without empty queues.
    ranks: BTreeMap<Rank, RankQueue>,
    places: HashMap<WaiterId, Place>,
}

impl WaitQueue {
    pub(super) fn len(&self) -> usize {
        self.places.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Number of requests that are served before a new one with this deadline. The cost grows with
    /// the number of waiting requests of its rank, which the limits on waiting bound.
    pub(super) fn ahead(
        &self,
        rank: Rank,
        owner: Option<&OrganisationName>,
        deadline: TimeMs,
    ) -> usize {
        let before: usize = self.ranks.range(..rank).map(|(_, queue)| queue.count).sum();
        let Some(queue) = self.ranks.get(&rank) else {
            return before;
        };
        let owner = owner.cloned();
        let own_ahead = queue.owners.get(&owner).map_or(0, |own| {
            let last = (deadline, WaiterId(u64::MAX));
            own.waiting.range(..last).count()
        });
        // Until its turn, each of the others has as many turns.
        let others = queue.owners.iter().filter(|(name, _)| **name != owner);
        let others = others.map(|(_, other)| other.waiting.len().min(own_ahead + 1));
        before + own_ahead + others.sum::<usize>()
    }

    /// Number of waiting requests up to and including a rank, if several organisations wait there or
    /// would with this one.
    pub(super) fn contended(&self, rank: Rank, owner: Option<&OrganisationName>) -> Option<usize> {
        let queue = self.ranks.get(&rank)?;
        let is_alone = queue.owners.keys().all(|other| other.as_ref() == owner);
        let counts = self.ranks.range(..=rank).map(|(_, queue)| queue.count);
        (!is_alone).then(|| counts.sum())
    }

    /// The request to drop from a full rank so that a new one of `owner` can wait: the one with the
    /// latest deadline of the organisation with the largest sum of expected times. `None` if that is
    /// the new request's own organisation.
    pub(super) fn to_drop(
        &self,
        rank: Rank,
        owner: Option<&OrganisationName>,
        expected_ms: f64,
    ) -> Option<WaiterId> {
        let queue = self.ranks.get(&rank)?;
        let own_ms = queue.owners.get(&owner.cloned());
        let own_ms = own_ms.map_or(0.0, |own| own.sum_ms) + expected_ms;
        let others = queue.owners.iter();
        let others = others.filter(|(name, other)| name.as_ref() != owner && other.sum_ms > own_ms);
        let (_, largest) = others.max_by(|(name, a), (other_name, b)| {
            let by_sum = a.sum_ms.total_cmp(&b.sum_ms);
            by_sum.then_with(|| name.cmp(other_name))
        })?;
        let ((_, waiter_id), _) = largest.waiting.last_key_value()?;
        Some(*waiter_id)
    }

    pub(super) fn insert(&mut self, rank: Rank, owner: Option<&OrganisationName>, new: Waiting) {
        let owner = owner.cloned();
        let queue = self.ranks.entry(rank).or_default();
        queue.count += 1;
        queue.quantum_ms = queue.quantum_ms.max(new.expected_ms);
        if !queue.owners.contains_key(&owner) {
            queue.turns.push_back(owner.clone());
        }
        let own = queue.owners.entry(owner.clone()).or_default();
        own.waiting
            .insert((new.deadline, new.waiter_id), new.expected_ms);
        own.sum_ms += new.expected_ms;
        let place = Place {
            rank,
            owner,
            deadline: new.deadline,
        };
        self.places.insert(new.waiter_id, place);
    }

    /// The request that is served next.
    pub(super) fn head(&mut self) -> Option<Waiting> {
        let mut rank = self.ranks.first_entry()?;
        rank.get_mut().head()
    }

    /// Removes a request that is served now, which counts as service of its organisation.
    pub(super) fn serve(&mut self, waiting: Waiting) {
        if let Some(place) = self.places.get(&waiting.waiter_id)
            && let Some(queue) = self.ranks.get_mut(&place.rank)
            && let Some(own) = queue.owners.get_mut(&place.owner)
        {
            own.deficit_ms = (own.deficit_ms - waiting.expected_ms).max(0.0);
        }
        self.remove(waiting.waiter_id);
    }

    /// Removes a request; false if it does not wait.
    pub(super) fn remove(&mut self, waiter_id: WaiterId) -> bool {
        let Some(place) = self.places.remove(&waiter_id) else {
            return false;
        };
        if let Some(queue) = self.ranks.get_mut(&place.rank) {
            queue.remove(&place, waiter_id);
            if queue.count == 0 {
                self.ranks.remove(&place.rank);
            }
        }
        true
    }
}

impl RankQueue {
    fn head(&mut self) -> Option<Waiting> {
        // A quantum suffices for any request.
        for _ in 0..=self.turns.len() {
            let owner = self.turns.front()?;
            let own = self.owners.get_mut(owner)?;
            let ((deadline, waiter_id), expected_ms) = own.waiting.first_key_value()?;
            let head = Waiting {
                waiter_id: *waiter_id,
                deadline: *deadline,
                expected_ms: *expected_ms,
            };
            if !self.front_has_quantum {
                self.front_has_quantum = true;
                own.deficit_ms += self.quantum_ms;
            }
            if own.deficit_ms >= *expected_ms || self.turns.len() == 1 {
                return Some(head);
            }
            self.turns.rotate_left(1);
            self.front_has_quantum = false;
        }
        None
    }

    fn remove(&mut self, place: &Place, waiter_id: WaiterId) {
        let Some(own) = self.owners.get_mut(&place.owner) else {
            return;
        };
        if let Some(expected_ms) = own.waiting.remove(&(place.deadline, waiter_id)) {
            self.count -= 1;
            own.sum_ms -= expected_ms;
        }
        if own.waiting.is_empty() {
            self.owners.remove(&place.owner);
            if self.turns.front() == Some(&place.owner) {
                self.front_has_quantum = false;
            }
            self.turns.retain(|owner| *owner != place.owner);
        }
    }
}

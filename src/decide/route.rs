//! Chooses the worker for a call: nearest tier first, then the less loaded of two
//! random workers.
//!
//! A farther tier is used only when no nearer worker has room, and another region only
//! when the budget of the paid link has room too. The slots that a worker announces are a
//! hint: this daemon's own calls in flight, refusals and failures override them.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwap;
use rand::{Rng, RngExt};

use super::link_budget::LinkBudgets;
use super::worker_stats::WorkerStats;
use crate::model::{
    Announcement, Distance, Link, Place, ServerState, ServiceName, TimeMs, WorkerId,
};

/// Maximum share of a service's workers that may be ejected at once, in percent.
const MAX_EJECTED_PERCENT: usize = 34;

/// A worker as this daemon sees it.
#[derive(Debug)]
pub struct Worker {
    /// The worker's most recent announcement.
    pub announcement: Announcement,
    /// Distance from this daemon.
    pub distance: Distance,
    /// Statistics of this daemon's own calls to the worker.
    pub stats: Arc<WorkerStats>,
}

/// Workers by service, nearest first.
#[derive(Debug, Default)]
struct WorkerTable {
    services: HashMap<ServiceName, Vec<Arc<Worker>>>,
    by_id: HashMap<WorkerId, Arc<Worker>>,
}

/// Chooses workers. The worker table is replaced atomically, so choosing locks nothing
/// but the link budgets.
#[derive(Debug)]
pub struct Router {
    place: Place,
    balanced: bool,
    table: ArcSwap<WorkerTable>,
    links: ArcSwap<LinkBudgets>,
    last_sent_ms: AtomicU64,
}

impl Router {
    /// Creates a router for a daemon at `place`. Without `balanced`, workers are chosen at random.
    pub fn new(place: Place, balanced: bool) -> Router {
        Router {
            place,
            balanced,
            table: ArcSwap::default(),
            links: ArcSwap::default(),
            last_sent_ms: AtomicU64::new(0),
        }
    }

    /// Replaces the budgets of the links to other regions.
    pub fn set_links(&self, links: &[Link]) {
        let budgets = LinkBudgets::new(&self.place.region, links);
        self.links.store(Arc::new(budgets));
    }

    /// When the most recent call was sent.
    pub fn last_sent(&self) -> TimeMs {
        TimeMs(self.last_sent_ms.load(Ordering::Relaxed))
    }

    /// Replaces the known workers by those that are serving, and keeps the statistics of
    /// those that stay. A worker that joins a known service goes through a slow start.
    pub fn set_workers(&self, now: TimeMs, announcements: &[Announcement]) {
        let old = self.table.load();
        let mut table = WorkerTable::default();
        for announcement in announcements {
            if announcement.state != ServerState::Serving {
                continue;
            }
            let id = announcement.vm.worker;
            let stats = match old.by_id.get(&id) {
                Some(worker) => Arc::clone(&worker.stats),
                None if old.services.contains_key(&announcement.service) => {
                    Arc::new(WorkerStats::with_slow_start(now))
                }
                None => Arc::default(),
            };
            let worker = Arc::new(Worker {
                announcement: announcement.clone(),
                distance: Distance::between(&self.place, &announcement.vm.place),
                stats,
            });
            table.by_id.insert(id, Arc::clone(&worker));
            let workers = table.services.entry(announcement.service.clone());
            workers.or_default().push(worker);
        }
        for workers in table.services.values_mut() {
            workers.sort_by_key(|worker| (worker.distance, worker.announcement.vm.worker));
        }
        self.table.store(Arc::new(table));
    }

    /// Whether any worker of the service is known.
    pub fn knows(&self, service: &ServiceName) -> bool {
        self.table.load().services.contains_key(service)
    }

    /// Chooses a worker of the service, except those in `tried`.
    pub fn choose(
        &self,
        now: TimeMs,
        service: &ServiceName,
        tried: &[WorkerId],
        rng: &mut impl Rng,
    ) -> Option<WorkerId> {
        let table = self.table.load();
        let workers = table.services.get(service)?;
        self.choose_among(now, workers.iter(), tried, rng)
    }

    /// Chooses among the candidates of a ticket, except those in `tried`.
    pub fn choose_candidate(
        &self,
        now: TimeMs,
        candidates: &[WorkerId],
        tried: &[WorkerId],
        rng: &mut impl Rng,
    ) -> Option<WorkerId> {
        let table = self.table.load();
        let workers = candidates
            .iter()
            .filter_map(|candidate| table.by_id.get(candidate));
        self.choose_among(now, workers, tried, rng)
    }

    /// Chooses up to `count` different workers as the candidates of a new ticket.
    pub fn candidates(
        &self,
        service: &ServiceName,
        count: usize,
        rng: &mut impl Rng,
    ) -> Vec<WorkerId> {
        // Approximates the current time, which only decides which workers have room or are ejected.
        let now = self.last_sent();
        let mut candidates = Vec::new();
        while candidates.len() < count {
            match self.choose(now, service, &candidates, rng) {
                Some(worker) => candidates.push(worker),
                None => break,
            }
        }
        candidates
    }

    /// Whether a worker of the service, except those in `tried`, has room.
    pub fn has_room(&self, now: TimeMs, service: &ServiceName, tried: &[WorkerId]) -> bool {
        let table = self.table.load();
        let Some(workers) = table.services.get(service) else {
            return false;
        };
        workers
            .iter()
            .any(|worker| !tried.contains(&worker.id()) && worker.has_room(now))
    }

    /// Records that a call of `bytes` was sent.
    pub fn sent(&self, now: TimeMs, worker: WorkerId, bytes: u64) {
        self.last_sent_ms.fetch_max(now.0, Ordering::Relaxed);
        let table = self.table.load();
        let Some(worker) = table.by_id.get(&worker) else {
            return;
        };
        worker.stats.sent();
        if worker.distance == Distance::OtherRegion {
            let region = &worker.announcement.vm.place.region;
            self.links.load().spend(now, region, bytes);
        }
    }

    /// Records that a call was answered or abandoned.
    pub fn ended(&self, worker: WorkerId) {
        self.with_stats(worker, WorkerStats::ended);
    }

    /// Records that the worker answered, with any outcome.
    pub fn answered(&self, worker: WorkerId) {
        self.with_stats(worker, WorkerStats::answered);
    }

    /// Records that the worker refused a call for lack of room.
    pub fn saturated(&self, now: TimeMs, worker: WorkerId) {
        self.with_stats(worker, |stats| stats.saturated(now));
    }

    /// Records that a call failed in transit. Consecutive failures eject the worker, unless
    /// too many workers of its service are already ejected.
    pub fn failed(&self, now: TimeMs, worker: WorkerId) {
        let table = self.table.load();
        let Some(worker) = table.by_id.get(&worker) else {
            return;
        };
        if !worker.stats.failed() {
            return;
        }
        let Some(workers) = table.services.get(&worker.announcement.service) else {
            return;
        };
        let ejected = workers.iter().filter(|w| w.stats.is_ejected(now)).count();
        if (ejected + 1) * 100 <= workers.len() * MAX_EJECTED_PERCENT {
            worker.stats.eject(now);
        }
    }

    /// This daemon's calls in flight to a worker; `None` if the worker is unknown.
    pub fn in_flight(&self, worker: WorkerId) -> Option<u32> {
        let table = self.table.load();
        table
            .by_id
            .get(&worker)
            .map(|worker| worker.stats.in_flight())
    }

    fn with_stats(&self, worker: WorkerId, change: impl FnOnce(&WorkerStats)) {
        if let Some(worker) = self.table.load().by_id.get(&worker) {
            change(&worker.stats);
        }
    }

    fn choose_among<'a>(
        &self,
        now: TimeMs,
        workers: impl Iterator<Item = &'a Arc<Worker>>,
        tried: &[WorkerId],
        rng: &mut impl Rng,
    ) -> Option<WorkerId> {
        let mut eligible: Vec<&Arc<Worker>> = workers
            .filter(|worker| !tried.contains(&worker.id()))
            .collect();
        if !self.balanced {
            return pick(&eligible, rng).map(|worker| worker.id());
        }
        if eligible.iter().any(|worker| !worker.stats.is_ejected(now)) {
            eligible.retain(|worker| !worker.stats.is_ejected(now));
        }
        eligible.sort_by_key(|worker| worker.distance);
        let tier = self.nearest_with_room(now, &eligible);
        let first = pick(tier, rng)?;
        let second = pick(tier, rng)?;
        let better = if first.load(now) <= second.load(now) {
            first
        } else {
            second
        };
        Some(better.id())
    }

    /// Returns the nearest tier in which a worker and the link to it have room, or the
    /// nearest tier of all if there is none. `workers` must be sorted by distance.
    fn nearest_with_room<'a, 'b>(
        &self,
        now: TimeMs,
        workers: &'a [&'b Arc<Worker>],
    ) -> &'a [&'b Arc<Worker>] {
        let mut tiers = workers.chunk_by(|first, second| first.distance == second.distance);
        let nearest = tiers.clone().next().unwrap_or(workers);
        tiers
            .find(|tier| {
                tier.iter()
                    .any(|worker| worker.has_room(now) && self.link_has_room(now, worker))
            })
            .unwrap_or(nearest)
    }

    fn link_has_room(&self, now: TimeMs, worker: &Worker) -> bool {
        let region = &worker.announcement.vm.place.region;
        worker.distance != Distance::OtherRegion || self.links.load().has_room(now, region)
    }
}

impl Worker {
    fn id(&self) -> WorkerId {
        self.announcement.vm.worker
    }

    fn has_room(&self, now: TimeMs) -> bool {
        self.stats.has_room(now, self.announcement.slots)
    }

    fn load(&self, now: TimeMs) -> f64 {
        self.stats.load(now, self.announcement.slots)
    }
}

fn pick<'a, 'b>(workers: &'a [&'b Arc<Worker>], rng: &mut impl Rng) -> Option<&'a &'b Arc<Worker>> {
    if workers.is_empty() {
        return None;
    }
    workers.get(rng.random_range(0..workers.len()))
}

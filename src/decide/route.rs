//! Which worker gets a call: two choices by own requests in flight, near workers first.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use arc_swap::ArcSwap;
use rand::{Rng, RngExt};

use crate::model::{Announcement, Distance, Place, ServerState, ServiceName, WorkerId};

/// A worker as this daemon sees it.
#[derive(Debug)]
pub struct Worker {
    /// What it announced.
    pub announcement: Announcement,
    /// How far it is from here.
    pub distance: Distance,
    /// Calls of this daemon that it has not answered.
    pub in_flight: Arc<AtomicU32>,
}

impl Worker {
    fn load(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }
}

/// Workers by service, nearest first.
#[derive(Debug, Default)]
struct WorkerTable {
    services: HashMap<ServiceName, Vec<Arc<Worker>>>,
    by_id: HashMap<WorkerId, Arc<Worker>>,
}

/// Chooses workers. The table is replaced as a whole; choosing takes no lock.
#[derive(Debug)]
pub struct Router {
    place: Place,
    balanced: bool,
    table: ArcSwap<WorkerTable>,
}

impl Router {
    /// A router for a daemon at `place`.
    pub fn new(place: Place, balanced: bool) -> Router {
        Router {
            place,
            balanced,
            table: ArcSwap::default(),
        }
    }

    /// Replaces the workers known; calls in flight go on counting.
    pub fn learn(&self, announcements: &[Announcement]) {
        let old = self.table.load();
        let mut table = WorkerTable::default();
        for announcement in announcements {
            if announcement.state != ServerState::Serving {
                continue;
            }
            let id = announcement.vm.worker;
            let in_flight = old
                .by_id
                .get(&id)
                .map(|worker| Arc::clone(&worker.in_flight))
                .unwrap_or_default();
            let worker = Arc::new(Worker {
                announcement: announcement.clone(),
                distance: Distance::between(&self.place, &announcement.vm.place),
                in_flight,
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

    /// Chooses a worker of the service outside `tried`.
    pub fn choose(
        &self,
        service: &ServiceName,
        tried: &[WorkerId],
        rng: &mut impl Rng,
    ) -> Option<WorkerId> {
        let table = self.table.load();
        let workers = table.services.get(service)?;
        let open: Vec<&Arc<Worker>> = workers
            .iter()
            .filter(|worker| !tried.contains(&worker.announcement.vm.worker))
            .collect();
        if !self.balanced {
            return pick(&open, rng).map(|worker| worker.announcement.vm.worker);
        }
        let near = self.nearest_with_room(&open);
        let one = pick(near, rng)?;
        let two = pick(near, rng)?;
        let better = if one.load() <= two.load() { one } else { two };
        Some(better.announcement.vm.worker)
    }

    /// Chooses among the candidates of a ticket, in their order but for those tried or unknown.
    pub fn choose_candidate(
        &self,
        candidates: &[WorkerId],
        tried: &[WorkerId],
        rng: &mut impl Rng,
    ) -> Option<WorkerId> {
        let table = self.table.load();
        let open: Vec<&Arc<Worker>> = candidates
            .iter()
            .filter(|candidate| !tried.contains(candidate))
            .filter_map(|candidate| table.by_id.get(candidate))
            .collect();
        let one = pick(&open, rng)?;
        let two = pick(&open, rng)?;
        let better = if one.load() <= two.load() { one } else { two };
        Some(better.announcement.vm.worker)
    }

    /// Candidates for a new ticket, at most `count`.
    pub fn candidates(
        &self,
        service: &ServiceName,
        count: usize,
        rng: &mut impl Rng,
    ) -> Vec<WorkerId> {
        let mut candidates = Vec::new();
        while candidates.len() < count {
            match self.choose(service, &candidates, rng) {
                Some(worker) => candidates.push(worker),
                None => break,
            }
        }
        candidates
    }

    /// Counts a call as sent.
    pub fn sent(&self, worker: WorkerId) {
        if let Some(worker) = self.table.load().by_id.get(&worker) {
            worker.in_flight.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts a call as answered or given up.
    pub fn ended(&self, worker: WorkerId) {
        if let Some(worker) = self.table.load().by_id.get(&worker) {
            let decrease = |count: u32| Some(count.saturating_sub(1));
            let _ = worker
                .in_flight
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrease);
        }
    }

    /// The workers of the nearest distance at which one has a free slot; all if none has.
    fn nearest_with_room<'a, 'b>(&self, workers: &'a [&'b Arc<Worker>]) -> &'a [&'b Arc<Worker>] {
        let mut start = 0;
        while start < workers.len() {
            let distance = workers[start].distance;
            let length = workers[start..]
                .iter()
                .take_while(|worker| worker.distance == distance)
                .count();
            let tier = &workers[start..start + length];
            if tier.iter().any(|w| w.load() < w.announcement.slots) {
                return tier;
            }
            start += length;
        }
        workers
    }
}

fn pick<'a, 'b>(workers: &'a [&'b Arc<Worker>], rng: &mut impl Rng) -> Option<&'a &'b Arc<Worker>> {
    if workers.is_empty() {
        return None;
    }
    workers.get(rng.random_range(0..workers.len()))
}

//! Requests that have just ended, so that a late call of one is still recognised as a call.
//!
//! Addresses a backend server that goes on calling others after its answer or after its caller has
//! left. Such a call carries no API key, and without its parent it could not be told from a request
//! of a client.

use std::collections::{HashMap, VecDeque};

use crate::model::TimeMs;

/// How long an ended request is kept, in milliseconds.
pub const RETENTION_MS: u64 = 5_000;
/// Most requests that are kept; a worker that ends 400 requests a second reaches it.
pub const MAX_REQUESTS: usize = 2_048;
/// Longest id that is kept, in bytes. With the limit above, ids need at most 1 MB, since each is
/// held twice.
pub const MAX_ID_BYTES: usize = 256;

/// Recently ended requests by id, with what is to be known of them.
#[derive(Debug)]
pub struct EndedRequests<T> {
    by_id: HashMap<String, (TimeMs, T)>,
    /// Ids by the time of their end, oldest first.
    order: VecDeque<(TimeMs, String)>,
}

impl<T> Default for EndedRequests<T> {
    fn default() -> EndedRequests<T> {
        EndedRequests {
            by_id: HashMap::new(),
            order: VecDeque::new(),
        }
    }
}

impl<T> EndedRequests<T> {
    /// Records that a request has ended; the oldest one is dropped if there are too many.
    pub fn record(&mut self, now: TimeMs, id: &str, request: T) {
        if id.len() > MAX_ID_BYTES {
            return;
        }
        self.expire(now);
        while self.order.len() >= MAX_REQUESTS {
            self.drop_oldest();
        }
        self.by_id.insert(id.to_owned(), (now, request));
        self.order.push_back((now, id.to_owned()));
    }

    /// A request that ended at most [`RETENTION_MS`] ago.
    pub fn get(&self, now: TimeMs, id: &str) -> Option<&T> {
        let (ended, request) = self.by_id.get(id)?;
        (now.since_ms(*ended) <= RETENTION_MS).then_some(request)
    }

    /// Drops requests whose retention time has passed.
    pub fn expire(&mut self, now: TimeMs) {
        while let Some((ended, _)) = self.order.front()
            && now.since_ms(*ended) > RETENTION_MS
        {
            self.drop_oldest();
        }
    }

    /// Number of requests kept.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    fn drop_oldest(&mut self) {
        let Some((ended, id)) = self.order.pop_front() else {
            return;
        };
        // The same id may have run and ended again since.
        if self.by_id.get(&id).is_some_and(|(at, _)| *at <= ended) {
            self.by_id.remove(&id);
        }
    }
}

//! A hash map split into shards, each behind its own mutex.

use std::collections::HashMap;
use std::hash::{BuildHasher, Hash, RandomState};
use std::sync::{Mutex, MutexGuard, PoisonError};

const SHARDS: usize = 16;

type Shard<K, V> = Mutex<HashMap<K, V>>;

/// A concurrent hash map. Callers hold a shard's lock only while they work on one entry.
#[derive(Debug)]
pub struct Sharded<K, V> {
    shards: Vec<Shard<K, V>>,
    hasher: RandomState,
}

impl<K: Hash + Eq, V> Default for Sharded<K, V> {
    fn default() -> Self {
        Sharded {
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
            hasher: RandomState::new(),
        }
    }
}

impl<K: Hash + Eq, V> Sharded<K, V> {
    /// Locks the shard that holds `key`.
    pub fn lock(&self, key: &K) -> MutexGuard<'_, HashMap<K, V>> {
        let index = self.hasher.hash_one(key) as usize % SHARDS;
        lock(&self.shards[index])
    }

    /// Inserts a value and returns the one that it replaces.
    pub fn insert(&self, key: K, value: V) -> Option<V> {
        self.lock(&key).insert(key, value)
    }

    /// Removes a value and returns it.
    pub fn remove(&self, key: &K) -> Option<V> {
        self.lock(key).remove(key)
    }

    /// Number of entries. The shards are counted one after another, so the sum is approximate
    /// under concurrent changes.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| lock(shard).len()).sum()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Locks a mutex and ignores poisoning; for data that stays valid if a holder panics.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

//! Discrete events on a virtual clock, for simulations of the relay's decisions without a network.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use burdockhall::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// Events in the order of their times; those of one time in the order of scheduling.
pub struct Events<E> {
    /// Current time.
    pub now: TimeMs,
    /// Random numbers of the simulation.
    pub rng: Xoshiro256PlusPlus,
    queue: BinaryHeap<Reverse<(TimeMs, u64, E)>>,
    next_sequence: u64,
}

impl<E: Ord> Events<E> {
    /// Creates an empty queue at time 0.
    pub fn new(seed: u64) -> Events<E> {
        Events {
            now: TimeMs(0),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            next_sequence: 0,
        }
    }

    /// Schedules an event `after_ms` milliseconds from now.
    pub fn schedule(&mut self, after_ms: u64, event: E) {
        self.next_sequence += 1;
        let entry = (self.now.plus_ms(after_ms), self.next_sequence, event);
        self.queue.push(Reverse(entry));
    }

    /// Schedules an event after a fractional time, which is rounded up or down at random. The time
    /// may be 0 ms: several requests may arrive in one millisecond.
    pub fn schedule_rounded(&mut self, after_ms: f64, event: E) {
        let rest = u64::from(self.rng.random_bool(after_ms.fract()));
        self.schedule(after_ms as u64 + rest, event);
    }

    /// Removes the next event and moves the clock to its time.
    pub fn pop(&mut self) -> Option<E> {
        let Reverse((time, _, event)) = self.queue.pop()?;
        self.now = time;
        Some(event)
    }

    /// A random number of an exponential distribution.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }
}

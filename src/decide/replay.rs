//! Detects duplicate messages in bounded memory, with an anti-replay window.
//!
//! Each process start numbers the requests that it sends. For each sender, the window
//! holds the highest number seen and one bit for each of the numbers before it. A number
//! below the window can't be proven new and counts as a duplicate.

use super::sharded::Sharded;
use crate::model::Incarnation;

/// 64-bit words in the window.
const WINDOW_WORDS: usize = 16;
/// Numbers covered by the window.
const WINDOW_SIZE: u64 = 64 * WINDOW_WORDS as u64;

/// One window of seen numbers for each sender.
#[derive(Debug, Default)]
pub struct ReplayWindows {
    senders: Sharded<Incarnation, ReplayWindow>,
}

#[derive(Debug, Default)]
struct ReplayWindow {
    next: u64,
    seen: [u64; WINDOW_WORDS],
}

impl ReplayWindows {
    /// Marks a number as seen. Returns true if it certainly was not seen before.
    pub fn insert(&self, sender: Incarnation, number: u64) -> bool {
        let mut shard = self.senders.lock(&sender);
        shard.entry(sender).or_default().mark(number)
    }
}

impl ReplayWindow {
    fn mark(&mut self, number: u64) -> bool {
        if number + WINDOW_SIZE < self.next {
            return false;
        }
        if number >= self.next {
            self.advance(number);
        }
        let (word, bit) = word_and_bit(number);
        let is_new = self.seen[word] & bit == 0;
        self.seen[word] |= bit;
        is_new
    }

    /// Moves the window up to `number` and clears the bits of the numbers that enter it.
    fn advance(&mut self, number: u64) {
        if number - self.next >= WINDOW_SIZE {
            self.seen = [0; WINDOW_WORDS];
        } else {
            for entering in self.next..=number {
                let (word, bit) = word_and_bit(entering);
                self.seen[word] &= !bit;
            }
        }
        self.next = number + 1;
    }
}

fn word_and_bit(number: u64) -> (usize, u64) {
    let offset = number % WINDOW_SIZE;
    ((offset / 64) as usize, 1 << (offset % 64))
}

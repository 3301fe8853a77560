//! Tells a first copy of a message from a later one, in bounded memory.
//!
//! Each process start numbers the requests that it sends. For each sender the
//! highest number seen and a window of bits beneath it are kept, as protocols
//! against replay do. A number beneath the window is not provably new.

use super::sharded::Sharded;
use crate::model::Incarnation;

/// Words of the window; numbers older than 64 times this count as seen.
const WORDS: usize = 16;
/// Numbers in the window.
const WINDOW: u64 = 64 * WORDS as u64;

/// Numbers seen, by sender.
#[derive(Debug, Default)]
pub struct ReplayWindows {
    senders: Sharded<Incarnation, ReplayWindow>,
}

#[derive(Debug, Default)]
struct ReplayWindow {
    next: u64,
    seen: [u64; WORDS],
}

impl ReplayWindows {
    /// Takes in a number. True if it is certain that it has not been seen before.
    pub fn is_first(&self, sender: Incarnation, number: u64) -> bool {
        let mut shard = self.senders.lock(&sender);
        shard.entry(sender).or_default().take(number)
    }
}

impl ReplayWindow {
    fn take(&mut self, number: u64) -> bool {
        if number + WINDOW < self.next {
            return false;
        }
        if number >= self.next {
            self.advance(number);
        }
        let (word, bit) = place(number);
        let first = self.seen[word] & bit == 0;
        self.seen[word] |= bit;
        first
    }

    /// Clears the places of the numbers up to `number`, which come into the window.
    fn advance(&mut self, number: u64) {
        if number - self.next >= WINDOW {
            self.seen = [0; WORDS];
        } else {
            for entering in self.next..=number {
                let (word, bit) = place(entering);
                self.seen[word] &= !bit;
            }
        }
        self.next = number + 1;
    }
}

fn place(number: u64) -> (usize, u64) {
    let offset = number % WINDOW;
    ((offset / 64) as usize, 1 << (offset % 64))
}

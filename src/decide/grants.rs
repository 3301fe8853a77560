//! Which messages have brought their allowance already.
//!
//! A call without a key has no record, so that a late copy of its message runs
//! again. The copy must not bring the allowance a second time.

use std::collections::HashSet;
use std::sync::Mutex;

use super::message::MessageId;
use super::sharded::lock;
use crate::model::TimeMs;

/// Time for which a message is remembered at least, in milliseconds.
const REMEMBER_MS: u64 = 10_000;
/// Messages remembered in one generation. When it is full, allowances are refused.
const MAX_MESSAGES: usize = 65_536;

#[derive(Debug, Default)]
struct Generations {
    since: TimeMs,
    current: HashSet<MessageId>,
    last: HashSet<MessageId>,
}

/// Messages of late that brought an allowance, in two generations.
#[derive(Debug, Default)]
pub struct Grants {
    generations: Mutex<Generations>,
}

impl Grants {
    /// Whether a message may spend its allowance: it is the first copy, as far as is known.
    pub fn is_first(&self, now: TimeMs, message: MessageId) -> bool {
        let mut generations = lock(&self.generations);
        if now.since_ms(generations.since) >= REMEMBER_MS {
            generations.last = std::mem::take(&mut generations.current);
            generations.since = now;
        }
        if generations.last.contains(&message) || generations.current.len() >= MAX_MESSAGES {
            return false;
        }
        generations.current.insert(message)
    }
}

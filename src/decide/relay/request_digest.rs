//! Recognises a request that comes again under another id and at another daemon.

use std::ops::RangeInclusive;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

/// Bits of a digest that hold the caller; those above them hold the content.
const CALLER_BITS: u32 = 16;
const CALLER_MASK: u64 = (1 << CALLER_BITS) - 1;

/// Hash of what makes up a request apart from its id and its deadline: its content and its caller. The
/// bodies themselves are not kept. A hash that is not cryptographic is enough: a collision holds back
/// one more request.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestDigest(pub u64);

/// Who makes a request.
#[derive(Debug, Clone, Copy)]
pub struct RequestCaller<'a> {
    /// Service of the VM where it began.
    pub service: &'a str,
    /// Organisation that it is made for, if any.
    pub organisation: Option<&'a str>,
}

impl RequestDigest {
    /// Digest of a method, a path with its query, a body and a caller.
    pub fn new(
        method: &str,
        path_and_query: &str,
        body: &[u8],
        caller: RequestCaller<'_>,
    ) -> RequestDigest {
        let content = hash_parts([method.as_bytes(), path_and_query.as_bytes(), body]);
        let organisation = caller.organisation.unwrap_or_default();
        let caller = hash_parts([caller.service.as_bytes(), organisation.as_bytes()]);
        RequestDigest(content & !CALLER_MASK | caller & CALLER_MASK)
    }

    /// The content alone; the lowest of the digests that share it.
    pub fn content(self) -> RequestDigest {
        RequestDigest(self.0 & !CALLER_MASK)
    }

    /// The digests of the same content for all callers.
    pub fn of_all_callers(self) -> RangeInclusive<RequestDigest> {
        self.content()..=RequestDigest(self.0 | CALLER_MASK)
    }
}

fn hash_parts<const N: usize>(parts: [&[u8]; N]) -> u64 {
    let mut hasher = Xxh3Default::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}

impl std::fmt::Display for RequestDigest {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

//! Organisations of the configuration, found by a digest of their API keys.

use std::collections::HashMap;

use sha2::{Digest, Sha256};

use crate::model::OrganisationName;

/// Rate limit of an organisation, over all daemons together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Requests a second.
    pub per_s: f64,
    /// Requests that may come at once after an idle time, beyond the rate.
    pub burst: f64,
}

/// An organisation of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Organisation {
    /// Name, unique within a table.
    pub name: OrganisationName,
    /// Priority of its requests; `None` if that of the route holds.
    pub priority: Option<u8>,
    /// Its rate limit; `None` for no limit.
    pub quota: Option<Quota>,
}

/// Digest of an API key, so that keys themselves are not kept here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

/// Bytes of a digest that are kept. With 10,000 keys, two have the same digest with a probability
/// below 1e-30.
const DIGEST_BYTES: usize = 16;

impl KeyDigest {
    /// Digest of an API key: the first bytes of its SHA-256.
    pub fn of(api_key: &[u8]) -> KeyDigest {
        let whole = Sha256::digest(api_key);
        let mut kept = [0; DIGEST_BYTES];
        kept.copy_from_slice(&whole[..DIGEST_BYTES]);
        KeyDigest(kept)
    }
}

/// All organisations of one version of the configuration.
#[derive(Debug, Default)]
pub struct OrganisationTable {
    organisations: Vec<Organisation>,
    by_key: HashMap<KeyDigest, usize>,
    by_name: HashMap<OrganisationName, usize>,
}

impl OrganisationTable {
    /// Builds the table; each digest names the position of its organisation.
    pub fn new(
        organisations: Vec<Organisation>,
        by_key: HashMap<KeyDigest, usize>,
    ) -> OrganisationTable {
        let names = organisations.iter().enumerate();
        let by_name = names
            .map(|(index, organisation)| (organisation.name.clone(), index))
            .collect();
        OrganisationTable {
            organisations,
            by_key,
            by_name,
        }
    }

    /// The organisation that a key belongs to.
    pub fn of_key(&self, digest: KeyDigest) -> Option<&Organisation> {
        self.by_key
            .get(&digest)
            .map(|index| &self.organisations[*index])
    }

    /// Looks up an organisation by name.
    pub fn get(&self, name: &OrganisationName) -> Option<&Organisation> {
        self.by_name
            .get(name)
            .map(|index| &self.organisations[*index])
    }

    /// All organisations in the order of the configuration.
    pub fn all(&self) -> &[Organisation] {
        &self.organisations
    }

    /// Number of API keys.
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }
}

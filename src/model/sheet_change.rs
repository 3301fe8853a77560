//! Changes between sheets, and the hashes that identify sheets and their histories.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::names::ServiceName;
use super::sheet::{CallerShare, Rule, SheetContent};

/// A SHA-256 digest, serialized as 64 hexadecimal digits.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SheetHash([u8; 32]);

impl SheetHash {
    /// Hashes several parts, each preceded by its length so that their boundaries matter.
    pub fn of(parts: &[&[u8]]) -> SheetHash {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        SheetHash(hasher.finalize().into())
    }

    /// Returns the raw digest.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Display for SheetHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for SheetHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl From<SheetHash> for String {
    fn from(hash: SheetHash) -> String {
        hash.to_string()
    }
}

impl TryFrom<String> for SheetHash {
    type Error = String;

    fn try_from(text: String) -> Result<SheetHash, String> {
        let malformed = || format!("`{text}` is not a hash of 64 hexadecimal digits");
        if text.len() != 64 || !text.is_ascii() {
            return Err(malformed());
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| malformed())?;
        }
        Ok(SheetHash(bytes))
    }
}

/// The new rules of one service, which replace all its previous rules.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRules {
    /// The service; `None` for the rules that match any service.
    pub service: Option<ServiceName>,
    /// Its rules, sorted; empty removes the service from the sheet.
    pub rules: Vec<Rule>,
}

/// The difference between two sheets, with one entry for each service that differs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SheetChange {
    /// Services whose rules differ, sorted by name.
    pub services: Vec<ServiceRules>,
    /// All new shares if any differs, else `None`.
    pub shares: Option<Vec<CallerShare>>,
}

impl SheetChange {
    /// Computes the change that turns `old` into `new`, both in canonical form.
    pub fn between(old: &SheetContent, new: &SheetContent) -> SheetChange {
        let (before, after) = (group_by_service(&old.rules), group_by_service(&new.rules));
        let mut services = Vec::new();
        for (service, rules) in &after {
            if before.get(service) != Some(rules) {
                services.push(service_rules(service, rules));
            }
        }
        for service in before
            .keys()
            .filter(|service| !after.contains_key(*service))
        {
            services.push(service_rules(service, &[]));
        }
        services.sort_by(|a, b| a.service.cmp(&b.service));
        SheetChange {
            services,
            shares: (old.shares != new.shares).then(|| new.shares.clone()),
        }
    }

    /// Returns `old` with this change applied.
    pub fn apply(&self, old: &SheetContent) -> SheetContent {
        let is_unchanged = |rule: &&Rule| !self.services.iter().any(|s| s.service == rule.service);
        let mut rules: Vec<Rule> = old.rules.iter().filter(is_unchanged).cloned().collect();
        rules.extend(self.services.iter().flat_map(|s| s.rules.iter().cloned()));
        let shares = self.shares.clone().unwrap_or_else(|| old.shares.clone());
        SheetContent::canonical(rules, shares)
    }

    /// Whether the change alters nothing.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty() && self.shares.is_none()
    }
}

fn group_by_service(rules: &[Rule]) -> BTreeMap<Option<ServiceName>, Vec<Rule>> {
    let mut services: BTreeMap<_, Vec<Rule>> = BTreeMap::new();
    for rule in rules {
        let service = services.entry(rule.service.clone()).or_default();
        service.push(rule.clone());
    }
    services
}

fn service_rules(service: &Option<ServiceName>, rules: &[Rule]) -> ServiceRules {
    ServiceRules {
        service: service.clone(),
        rules: rules.to_vec(),
    }
}

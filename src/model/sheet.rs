//! Planning sheets: the operators' rules and shares, in canonical form.

use serde::{Deserialize, Serialize};

use super::contract::Contract;
use super::names::{AuthorName, CallerName, RequestName, ServiceName};
use super::request::SheetVersion;
use super::sheet_change::SheetHash;

/// A rule that assigns a contract to requests. The most specific matching rule applies.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// The service; `None` matches any.
    pub service: Option<ServiceName>,
    /// The kind of request; `None` matches any.
    pub request: Option<RequestName>,
    /// The caller; `None` matches any.
    pub caller: Option<CallerName>,
    /// The contract of matching requests.
    pub contract: Contract,
}

impl Rule {
    /// Returns the service, request and caller that the rule matches, unique within a sheet.
    pub fn subject(
        &self,
    ) -> (
        Option<&ServiceName>,
        Option<&RequestName>,
        Option<&CallerName>,
    ) {
        (
            self.service.as_ref(),
            self.request.as_ref(),
            self.caller.as_ref(),
        )
    }
}

/// A caller's share of the slots of every backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerShare {
    /// The caller.
    pub caller: CallerName,
    /// Share of the slots, in percent.
    pub percent: u32,
}

/// Rules and shares of a sheet, without version and author.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SheetContent {
    /// Rules, sorted by service, request and caller.
    pub rules: Vec<Rule>,
    /// Shares of callers, sorted by caller.
    pub shares: Vec<CallerShare>,
}

impl SheetContent {
    /// Creates content in canonical form, with rules and shares sorted.
    pub fn canonical(mut rules: Vec<Rule>, mut shares: Vec<CallerShare>) -> SheetContent {
        rules.sort_by(|a, b| a.subject().cmp(&b.subject()));
        shares.sort_by(|a, b| a.caller.cmp(&b.caller));
        SheetContent { rules, shares }
    }

    /// Length of the JSON encoding, in bytes.
    pub fn encoded_bytes(&self) -> usize {
        serde_json::to_vec(self).map_or(usize::MAX, |bytes| bytes.len())
    }

    /// Hash of the canonical form; equal for exports with the same rules and shares.
    pub fn hash(&self) -> SheetHash {
        let bytes = serde_json::to_vec(self).unwrap_or_default();
        SheetHash::of(&[&bytes])
    }
}

/// A published planning sheet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sheet {
    /// Position in the order of publications.
    pub version: SheetVersion,
    /// The publisher.
    pub author: AuthorName,
    /// Time of publication, in milliseconds since the Unix epoch.
    pub published_ms: u64,
    /// Rules, sorted by service, request and caller.
    pub rules: Vec<Rule>,
    /// Shares of callers, sorted by caller.
    pub shares: Vec<CallerShare>,
}

impl Sheet {
    /// The built-in sheet, in force before the first publication. It has no rules, so
    /// [`Contract::FALLBACK`] applies to every request.
    pub fn built_in() -> Sheet {
        Sheet {
            version: SheetVersion(0),
            author: "built-in".into(),
            published_ms: 0,
            rules: Vec::new(),
            shares: Vec::new(),
        }
    }

    /// Returns the rules and shares without version and author.
    pub fn content(&self) -> SheetContent {
        SheetContent::canonical(self.rules.clone(), self.shares.clone())
    }
}

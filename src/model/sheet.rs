//! The planning sheet: the operators' rules for a closing, in canonical form.

use serde::{Deserialize, Serialize};

use super::contract::Contract;
use super::names::{AuthorName, CallerName, RequestName, ServiceName};
use super::request::SheetVersion;
use super::sheet_change::SheetHash;

/// One rule. A field left out matches everything; the most specific rule wins.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// The service, or any.
    pub service: Option<ServiceName>,
    /// The kind of request, or any.
    pub request: Option<RequestName>,
    /// The caller, or any.
    pub caller: Option<CallerName>,
    /// What holds for the requests that match.
    pub contract: Contract,
}

impl Rule {
    /// What the rule applies to; two rules of one sheet must differ in it.
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

/// A caller's share of every backend server, in percent of its slots.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerShare {
    /// The caller.
    pub caller: CallerName,
    /// Share in percent.
    pub percent: u32,
}

/// What a sheet says, without its place in the order of publications.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SheetContent {
    /// The rules, sorted by service, request and caller.
    pub rules: Vec<Rule>,
    /// Shares of callers, sorted by caller.
    pub shares: Vec<CallerShare>,
}

impl SheetContent {
    /// Brings rules and shares into canonical form.
    pub fn canonical(mut rules: Vec<Rule>, mut shares: Vec<CallerShare>) -> SheetContent {
        rules.sort_by(|one, other| one.subject().cmp(&other.subject()));
        shares.sort_by(|one, other| one.caller.cmp(&other.caller));
        SheetContent { rules, shares }
    }

    /// Length of the canonical form, in bytes.
    pub fn encoded_bytes(&self) -> usize {
        serde_json::to_vec(self).map_or(usize::MAX, |bytes| bytes.len())
    }

    /// The hash of the canonical form: equal for two exports that say the same.
    pub fn hash(&self) -> SheetHash {
        let bytes = serde_json::to_vec(self).unwrap_or_default();
        SheetHash::of(&[&bytes])
    }
}

/// A planning sheet with its place in the order of publications.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sheet {
    /// The version.
    pub version: SheetVersion,
    /// Who published it.
    pub author: AuthorName,
    /// When it was published, in milliseconds since the Unix epoch.
    pub published_ms: u64,
    /// The rules, sorted.
    pub rules: Vec<Rule>,
    /// Shares of callers, sorted.
    pub shares: Vec<CallerShare>,
}

impl Sheet {
    /// The sheet in force before any was published: no rule, so [`Contract::SAFE`] holds for all.
    pub fn none() -> Sheet {
        Sheet {
            version: SheetVersion(0),
            author: "built-in".into(),
            published_ms: 0,
            rules: Vec::new(),
            shares: Vec::new(),
        }
    }

    /// What the sheet says.
    pub fn content(&self) -> SheetContent {
        SheetContent::canonical(self.rules.clone(), self.shares.clone())
    }
}

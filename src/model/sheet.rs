//! The planning sheet: the operators' rules for a closing, in canonical form.

use serde::{Deserialize, Serialize};

use super::contract::Contract;
use super::names::{AuthorName, CallerName, RequestName, ServiceName};
use super::request::SheetVersion;

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

/// A caller's share of every backend server, in percent of its slots.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerShare {
    /// The caller.
    pub caller: CallerName,
    /// Share in percent.
    pub percent: u32,
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
}

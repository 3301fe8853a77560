//! Authentication of operators by bearer token, and authorisation by the role of their team.

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use sha2::{Digest, Sha256};
use strum::Display;
use subtle::ConstantTimeEq;
use thiserror::Error;

use crate::config::{AdminToken, Role};
use crate::model::ServiceName;

const SCHEME: &str = "Bearer ";

/// A team with a token for the administration API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// Name, as written to the audit trail.
    pub name: String,
    /// Determines the operations that the team may perform.
    pub role: Role,
    /// The services whose rules it may change if its role is [`Role::Team`].
    pub services: Vec<ServiceName>,
}

/// An operation that needs permission.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Operation {
    /// Read status, workers, sheets or the audit trail.
    Read,
    /// Stop a daemon gracefully.
    Drain,
    /// Change the rules of a service; `None` stands for changes that affect all services.
    ChangeRules(Option<ServiceName>),
}

/// Why a request of an operator is refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AuthError {
    /// The request carries no bearer token.
    #[error(
        "a token is needed: send the header `authorization: Bearer TOKEN` with one of the \
         tokens under `admin.tokens` in the daemon's settings"
    )]
    Missing,
    /// The token is not in the settings.
    #[error("the token is not known to this daemon: ask the platform's operators for one")]
    Unknown,
    /// The team's role does not allow the operation.
    #[error("the team `{team}` with the role `{role}` may not do this ({operation}): {remedy}")]
    Forbidden {
        /// Name of the team.
        team: String,
        /// Role of the team.
        role: Role,
        /// The operation refused.
        operation: Operation,
        /// Advice to the operator.
        remedy: String,
    },
}

/// The tokens from the settings. They are stored as digests, so that every comparison has the same
/// length.
pub struct Tokens {
    known: Vec<([u8; 32], Team)>,
}

impl Tokens {
    /// Hashes the tokens from the settings.
    pub fn new(tokens: &[AdminToken]) -> Tokens {
        let known = tokens.iter().map(|token| {
            let team = Team {
                name: token.team.clone(),
                role: token.role,
                services: token.services.clone(),
            };
            (digest(&token.token), team)
        });
        Tokens {
            known: known.collect(),
        }
    }

    /// Returns the team whose token a request carries. Compares with every token in constant time,
    /// so that the time taken reveals nothing about a token.
    pub fn team(&self, headers: &HeaderMap) -> Result<&Team, AuthError> {
        let header = headers.get(AUTHORIZATION).ok_or(AuthError::Missing)?;
        let text = header.to_str().map_err(|_| AuthError::Unknown)?;
        let token = text.strip_prefix(SCHEME).ok_or(AuthError::Missing)?;
        let given = digest(token);
        let mut found = None;
        for (known, team) in &self.known {
            if bool::from(known.ct_eq(&given)) {
                found = Some(team);
            }
        }
        found.ok_or(AuthError::Unknown)
    }
}

impl std::fmt::Debug for Tokens {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let teams = self.known.iter().map(|(_, team)| team);
        f.debug_list().entries(teams).finish()
    }
}

impl Team {
    /// Returns an error if the role does not allow the operation.
    pub fn check(&self, operation: &Operation) -> Result<(), AuthError> {
        let allowed = match (self.role, operation) {
            (Role::Operator, _) | (_, Operation::Read) => true,
            (Role::Team, Operation::ChangeRules(Some(service))) => self.services.contains(service),
            (Role::Team | Role::Viewer, _) => false,
        };
        if allowed {
            return Ok(());
        }
        Err(AuthError::Forbidden {
            team: self.name.clone(),
            role: self.role,
            operation: operation.clone(),
            remedy: self.remedy(operation),
        })
    }

    fn remedy(&self, operation: &Operation) -> String {
        match (self.role, operation) {
            (Role::Team, Operation::ChangeRules(Some(service))) => {
                format!("`{service}` is not among its services {:?}", self.services)
            }
            (Role::Team, Operation::ChangeRules(None)) => {
                "rules for all services are the operators'".to_owned()
            }
            _ => "ask an operator".to_owned(),
        }
    }
}

fn digest(token: &str) -> [u8; 32] {
    Sha256::digest(token.as_bytes()).into()
}

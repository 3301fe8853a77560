//! Who an operator is, by token, and what that team may do.

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use sha2::{Digest, Sha256};
use strum::Display;
use subtle::ConstantTimeEq;
use thiserror::Error;

use crate::config::{AdminToken, Role};
use crate::model::ServiceName;

const SCHEME: &str = "Bearer ";

/// A team that shares the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// The name, as the audit trail has it.
    pub name: String,
    /// What it may do.
    pub role: Role,
    /// The services whose rules it may change if its role is [`Role::Team`].
    pub services: Vec<ServiceName>,
}

/// What an operator wants to do.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Wish {
    /// Read anything.
    Read,
    /// Stop a daemon gracefully.
    Drain,
    /// Change the rules of a service; `None` stands for rules that hold for all services.
    ChangeRules(Option<ServiceName>),
}

/// Why a request of an operator is refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AuthError {
    /// No token.
    #[error(
        "a token is needed: send the header `authorization: Bearer TOKEN` with one of the \
         tokens under `admin.tokens` in the daemon's settings"
    )]
    Missing,
    /// A token that is not in the settings.
    #[error("the token is not known to this daemon: ask the platform's operators for one")]
    Unknown,
    /// A token whose role does not allow it.
    #[error("the team `{team}` with the role `{role}` may not do this ({wish}): {remedy}")]
    Forbidden {
        /// The team.
        team: String,
        /// Its role.
        role: Role,
        /// What it wanted.
        wish: Wish,
        /// What to do.
        remedy: String,
    },
}

/// The tokens of the settings, kept as digests so that all comparisons are of one length.
pub struct Tokens {
    known: Vec<([u8; 32], Team)>,
}

impl Tokens {
    /// Takes over the tokens of the settings.
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

    /// The team whose token a request carries. Takes as long for each token.
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
    /// Refuses what the role does not allow.
    pub fn check(&self, wish: &Wish) -> Result<(), AuthError> {
        let allowed = match (self.role, wish) {
            (Role::Operator, _) | (_, Wish::Read) => true,
            (Role::Team, Wish::ChangeRules(Some(service))) => self.services.contains(service),
            (Role::Team | Role::Viewer, _) => false,
        };
        if allowed {
            return Ok(());
        }
        Err(AuthError::Forbidden {
            team: self.name.clone(),
            role: self.role,
            wish: wish.clone(),
            remedy: self.remedy(wish),
        })
    }

    fn remedy(&self, wish: &Wish) -> String {
        match (self.role, wish) {
            (Role::Team, Wish::ChangeRules(Some(service))) => {
                format!("`{service}` is not among its services {:?}", self.services)
            }
            (Role::Team, Wish::ChangeRules(None)) => {
                "rules for all services are the operators'".to_owned()
            }
            _ => "ask an operator".to_owned(),
        }
    }
}

fn digest(token: &str) -> [u8; 32] {
    Sha256::digest(token.as_bytes()).into()
}

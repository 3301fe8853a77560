//! Identifies on whose behalf a request is made: by its API key, or by the running request whose
//! call it is. Only where the configuration names organisations is an API key needed.

use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Response, StatusCode};
use rand::RngExt;

use super::body::RelayBody;
use super::entry::refusal;
use super::hop::empty_response;
use super::log_limiter::LineKind;
use super::state::{Relay, RunningRequest};
use crate::decide::relay::{KeyDigest, Organisation, Route, RouteTable};
use crate::model::OrganisationName;

/// Range of the retry-after time for a call whose parent is not known, in milliseconds. The parent
/// does not come back, so that an earlier retry would be refused as well.
const NO_PARENT_RETRY_MS: std::ops::Range<u64> = 800..1_600;
/// Range of the retry-after time while this daemon cannot tell whether an API key is valid, in
/// milliseconds: about the time in which a connected daemon adopts a newer configuration.
const OUTDATED_RETRY_MS: std::ops::Range<u64> = 800..1_600;

/// On whose behalf a request is made.
#[derive(Debug)]
pub(super) struct Identity<'a> {
    /// The parent of a call, and its id.
    pub(super) parent: Option<(&'a str, RunningRequest)>,
    /// The organisation of a root request; `None` without an API key.
    pub(super) organisation: Option<&'a Organisation>,
}

/// Why a request is refused before it is routed to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum IdentityError {
    /// It needs an API key and has none.
    Missing,
    /// No organisation has its API key.
    Unknown,
    /// No organisation has its API key, but this daemon may lack a newer configuration.
    UnknownHere,
    /// `strict_revoke` is set, and the configuration in force may have been replaced long ago.
    Outdated,
    /// It may be a call whose parent this daemon does not know.
    NoParent,
}

/// Identifies the parent of a call or the organisation of a root request.
pub(super) fn identify<'a>(
    relay: &Relay,
    table: &'a RouteTable,
    route: &Route,
    id: &'a str,
    headers: &HeaderMap,
) -> Result<Identity<'a>, IdentityError> {
    let Some(organisations) = &table.organisations else {
        return Ok(Identity {
            parent: parent_of(relay, id, false),
            organisation: None,
        });
    };
    let api_key = headers.get(&relay.header_names.credential);
    let api_key = api_key.map(HeaderValue::as_bytes).unwrap_or_default();
    if api_key.is_empty() {
        let parent = parent_of(relay, id, true);
        if parent.is_none() {
            if has_call_form(id) {
                return Err(IdentityError::NoParent);
            }
            if !route.is_public {
                return Err(IdentityError::Missing);
            }
        }
        return Ok(Identity {
            parent,
            organisation: None,
        });
    }
    // A request with an API key is a client's, whatever its id.
    let organisation = organisations.of_key(KeyDigest::of(api_key));
    if !route.is_public {
        if relay.is_config_too_old() {
            return Err(IdentityError::Outdated);
        }
        if organisation.is_none() {
            return Err(if relay.is_config_up_to_date() {
                IdentityError::Unknown
            } else {
                IdentityError::UnknownHere
            });
        }
    }
    Ok(Identity {
        parent: None,
        organisation,
    })
}

/// Whether an id could be that of a call: its parent's id, a dot and a suffix.
fn has_call_form(id: &str) -> bool {
    id.find('.').is_some_and(|dot| dot > 0)
}

/// The parent request and its id, if the parent runs on the backend server beside this daemon or,
/// if `or_ended`, has just ended there. The id of a nested call is its parent's id, a dot and a
/// suffix.
fn parent_of<'a>(relay: &Relay, id: &'a str, or_ended: bool) -> Option<(&'a str, RunningRequest)> {
    let now = relay.clock.now();
    let tables = relay.tables();
    let mut end = id.len();
    while let Some(dot) = id[..end].rfind('.') {
        let running = tables.running.get(&id[..dot]);
        let ended = || tables.ended.get(now, &id[..dot]).filter(|_| or_ended);
        if let Some(parent) = running.or_else(ended) {
            return Some((&id[..dot], parent.clone()));
        }
        end = dot;
    }
    None
}

/// Replaces what a request states about its sender: removes the API key, and names the
/// organisation for the backend server. Without organisations in the configuration the headers
/// stay as they are.
pub(super) fn replace_headers(
    relay: &Relay,
    table: Option<&RouteTable>,
    headers: &mut HeaderMap,
    organisation: Option<&OrganisationName>,
) {
    if table.is_none_or(|table| table.organisations.is_none()) {
        return;
    }
    let header_names = &relay.header_names;
    headers.remove(&header_names.credential);
    headers.remove(&header_names.organisation);
    // The names were validated with the configuration.
    let value = organisation.map(|name| HeaderValue::from_bytes(name.as_str().as_bytes()));
    if let Some(Ok(value)) = value {
        headers.insert(header_names.organisation.clone(), value);
    }
}

/// Logs and counts a request that is refused, and builds its answer.
pub(super) fn refuse(
    relay: &Relay,
    request_id: &str,
    route: &Route,
    config: u64,
    error: IdentityError,
) -> Response<RelayBody> {
    relay.metrics.not_identified(error);
    let cause: &str = error.into();
    let retry_ms = match error {
        IdentityError::Missing | IdentityError::Unknown => None,
        IdentityError::UnknownHere | IdentityError::Outdated => Some(OUTDATED_RETRY_MS),
        IdentityError::NoParent => Some(NO_PARENT_RETRY_MS),
    };
    let status = if retry_ms.is_some() {
        StatusCode::SERVICE_UNAVAILABLE
    } else {
        StatusCode::UNAUTHORIZED
    };
    if relay.may_log(LineKind::Failed) {
        let (route, status) = (route.name.as_str(), u64::from(status.as_u16()));
        spdlog::info!("a request was refused for its API key", kv: {
            request_id, route, cause, status, config
        });
    }
    match retry_ms {
        None => empty_response(status),
        Some(range) => refusal(relay.tables().rng.random_range(range)),
    }
}

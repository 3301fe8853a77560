//! Administration API routes for sheets and the audit trail.

use std::sync::Arc;

use hyper::{HeaderMap, Method, StatusCode};
use serde::{Deserialize, Serialize};

use super::admin::{Admin, refusal};
use super::admin_auth::Operation;
use super::control::ControlLoop;
use super::daemon::unix_ms;
use super::http::{self, FullResponse};
use crate::decide::control::audit::{AuditBatch, AuditEntry};
use crate::decide::control::publish::{PublishRequest, PublishStatus};
use crate::decide::control::record::Accepted;
use crate::decide::control::sheet_control::SheetStatus;
use crate::model::{
    AuthorName, ServiceName, Sheet, SheetChange, SheetContent, SheetHash, SheetVersion, WorkerId,
};
use crate::sheet::{self, SheetIssue};

const MAX_ID_BYTES: usize = 128;

/// Response body of `GET /v1/sheet`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SheetAnswer {
    /// Version, author, publication time and age of the sheet.
    pub status: SheetStatus,
    /// Hash of the sheet's rules and shares.
    pub content_hash: SheetHash,
    /// The sheet in force.
    pub sheet: Sheet,
}

/// Request body of `POST /v1/sheet`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishBody {
    /// Chosen by the publisher, from 1 to 128 bytes; a retry repeats it.
    pub id: String,
    /// Version that the sheet replaces; `None` starts a new history.
    pub base: Option<SheetVersion>,
    /// Chain hash of `base`, if the publisher knows it.
    #[serde(default)]
    pub base_chain: Option<SheetHash>,
    /// Name of the publisher; if empty, the team of the token.
    pub author: AuthorName,
    /// Sheet in CSV format.
    pub csv: String,
}

/// Response body of `POST /v1/sheet`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishAnswer {
    /// Errors and warnings found in the sheet.
    pub issues: Vec<SheetIssue>,
    /// Result of the publication; `None` if the sheet has errors and was not published.
    pub outcome: Option<PublishStatus>,
}

/// One entry of the audit trail with its origin, as returned by `GET /v1/audit`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuditLine {
    /// Daemon that recorded the entry.
    pub worker: WorkerId,
    /// Sequence number of the entry at that daemon.
    pub number: u64,
    /// The recorded event.
    pub entry: AuditEntry,
}

/// Response body of `GET /v1/audit`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuditAnswer {
    /// Entries that match the query, oldest first.
    pub lines: Vec<AuditLine>,
    /// Number of entries that daemons dropped while they could not write to the log, whether or
    /// not they match the query.
    pub dropped: u64,
}

/// Query of `GET /v1/audit`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AuditFilter {
    /// Earliest time of an entry, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// Selects entries about this service; entries that name no service always match.
    pub service: Option<ServiceName>,
    /// Selects entries of this author.
    pub author: Option<AuthorName>,
}

/// A request to one of the routes of this module.
#[derive(Debug, Clone, Copy)]
pub struct AdminRequest<'a> {
    /// HTTP method.
    pub method: &'a Method,
    /// Segments of the path, split at slashes.
    pub segments: &'a [&'a str],
    /// Query string without its question mark.
    pub query: Option<&'a str>,
    /// Headers; `authorization` carries the token.
    pub headers: &'a HeaderMap,
    /// Method and path, for the log and the audit trail.
    pub request_line: &'a str,
    /// Whole request body.
    pub body: &'a [u8],
}

/// Handles the routes of this module; returns `None` for any other.
pub async fn handle(admin: &Admin, request: AdminRequest<'_>) -> Option<FullResponse> {
    let control = &admin.parts().control;
    let is_publish = match (request.method, request.segments) {
        (&Method::POST, ["v1", "sheet"]) => true,
        (&Method::GET, ["v1", "sheet"] | ["v1", "sheet", "history"] | ["v1", "audit"]) => false,
        _ => return None,
    };
    let team = match admin.authorise(request.headers, request.request_line, &Operation::Read) {
        Ok(team) => team.name.clone(),
        Err(error) => return Some(refusal(&error)),
    };
    if is_publish {
        return Some(authorise_and_publish(admin, request, &team).await);
    }
    Some(match request.segments {
        ["v1", "audit"] => audit(control, request.query).await,
        ["v1", "sheet", "history"] => history(control).await,
        _ => current_sheet(control).await,
    })
}

async fn authorise_and_publish(
    admin: &Admin,
    request: AdminRequest<'_>,
    team: &str,
) -> FullResponse {
    let control = &admin.parts().control;
    let mut body = match publish_body(request.body) {
        Ok(body) => body,
        Err(message) => return http::error(StatusCode::BAD_REQUEST, &message),
    };
    let mut operations = changed_services(control, &body).await;
    if operations.is_empty() || body.base.is_none() {
        operations.push(None);
    }
    for service in operations {
        let operation = Operation::ChangeRules(service);
        if let Err(error) = admin.authorise(request.headers, request.request_line, &operation) {
            return refusal(&error);
        }
    }
    body.author = author_of_team(&body.author, team);
    publish(control, body).await
}

/// Author for the records: the name given by the publisher, followed by the token's team if it
/// differs.
fn author_of_team(author: &AuthorName, team: &str) -> AuthorName {
    if author.as_str().is_empty() || author.as_str() == team {
        return team.into();
    }
    format!("{author} ({team})").as_str().into()
}

async fn current_sheet(control: &ControlLoop) -> FullResponse {
    let sheet = control.sheet().await;
    let answer = SheetAnswer {
        status: control.sheet_status().await,
        content_hash: sheet.content().hash(),
        sheet: Sheet::clone(&sheet),
    };
    http::json(StatusCode::OK, &answer)
}

async fn history(control: &ControlLoop) -> FullResponse {
    let history: Vec<Accepted> = control.sheet_history().await;
    http::json(StatusCode::OK, &history)
}

/// Parses and checks the body of `POST /v1/sheet`.
fn publish_body(body: &[u8]) -> Result<PublishBody, String> {
    let body: PublishBody = serde_json::from_slice(body)
        .map_err(|error| format!("the body is not a publication: {error}"))?;
    if body.id.is_empty() || body.id.len() > MAX_ID_BYTES {
        return Err("the id must have between 1 and 128 bytes".to_owned());
    }
    Ok(body)
}

/// Services whose rules a publication would change; `None` stands for a change that affects all
/// services.
async fn changed_services(control: &ControlLoop, body: &PublishBody) -> Vec<Option<ServiceName>> {
    let new = sheet::parse(body.csv.as_bytes()).content;
    let old = match body.base {
        Some(_) => control.sheet().await.content(),
        None => SheetContent::default(),
    };
    let change = SheetChange::between(&old, &new);
    let shares = change.shares.is_some().then_some(None);
    let services = change.services.into_iter().map(|rules| rules.service);
    services.chain(shares).collect()
}

async fn publish(control: &Arc<ControlLoop>, body: PublishBody) -> FullResponse {
    let checked = sheet::parse(body.csv.as_bytes());
    if checked.has_errors() {
        let answer = PublishAnswer {
            issues: checked.issues,
            outcome: None,
        };
        return http::json(StatusCode::OK, &answer);
    }
    let request = PublishRequest {
        id: body.id,
        base: body.base,
        base_chain: body.base_chain,
        author: body.author,
        published_ms: unix_ms(),
        content: checked.content,
    };
    let answer = PublishAnswer {
        outcome: Some(control.publish(request).await),
        issues: checked.issues,
    };
    http::json(StatusCode::OK, &answer)
}

async fn audit(control: &ControlLoop, query: Option<&str>) -> FullResponse {
    let filter = match AuditFilter::parse(query.unwrap_or_default()) {
        Ok(filter) => filter,
        Err(message) => return http::error(StatusCode::BAD_REQUEST, &message),
    };
    match control.read_audit().await {
        Ok(batches) => http::json(StatusCode::OK, &filter.select(batches)),
        Err(error) => http::error(StatusCode::BAD_GATEWAY, &error.to_string()),
    }
}

impl AuditFilter {
    /// Parses the query string of `GET /v1/audit`.
    pub fn parse(query: &str) -> Result<AuditFilter, String> {
        let mut filter = AuditFilter::default();
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let value = http::percent_decoded(value)?;
            match name {
                "since_ms" => {
                    let since_ms = value.parse();
                    filter.since_ms = since_ms.map_err(|_| format!("`{value}` is no time"))?;
                }
                "service" => filter.service = Some(value.as_str().into()),
                "author" => filter.author = Some(value.as_str().into()),
                _ => return Err(format!("`{name}`: use since_ms, service and author")),
            }
        }
        Ok(filter)
    }

    /// Returns the entries that match, without duplicates, oldest first.
    pub fn select(&self, batches: Vec<AuditBatch>) -> AuditAnswer {
        let mut dropped = std::collections::BTreeMap::new();
        let mut lines = Vec::new();
        for batch in batches {
            let max_dropped: &mut u64 = dropped.entry(batch.worker).or_default();
            *max_dropped = batch.dropped.max(*max_dropped);
            let numbers = batch.first..;
            let matching = numbers
                .zip(batch.entries)
                .filter(|(_, entry)| self.matches(entry));
            lines.extend(matching.map(|(number, entry)| AuditLine {
                worker: batch.worker,
                number,
                entry,
            }));
        }
        lines.sort_by_key(|line| (line.entry.at_ms, line.worker, line.number));
        lines.dedup_by_key(|line| (line.worker, line.number));
        AuditAnswer {
            lines,
            dropped: dropped.values().sum(),
        }
    }

    fn matches(&self, entry: &AuditEntry) -> bool {
        let about = |service| entry.services.is_empty() || entry.services.contains(service);
        entry.at_ms >= self.since_ms
            && self.service.as_ref().is_none_or(about)
            && self
                .author
                .as_ref()
                .is_none_or(|author| *author == entry.author)
    }
}

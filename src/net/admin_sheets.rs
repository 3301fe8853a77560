//! The routes of the administration API for sheets and the audit trail.

use std::sync::Arc;

use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};

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

/// Longest publication id, in bytes.
const MAX_ID_BYTES: usize = 128;

/// The sheet in force, as `GET /v1/sheet` answers it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SheetAnswer {
    /// Version, author, time and age.
    pub status: SheetStatus,
    /// The hash of the content.
    pub content_hash: SheetHash,
    /// The sheet.
    pub sheet: Sheet,
}

/// The body of `POST /v1/sheet`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishBody {
    /// Chosen by the publisher; the same for each repetition.
    pub id: String,
    /// The version that the sheet builds on; none starts a new history.
    pub base: Option<SheetVersion>,
    /// The chain hash of that version, if the publisher has seen it.
    #[serde(default)]
    pub base_chain: Option<SheetHash>,
    /// Who publishes.
    pub author: AuthorName,
    /// The sheet as CSV.
    pub csv: String,
}

/// The answer of `POST /v1/sheet`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishAnswer {
    /// Errors and warnings of the sheet.
    pub issues: Vec<SheetIssue>,
    /// How the publication ended; none if the sheet has errors.
    pub outcome: Option<PublishStatus>,
}

/// One entry of the audit trail with its place, as `GET /v1/audit` answers it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuditLine {
    /// The daemon that recorded it.
    pub worker: WorkerId,
    /// Its number among the entries of that daemon.
    pub number: u64,
    /// The entry.
    pub entry: AuditEntry,
}

/// The answer of `GET /v1/audit`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuditAnswer {
    /// The entries asked for, oldest first.
    pub lines: Vec<AuditLine>,
    /// Entries that daemons had to drop while the log could not be written.
    pub dropped: u64,
}

/// Which entries of the audit trail are wanted.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AuditFilter {
    /// Only entries from this time on, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// Only entries about this service; entries about all services are always included.
    pub service: Option<ServiceName>,
    /// Only entries of this author.
    pub author: Option<AuthorName>,
}

/// `GET /v1/sheet`
pub async fn show(control: &ControlLoop) -> FullResponse {
    let sheet = control.sheet().await;
    let answer = SheetAnswer {
        status: control.sheet_status().await,
        content_hash: sheet.content().hash(),
        sheet: Sheet::clone(&sheet),
    };
    http::json(StatusCode::OK, &answer)
}

/// `GET /v1/sheet/history`
pub async fn history(control: &ControlLoop) -> FullResponse {
    let history: Vec<Accepted> = control.sheet_history().await;
    http::json(StatusCode::OK, &history)
}

/// Reads the body of `POST /v1/sheet`; else what is wrong with it.
pub fn publish_body(body: &[u8]) -> Result<PublishBody, String> {
    let body: PublishBody = serde_json::from_slice(body)
        .map_err(|error| format!("the body is not a publication: {error}"))?;
    if body.id.is_empty() || body.id.len() > MAX_ID_BYTES {
        return Err("the id must have between 1 and 128 bytes".to_owned());
    }
    if body.author.as_str().is_empty() {
        return Err("the author is missing: name who publishes".to_owned());
    }
    Ok(body)
}

/// The services whose rules a publication would change; none stands for rules of any service.
pub async fn changed_services(
    control: &ControlLoop,
    body: &PublishBody,
) -> Vec<Option<ServiceName>> {
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

/// `POST /v1/sheet`
pub async fn publish(control: &Arc<ControlLoop>, body: PublishBody) -> FullResponse {
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

/// `GET /v1/audit?since_ms=N&service=NAME&author=NAME`
pub async fn audit(control: &ControlLoop, query: Option<&str>) -> FullResponse {
    let filter = match AuditFilter::parse(query.unwrap_or_default()) {
        Ok(filter) => filter,
        Err(message) => return http::error(StatusCode::BAD_REQUEST, &message),
    };
    match control.read_audit().await {
        Ok(batches) => http::json(StatusCode::OK, &filter.select(batches)),
        Err(error) => http::error(StatusCode::BAD_GATEWAY, &error.to_string()),
    }
}

/// Answers the routes of this module; `None` for any other.
pub async fn handle(
    control: &Arc<ControlLoop>,
    method: &Method,
    segments: &[&str],
    query: Option<&str>,
    body: &[u8],
) -> Option<FullResponse> {
    match (method, segments) {
        (&Method::GET, ["v1", "sheet"]) => Some(show(control).await),
        (&Method::GET, ["v1", "sheet", "history"]) => Some(history(control).await),
        (&Method::POST, ["v1", "sheet"]) => match publish_body(body) {
            Ok(body) => Some(publish(control, body).await),
            Err(message) => Some(http::error(StatusCode::BAD_REQUEST, &message)),
        },
        (&Method::GET, ["v1", "audit"]) => Some(audit(control, query).await),
        _ => None,
    }
}

impl AuditFilter {
    /// Reads the query of `GET /v1/audit`.
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

    /// The entries wanted, each once, oldest first.
    pub fn select(&self, batches: Vec<AuditBatch>) -> AuditAnswer {
        let mut dropped = std::collections::BTreeMap::new();
        let mut lines = Vec::new();
        for batch in batches {
            let most: &mut u64 = dropped.entry(batch.worker).or_default();
            *most = batch.dropped.max(*most);
            let numbers = batch.first..;
            let wanted = numbers
                .zip(batch.entries)
                .filter(|(_, entry)| self.wants(entry));
            lines.extend(wanted.map(|(number, entry)| AuditLine {
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

    fn wants(&self, entry: &AuditEntry) -> bool {
        let about = |service| entry.services.is_empty() || entry.services.contains(service);
        entry.at_ms >= self.since_ms
            && self.service.as_ref().is_none_or(about)
            && self
                .author
                .as_ref()
                .is_none_or(|author| *author == entry.author)
    }
}

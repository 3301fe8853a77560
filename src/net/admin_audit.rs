//! Audit entries that the administration API writes for drain requests and refused requests.

use std::sync::Arc;

use super::admin_auth::AuthError;
use super::control::ControlLoop;
use super::daemon::unix_ms;
use crate::decide::control::audit::{AuditEntry, AuditKind};

/// A request that failed authentication or authorisation.
#[derive(Debug, Clone, Copy)]
pub struct Refusal<'a> {
    /// Team of the token; absent if the token is missing or unknown.
    pub team: Option<&'a str>,
    /// Method and path, such as `POST /v1/drain`.
    pub request: &'a str,
    /// Cause of the refusal.
    pub error: &'a AuthError,
}

/// Writes a refusal to the log and the audit trail.
pub fn record_refusal(control: &Arc<ControlLoop>, refusal: Refusal<'_>) {
    let team = refusal.team.unwrap_or("unknown");
    let request = refusal.request;
    let reason = refusal.error.to_string();
    let detail = format!("{request}: {reason}");
    spdlog::warn!("an operator's request was refused", kv: { team, request, reason });
    record(control, AuditKind::AdminRefused, team, detail);
}

/// Writes an operator's drain request to the audit trail.
pub fn record_drain_request(control: &Arc<ControlLoop>, team: &str) {
    let address = control.worker().address;
    let detail = format!("the drain of the daemon at {address} was asked for");
    record(control, AuditKind::Drain, team, detail);
}

fn record(control: &Arc<ControlLoop>, kind: AuditKind, team: &str, detail: String) {
    let entry = AuditEntry {
        at_ms: unix_ms(),
        kind,
        author: team.into(),
        services: Vec::new(),
        from_version: None,
        to_version: None,
        detail,
    };
    let control = Arc::clone(control);
    tokio::spawn(async move { control.audit(entry).await });
}

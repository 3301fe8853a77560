//! The one place by which the administration API records what it did and what it refused.

use std::sync::Arc;

use super::admin_auth::AuthError;
use super::control::ControlLoop;
use super::daemon::unix_ms;
use crate::decide::control::audit::{AuditEntry, AuditKind};

/// A refused request of an operator.
#[derive(Debug, Clone, Copy)]
pub struct Refusal<'a> {
    /// The team, if the token was known.
    pub team: Option<&'a str>,
    /// Method and path.
    pub request: &'a str,
    /// Why.
    pub error: &'a AuthError,
}

/// Records a refusal.
pub fn refused(control: &Arc<ControlLoop>, refusal: Refusal<'_>) {
    let team = refusal.team.unwrap_or("unknown");
    let request = refusal.request;
    let reason = refusal.error.to_string();
    let detail = format!("{request}: {reason}");
    spdlog::warn!("an operator's request was refused", kv: { team, request, reason });
    record(control, AuditKind::AdminRefused, team, detail);
}

/// Records that an operator has asked for the drain.
pub fn drained(control: &Arc<ControlLoop>, team: &str) {
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

//! The one place by which the administration API records what it refused.

use super::admin_auth::AuthError;

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
pub fn refused(refusal: Refusal<'_>) {
    let team = refusal.team.unwrap_or("unknown");
    let request = refusal.request;
    let reason = refusal.error.to_string();
    spdlog::warn!("an operator's request was refused", kv: { team, request, reason });
}

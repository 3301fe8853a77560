//! Validation rules that concern more than one field.

use std::net::SocketAddr;

use super::check::Finding;
use super::{AdminToken, Role, Settings};

/// A violation of a rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The error, reported at the field that violates the rule.
    pub finding: Finding,
    /// Path of the other field that the rule depends on. If that field has an error of its own,
    /// the violation is not reported.
    pub other_path: String,
}

/// Returns all violations in the settings.
pub fn violations(settings: &Settings) -> Vec<Violation> {
    let mut violations = Vec::new();
    check_ports(settings, &mut violations);
    check_tokens(&settings.admin.tokens, &mut violations);
    violations
}

fn check_ports(settings: &Settings, violations: &mut Vec<Violation>) {
    let addresses = [
        ("callers_address", settings.callers_address),
        ("local_address", settings.local_address),
        ("hop_address", settings.hop_address),
        ("control_address", settings.control_address),
        ("admin_address", settings.admin_address),
        ("backend_address", settings.backend_address),
        ("log_address", settings.log_address),
    ];
    for (index, (name, address)) in addresses.iter().enumerate() {
        let earlier = addresses[..index]
            .iter()
            .find(|(_, other)| overlap(*address, *other));
        if let Some((other, _)) = earlier {
            let finding = Finding {
                path: (*name).to_owned(),
                found: Some(format!("{:?}", address.to_string())),
                problem: format!("`{other}` has the same port"),
                remedy: "give each its own port".to_owned(),
            };
            violations.push(Violation {
                finding,
                other_path: (*other).to_owned(),
            });
        }
    }
}

fn overlap(a: SocketAddr, b: SocketAddr) -> bool {
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    same_ip && a.port() == b.port()
}

fn check_tokens(tokens: &[AdminToken], violations: &mut Vec<Violation>) {
    for (index, token) in tokens.iter().enumerate() {
        let path = |field: &str| format!("admin.tokens[{index}].{field}");
        let earlier = tokens[..index]
            .iter()
            .position(|other| other.token == token.token);
        if let Some(earlier) = earlier {
            let finding = Finding {
                path: path("token"),
                found: None,
                problem: format!("`admin.tokens[{earlier}]` has the same token"),
                remedy: "generate a separate token for each team".to_owned(),
            };
            let other_path = format!("admin.tokens[{earlier}].token");
            violations.push(Violation {
                finding,
                other_path,
            });
        }
        if token.role == Role::Team && token.services.is_empty() {
            let finding = Finding {
                path: path("services"),
                found: Some("[]".to_owned()),
                problem: "a token with the role `team` has no service to change".to_owned(),
                remedy: "name its services, or use the role `viewer`".to_owned(),
            };
            let other_path = path("role");
            violations.push(Violation {
                finding,
                other_path,
            });
        }
        if token.role != Role::Team && !token.services.is_empty() {
            let finding = Finding {
                path: path("services"),
                found: Some(format!("{:?}", token.services)),
                problem: format!("the role `{}` is not limited to services", token.role),
                remedy: "use the role `team`, or write `[]`".to_owned(),
            };
            let other_path = path("role");
            violations.push(Violation {
                finding,
                other_path,
            });
        }
    }
}

//! Validation rules that concern more than one field.

use std::net::SocketAddr;

use super::check::Finding;
use super::{AdminToken, Role, Settings};

/// A violation of a rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Broken {
    /// The error, reported at the field that violates the rule.
    pub finding: Finding,
    /// Path of the other field that the rule depends on. If that field has an error of its own,
    /// the violation is not reported.
    pub other: String,
}

/// Returns all violations in the settings.
pub fn broken(settings: &Settings) -> Vec<Broken> {
    let mut broken = Vec::new();
    shared_ports(settings, &mut broken);
    tokens(&settings.admin.tokens, &mut broken);
    broken
}

fn shared_ports(settings: &Settings, broken: &mut Vec<Broken>) {
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
            .find(|(_, other)| clashes(*address, *other));
        if let Some((other, _)) = earlier {
            let finding = Finding {
                path: (*name).to_owned(),
                found: Some(format!("{:?}", address.to_string())),
                problem: format!("`{other}` has the same port"),
                remedy: "give each its own port".to_owned(),
            };
            broken.push(Broken {
                finding,
                other: (*other).to_owned(),
            });
        }
    }
}

fn clashes(one: SocketAddr, other: SocketAddr) -> bool {
    let same_ip =
        one.ip() == other.ip() || one.ip().is_unspecified() || other.ip().is_unspecified();
    same_ip && one.port() == other.port()
}

fn tokens(tokens: &[AdminToken], broken: &mut Vec<Broken>) {
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
            let other = format!("admin.tokens[{earlier}].token");
            broken.push(Broken { finding, other });
        }
        if token.role == Role::Team && token.services.is_empty() {
            let finding = Finding {
                path: path("services"),
                found: Some("[]".to_owned()),
                problem: "a token with the role `team` has no service to change".to_owned(),
                remedy: "name its services, or use the role `viewer`".to_owned(),
            };
            let other = path("role");
            broken.push(Broken { finding, other });
        }
        if token.role != Role::Team && !token.services.is_empty() {
            let finding = Finding {
                path: path("services"),
                found: Some(format!("{:?}", token.services)),
                problem: format!("the role `{}` is not limited to services", token.role),
                remedy: "use the role `team`, or write `[]`".to_owned(),
            };
            let other = path("role");
            broken.push(Broken { finding, other });
        }
    }
}

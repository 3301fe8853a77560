//! Describes the difference between two sheets as text.

use std::collections::BTreeMap;

use crate::model::{Contract, Rule, SheetContent};

/// Returns one line for each rule and share that was added, removed or changed.
pub fn describe(old: &SheetContent, new: &SheetContent) -> Vec<String> {
    let mut lines = Vec::new();
    let (before, after) = (rules(old), rules(new));
    for (subject, contract) in &after {
        match before.get(subject) {
            None => lines.push(format!("{subject}: new: {}", contract_text(contract))),
            Some(old_contract) if old_contract != contract => {
                lines.push(format!(
                    "{subject}: {}",
                    contract_changes(old_contract, contract).join(", ")
                ));
            }
            Some(_) => {}
        }
    }
    for (subject, old_contract) in before
        .iter()
        .filter(|(subject, _)| !after.contains_key(*subject))
    {
        lines.push(format!(
            "{subject}: removed, was {}",
            contract_text(old_contract)
        ));
    }
    lines.extend(share_lines(old, new));
    lines
}

fn share_lines(old: &SheetContent, new: &SheetContent) -> Vec<String> {
    let shares = |content: &SheetContent| -> BTreeMap<String, u32> {
        let pairs = content.shares.iter();
        pairs
            .map(|share| (share.caller.to_string(), share.percent))
            .collect()
    };
    let (before, after) = (shares(old), shares(new));
    let mut lines = Vec::new();
    for (caller, percent) in &after {
        match before.get(caller) {
            None => lines.push(format!("share of {caller}: new: {percent}%")),
            Some(old_percent) if old_percent != percent => {
                lines.push(format!(
                    "share of {caller}: from {old_percent}% to {percent}%"
                ));
            }
            Some(_) => {}
        }
    }
    for (caller, was) in before
        .iter()
        .filter(|(caller, _)| !after.contains_key(*caller))
    {
        lines.push(format!("share of {caller}: removed, was {was}%"));
    }
    lines
}

fn rules(content: &SheetContent) -> BTreeMap<String, Contract> {
    let pairs = content.rules.iter();
    pairs
        .map(|rule| (subject_text(rule), rule.contract))
        .collect()
}

fn subject_text(rule: &Rule) -> String {
    let service = match &rule.service {
        Some(service) => format!("service {service}"),
        None => "any service".to_owned(),
    };
    let request = match &rule.request {
        Some(request) => format!("request {request}"),
        None => "any request".to_owned(),
    };
    let caller = match &rule.caller {
        Some(caller) => format!("caller {caller}"),
        None => "any caller".to_owned(),
    };
    format!("{service}, {request}, {caller}")
}

fn contract_text(contract: &Contract) -> String {
    format!(
        "importance {}, {}, deadline {} ms, {} retries",
        contract.importance,
        idempotence_text(contract.idempotent),
        contract.deadline_ms,
        contract.retry_allowance
    )
}

fn contract_changes(old: &Contract, new: &Contract) -> Vec<String> {
    let mut parts = Vec::new();
    if old.importance != new.importance {
        parts.push(format!(
            "importance from {} to {}",
            old.importance, new.importance
        ));
    }
    if old.idempotent != new.idempotent {
        let (from, to) = (
            idempotence_text(old.idempotent),
            idempotence_text(new.idempotent),
        );
        parts.push(format!("from {from} to {to}"));
    }
    if old.deadline_ms != new.deadline_ms {
        let (from, to) = (old.deadline_ms, new.deadline_ms);
        parts.push(format!("deadline from {from} to {to} ms"));
    }
    if old.retry_allowance != new.retry_allowance {
        let (from, to) = (old.retry_allowance, new.retry_allowance);
        parts.push(format!("retries from {from} to {to}"));
    }
    parts
}

fn idempotence_text(idempotent: bool) -> &'static str {
    if idempotent {
        "idempotent"
    } else {
        "non-idempotent"
    }
}

//! Describes the difference between two sheets as text.

use std::collections::BTreeMap;

use crate::model::{Contract, Rule, SheetContent};

/// Returns one line for each rule and share that was added, removed or changed.
pub fn describe(old: &SheetContent, new: &SheetContent) -> Vec<String> {
    let mut lines = Vec::new();
    let (before, after) = (rules(old), rules(new));
    for (subject, contract) in &after {
        match before.get(subject) {
            None => lines.push(format!("{subject}: new: {}", contract_words(contract))),
            Some(was) if was != contract => {
                lines.push(format!("{subject}: {}", changes(was, contract).join(", ")));
            }
            Some(_) => {}
        }
    }
    for (subject, was) in before
        .iter()
        .filter(|(subject, _)| !after.contains_key(*subject))
    {
        lines.push(format!("{subject}: removed, was {}", contract_words(was)));
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
            Some(was) if was != percent => {
                lines.push(format!("share of {caller}: from {was}% to {percent}%"));
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
        .map(|rule| (subject_words(rule), rule.contract))
        .collect()
}

fn subject_words(rule: &Rule) -> String {
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

fn contract_words(contract: &Contract) -> String {
    format!(
        "importance {}, {}, deadline {} ms, {} retries",
        contract.importance,
        idempotence(contract.idempotent),
        contract.deadline_ms,
        contract.retry_allowance
    )
}

fn changes(was: &Contract, is: &Contract) -> Vec<String> {
    let mut words = Vec::new();
    if was.importance != is.importance {
        words.push(format!(
            "importance from {} to {}",
            was.importance, is.importance
        ));
    }
    if was.idempotent != is.idempotent {
        let (from, to) = (idempotence(was.idempotent), idempotence(is.idempotent));
        words.push(format!("from {from} to {to}"));
    }
    if was.deadline_ms != is.deadline_ms {
        let (from, to) = (was.deadline_ms, is.deadline_ms);
        words.push(format!("deadline from {from} to {to} ms"));
    }
    if was.retry_allowance != is.retry_allowance {
        let (from, to) = (was.retry_allowance, is.retry_allowance);
        words.push(format!("retries from {from} to {to}"));
    }
    words
}

fn idempotence(idempotent: bool) -> &'static str {
    if idempotent {
        "idempotent"
    } else {
        "non-idempotent"
    }
}

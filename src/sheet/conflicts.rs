//! Checks that concern several rows.

use std::collections::HashMap;

use super::SheetIssue;
use super::cells::Numbered;
use crate::model::{CallerShare, RequestName, Rule, ServiceName};

/// Reports contradictory and repeated rows, differing idempotence, shares above 100 percent in
/// total, and a missing default rule.
pub(super) fn find(
    rules: &[Numbered<Rule>],
    shares: &[Numbered<CallerShare>],
    issues: &mut Vec<SheetIssue>,
) {
    find_rules(rules, issues);
    find_idempotence(rules, issues);
    find_shares(shares, issues);
    find_default(rules, issues);
}

fn find_rules(rules: &[Numbered<Rule>], issues: &mut Vec<SheetIssue>) {
    let mut first_by_subject = HashMap::new();
    for numbered in rules {
        let subject = numbered.value.subject();
        let Some(first) = first_by_subject.get(&subject) else {
            first_by_subject.insert(subject, numbered);
            continue;
        };
        let first: &&Numbered<Rule> = first;
        let value = describe(&numbered.value);
        let same = first.value.contract == numbered.value.contract;
        issues.push(repeated(numbered.row, first.row, "service", &value, same));
    }
}

/// Warns if a request is idempotent for one caller and not for another: idempotence is usually
/// a property of the request, so the difference may be a mistake.
fn find_idempotence(rules: &[Numbered<Rule>], issues: &mut Vec<SheetIssue>) {
    type Request<'a> = (Option<&'a ServiceName>, &'a RequestName);
    let mut first_by_request: HashMap<Request<'_>, &Numbered<Rule>> = HashMap::new();
    for numbered in rules {
        let (service, Some(request), _) = numbered.value.subject() else {
            continue;
        };
        let first = *first_by_request
            .entry((service, request))
            .or_insert(numbered);
        let same_subject = first.value.subject() == numbered.value.subject();
        if same_subject || first.value.contract.idempotent == numbered.value.contract.idempotent {
            continue;
        }
        let message = "the request is idempotent for one caller and not for another";
        let remedy = "make sure that this is meant";
        let value = if numbered.value.contract.idempotent {
            "yes"
        } else {
            "no"
        };
        let issue = SheetIssue::error(numbered.row, "idempotent", value, message, remedy);
        issues.push(issue.warning().with_other_row(first.row));
    }
}

fn find_shares(shares: &[Numbered<CallerShare>], issues: &mut Vec<SheetIssue>) {
    let mut first_by_caller: HashMap<_, &Numbered<CallerShare>> = HashMap::new();
    for numbered in shares {
        let caller = &numbered.value.caller;
        let first = *first_by_caller.entry(caller).or_insert(numbered);
        if first.row != numbered.row {
            let same = first.value.percent == numbered.value.percent;
            let issue = repeated(numbered.row, first.row, "caller", caller.as_str(), same);
            issues.push(issue);
        }
    }
    let total: u32 = first_by_caller
        .values()
        .map(|first| first.value.percent)
        .sum();
    if let Some(last) = shares.last().filter(|_| total > 100) {
        let message = format!("all shares together are {total} percent");
        let remedy = "above 100 percent the shares cannot all be kept at once";
        let value = last.value.percent.to_string();
        let issue = SheetIssue::error(last.row, "share_percent", &value, &message, remedy);
        issues.push(issue.warning());
    }
}

fn find_default(rules: &[Numbered<Rule>], issues: &mut Vec<SheetIssue>) {
    let is_default = |numbered: &Numbered<Rule>| numbered.value.subject() == (None, None, None);
    if rules.is_empty() || rules.iter().any(is_default) {
        return;
    }
    let message = "no rule holds for any service, request and caller";
    let remedy = "what no rule matches is non-idempotent, of normal importance and not retried";
    issues.push(SheetIssue::error(1, "service", "", message, remedy).warning());
}

fn repeated(row: u64, first_row: u64, column: &str, value: &str, same: bool) -> SheetIssue {
    let message = if same {
        "the two rows say the same"
    } else {
        "the two rows contradict each other"
    };
    let issue = SheetIssue::error(row, column, value, message, "keep one of them");
    let issue = issue.with_other_row(first_row);
    if same { issue.warning() } else { issue }
}

fn describe(rule: &Rule) -> String {
    let any = "*";
    let service = rule.service.as_ref().map_or(any, |name| name.as_str());
    let request = rule.request.as_ref().map_or(any, |name| name.as_str());
    let caller = rule.caller.as_ref().map_or(any, |name| name.as_str());
    format!("{service} {request} {caller}")
}

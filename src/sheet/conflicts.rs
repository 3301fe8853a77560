//! Checks that concern several rows.

use std::collections::HashMap;

use super::SheetIssue;
use super::cells::Located;
use crate::model::{CallerShare, RequestName, Rule, ServiceName};

/// Reports contradictory and repeated rows, differing idempotence, shares above 100 percent in
/// total, and a missing default rule.
pub(super) fn check(
    rules: &[Located<Rule>],
    shares: &[Located<CallerShare>],
    issues: &mut Vec<SheetIssue>,
) {
    check_duplicate_rules(rules, issues);
    check_idempotence(rules, issues);
    check_shares(shares, issues);
    check_default_rule(rules, issues);
}

fn check_duplicate_rules(rules: &[Located<Rule>], issues: &mut Vec<SheetIssue>) {
    let mut first_by_subject = HashMap::new();
    for located in rules {
        let subject = located.value.subject();
        let Some(first) = first_by_subject.get(&subject) else {
            first_by_subject.insert(subject, located);
            continue;
        };
        let first: &&Located<Rule> = first;
        let value = subject_text(&located.value);
        let is_equal = first.value.contract == located.value.contract;
        issues.push(duplicate_issue(
            located.row,
            first.row,
            "service",
            &value,
            is_equal,
        ));
    }
}

/// Warns if a request is idempotent for one caller and not for another: idempotence is usually
/// a property of the request, so the difference may be a mistake.
fn check_idempotence(rules: &[Located<Rule>], issues: &mut Vec<SheetIssue>) {
    type RequestKey<'a> = (Option<&'a ServiceName>, &'a RequestName);
    let mut first_by_request: HashMap<RequestKey<'_>, &Located<Rule>> = HashMap::new();
    for located in rules {
        let (service, Some(request), _) = located.value.subject() else {
            continue;
        };
        let first = *first_by_request
            .entry((service, request))
            .or_insert(located);
        let same_subject = first.value.subject() == located.value.subject();
        if same_subject || first.value.contract.idempotent == located.value.contract.idempotent {
            continue;
        }
        let message = "the request is idempotent for one caller and not for another";
        let remedy = "make sure that this is meant";
        let value = if located.value.contract.idempotent {
            "yes"
        } else {
            "no"
        };
        let issue = SheetIssue::error(located.row, "idempotent", value, message, remedy);
        issues.push(issue.warning().with_other_row(first.row));
    }
}

fn check_shares(shares: &[Located<CallerShare>], issues: &mut Vec<SheetIssue>) {
    let mut first_by_caller: HashMap<_, &Located<CallerShare>> = HashMap::new();
    for located in shares {
        let caller = &located.value.caller;
        let first = *first_by_caller.entry(caller).or_insert(located);
        if first.row != located.row {
            let is_equal = first.value.percent == located.value.percent;
            let issue =
                duplicate_issue(located.row, first.row, "caller", caller.as_str(), is_equal);
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

fn check_default_rule(rules: &[Located<Rule>], issues: &mut Vec<SheetIssue>) {
    let is_default = |located: &Located<Rule>| located.value.subject() == (None, None, None);
    if rules.is_empty() || rules.iter().any(is_default) {
        return;
    }
    let message = "no rule holds for any service, request and caller";
    let remedy = "what no rule matches is non-idempotent, of normal importance and not retried";
    issues.push(SheetIssue::error(1, "service", "", message, remedy).warning());
}

fn duplicate_issue(
    row: u64,
    first_row: u64,
    column: &str,
    value: &str,
    is_equal: bool,
) -> SheetIssue {
    let message = if is_equal {
        "the two rows say the same"
    } else {
        "the two rows contradict each other"
    };
    let issue = SheetIssue::error(row, column, value, message, "keep one of them");
    let issue = issue.with_other_row(first_row);
    if is_equal { issue.warning() } else { issue }
}

fn subject_text(rule: &Rule) -> String {
    let any = "*";
    let service = rule.service.as_ref().map_or(any, |name| name.as_str());
    let request = rule.request.as_ref().map_or(any, |name| name.as_str());
    let caller = rule.caller.as_ref().map_or(any, |name| name.as_str());
    format!("{service} {request} {caller}")
}

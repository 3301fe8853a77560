//! Decodes and validates the organisations of the configuration, which its records call tenants.
//!
//! The record is decoded by hand, since errors of a derived decoder quote the value that they
//! found, which may be an API key.

use std::collections::{HashMap, HashSet};

use hyper::header::HeaderValue;
use serde_json::Value;

use crate::decide::relay::{KeyDigest, Organisation, OrganisationTable, Quota};

/// Most errors that are described; a log line with all errors of a large record would be too long.
const MAX_ERRORS_SHOWN: usize = 20;

/// Decodes the list of organisations; the error describes all problems found and never contains an
/// API key.
pub(super) fn decode(tenants: &Value) -> Result<OrganisationTable, String> {
    let Some(tenants) = tenants.as_array() else {
        return Err("tenants is not a list".to_owned());
    };
    let mut errors = Vec::new();
    let mut names = HashSet::new();
    let mut by_key: HashMap<KeyDigest, usize> = HashMap::new();
    let mut organisations: Vec<Organisation> = Vec::with_capacity(tenants.len());
    for (index, tenant) in tenants.iter().enumerate() {
        let name = tenant["name"].as_str().unwrap_or_default();
        let mut invalid =
            |problem: &str| errors.push(format!("tenant {index} {name:?}: {problem}"));
        if !tenant.is_object() {
            invalid("it is not an object");
            continue;
        }
        if name.is_empty() {
            invalid("the name is empty or not a string");
        } else if !names.insert(name) {
            invalid("another has the same name");
        } else if name.trim() != name || HeaderValue::from_bytes(name.as_bytes()).is_err() {
            invalid("the name cannot be sent in a header");
        }
        match keys(tenant) {
            None => invalid("apiKeys is not a list of strings"),
            Some(keys) => {
                if keys.contains(&"") {
                    invalid("an API key is empty");
                }
                let digests = keys.into_iter().map(|key| KeyDigest::of(key.as_bytes()));
                let is_other = |digest| *by_key.entry(digest).or_insert(index) != index;
                if digests
                    .map(is_other)
                    .fold(false, |any, is_other| any | is_other)
                {
                    invalid("an API key is another's as well");
                }
            }
        }
        let priority = priority(tenant).unwrap_or_else(|()| {
            invalid("the priority is not a whole number from 0 to 255");
            None
        });
        let mut limit = |field: &str| {
            amount(tenant, field).unwrap_or_else(|()| {
                invalid(&format!("{field} is not a number from 0 on"));
                0.0
            })
        };
        let (per_s, burst) = (limit("ratePerS"), limit("burst"));
        organisations.push(Organisation {
            name: name.into(),
            priority,
            quota: (per_s > 0.0).then_some(Quota { per_s, burst }),
        });
    }
    if errors.is_empty() {
        return Ok(OrganisationTable::new(organisations, by_key));
    }
    let left_out = errors.len().saturating_sub(MAX_ERRORS_SHOWN);
    errors.truncate(MAX_ERRORS_SHOWN);
    if left_out > 0 {
        errors.push(format!("and {left_out} more"));
    }
    Err(errors.join("; "))
}

/// API keys of an organisation; `None` if they are malformed. Absent keys are none.
fn keys(tenant: &Value) -> Option<Vec<&str>> {
    match &tenant["apiKeys"] {
        Value::Null => Some(Vec::new()),
        Value::Array(keys) => keys.iter().map(Value::as_str).collect(),
        _ => None,
    }
}

fn priority(tenant: &Value) -> Result<Option<u8>, ()> {
    let value = &tenant["priority"];
    if value.is_null() {
        return Ok(None);
    }
    let number = value.as_f64().ok_or(())?;
    if number.fract() != 0.0 || !(0.0..=f64::from(u8::MAX)).contains(&number) {
        return Err(());
    }
    Ok(Some(number as u8))
}

/// A number from 0 on; 0 if it is absent.
fn amount(tenant: &Value, field: &str) -> Result<f64, ()> {
    let value = &tenant[field];
    if value.is_null() {
        return Ok(0.0);
    }
    let number = value.as_f64().ok_or(())?;
    if number.is_finite() && number >= 0.0 {
        Ok(number)
    } else {
        Err(())
    }
}

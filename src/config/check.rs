//! Checks a settings file against the schema and reports all errors at once.

use std::net::SocketAddr;

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use super::schema::{Field, Kind, RELAY, SETTINGS};
use super::{RelaySettings, Settings, rules};
use crate::util;

/// First port of the example settings, which supply the values of wrong and missing fields.
const EXAMPLE_PORT: u16 = 7100;
/// Maximum length of a value quoted in an error, in characters.
const MAX_QUOTED_CHARS: usize = 60;

/// An error in a settings file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Path of the field, such as `admin.tokens[2].role`.
    pub path: String,
    /// Value in the file, shortened if it is long; `None` if there is no value to quote, such as
    /// for a missing field or a repeated token. Secrets are never quoted.
    pub found: Option<String>,
    /// Description of the problem.
    pub problem: String,
    /// How to solve the problem.
    pub remedy: String,
}

impl std::fmt::Display for Finding {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.path)?;
        if let Some(found) = &self.found {
            write!(f, " is {found}")?;
        }
        write!(f, ": {}; {}", self.problem, self.remedy)
    }
}

/// Formats all findings: a line with their number, followed by one line for each.
pub fn summary(findings: &[Finding]) -> String {
    let plural = if findings.len() == 1 { "" } else { "s" };
    let mut text = format!("{} error{plural}", findings.len());
    for finding in findings {
        text.push_str(&format!("\n  {finding}"));
    }
    text
}

/// Converts the JSON of a settings file to settings, or returns all errors in it.
///
/// Each wrong value is replaced by that of the example settings, so that the check can
/// continue and one error does not hide others.
pub fn settings(value: Value) -> Result<Settings, Vec<Finding>> {
    let (parsed, mut checker) = parse(value, SETTINGS, &Settings::example(EXAMPLE_PORT))?;
    for violation in rules::violations(&parsed) {
        let path = &violation.finding.path;
        if !checker.has_error_at(path) && !checker.has_error_at(&violation.other_path) {
            checker.findings.push(violation.finding);
        }
    }
    if checker.findings.is_empty() {
        return Ok(parsed);
    }
    Err(checker.findings)
}

/// Converts the JSON of a relay's settings file to settings, or returns all errors in it.
pub fn relay(value: Value) -> Result<RelaySettings, Vec<Finding>> {
    let example = RelaySettings::example(EXAMPLE_PORT);
    let (parsed, checker) = parse(value, RELAY, &example)?;
    if checker.findings.is_empty() {
        return Ok(parsed);
    }
    Err(checker.findings)
}

/// Returns the settings, with each wrong value replaced by that of `example`, and the checker
/// with the errors found.
fn parse<T: Serialize + DeserializeOwned>(
    value: Value,
    fields: &[Field],
    example: &T,
) -> Result<(T, Checker), Vec<Finding>> {
    let mut checker = Checker::default();
    let defaults = serde_json::to_value(example).unwrap_or_default();
    let repaired = checker.check_group("", fields, value, &defaults);
    match serde_json::from_value(repaired) {
        Ok(parsed) => Ok((parsed, checker)),
        Err(error) => {
            checker.add("", None, &error.to_string(), "correct the value");
            Err(checker.findings)
        }
    }
}

#[derive(Debug, Default)]
struct Checker {
    findings: Vec<Finding>,
}

impl Checker {
    fn add(&mut self, path: &str, found: Option<String>, problem: &str, remedy: &str) {
        self.findings.push(Finding {
            path: if path.is_empty() { "the file" } else { path }.to_owned(),
            found,
            problem: problem.to_owned(),
            remedy: remedy.to_owned(),
        });
    }

    fn has_error_at(&self, path: &str) -> bool {
        self.findings.iter().any(|finding| {
            let inner = path.strip_prefix(finding.path.as_str());
            inner.is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
        })
    }

    fn check_group(
        &mut self,
        path: &str,
        fields: &[Field],
        value: Value,
        defaults: &Value,
    ) -> Value {
        let Value::Object(mut given) = value else {
            self.add(
                path,
                Some(quote(&value)),
                "this must be an object",
                "write it in braces, as `burdockhall settings example` does",
            );
            return defaults.clone();
        };
        let mut checked = Map::new();
        for field in fields {
            let inner = join_path(path, field.name);
            let default = &defaults[field.name];
            let value = match given.remove(field.name) {
                Some(value) => self.check_field(&inner, &field.kind, value, default),
                None => {
                    if field.required {
                        let remedy = format!("add it: {}", field.help);
                        self.add(&inner, None, "this field is missing", &remedy);
                    }
                    default.clone()
                }
            };
            checked.insert(field.name.to_owned(), value);
        }
        for (name, value) in &given {
            self.report_unknown(path, fields, name, value);
        }
        Value::Object(checked)
    }

    fn report_unknown(&mut self, path: &str, fields: &[Field], name: &str, value: &Value) {
        let names = fields.iter().map(|field| field.name);
        let remedy = match util::closest(name, names.clone()) {
            Some(meant) => format!("did you mean `{meant}`?"),
            None => format!("known fields: {}", names.collect::<Vec<_>>().join(", ")),
        };
        let inner = join_path(path, name);
        self.add(&inner, Some(quote(value)), "no such field", &remedy);
    }

    fn check_field(&mut self, path: &str, kind: &Kind, value: Value, default: &Value) -> Value {
        match kind {
            Kind::Group(fields) => return self.check_group(path, fields, value, default),
            Kind::List(inner) => return self.check_list(path, inner, value, default),
            _ => {}
        }
        let Err((problem, remedy)) = check_scalar(kind, &value) else {
            return value;
        };
        let secret = path.ends_with(".token");
        let found = if secret {
            "not shown".to_owned()
        } else {
            quote(&value)
        };
        self.add(path, Some(found), &problem, &remedy);
        default.clone()
    }

    fn check_list(&mut self, path: &str, kind: &Kind, value: Value, default: &Value) -> Value {
        let Value::Array(items) = value else {
            let remedy = "write it in brackets, `[]` for none";
            self.add(path, Some(quote(&value)), "this must be an array", remedy);
            return default.clone();
        };
        let placeholder = match kind {
            Kind::Group(_) => default[0].clone(),
            _ => Value::from("stand-in"),
        };
        let checked = items.into_iter().enumerate().map(|(index, item)| {
            let inner = format!("{path}[{index}]");
            self.check_field(&inner, kind, item, &placeholder)
        });
        Value::Array(checked.collect())
    }
}

fn check_scalar(kind: &Kind, value: &Value) -> Result<(), (String, String)> {
    let wrong = |problem: &str, remedy: String| Err((problem.to_owned(), remedy));
    match kind {
        Kind::Text { min_chars } => match value.as_str() {
            Some(text) if text.trim().chars().count() >= *min_chars => Ok(()),
            Some(_) if *min_chars == 1 => wrong("this is empty", "give it a name".to_owned()),
            Some(_) => wrong(
                "this is too short",
                format!("use at least {min_chars} characters"),
            ),
            None => wrong("this must be text", "write it in quotes".to_owned()),
        },
        Kind::Address { loopback } => check_address(*loopback, value),
        Kind::Flag => match value {
            Value::Bool(_) => Ok(()),
            _ => wrong(
                "this must be true or false",
                "write `true` or `false` without quotes".to_owned(),
            ),
        },
        Kind::Number { min, max } => match value.as_u64() {
            Some(number) if (*min..=*max).contains(&number) => Ok(()),
            Some(_) => wrong(
                "this is out of bounds",
                format!("use a number from {min} to {max}"),
            ),
            None => wrong(
                "this must be a whole number",
                format!("write a number from {min} to {max} without quotes"),
            ),
        },
        Kind::Decimal { min, max } => match value.as_f64() {
            Some(number) if (*min..=*max).contains(&number) => Ok(()),
            Some(_) => wrong(
                "this is out of bounds",
                format!("use a number from {min} to {max}"),
            ),
            None => wrong(
                "this must be a number",
                format!("write a number from {min} to {max} without quotes"),
            ),
        },
        Kind::Choice(names) => match value.as_str() {
            Some(name) if names.contains(&name) => Ok(()),
            _ => wrong(
                "this is not one of the names known",
                format!("use one of {}", names.join(", ")),
            ),
        },
        Kind::Group(_) | Kind::List(_) => Ok(()),
    }
}

fn check_address(loopback: bool, value: &Value) -> Result<(), (String, String)> {
    let parsed = value.as_str().and_then(|text| text.parse().ok());
    let Some(address): Option<SocketAddr> = parsed else {
        return Err((
            "this is not an address".to_owned(),
            "write IP:PORT in quotes, such as \"127.0.0.1:7100\"; host names are not resolved"
                .to_owned(),
        ));
    };
    if address.port() == 0 {
        return Err((
            "port 0 is not a valid port".to_owned(),
            "use a port from 1 to 65535".to_owned(),
        ));
    }
    if loopback && !address.ip().is_loopback() {
        return Err((
            "this must be a loopback address, since it is reached from this VM alone".to_owned(),
            format!("use 127.0.0.1:{}", address.port()),
        ));
    }
    Ok(())
}

fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() {
        return name.to_owned();
    }
    format!("{path}.{name}")
}

fn quote(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= MAX_QUOTED_CHARS {
        return text;
    }
    let head: String = text.chars().take(MAX_QUOTED_CHARS).collect();
    format!("{head}...")
}

//! Generates the Markdown reference of the settings from the schema and the example settings.

use serde_json::Value;

use super::schema::{Field, Kind, RELAY, SETTINGS};

/// Returns the reference of a daemon's settings; `example` provides the defaults.
pub fn reference(example: &Value) -> String {
    markdown_table(SETTINGS, example)
}

/// Returns the reference of a relay's settings; `example` provides the defaults.
pub fn relay_reference(example: &Value) -> String {
    markdown_table(RELAY, example)
}

fn markdown_table(fields: &[Field], example: &Value) -> String {
    let mut text = String::from("| Field | Value | Default | Meaning |\n|---|---|---|---|\n");
    push_rows("", fields, example, &mut text);
    text
}

fn push_rows(path: &str, fields: &[Field], example: &Value, text: &mut String) {
    for field in fields {
        let inner = format!("{path}{}", field.name);
        let value = &example[field.name];
        let default = match (field.required, field.kind) {
            (true, _) => "required".to_owned(),
            (false, Kind::Group(_)) => "see below".to_owned(),
            (false, _) => format!("`{value}`"),
        };
        text.push_str(&format!(
            "| `{inner}` | {} | {default} | {} |\n",
            kind_text(&field.kind),
            field.help
        ));
        match field.kind {
            Kind::Group(fields) => push_rows(&format!("{inner}."), fields, value, text),
            Kind::List(Kind::Group(fields)) => {
                push_rows(&format!("{inner}[]."), fields, &value[0], text);
            }
            _ => {}
        }
    }
}

fn kind_text(kind: &Kind) -> String {
    match kind {
        Kind::Text { min_chars: 1 } => "text".to_owned(),
        Kind::Text { min_chars } => format!("text of at least {min_chars} characters"),
        Kind::Address { loopback: false } => "`IP:PORT`".to_owned(),
        Kind::Address { loopback: true } => "`IP:PORT` on loopback".to_owned(),
        Kind::Flag => "`true` or `false`".to_owned(),
        Kind::Number { min, max } => format!("{min} to {max}"),
        Kind::Decimal { min, max } => format!("{min} to {max}, with a fraction"),
        Kind::Choice(names) => format!("`{}`", names.join("`, `")),
        Kind::Group(_) => "object".to_owned(),
        Kind::List(Kind::Group(_)) => "array of objects".to_owned(),
        Kind::List(inner) => format!("array of {}", kind_text(inner)),
    }
}

//! `burdockhall explain`

use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde_json::{Map, Value};

use super::CmdError;

const ABOUT: &str = "\
Tells the way of one request from the log lines of several daemons: every decision about it \
and about the calls beneath it, in order. Reads the files named, or standard input. What stands \
in front of a line's first brace, such as a time or a VM's name, is shown as its source.";

/// Fields left out of the `name=value` list: `level` is not printed, the others have a fixed place.
const UNLISTED_FIELDS: [&str; 4] = ["time_ms", "level", "message", "request_id"];

/// Builds the argument parser of this subcommand.
pub fn command() -> Command {
    Command::new("explain")
        .about("Tells the way of one request from the log lines of several daemons")
        .long_about(ABOUT)
        .arg(
            Arg::new("id")
                .value_name("ID")
                .required(true)
                .help("The request's id, as its caller sent it"),
        )
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .action(ArgAction::Append)
                .value_parser(value_parser!(PathBuf))
                .help("Files of log lines; standard input without any"),
        )
}

#[derive(Debug)]
struct Args {
    id: String,
    files: Vec<PathBuf>,
}

/// Runs the subcommand with its parsed arguments.
pub fn run(matches: &ArgMatches) -> Result<(), CmdError> {
    let Some(id) = matches.get_one::<String>("id") else {
        return Ok(());
    };
    let files = matches.get_many::<PathBuf>("files");
    let args = Args {
        id: id.clone(),
        files: files
            .map(|files| files.cloned().collect())
            .unwrap_or_default(),
    };
    args.explain()
}

impl Args {
    fn explain(&self) -> Result<(), CmdError> {
        let mut steps = Vec::new();
        if self.files.is_empty() {
            collect_steps(io::stdin().lock(), &self.id, &mut steps)?;
        }
        for file in &self.files {
            let opened = open(file)?;
            collect_steps(BufReader::new(opened), &self.id, &mut steps)?;
        }
        if steps.is_empty() {
            return Err(CmdError::NotLogged {
                id: self.id.clone(),
            });
        }
        steps.sort_by_key(|step| step.time_ms);
        let first_ms = steps[0].time_ms;
        for step in &steps {
            println!("{}", step.text(first_ms));
        }
        Ok(())
    }
}

fn open(path: &Path) -> Result<File, CmdError> {
    File::open(path).map_err(|source| CmdError::LogFile {
        path: path.display().to_string(),
        source,
    })
}

/// One log line about the request or one of its child calls.
#[derive(Debug)]
struct Step {
    /// Unix time; 0 if the line has none.
    time_ms: u64,
    /// The last word in front of the JSON object, such as a VM's name; `-` without one.
    source: String,
    fields: Map<String, Value>,
}

impl Step {
    /// Formats the step as `+MS source message: name=value ...`, with the time since `first_ms`.
    fn text(&self, first_ms: u64) -> String {
        let after_ms = self.time_ms - first_ms;
        let message = self.fields.get("message").and_then(Value::as_str);
        let message = message.unwrap_or("(no message)");
        let mut text = format!("+{after_ms:<6} {:24} {message}:", self.source);
        for (name, value) in &self.fields {
            if !UNLISTED_FIELDS.contains(&name.as_str()) {
                let value = value
                    .as_str()
                    .map_or_else(|| value.to_string(), str::to_owned);
                text.push_str(&format!(" {name}={value}"));
            }
        }
        if let Some(id) = self.fields.get("request_id").and_then(Value::as_str) {
            text.push_str(&format!(" id={id}"));
        }
        text
    }
}

/// Collects the log lines about a request and its child calls and skips all other lines.
fn collect_steps(lines: impl BufRead, id: &str, steps: &mut Vec<Step>) -> Result<(), CmdError> {
    for line in lines.lines() {
        let line = line?;
        let Some(start) = line.find('{') else {
            continue;
        };
        let Ok(Value::Object(fields)) = serde_json::from_str(&line[start..]) else {
            continue;
        };
        let request_id = fields.get("request_id").and_then(Value::as_str);
        if !request_id.is_some_and(|request_id| is_same_or_child(request_id, id)) {
            continue;
        }
        steps.push(Step {
            time_ms: fields.get("time_ms").and_then(Value::as_u64).unwrap_or(0),
            source: line[..start]
                .split_whitespace()
                .last()
                .unwrap_or("-")
                .to_owned(),
            fields,
        });
    }
    Ok(())
}

/// Whether `request_id` is `id` itself or that of one of its child calls: `id`, a dot and a suffix.
fn is_same_or_child(request_id: &str, id: &str) -> bool {
    request_id
        .strip_prefix(id)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
}

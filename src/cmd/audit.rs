//! `burdockhall audit`

use clap::{Arg, ArgAction, ArgMatches, Command};

use super::CmdError;
use crate::config::client::{AdminClient, ClientConfig};
use crate::net::admin_sheets::{AuditAnswer, AuditLine};
use crate::net::daemon::unix_ms;
use crate::net::http::percent_encoded;
use crate::util;

/// Builds the argument parser of this subcommand.
pub fn command() -> Command {
    let command = Command::new("audit")
        .about("Prints who changed what and when, as far as the log service keeps it")
        .arg(
            Arg::new("since")
                .long("since")
                .value_name("TIME")
                .value_parser(parse_since)
                .help("Only entries since: 30m, 12h, 7d ago, or milliseconds since 1970"),
        )
        .arg(
            Arg::new("service")
                .long("service")
                .value_name("NAME")
                .help("Only entries about this service, or about all"),
        )
        .arg(
            Arg::new("author")
                .long("author")
                .value_name("NAME")
                .help("Only entries of this author"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print one JSON object"),
        );
    ClientConfig::args(command)
}

#[derive(Debug)]
struct Args {
    since_ms: u64,
    service: Option<String>,
    author: Option<String>,
    json: bool,
}

/// Runs the subcommand with its parsed arguments.
pub fn run(matches: &ArgMatches) -> Result<(), CmdError> {
    let args = Args {
        since_ms: matches.get_one("since").copied().unwrap_or(0),
        service: matches.get_one("service").cloned(),
        author: matches.get_one("author").cloned(),
        json: matches.get_flag("json"),
    };
    let client = ClientConfig::from_args(matches)?.client()?;
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(args.search(&client))
}

impl Args {
    async fn search(&self, client: &AdminClient) -> Result<(), CmdError> {
        let answer: AuditAnswer = client.get(&self.path()).await?;
        if self.json {
            return Ok(util::print_json(&answer)?);
        }
        answer.lines.iter().for_each(print_line);
        if answer.dropped > 0 {
            println!(
                "{} entries were dropped while the log service could not be written",
                answer.dropped
            );
        }
        Ok(())
    }

    fn path(&self) -> String {
        let mut path = format!("/v1/audit?since_ms={}", self.since_ms);
        for (name, value) in [("service", &self.service), ("author", &self.author)] {
            if let Some(value) = value {
                path.push_str(&format!("&{name}={}", percent_encoded(value)));
            }
        }
        path
    }
}

fn print_line(line: &AuditLine) {
    let entry = &line.entry;
    let version_or_dash =
        |version: Option<_>| version.map_or("-".to_owned(), |version| format!("{version}"));
    println!(
        "{}  {}  {}  {} -> {}  {}",
        util::utc(entry.at_ms),
        entry.kind,
        entry.author,
        version_or_dash(entry.from_version),
        version_or_dash(entry.to_version),
        entry.detail
    );
}

/// Parses a time span before now, such as `30m`, `12h` or `7d`, or milliseconds since the Unix
/// epoch. Returns milliseconds since the Unix epoch.
fn parse_since(text: &str) -> Result<u64, String> {
    let malformed = || format!("`{text}`: write 30m, 12h, 7d or milliseconds since 1970");
    let units = [('m', 60_000), ('h', 3_600_000), ('d', 86_400_000)];
    for (unit, unit_ms) in units {
        if let Some(count) = text.strip_suffix(unit) {
            let count: u64 = count.parse().map_err(|_| malformed())?;
            return Ok(unix_ms().saturating_sub(count.saturating_mul(unit_ms)));
        }
    }
    text.parse().map_err(|_| malformed())
}

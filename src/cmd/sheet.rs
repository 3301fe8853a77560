//! `burdockhall sheet`

use std::path::{Path, PathBuf};

use bytes::Bytes;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde::Serialize;

use super::CmdError;
use crate::config::client::{AdminClient, ClientConfig};
use crate::decide::control::first_version;
use crate::decide::control::publish::{PublishReceipt, PublishStatus};
use crate::decide::control::record::Accepted;
use crate::model::{AuthorName, SheetContent, SheetVersion, ZoneName};
use crate::net::admin_sheets::{PublishAnswer, PublishBody, SheetAnswer};
use crate::net::daemon::unix_ms;
use crate::sheet::{self, ParsedSheet, Severity, SheetIssue, diff};
use crate::util;

const EXIT_CODES: &str = "\
Exit codes of `sheet publish`:
  0  in force in all zones (with --dry-run: no error in the sheet)
  2  the sheet has errors
  3  refused; nothing was published
  5  conflict: another publication on the same base came first
  6  accepted, but zones are missing
  7  in doubt: publish the same sheet again with the same --id";

/// Builds the argument parser of this subcommand.
pub fn command() -> Command {
    Command::new("sheet")
        .about("Checks, publishes and shows planning sheets")
        .subcommand_required(true)
        .subcommand(check_command())
        .subcommand(publish_command())
        .subcommand(ClientConfig::args(
            Command::new("show")
                .about("Shows the sheet in force at a daemon")
                .arg(json_arg()),
        ))
        .subcommand(ClientConfig::args(
            Command::new("history")
                .about("Lists the latest publications")
                .arg(json_arg()),
        ))
}

fn check_command() -> Command {
    Command::new("check")
        .about("Reports every error and warning in a sheet with its row and column")
        .arg(file_arg())
        .arg(json_arg())
}

fn publish_command() -> Command {
    let command = Command::new("publish")
        .about("Publishes a sheet and waits until it is in force in all zones")
        .after_help(EXIT_CODES)
        .arg(file_arg())
        .arg(
            Arg::new("base")
                .long("base")
                .value_name("VERSION")
                .value_parser(value_parser!(u64))
                .help("The version that the sheet builds on [default: the one in force]"),
        )
        .arg(
            Arg::new("id")
                .long("id")
                .value_name("ID")
                .help("The publication's id, to repeat one that was in doubt [default: random]"),
        )
        .arg(
            Arg::new("author")
                .long("author")
                .value_name("NAME")
                .help("Who publishes [default: the team of the token]"),
        )
        .arg(
            Arg::new("start-anew")
                .long("start-anew")
                .action(ArgAction::SetTrue)
                .conflicts_with("base")
                .help("Start a new history, when no daemon can find the sheet in force"),
        )
        .arg(
            Arg::new("dry-run")
                .long("dry-run")
                .action(ArgAction::SetTrue)
                .help("Print the difference from the sheet in force and publish nothing"),
        )
        .arg(json_arg());
    ClientConfig::args(command)
}

fn file_arg() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The sheet, a CSV export")
}

fn json_arg() -> Arg {
    Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .help("Print one JSON value")
}

#[derive(Debug)]
struct Args {
    file: Option<PathBuf>,
    base: Option<SheetVersion>,
    id: Option<String>,
    author: AuthorName,
    start_anew: bool,
    dry_run: bool,
    json: bool,
}

#[derive(Debug, Serialize)]
struct CheckOutput<'a> {
    issues: &'a [SheetIssue],
}

#[derive(Debug, Serialize)]
struct DryRunOutput {
    base: SheetVersion,
    difference: Vec<String>,
}

/// Runs the subcommand with its parsed arguments.
pub fn run(matches: &ArgMatches) -> Result<(), CmdError> {
    let Some((name, matches)) = matches.subcommand() else {
        return Ok(());
    };
    let args = Args::from_matches(name, matches);
    if name == "check" {
        return args.check();
    }
    let client = ClientConfig::from_args(matches)?.client()?;
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(async {
        match name {
            "publish" => args.publish(&client).await,
            "history" => args.history(&client).await,
            _ => args.show(&client).await,
        }
    })
}

impl Args {
    fn from_matches(name: &str, matches: &ArgMatches) -> Args {
        let mut args = Args {
            file: None,
            base: None,
            id: None,
            author: "".into(),
            start_anew: false,
            dry_run: false,
            json: matches.get_flag("json"),
        };
        if name == "check" || name == "publish" {
            args.file = matches.get_one("file").cloned();
        }
        if name == "publish" {
            args.base = matches.get_one("base").copied().map(SheetVersion);
            args.id = matches.get_one("id").cloned();
            if let Some(author) = matches.get_one::<String>("author") {
                args.author = author.as_str().into();
            }
            args.start_anew = matches.get_flag("start-anew");
            args.dry_run = matches.get_flag("dry-run");
        }
        args
    }

    fn check(&self) -> Result<(), CmdError> {
        let (_, checked) = self.read_and_check()?;
        if self.json {
            util::print_json(&CheckOutput {
                issues: &checked.issues,
            })?;
        } else {
            print_issues(&checked.issues);
        }
        ensure_no_errors(&checked)
    }

    async fn show(&self, client: &AdminClient) -> Result<(), CmdError> {
        let answer: SheetAnswer = client.get("/v1/sheet").await?;
        if self.json {
            return Ok(util::print_json(&answer)?);
        }
        let status = &answer.status;
        println!("version    {}", status.base.version);
        println!("author     {}", status.author);
        println!("published  {}", util::utc(status.published_ms));
        println!("content    {}", answer.content_hash);
        println!("history    {}", status.base.chain);
        match status.age_ms {
            Some(age_ms) => println!("newest     as of {age_ms} ms ago"),
            None => println!("newest     never known to be"),
        }
        if status.built_in {
            println!("no sheet is known: the built-in safe rules hold");
        }
        for line in diff::describe(&SheetContent::default(), &answer.sheet.content()) {
            println!("{line}");
        }
        Ok(())
    }

    async fn history(&self, client: &AdminClient) -> Result<(), CmdError> {
        let history: Vec<Accepted> = client.get("/v1/sheet/history").await?;
        if self.json {
            return Ok(util::print_json(&history)?);
        }
        for accepted in &history {
            let time = util::utc(accepted.published_ms);
            let (version, author, id) = (accepted.version, &accepted.author, &accepted.id);
            println!("{version:>10}  {time}  {author}  {id}");
        }
        Ok(())
    }

    async fn publish(&self, client: &AdminClient) -> Result<(), CmdError> {
        let (csv, checked) = self.read_and_check()?;
        if !self.json {
            print_issues(&checked.issues);
        }
        ensure_no_errors(&checked)?;
        let in_force: SheetAnswer = client.get("/v1/sheet").await?;
        if self.dry_run {
            return self.print_difference(&in_force, &checked.content);
        }
        let base = self.base.unwrap_or(in_force.status.base.version);
        let is_base_in_force = base == in_force.status.base.version;
        let body = PublishBody {
            id: self.id.clone().unwrap_or_else(random_id),
            base: (!self.start_anew).then_some(base),
            base_chain: is_base_in_force.then_some(in_force.status.base.chain),
            author: self.author.clone(),
            csv,
        };
        if !self.json {
            println!("publication {} on top of version {base}", body.id);
        }
        let body = Bytes::from(serde_json::to_vec(&body)?);
        let answer: PublishAnswer = client.post("/v1/sheet", body).await?;
        self.report_outcome(answer)
    }

    fn print_difference(&self, in_force: &SheetAnswer, new: &SheetContent) -> Result<(), CmdError> {
        let old = match self.start_anew {
            true => SheetContent::default(),
            false => in_force.sheet.content(),
        };
        let output = DryRunOutput {
            base: in_force.status.base.version,
            difference: diff::describe(&old, new),
        };
        if self.json {
            return Ok(util::print_json(&output)?);
        }
        if self.start_anew {
            println!("a new history at version {}", first_version(unix_ms()));
        } else {
            println!("difference from version {}:", output.base);
        }
        for line in &output.difference {
            println!("{line}");
        }
        if output.difference.is_empty() {
            println!("none");
        }
        Ok(())
    }

    fn report_outcome(&self, answer: PublishAnswer) -> Result<(), CmdError> {
        if self.json {
            util::print_json(&answer)?;
        }
        let Some(outcome) = answer.outcome else {
            let count = answer.issues.len();
            return Err(CmdError::InvalidSheet { count });
        };
        if let PublishStatus::InForce(receipt) = &outcome {
            if !self.json {
                print_receipt(receipt);
            }
            return Ok(());
        }
        if let (PublishStatus::Accepted(receipt), false) = (&outcome, self.json) {
            print_receipt(receipt);
        }
        Err(CmdError::Publication(outcome))
    }

    fn read_and_check(&self) -> Result<(String, ParsedSheet), CmdError> {
        let file = self.file.as_deref().unwrap_or(Path::new(""));
        let bytes = std::fs::read(file).map_err(|source| CmdError::SheetFile {
            path: file.display().to_string(),
            source,
        })?;
        let checked = sheet::parse(&bytes);
        Ok((String::from_utf8_lossy(&bytes).into_owned(), checked))
    }
}

fn ensure_no_errors(checked: &ParsedSheet) -> Result<(), CmdError> {
    let errors = checked.issues.iter();
    let count = errors
        .filter(|issue| issue.severity == Severity::Error)
        .count();
    if count > 0 {
        return Err(CmdError::InvalidSheet { count });
    }
    Ok(())
}

fn print_issues(issues: &[SheetIssue]) {
    for issue in issues {
        println!("{issue}");
    }
    if issues.is_empty() {
        println!("no errors, no warnings");
    }
}

fn print_receipt(receipt: &PublishReceipt) {
    let offset = match receipt.offset {
        Some(offset) => format!("at offset {offset}"),
        None => "at an offset that this daemon has not read".to_owned(),
    };
    println!("accepted as version {} {offset}", receipt.version);
    println!("confirmed by {}", zone_names(&receipt.zones_confirmed));
    if !receipt.zones_missing.is_empty() {
        println!("not confirmed by {}", zone_names(&receipt.zones_missing));
    }
    println!("took {} ms", receipt.elapsed_ms);
}

fn zone_names(zones: &[ZoneName]) -> String {
    let names: Vec<&str> = zones.iter().map(ZoneName::as_str).collect();
    names.join(", ")
}

fn random_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}

//! `burdockhall settings`

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde::Serialize;

use super::CmdError;
use crate::config::{Finding, RelaySettings, Settings, SettingsError, document};
use crate::util;

/// First of the consecutive ports in the example settings.
const EXAMPLE_PORT: u16 = 7100;

/// Builds the argument parser of this subcommand.
pub fn command() -> Command {
    Command::new("settings")
        .about("Checks, explains or prints settings")
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about("Checks a settings file and prints every error with its remedy")
                .arg(
                    Arg::new("file")
                        .required(true)
                        .value_name("FILE")
                        .value_parser(value_parser!(PathBuf))
                        .help("The settings file"),
                )
                .arg(relay_flag())
                .arg(
                    Arg::new("json")
                        .long("json")
                        .action(ArgAction::SetTrue)
                        .help("Print one JSON object"),
                ),
        )
        .subcommand(
            Command::new("example")
                .about("Prints complete settings that pass the check")
                .arg(relay_flag()),
        )
        .subcommand(
            Command::new("describe")
                .about("Prints each field with its bounds and its meaning")
                .arg(relay_flag()),
        )
}

fn relay_flag() -> Arg {
    Arg::new("relay")
        .long("relay")
        .action(ArgAction::SetTrue)
        .help("The settings of `burdockhall relay` in place of `burdockhall daemon`")
}

#[derive(Debug)]
struct Args {
    file: PathBuf,
    relay: bool,
    json: bool,
}

#[derive(Debug, Serialize)]
struct CheckOutput<'a> {
    file: String,
    errors: &'a [Finding],
}

/// Runs the subcommand with its parsed arguments.
pub fn run(matches: &ArgMatches) -> Result<(), CmdError> {
    match matches.subcommand() {
        Some(("check", matches)) => {
            let args = Args {
                file: matches.get_one("file").cloned().unwrap_or_default(),
                relay: matches.get_flag("relay"),
                json: matches.get_flag("json"),
            };
            args.check()
        }
        Some(("describe", matches)) => describe(matches.get_flag("relay")),
        Some(("example", matches)) if matches.get_flag("relay") => {
            Ok(util::print_json(&RelaySettings::example(EXAMPLE_PORT))?)
        }
        _ => Ok(util::print_json(&Settings::example(EXAMPLE_PORT))?),
    }
}

impl Args {
    fn check(&self) -> Result<(), CmdError> {
        let result = if self.relay {
            RelaySettings::read(&self.file).map(drop)
        } else {
            Settings::read(&self.file).map(drop)
        };
        let findings = match result {
            Ok(()) => Vec::new(),
            Err(SettingsError::Invalid { findings, .. }) => findings,
            Err(error) => return Err(error.into()),
        };
        self.print(&findings)?;
        if findings.is_empty() {
            return Ok(());
        }
        let count = findings.len();
        Err(CmdError::InvalidSettings { count })
    }

    fn print(&self, findings: &[Finding]) -> Result<(), CmdError> {
        if self.json {
            let output = CheckOutput {
                file: self.file.display().to_string(),
                errors: findings,
            };
            return Ok(util::print_json(&output)?);
        }
        for finding in findings {
            println!("{finding}");
        }
        println!("{}: {} errors", self.file.display(), findings.len());
        Ok(())
    }
}

fn describe(relay: bool) -> Result<(), CmdError> {
    let page = if relay {
        let example = serde_json::to_value(RelaySettings::example(EXAMPLE_PORT))?;
        document::relay_reference(&example)
    } else {
        let example = serde_json::to_value(Settings::example(EXAMPLE_PORT))?;
        document::reference(&example)
    };
    print!("{page}");
    Ok(())
}

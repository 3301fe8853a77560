//! `burdockhall version`

use clap::{Arg, ArgAction, ArgMatches, Command};
use serde::Serialize;

use super::CmdError;
use crate::util;

/// Builds the argument parser of this subcommand.
pub fn command() -> Command {
    Command::new("version").about("Prints the version").arg(
        Arg::new("json")
            .long("json")
            .action(ArgAction::SetTrue)
            .help("Print one JSON object"),
    )
}

#[derive(Debug)]
struct Args {
    json: bool,
}

#[derive(Debug, Serialize)]
struct Version {
    version: &'static str,
}

/// Runs the subcommand with its parsed arguments.
pub fn run(matches: &ArgMatches) -> Result<(), CmdError> {
    let args = Args {
        json: matches.get_flag("json"),
    };
    args.print()
}

impl Args {
    fn print(&self) -> Result<(), CmdError> {
        let version = clap::crate_version!();
        if self.json {
            return Ok(util::print_json(&Version { version })?);
        }
        println!("burdockhall {version}");
        Ok(())
    }
}

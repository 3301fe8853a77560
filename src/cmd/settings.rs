//! `burdockhall settings`

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};

use super::CmdError;
use crate::config::Settings;
use crate::util;

/// First port of the example.
const EXAMPLE_PORT: u16 = 7100;

/// Usage.
pub fn command() -> Command {
    Command::new("settings")
        .about("Checks settings or prints an example")
        .subcommand_required(true)
        .subcommand(
            Command::new("check").about("Checks a settings file").arg(
                Arg::new("file")
                    .required(true)
                    .value_parser(value_parser!(PathBuf))
                    .help("The settings file"),
            ),
        )
        .subcommand(Command::new("example").about("Prints complete settings"))
}

#[derive(Debug)]
struct Args {
    file: Option<PathBuf>,
}

/// Runs the command.
pub fn run(matches: &ArgMatches) -> Result<(), CmdError> {
    let args = Args {
        file: matches
            .subcommand_matches("check")
            .and_then(|matches| matches.get_one("file").cloned()),
    };
    match &args.file {
        Some(_) => args.check(),
        None => args.example(),
    }
}

impl Args {
    fn check(&self) -> Result<(), CmdError> {
        if let Some(file) = &self.file {
            Settings::read(file)?;
            println!("{}: no errors", file.display());
        }
        Ok(())
    }

    fn example(&self) -> Result<(), CmdError> {
        Ok(util::print_json(&Settings::example(EXAMPLE_PORT))?)
    }
}

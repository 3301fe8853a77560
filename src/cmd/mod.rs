//! The commands, one file each.

pub mod daemon;
pub mod error;
pub mod settings;
pub mod trial;
pub mod version;

use std::process::ExitCode;

use clap::{ArgMatches, Command};

pub use error::CmdError;

/// Exit code for wrong input, such as settings or a sheet with errors.
const EXIT_INPUT: u8 = 2;
/// Exit code for everything else that goes wrong.
const EXIT_FAILURE: u8 = 1;

/// Parses the command line and runs the command named there.
pub fn main() -> ExitCode {
    let matches = command().get_matches();
    match run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("burdockhall: {error}");
            ExitCode::from(if error.is_input() {
                EXIT_INPUT
            } else {
                EXIT_FAILURE
            })
        }
    }
}

/// The whole command line.
pub fn command() -> Command {
    Command::new("burdockhall")
        .about("Overload control for service call graphs")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help("Exit codes: 0 done, 1 failed, 2 wrong input.")
        .subcommand(daemon::command())
        .subcommand(settings::command())
        .subcommand(trial::command())
        .subcommand(version::command())
}

fn run(matches: &ArgMatches) -> Result<(), CmdError> {
    match matches.subcommand() {
        Some(("daemon", matches)) => daemon::run(matches),
        Some(("settings", matches)) => settings::run(matches),
        Some(("trial", matches)) => trial::run(matches),
        Some(("version", matches)) => version::run(matches),
        _ => Ok(()),
    }
}

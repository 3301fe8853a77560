//! The one binary: dispatches to the commands.

use std::process::ExitCode;

fn main() -> ExitCode {
    burdockhall::cmd::main()
}

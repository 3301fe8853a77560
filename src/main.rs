//! Entry point of the binary; [`burdockhall::cmd`] holds the commands.

use std::process::ExitCode;

fn main() -> ExitCode {
    burdockhall::cmd::main()
}

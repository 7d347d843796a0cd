//! The `fuchsiausher` command.

use std::process::ExitCode;

fn main() -> ExitCode {
    fuchsiausher::main()
}

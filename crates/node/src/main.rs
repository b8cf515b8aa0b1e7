//! `beamtray`: see `beamtray --help` and docs/OPERATIONS.md.

use beamtray_node::command::{Arguments, Outcome, run};
use gumdrop::Options;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    match run(arguments) {
        Ok(outcome) => outcome.into(),
        Err(error) => {
            eprintln!("{error:#}");
            Outcome::Failed.into()
        }
    }
}

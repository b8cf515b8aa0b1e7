//! Runs one case of the second review: `beamtray-review-2 CASE FOLDER WORK`.
//!
//! The stand-ins run in this process, the routers in processes of their own. It exits with 1 if
//! the rule of the case was broken, with 0 if it held, and with 2 if the case could not run. With
//! `TROUBLE=0` in the environment it does the same without the disruption.

mod cases;
mod client;
mod http;
mod judge;
mod keys;
mod record;
mod routers;
mod site;
mod store;
mod upstream;

use cases::{Verdict, granter, keep_alive, standby, surplus, switching};
use eyre::{Result, WrapErr, bail};
use site::Folders;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

/// Longest time of a run.
const LONGEST: Duration = Duration::from_secs(110);
/// Exit code if the case could not run.
const NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    match run() {
        Ok(Verdict::Held) => {
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            println!("broken");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("not run: {error:#}");
            ExitCode::from(NOT_RUN)
        }
    }
}

fn run() -> Result<Verdict> {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, work] = arguments.as_slice() else {
        bail!("usage: beamtray-review-2 CASE FOLDER WORK");
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("start the runtime")?;
    let folders = Folders {
        case: PathBuf::from(folder),
        work: PathBuf::from(work),
    };
    LocalSet::new().block_on(&runtime, run_until_ended(case, &folders, has_trouble))
}

/// Runs a case, and ends its processes when this one is told to end.
async fn run_until_ended(case: &str, folders: &Folders, has_trouble: bool) -> Result<Verdict> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        verdict = run_case(case, folders, has_trouble) => verdict,
        () = tokio::time::sleep(LONGEST) => bail!("it takes too long"),
        _ = terminate.recv() => bail!("interrupted"),
        _ = interrupt.recv() => bail!("interrupted"),
    }
}

async fn run_case(case: &str, folders: &Folders, has_trouble: bool) -> Result<Verdict> {
    match case {
        "surplus" => surplus::run(folders, has_trouble).await,
        "standby" => standby::run(folders, has_trouble).await,
        "granter" => granter::run(folders, has_trouble).await,
        "keep-alive" => keep_alive::run(folders, has_trouble).await,
        "switching" => switching::run(folders, has_trouble).await,
        unknown => bail!("no such case: {unknown}"),
    }
}

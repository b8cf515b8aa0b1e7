//! `beamtray-soak`: see `beamtray-soak --help` and docs/DEVELOPING.md.

use beamtray_soak::{
    CallerSettings, Plan, RunSettings, Size, StoreSettings, UpstreamSettings, load_regressions,
    run_caller, run_plan, run_store, run_upstream, shorten,
};
use eyre::{Result, WrapErr, bail, eyre};
use gumdrop::Options;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

/// Runs real processes under faults and checks what they promise.
#[derive(Debug, Options)]
struct Arguments {
    /// Print this help.
    help: bool,
    #[options(command)]
    command: Option<Task>,
}

#[derive(Debug, Options)]
enum Task {
    /// Plays seeds, one after the other.
    Run(RunArguments),
    /// Plays the runs that once failed.
    Regressions(RegressionArguments),
    /// The store's process; the driver starts it.
    Store(StoreArguments),
    /// An upstream's process; the driver starts it.
    Upstream(UpstreamArguments),
    /// The callers' process; the driver starts it.
    Caller(CallerArguments),
}

#[derive(Debug, Options)]
struct RunArguments {
    /// Print this help.
    help: bool,
    /// Length of one run in seconds (default 60).
    #[options(default = "60")]
    seconds: u64,
    /// First seed (default: drawn).
    seed: Option<u64>,
    /// Number of seeds (default 1).
    #[options(default = "1")]
    runs: u64,
    /// Requests a second (default 60).
    #[options(default = "60")]
    rate: u32,
    /// How many processes: small (the default) or full.
    #[options(default = "small", parse(try_from_str))]
    size: Size,
    /// Routers, if not as many as the size has.
    routers: Option<usize>,
    /// Upstreams that hold keys, and as many others, if not as many as the size has.
    upstreams: Option<usize>,
    /// Drop faults of a failing run while it still fails.
    shorten: bool,
    /// Play this plan instead of the seed's.
    plan: Option<PathBuf>,
    /// Where logs go (default target/soak).
    #[options(default = "target/soak")]
    folder: PathBuf,
}

#[derive(Debug, Options)]
struct RegressionArguments {
    /// Print this help.
    help: bool,
    /// The file (default soak/regressions.toml).
    #[options(default = "soak/regressions.toml")]
    file: PathBuf,
    /// The only seed of the file to play (default: all of them).
    seed: Option<u64>,
    /// Where logs go (default target/soak).
    #[options(default = "target/soak")]
    folder: PathBuf,
}

#[derive(Debug, Options)]
struct StoreArguments {
    /// Where it listens.
    #[options(required)]
    listen: Option<SocketAddr>,
    /// The driver.
    #[options(required)]
    driver: Option<SocketAddr>,
}

#[derive(Debug, Options)]
struct UpstreamArguments {
    /// Its incarnation.
    id: String,
    /// Its service.
    service: String,
    /// Its zone.
    zone: String,
    /// Where it listens.
    #[options(required)]
    listen: Option<SocketAddr>,
    /// Where routers reach it.
    #[options(required)]
    advertised: Option<SocketAddr>,
    /// The store.
    #[options(required)]
    store: Option<SocketAddr>,
    /// The driver.
    #[options(required)]
    driver: Option<SocketAddr>,
    /// Speed of its clock for holds, in percent.
    #[options(default = "100")]
    clock_percent: u32,
    /// Requests in a thousand seconds that its answers name as what it takes.
    rate_milli: Option<u32>,
}

#[derive(Debug, Options)]
struct CallerArguments {
    /// The driver.
    #[options(required)]
    driver: Option<SocketAddr>,
    /// Addresses of the routers, with commas between.
    routers: String,
    /// Requests a second.
    #[options(default = "60")]
    rate: u32,
    /// Seed of what is drawn.
    #[options(default = "1")]
    seed: u64,
}

/// Requests a second while regressions are played.
const REGRESSION_RATE: u32 = 60;

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    match run(arguments) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::from(2)
        }
    }
}

/// Runs a task; whether every promise held.
fn run(arguments: Arguments) -> Result<bool> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = LocalSet::new();
    runtime.block_on(local.run_until(async {
        match arguments.command {
            Some(Task::Run(run)) => until_interrupted(run_seeds(run)).await,
            Some(Task::Regressions(run)) => until_interrupted(run_regressions(run)).await,
            Some(Task::Store(store)) => {
                run_store(StoreSettings {
                    listen: given(store.listen)?,
                    driver: given(store.driver)?,
                })
                .await?;
                Ok(true)
            }
            Some(Task::Upstream(upstream)) => {
                run_upstream(UpstreamSettings {
                    listen: given(upstream.listen)?,
                    advertised: given(upstream.advertised)?,
                    store: given(upstream.store)?,
                    driver: given(upstream.driver)?,
                    id: upstream.id,
                    service: upstream.service,
                    zone: upstream.zone,
                    clock_percent: upstream.clock_percent.max(1),
                    rate_milli: upstream.rate_milli,
                })
                .await?;
                Ok(true)
            }
            Some(Task::Caller(caller)) => {
                let routers: Result<Vec<SocketAddr>, _> =
                    caller.routers.split(',').map(str::parse).collect();
                run_caller(CallerSettings {
                    routers: routers.wrap_err("--routers")?,
                    driver: given(caller.driver)?,
                    rate: caller.rate,
                    seed: caller.seed,
                })
                .await?;
                Ok(true)
            }
            None => bail!("no command; see --help"),
        }
    }))
}

fn given<T>(value: Option<T>) -> Result<T> {
    value.ok_or_else(|| eyre!("a required option is missing; see --help"))
}

/// Dropping the task ends the processes that it started.
async fn until_interrupted(task: impl Future<Output = Result<bool>>) -> Result<bool> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        ended = task => ended,
        _ = interrupt.recv() => bail!("interrupted"),
        _ = terminate.recv() => bail!("terminated"),
    }
}

async fn run_seeds(arguments: RunArguments) -> Result<bool> {
    let first = arguments
        .seed
        .unwrap_or_else(|| rand::random::<u32>().into());
    let mut clean = true;
    for seed in first..first + arguments.runs {
        let settings = RunSettings {
            seed,
            length: Duration::from_secs(arguments.seconds),
            folder: arguments.folder.join(format!("seed-{seed}")),
            rate: arguments.rate,
            size: size_of(&arguments),
        };
        let plan = match &arguments.plan {
            Some(file) => read_plan(file)?,
            None => settings.plan(),
        };
        clean &= run_one(&settings, &plan, arguments.shorten).await?;
    }
    Ok(clean)
}

/// The size of a run, with what is given by itself.
fn size_of(arguments: &RunArguments) -> Size {
    let size = arguments.size;
    Size {
        routers: arguments.routers.unwrap_or(size.routers).max(1),
        keyed: arguments.upstreams.unwrap_or(size.keyed).max(1),
        pool: arguments.upstreams.unwrap_or(size.pool).max(1),
    }
}

async fn run_one(settings: &RunSettings, plan: &Plan, shortens: bool) -> Result<bool> {
    let verdict = run_plan(settings, plan).await?;
    println!(
        "seed={} faults={} {verdict}",
        settings.seed,
        plan.faults.len()
    );
    if verdict.is_clean() {
        std::fs::remove_dir_all(&settings.folder).wrap_err("remove the logs of a clean run")?;
        return Ok(true);
    }
    for finding in &verdict.findings {
        println!(
            "  {:?} at {} ms: {}",
            finding.promise,
            finding.at.as_millis(),
            finding.text
        );
    }
    let kept = if shortens {
        shorten(settings, plan).await?
    } else {
        plan.clone()
    };
    let file = settings.folder.join("plan.toml");
    std::fs::write(&file, toml::to_string(&kept)?)?;
    println!(
        "  again: beamtray-soak run --seed {} --plan {} --folder {}",
        settings.seed,
        file.display(),
        settings.folder.with_extension("again").display()
    );
    Ok(false)
}

fn read_plan(file: &Path) -> Result<Plan> {
    let text =
        std::fs::read_to_string(file).wrap_err_with(|| format!("read {}", file.display()))?;
    toml::from_str(&text).wrap_err_with(|| format!("parse {}", file.display()))
}

async fn run_regressions(arguments: RegressionArguments) -> Result<bool> {
    let mut clean = true;
    let mut regressions = load_regressions(&arguments.file)?;
    if let Some(seed) = arguments.seed {
        regressions.retain(|one| one.seed == seed);
        if regressions.is_empty() {
            bail!("{} has no seed {seed}", arguments.file.display());
        }
    }
    for regression in regressions {
        println!("seed={} once failed: {}", regression.seed, regression.cause);
        let settings = RunSettings {
            seed: regression.seed,
            length: Duration::from_secs(regression.seconds),
            folder: arguments
                .folder
                .join(format!("regression-{}", regression.seed)),
            rate: REGRESSION_RATE,
            size: Size::SMALL,
        };
        let plan = regression.plan.unwrap_or_else(|| settings.plan());
        clean &= run_one(&settings, &plan, false).await?;
    }
    Ok(clean)
}

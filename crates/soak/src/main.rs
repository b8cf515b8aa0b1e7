//! `beamtray-soak`: see `beamtray-soak --help` and docs/DEVELOPING.md.

use beamtray_soak::{
    CallerSettings, MeanWork, Plan, Room, RunSettings, Size, Spoil, StoreSettings,
    UpstreamSettings, load_regressions, run_caller, run_plan, run_store, run_upstream, shorten,
};
use eyre::{Result, WrapErr, bail, eyre};
use gumdrop::Options;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

/// Runs real processes under fault injection and checks the router's guarantees.
#[derive(Debug, Options)]
struct Arguments {
    /// Print this help.
    help: bool,
    #[options(command)]
    command: Option<Task>,
}

#[derive(Debug, Options)]
enum Task {
    /// Run one or more seeds in sequence.
    Run(RunArguments),
    /// Run the recorded regressions.
    Regressions(RegressionArguments),
    /// Store process (started by the driver).
    Store(StoreArguments),
    /// Upstream process (started by the driver).
    Upstream(UpstreamArguments),
    /// Caller process (started by the driver).
    Caller(CallerArguments),
}

#[derive(Debug, Options)]
struct RunArguments {
    /// Print this help.
    help: bool,
    /// Length of one run in seconds (default 60).
    #[options(default = "60")]
    seconds: u64,
    /// First seed (default: random).
    seed: Option<u64>,
    /// Number of seeds (default 1).
    #[options(default = "1")]
    runs: u64,
    /// Requests per second (default 60).
    #[options(default = "60")]
    rate: u32,
    /// Cluster size: small (the default), full or large.
    #[options(default = "small", parse(try_from_str))]
    size: Size,
    /// Number of routers (default: that of the size).
    routers: Option<usize>,
    /// Number of upstreams in each of the two services (default: those of the size).
    upstreams: Option<usize>,
    /// Remove faults from the plan of a failing run while it still fails.
    shorten: bool,
    /// Keep the logs of clean runs, too.
    keep_logs: bool,
    /// Upstreams spoil answers and reject what they can't queue, and requests that must not be
    /// retried have keys.
    spoil: bool,
    /// Run this plan instead of the one drawn from the seed.
    plan: Option<PathBuf>,
    /// Directory for logs (default target/soak).
    #[options(default = "target/soak")]
    folder: PathBuf,
}

#[derive(Debug, Options)]
struct RegressionArguments {
    /// Print this help.
    help: bool,
    /// File of regressions (default soak/regressions.toml).
    #[options(default = "soak/regressions.toml")]
    file: PathBuf,
    /// Run only the regression with this seed (default: all).
    seed: Option<u64>,
    /// Directory for logs (default target/soak).
    #[options(default = "target/soak")]
    folder: PathBuf,
}

#[derive(Debug, Options)]
struct StoreArguments {
    /// Address to listen on.
    #[options(required)]
    listen: Option<SocketAddr>,
    /// Address of the driver.
    #[options(required)]
    driver: Option<SocketAddr>,
    /// Requests per second that the configuration allows to a cold upstream.
    cold_rate: Option<f64>,
    /// Largest request body that the configuration allows, in bytes.
    max_body_bytes: Option<usize>,
}

#[derive(Debug, Options)]
struct UpstreamArguments {
    /// Name of the incarnation.
    id: String,
    /// Service name.
    service: String,
    /// Zone name.
    zone: String,
    /// Address to listen on.
    #[options(required)]
    listen: Option<SocketAddr>,
    /// Address advertised to routers.
    #[options(required)]
    advertised: Option<SocketAddr>,
    /// Address of the store.
    #[options(required)]
    store: Option<SocketAddr>,
    /// Address of the driver.
    #[options(required)]
    driver: Option<SocketAddr>,
    /// Speed of the clock that times holds, in percent.
    #[options(default = "100")]
    clock_percent: u32,
    /// Rate limit announced in responses, in requests per 1000 seconds.
    rate_milli: Option<u32>,
    /// Requests executed at once (default 4).
    slots: Option<usize>,
    /// Requests that wait (default 8).
    queue: Option<usize>,
    /// Requests per second borne after the start, when the upstream begins cold.
    cold_rate: Option<f64>,
    /// Reject requests beyond the queue; otherwise they are never answered.
    rejects_when_full: bool,
    /// Reject the first sending of each request.
    rejects_first: bool,
    /// How rejections are spoiled.
    #[options(parse(try_from_str))]
    spoil: Option<Spoil>,
    /// How answers to grants are spoiled.
    #[options(parse(try_from_str))]
    spoil_grants: Option<Spoil>,
}

#[derive(Debug, Options)]
struct CallerArguments {
    /// Address of the driver.
    #[options(required)]
    driver: Option<SocketAddr>,
    /// Router addresses, separated by commas.
    routers: String,
    /// Requests per second.
    #[options(default = "60")]
    rate: u32,
    /// Seed of the request generator.
    #[options(default = "1")]
    seed: u64,
    /// Mean execution times of sharded requests, lookups and orders, in milliseconds, separated
    /// by commas, if the load is high.
    #[options(parse(try_from_str))]
    work: Option<MeanWork>,
    /// Send requests with keys that must not be retried.
    transfers: bool,
}

/// Threads of the driver that serve links.
const LINK_THREADS: usize = 2;
/// Request rate of regression runs, per second.
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

/// Runs a command and returns whether every guarantee held.
fn run(arguments: Arguments) -> Result<bool> {
    // The main thread reads reports; links between processes are served by other threads, so that
    // neither waits for the other.
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(worker_threads(&arguments))
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
                    cold_rate: store.cold_rate,
                    max_body_bytes: store.max_body_bytes,
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
                    room: Room {
                        slots: upstream.slots.unwrap_or(Room::default().slots),
                        queue: upstream.queue.unwrap_or(Room::default().queue),
                    },
                    cold_rate: upstream.cold_rate,
                    rejects_when_full: upstream.rejects_when_full,
                    rejects_first: upstream.rejects_first,
                    spoil: upstream.spoil,
                    spoil_grants: upstream.spoil_grants,
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
                    work: caller.work,
                    transfers: caller.transfers,
                })
                .await?;
                Ok(true)
            }
            None => bail!("no command; see --help"),
        }
    }))
}

/// Threads beside the main one: the driver serves the links, the other processes have none.
fn worker_threads(arguments: &Arguments) -> usize {
    match arguments.command {
        Some(Task::Run(_) | Task::Regressions(_)) => LINK_THREADS,
        _ => 1,
    }
}

fn given<T>(value: Option<T>) -> Result<T> {
    value.ok_or_else(|| eyre!("a required option is missing; see --help"))
}

/// Runs a task until it completes or the process is signalled; dropping the task kills its
/// child processes.
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
            spoils: arguments.spoil,
        };
        let plan = match &arguments.plan {
            Some(file) => read_plan(file)?,
            None => settings.plan(),
        };
        let follow_up = FollowUp {
            shortens: arguments.shorten,
            keeps_logs: arguments.keep_logs,
        };
        clean &= run_one(&settings, &plan, follow_up).await?;
    }
    Ok(clean)
}

/// What is done after a run.
#[derive(Clone, Copy, Default)]
struct FollowUp {
    /// Shorten the plan of a failing run.
    shortens: bool,
    /// Keep the logs of a clean run.
    keeps_logs: bool,
}

/// The selected size, with the counts given on the command line.
fn size_of(arguments: &RunArguments) -> Size {
    let size = arguments.size;
    Size {
        routers: arguments.routers.unwrap_or(size.routers).max(1),
        keyed: arguments.upstreams.unwrap_or(size.keyed).max(1),
        pool: arguments.upstreams.unwrap_or(size.pool).max(1),
        lookup: match size.lookup {
            0 => 0,
            lookup => arguments.upstreams.unwrap_or(lookup).max(1),
        },
    }
}

async fn run_one(settings: &RunSettings, plan: &Plan, follow_up: FollowUp) -> Result<bool> {
    let outcome = run_plan(settings, plan).await?;
    let verdict = &outcome.verdict;
    println!(
        "seed={} faults={} {verdict}",
        settings.seed,
        plan.faults.len()
    );
    for returned in &outcome.returns {
        println!(
            "  after a start of all routers ({} upstreams exited in the run):",
            outcome.exits
        );
        print!("{returned}");
    }
    if verdict.is_clean() && follow_up.keeps_logs {
        return Ok(true);
    }
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
    let kept = if follow_up.shortens {
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
            spoils: false,
        };
        let plan = regression.plan.unwrap_or_else(|| settings.plan());
        clean &= run_one(&settings, &plan, FollowUp::default()).await?;
    }
    Ok(clean)
}

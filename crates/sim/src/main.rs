//! Command line of `beamtray-sim`; see `beamtray-sim --help` and docs/PROOFS.md.

mod router;

use beamtray_placement::Policy;
use beamtray_routersim::WorldSize;
use beamtray_settings::Declaration;
use beamtray_sim::check::Invariant;
use beamtray_sim::explore::{ALL_FAULTS, Exploration, Summary, violations};
use beamtray_sim::guard::Guard;
use beamtray_sim::measure::{Kind, Measures, measure, policy_name};
use beamtray_sim::plot::plot;
use beamtray_sim::replay::{Trace, record};
use beamtray_sim::scale::{ScaleReport, ScaleRun};
use beamtray_sim::scenario::Scenario;
use beamtray_sim::world::World;
use eyre::{Result, WrapErr, eyre};
use gumdrop::Options;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::thread;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "run histories from many seeds and check them")]
    Explore(ExploreArguments),
    #[options(help = "run histories of the store-backed router and check them")]
    ExploreRouter(ExploreRouterArguments),
    #[options(help = "replay traces against their stated outcomes")]
    Replay(ReplayArguments),
    #[options(help = "measure control-plane cost at scale")]
    Scale(ScaleArguments),
    #[options(help = "measure imbalance, churn and unavailable time")]
    Measure(MeasureArguments),
}

#[derive(Debug, Options)]
struct ReplayArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "trace files")]
    traces: Vec<String>,
    #[options(
        help = "write the trace of this seed, all faults, to the file instead",
        no_short
    )]
    record: Option<u64>,
}

#[derive(Debug, Options)]
struct MeasureArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "declaration file", no_short, meta = "FILE", required)]
    deployment: String,
    #[options(help = "scenario (default: all)", no_short)]
    scenario: Option<String>,
    #[options(help = "beamtray, ring or modulo (default: all)", no_short)]
    policy: Option<String>,
    #[options(help = "seed", no_short, default = "1")]
    seed: u64,
    #[options(help = "folder for JSON and plots", no_short, meta = "DIR")]
    out: Option<PathBuf>,
}

#[derive(Debug, Options)]
struct ScaleArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "node counts, separated by commas",
        no_short,
        default = "23,69,230"
    )]
    nodes: String,
    #[options(help = "keys in use", no_short, default = "440000000")]
    keys: u64,
    #[options(
        help = "requests per second sent through the world",
        no_short,
        default = "2000"
    )]
    rate: u32,
    #[options(help = "seed", no_short, default = "1")]
    seed: u64,
    #[options(help = "print JSON")]
    json: bool,
}

#[derive(Debug, Options)]
struct ExploreRouterArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "first seed", no_short, default = "0")]
    first_seed: u64,
    #[options(help = "number of seeds", no_short, default = "100")]
    seeds: u64,
    #[options(help = "threads", no_short, default = "8")]
    threads: u64,
    #[options(help = "disable this guard", no_short, meta = "GUARD")]
    without: Option<String>,
    #[options(
        help = "size of the worlds: drawn (the default), many (17 to 23 nodes), large (300)",
        no_short,
        default = "drawn"
    )]
    size: WorldSize,
    #[options(
        help = "also draw leaving upstreams, retry-after periods and store rollbacks",
        no_short
    )]
    extended: bool,
    #[options(
        help = "print the faults, terms and orders of each history that violates an invariant",
        no_short
    )]
    events: bool,
}

#[derive(Debug, Options)]
struct ExploreArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "first seed", no_short, default = "1")]
    first_seed: u64,
    #[options(help = "number of seeds", no_short, default = "100")]
    seeds: u64,
    #[options(
        help = "declaration file (default: a small deployment)",
        no_short,
        meta = "FILE"
    )]
    deployment: Option<String>,
    #[options(
        help = "all, none, or kinds separated by commas",
        no_short,
        default = "all"
    )]
    faults: String,
    #[options(help = "disable this guard", no_short, meta = "GUARD")]
    without: Option<String>,
    #[options(help = "threads", no_short, default = "8")]
    threads: usize,
    #[options(help = "print every event of the first seed", no_short)]
    verbose: bool,
}

fn main() -> Result<ExitCode> {
    let arguments = Arguments::parse_args_default_or_exit();
    match arguments.command {
        Some(Command::Explore(arguments)) => explore(arguments),
        Some(Command::ExploreRouter(arguments)) => router::explore(&arguments),
        Some(Command::Replay(arguments)) => replay(&arguments),
        Some(Command::Scale(arguments)) => scale(&arguments),
        Some(Command::Measure(arguments)) => measure_all(&arguments),
        None => {
            eprintln!("no command given; --help lists the commands");
            Ok(ExitCode::from(2))
        }
    }
}

fn replay(arguments: &ReplayArguments) -> Result<ExitCode> {
    if let Some(seed) = arguments.record {
        let file = arguments
            .traces
            .first()
            .ok_or_else(|| eyre!("no output file given"))?;
        let trace = record(&Scenario::random(seed, None, &|_| true));
        std::fs::write(file, trace.to_text()?)?;
        return Ok(ExitCode::SUCCESS);
    }
    let mut clean = true;
    for file in &arguments.traces {
        let text = std::fs::read_to_string(file)?;
        let trace = Trace::parse(&text).wrap_err_with(|| file.clone())?;
        let differences = trace.replay();
        clean &= differences.is_empty();
        println!("{file}: {} differences", differences.len());
        for difference in differences {
            println!("  {difference}");
        }
    }
    Ok(if clean {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn measure_all(arguments: &MeasureArguments) -> Result<ExitCode> {
    let declaration = Declaration::load(&arguments.deployment)?;
    let name = Path::new(&arguments.deployment)
        .file_stem()
        .map_or(String::new(), |stem| stem.to_string_lossy().into_owned());
    let kinds = match arguments.scenario.as_deref() {
        None => Kind::ALL.to_vec(),
        Some(name) => vec![Kind::named(name).ok_or_else(|| eyre!("no scenario {name}"))?],
    };
    let policies: Vec<Policy> = [Policy::Balanced, Policy::Ring, Policy::Modulo]
        .into_iter()
        .filter(|policy| {
            let wanted = arguments.policy.as_deref();
            wanted.is_none_or(|wanted| wanted == policy_name(*policy))
        })
        .collect();
    let jobs: Vec<(Kind, Policy)> = kinds
        .iter()
        .flat_map(|kind| policies.iter().map(move |policy| (*kind, *policy)))
        .collect();
    let results: Vec<Measures> = thread::scope(|scope| {
        let declaration = &declaration;
        let seed = arguments.seed;
        let running: Vec<_> = jobs
            .iter()
            .map(|(kind, policy)| scope.spawn(move || measure(declaration, *kind, *policy, seed)))
            .collect();
        running
            .into_iter()
            .filter_map(|job| job.join().ok())
            .collect()
    });
    println!(
        "{name}, seed {}: load and keys are max/mean; churn in shares of all keys; times in ms",
        arguments.seed
    );
    println!(
        "scenario         policy     load  p99   keys  churn  gap-longest gap-p99 planned  not-run unknown retries  p50   p99"
    );
    for result in &results {
        print_measures(result);
    }
    if let Some(folder) = &arguments.out {
        std::fs::create_dir_all(folder)?;
        let file = folder.join(format!("{name}.json"));
        std::fs::write(file, serde_json::to_string_pretty(&results)?)?;
        for result in &results {
            plot(result, folder, &name)?;
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn print_measures(result: &Measures) {
    println!(
        "{:<16} {:<9} {:>5.2} {:>5.2} {:>5.2} {:>6.3} {:>12.0} {:>7.0} {:>7.1} {:>8} {:>7} {:>7} {:>5.1} {:>6.1}",
        result.scenario,
        result.policy,
        result.load_imbalance,
        result.load_imbalance_p99,
        result.key_imbalance,
        result.churn,
        result.unavailable_longest_millis,
        result.unavailable_p99_millis,
        result.planned_gap_millis,
        result.not_run,
        result.unknown,
        result.retries,
        result.latency_p50_millis,
        result.latency_p99_millis,
    );
}

fn scale(arguments: &ScaleArguments) -> Result<ExitCode> {
    for nodes in arguments.nodes.split(',') {
        let run = ScaleRun {
            nodes: nodes.parse()?,
            keys: arguments.keys,
            rate: arguments.rate,
            seed: arguments.seed,
        };
        let report = run.run();
        if arguments.json {
            println!("{}", serde_json::to_string(&report)?);
        } else {
            print_scale(&report);
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn print_scale(report: &ScaleReport) {
    println!(
        "nodes {} slices {} state {} B, resident per node {} KB",
        report.nodes,
        report.slices,
        report.state_bytes,
        report.resident_bytes_per_node / 1_024
    );
    for role in &report.roles {
        println!(
            "  {:<17} x{:<4} {:>9.1} messages/s {:>11.0} B/s (grants {:.0}, views {:.0}, log {:.0}) {:>6.2}% of a core",
            role.role,
            role.nodes,
            role.messages,
            role.bytes,
            role.grant_bytes,
            role.view_bytes,
            role.log_bytes,
            role.processor_percent
        );
    }
    println!(
        "  a change of configuration: {} B in all, in force everywhere after {:?} ms; keys of a lost server granted again after {:?} ms",
        report.change_bytes, report.change_millis, report.recovery_millis
    );
}

fn explore(arguments: ExploreArguments) -> Result<ExitCode> {
    let declaration = arguments.deployment.as_deref().map(Declaration::load);
    let exploration = Exploration {
        first_seed: arguments.first_seed,
        seeds: arguments.seeds,
        declaration: declaration.transpose()?,
        faults: match arguments.faults.as_str() {
            "none" => Vec::new(),
            list => list.split(',').map(str::to_owned).collect(),
        },
        without: match arguments.without.as_deref() {
            None => None,
            Some(name) => Some(Guard::named(name).ok_or_else(|| eyre!("no guard {name}"))?),
        },
        threads: arguments.threads.max(1),
    };
    if arguments.verbose {
        let mut world = World::new(exploration.scenario(arguments.first_seed));
        world.set_verbose();
        let history = world.run();
        println!("digest {:016x}", history.digest());
        for line in violations(&history) {
            println!("{line}");
        }
        return Ok(ExitCode::SUCCESS);
    }
    let summary = exploration.run();
    print_summary(&exploration, &summary, &arguments);
    let clean = summary.violations.is_empty();
    Ok(if clean {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn print_summary(exploration: &Exploration, summary: &Summary, arguments: &ExploreArguments) {
    for invariant in Invariant::ALL {
        let found = summary
            .invariants
            .get(&invariant)
            .cloned()
            .unwrap_or_default();
        let note = if found.exercised_seeds == 0 {
            " never put to the test"
        } else {
            ""
        };
        println!(
            "{:<20} stressed in {} seeds, {} times; violating seeds {}{note}",
            invariant.as_str(),
            found.exercised_seeds,
            found.exercised,
            found.violating_seeds,
        );
    }
    println!(
        "assignments exposed to the loss of a generation: {} in {} seeds",
        summary.rolled_back_grants.0, summary.rolled_back_grants.1
    );
    let deployment = arguments
        .deployment
        .as_ref()
        .map_or(String::new(), |file| format!(" --deployment {file}"));
    for (seed, texts) in summary.violations.iter().take(5) {
        println!("seed {seed}:");
        for text in texts.iter().take(4) {
            println!("  {text}");
        }
        let faults = if arguments.faults == ALL_FAULTS {
            String::new()
        } else {
            format!(" --faults {}", arguments.faults)
        };
        println!(
            "  replay: beamtray-sim explore --first-seed {seed} --seeds 1{faults}{deployment} --verbose"
        );
        println!("  shortened:");
        for fault in exploration.minimize(*seed).faults {
            println!("    at {} ms: {:?}", fault.at_millis, fault.fault);
        }
    }
    println!(
        "seeds {} violations {}",
        arguments.seeds,
        summary.violations.len()
    );
}

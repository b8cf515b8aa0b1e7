//! `beamtray-sim`: see `beamtray-sim --help` and docs/PROOFS.md.

use beamtray_settings::Declaration;
use beamtray_sim::check::Point;
use beamtray_sim::explore::{ALL_FAULTS, Exploration, Summary, violations};
use beamtray_sim::guard::Guard;
use beamtray_sim::world::World;
use eyre::{Result, eyre};
use gumdrop::Options;
use std::process::ExitCode;

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
        help = "all, none, or a list of kinds with commas",
        no_short,
        default = "all"
    )]
    faults: String,
    #[options(help = "do without this protection", no_short, meta = "GUARD")]
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
        None => {
            eprintln!("name a command; --help lists them");
            Ok(ExitCode::from(2))
        }
    }
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
    for point in Point::ALL {
        let found = summary.points.get(&point).cloned().unwrap_or_default();
        let note = if found.stressed_seeds == 0 {
            " never put to the test"
        } else {
            ""
        };
        println!(
            "{:<20} stressed in {} seeds, {} times; violating seeds {}{note}",
            point.as_str(),
            found.stressed_seeds,
            found.stressed,
            found.violating_seeds,
        );
    }
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
        for fault in exploration.shorten(*seed).faults {
            println!("    at {} ms: {:?}", fault.at_millis, fault.fault);
        }
    }
    println!(
        "seeds {} violations {}",
        arguments.seeds,
        summary.violations.len()
    );
}

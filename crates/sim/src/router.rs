//! `explore-router`: runs and checks histories of the store-backed router.

use crate::ExploreRouterArguments;
use beamtray_routersim::{FaultPlan, Guard, Outcome, WorldConfig, WorldSize, run_plan};
use eyre::{Result, eyre};
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

/// Totals over all seeds.
#[derive(Default)]
struct Total {
    asked: usize,
    served: usize,
    releases: usize,
    unowned: Duration,
    orders: usize,
    writes: usize,
    faults: usize,
    violations: usize,
}

impl Total {
    fn add(&mut self, seed: u64, outcome: &Outcome) {
        self.asked += outcome.requests;
        self.served += outcome.served;
        self.releases += outcome.releases;
        self.unowned += outcome.ownership_costs.unowned;
        self.orders += outcome.ownership_costs.orders;
        self.writes += outcome.ownership_costs.writes;
        self.faults += outcome.plan.faults.len();
        self.violations += outcome.violations.len();
        if !outcome.violations.is_empty() {
            for entry in &outcome.events {
                println!("seed {seed}: {entry}");
            }
        }
        for violation in &outcome.violations {
            println!("seed {seed}: {violation}");
        }
    }

    fn merge(mut self, other: Total) -> Self {
        self.asked += other.asked;
        self.served += other.served;
        self.releases += other.releases;
        self.unowned += other.unowned;
        self.orders += other.orders;
        self.writes += other.writes;
        self.faults += other.faults;
        self.violations += other.violations;
        self
    }
}

/// Which histories to run, and how.
#[derive(Clone, Copy)]
struct Selection {
    size: WorldSize,
    disabled_guard: Option<Guard>,
    is_extended: bool,
    logs_events: bool,
}

// Inlined into one another, the functions of this module keep the compiler from finishing on arm64.
#[inline(never)]
pub(crate) fn explore(arguments: &ExploreRouterArguments) -> Result<ExitCode> {
    let selection = Selection {
        size: arguments.size,
        disabled_guard: arguments.without.as_deref().map(guard).transpose()?,
        is_extended: arguments.extended,
        logs_events: arguments.events,
    };
    let threads = arguments.threads.max(1);
    let first = arguments.first_seed;
    let end = first + arguments.seeds;
    let workers: Vec<_> = (0..threads)
        .map(|worker| {
            let seeds = (first + worker..end).step_by(threads as usize);
            thread::spawn(move || run(seeds, selection))
        })
        .collect();
    let mut total = Total::default();
    for worker in workers {
        let part = worker.join().map_err(|_| eyre!("a history panicked"))?;
        total = total.merge(part);
    }
    println!(
        "seeds {} faults {} requests {} answered {} releases {} violations {}",
        arguments.seeds, total.faults, total.asked, total.served, total.releases, total.violations
    );
    println!(
        "keys without an owner {} ms in all histories, orders {} writes {}",
        total.unowned.as_millis(),
        total.orders,
        total.writes
    );
    Ok(if total.violations == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

#[inline(never)]
fn run(seeds: impl Iterator<Item = u64>, selection: Selection) -> Total {
    let mut total = Total::default();
    for seed in seeds {
        let config = WorldConfig {
            logs_events: selection.logs_events,
            ..WorldConfig::sized(selection.size, seed)
        };
        let plan = match selection.is_extended {
            true => FaultPlan::draw_extended(seed, &config),
            false => FaultPlan::draw(seed, &config),
        };
        total.add(seed, &run_plan(config, plan, selection.disabled_guard));
    }
    total
}

#[inline(never)]
fn guard(name: &str) -> Result<Guard> {
    let names: Vec<String> = Guard::ALL.iter().map(|one| format!("{one:?}")).collect();
    let index = names.iter().position(|one| one.eq_ignore_ascii_case(name));
    index
        .and_then(|index| Guard::ALL.get(index).copied())
        .ok_or_else(|| eyre!("no guard {name}; there are {}", names.join(", ")))
}

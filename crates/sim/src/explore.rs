//! Runs and checks histories over a range of seeds.

use crate::check::{Invariant, check_all, rolled_back_grants};
use crate::fault::Fault;
use crate::guard::Guard;
use crate::record::History;
use crate::scenario::Scenario;
use crate::world::World;
use beamtray_settings::Declaration;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

/// Parameters of an exploration.
#[derive(Clone, Debug)]
pub struct Exploration {
    /// First seed.
    pub first_seed: u64,
    /// Number of seeds.
    pub seeds: u64,
    /// Declared configuration; `None` selects a small deployment.
    pub declaration: Option<Declaration>,
    /// Kinds of faults to inject; empty injects none.
    pub faults: Vec<String>,
    /// Guard to disable, to verify that a checker detects its absence.
    pub without: Option<Guard>,
    /// Number of threads; each world runs entirely on one thread.
    pub threads: usize,
}

/// Results for one invariant across all seeds.
#[derive(Clone, Debug, Default)]
pub struct InvariantSummary {
    /// Histories that exercised the invariant.
    pub exercised_seeds: u64,
    /// Total number of situations that exercised it.
    pub exercised: u64,
    /// Histories that violated it.
    pub violating_seeds: u64,
}

/// Results across all seeds.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Results by invariant.
    pub invariants: BTreeMap<Invariant, InvariantSummary>,
    /// Grants with a lower fence than an acknowledged assignment, issued after a
    /// majority of the voters was lost, and the number of seeds with such grants.
    pub rolled_back_grants: (u64, u64),
    /// Violations by seed.
    pub violations: BTreeMap<u64, Vec<String>>,
}

/// Name that selects every kind of fault.
pub const ALL_FAULTS: &str = "all";

impl Exploration {
    /// Builds the scenario of one seed.
    pub fn scenario(&self, seed: u64) -> Scenario {
        let selected = |fault: &Fault| {
            let kinds = &self.faults;
            kinds
                .iter()
                .any(|kind| kind == ALL_FAULTS || kind == fault.kind())
        };
        let mut scenario = Scenario::random(seed, self.declaration.clone(), &selected);
        if let Some(guard) = self.without {
            guard.disable_in(&mut scenario.guards);
        }
        scenario
    }

    /// Runs all seeds.
    pub fn run(&self) -> Summary {
        let next = AtomicU64::new(0);
        let summary = Mutex::new(Summary::default());
        thread::scope(|scope| {
            for _ in 0..self.threads {
                scope.spawn(|| {
                    loop {
                        let offset = next.fetch_add(1, Ordering::Relaxed);
                        if offset >= self.seeds {
                            return;
                        }
                        let seed = self.first_seed + offset;
                        let history = World::new(self.scenario(seed)).run();
                        let mut summary = summary
                            .lock()
                            .unwrap_or_else(|poisoned| poisoned.into_inner());
                        summary.add(seed, &history);
                    }
                });
            }
        });
        summary
            .into_inner()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Minimizes the scenario of a violating seed by removing each fault that is not
    /// needed for a violation.
    pub fn minimize(&self, seed: u64) -> Scenario {
        let mut scenario = self.scenario(seed);
        let mut position = 0;
        while position < scenario.faults.len() {
            let mut shorter = scenario.clone();
            shorter.faults.remove(position);
            if violations(&World::new(shorter.clone()).run()).is_empty() {
                position += 1;
            } else {
                scenario = shorter;
            }
        }
        scenario
    }
}

/// All violations in a history, prefixed with the invariant's name.
pub fn violations(history: &History) -> Vec<String> {
    let findings = check_all(history);
    findings
        .into_iter()
        .flat_map(|finding| {
            let name = finding.invariant.as_str();
            let violations = finding.violations.into_iter();
            violations.map(move |text| format!("{name}: {text}"))
        })
        .collect()
}

impl Summary {
    fn add(&mut self, seed: u64, history: &History) {
        let rolled_back_grants = rolled_back_grants(history);
        self.rolled_back_grants.0 += rolled_back_grants;
        self.rolled_back_grants.1 += u64::from(rolled_back_grants > 0);
        for finding in check_all(history) {
            let invariant = self.invariants.entry(finding.invariant).or_default();
            invariant.exercised += finding.exercised;
            invariant.exercised_seeds += u64::from(finding.exercised > 0);
            invariant.violating_seeds += u64::from(!finding.violations.is_empty());
            let name = finding.invariant.as_str();
            for text in finding.violations {
                let all = self.violations.entry(seed).or_default();
                all.push(format!("{name}: {text}"));
            }
        }
    }
}

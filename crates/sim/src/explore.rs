//! Many histories from many seeds, checked.

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

/// What to explore.
#[derive(Clone, Debug)]
pub struct Exploration {
    /// First seed.
    pub first_seed: u64,
    /// Number of seeds.
    pub seeds: u64,
    /// What operators declare; none takes a small deployment.
    pub declaration: Option<Declaration>,
    /// Kinds of faults; empty takes none.
    pub faults: Vec<String>,
    /// A protection to do without, to see who notices.
    pub without: Option<Guard>,
    /// Threads; each runs whole worlds.
    pub threads: usize,
}

/// What was found of one point.
#[derive(Clone, Debug, Default)]
pub struct InvariantSummary {
    /// Histories that put it to the test.
    pub exercised_seeds: u64,
    /// How often in all.
    pub exercised: u64,
    /// Histories that broke it.
    pub violating_seeds: u64,
}

/// What was found in all.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Each point.
    pub invariants: BTreeMap<Invariant, InvariantSummary>,
    /// Grants that went back behind an acknowledged assignment because all
    /// that knew of it were lost, and the seeds in which any did.
    pub rolled_back_grants: (u64, u64),
    /// Violating seeds with what broke.
    pub violations: BTreeMap<u64, Vec<String>>,
}

/// The name that selects every kind of fault.
pub const ALL_FAULTS: &str = "all";

impl Exploration {
    /// The world of one seed.
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

    /// Drops faults of a violating seed while it still violates.
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

/// Everything that broke in a history.
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

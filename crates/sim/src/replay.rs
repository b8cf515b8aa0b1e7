//! Replays recorded traces and compares the outcomes with the expected ones.
//!
//! A trace is JSON Lines: one `scenario`, then faults, requests and expected
//! outcomes. A replay also checks every invariant.

use crate::explore::violations;
use crate::fault::ScheduledFault;
use crate::record::{CallerView, History, OperatorView, Record};
use crate::scenario::{LoadShape, Scenario, ScriptedRequest};
use crate::world::World;
use beamtray_types::KeyHash;
use eyre::{Result, WrapErr, bail, eyre};
use serde::{Deserialize, Serialize};

/// One line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Line {
    /// The world; must be the first line.
    Scenario {
        /// Description of the trace.
        about: String,
        /// Seed of delays and other random choices.
        seed: u64,
        /// Random requests per second in addition to the scripted ones.
        per_second: u32,
        /// Share of grants delayed by the network.
        held_up_share: f64,
    },
    /// An injected fault.
    Fault(ScheduledFault),
    /// A scripted request.
    Request(ScriptedRequest),
    /// Expected outcome of a request.
    ExpectRequest {
        /// The request's name.
        name: String,
        /// `complete`, `not-run`, `unknown` or `no-answer`.
        outcome: String,
        /// Expected number of effects.
        effects: u64,
    },
    /// Expects a key to move to a new owner within a time limit.
    ExpectNewOwner {
        /// The key.
        key: String,
        /// Start of the interval, in milliseconds.
        after_millis: u64,
        /// Length of the interval, in milliseconds.
        within_millis: u64,
    },
    /// Expected number of confirmations rejected because of a conflicting change.
    ExpectConflicts {
        /// Expected count.
        count: u64,
    },
    /// Expected number of accepted configuration changes, including the first.
    ExpectAccepted {
        /// Expected count.
        count: u64,
    },
}

/// A parsed trace.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// Lines in file order.
    pub lines: Vec<Line>,
}

impl Trace {
    /// Parses a trace.
    ///
    /// # Errors
    /// Returns an error with the number of the first invalid line.
    pub fn parse(text: &str) -> Result<Self> {
        let lines = text
            .lines()
            .enumerate()
            .filter(|(_, line)| !line.trim().is_empty())
            .map(|(number, line)| {
                serde_json::from_str(line).wrap_err_with(|| format!("line {}", number + 1))
            })
            .collect::<Result<Vec<Line>>>()?;
        if !matches!(lines.first(), Some(Line::Scenario { .. })) {
            bail!("the first line must be the scenario");
        }
        Ok(Self { lines })
    }

    /// Encodes the trace as JSON Lines.
    ///
    /// # Errors
    /// Returns an error if a line cannot be encoded.
    pub fn to_text(&self) -> Result<String> {
        let lines = self.lines.iter().map(serde_json::to_string);
        let lines = lines.collect::<serde_json::Result<Vec<String>>>()?;
        Ok(lines.join("\n") + "\n")
    }

    /// Builds the scenario that the trace describes.
    pub fn scenario(&self) -> Scenario {
        let mut scenario = Scenario::calm(0, None);
        for line in &self.lines {
            match line {
                Line::Scenario {
                    seed,
                    per_second,
                    held_up_share,
                    ..
                } => {
                    scenario.seed = *seed;
                    scenario.held_up_share = *held_up_share;
                    scenario.load = LoadShape {
                        per_second: *per_second,
                        ..scenario.load
                    };
                }
                Line::Fault(fault) => scenario.faults.push(fault.clone()),
                Line::Request(request) => scenario.script.push(request.clone()),
                _ => {}
            }
        }
        scenario
    }

    /// Runs the trace and returns the differences, each with its line and field.
    pub fn replay(&self) -> Vec<String> {
        let history = World::new(self.scenario()).run();
        let mut differences: Vec<String> = violations(&history);
        for (position, line) in self.lines.iter().enumerate() {
            if let Err(difference) = check_line(&history, line) {
                differences.push(format!("line {}: {difference}", position + 1));
            }
        }
        differences
    }
}

/// Records a random world as a trace: its faults, and the outcome of each transfer
/// that did not complete normally.
pub fn record(scenario: &Scenario) -> Trace {
    let history = World::new(scenario.clone()).run();
    let mut lines = vec![Line::Scenario {
        about: format!("recorded from seed {}", scenario.seed),
        seed: scenario.seed,
        per_second: scenario.load.per_second,
        held_up_share: scenario.held_up_share,
    }];
    lines.extend(scenario.faults.iter().cloned().map(Line::Fault));
    for timed in &history.records {
        if let Record::Answered { name, view } = &timed.record
            && name.starts_with("transfer")
            && !matches!(view, CallerView::Complete { .. })
        {
            lines.push(Line::ExpectRequest {
                name: name.clone(),
                outcome: outcome_word(view).to_owned(),
                effects: effects(&history, name),
            });
        }
    }
    Trace { lines }
}

fn check_line(history: &History, line: &Line) -> Result<()> {
    match line {
        Line::ExpectRequest {
            name,
            outcome,
            effects: expected,
        } => {
            let view = answer(history, name).ok_or_else(|| eyre!("{name}: never answered"))?;
            let found = outcome_word(view);
            if found != outcome {
                bail!("{name}: outcome is {found}, stated {outcome}");
            }
            let found = effects(history, name);
            if found != *expected {
                bail!("{name}: effects are {found}, stated {expected}");
            }
        }
        Line::ExpectNewOwner {
            key,
            after_millis,
            within_millis,
        } => {
            let found = new_owner_after(history, key, after_millis * 1_000)
                .ok_or_else(|| eyre!("{key}: within_millis: no new owner at all"))?;
            let found = (found - after_millis * 1_000).div_ceil(1_000);
            if found > *within_millis {
                bail!("{key}: within_millis is {found}, stated {within_millis}");
            }
        }
        Line::ExpectConflicts { count } => {
            let found = count_confirmed(history, |view| *view == OperatorView::Conflict);
            if found != *count {
                bail!("conflicts: count is {found}, stated {count}");
            }
        }
        Line::ExpectAccepted { count } => {
            let found = count_confirmed(history, |view| matches!(view, OperatorView::InForce(_)));
            if found != *count {
                bail!("accepted: count is {found}, stated {count}");
            }
        }
        Line::Scenario { .. } | Line::Fault(_) | Line::Request(_) => {}
    }
    Ok(())
}

fn answer<'a>(history: &'a History, wanted: &str) -> Option<&'a CallerView> {
    history
        .records
        .iter()
        .find_map(|timed| match &timed.record {
            Record::Answered { name, view } if name == wanted => Some(view),
            _ => None,
        })
}

fn effects(history: &History, wanted: &str) -> u64 {
    let ran = |record: &Record| matches!(record, Record::Effect { name, .. } if name == wanted);
    history
        .records
        .iter()
        .filter(|timed| ran(&timed.record))
        .count() as u64
}

fn count_confirmed(history: &History, wanted: impl Fn(&OperatorView) -> bool) -> u64 {
    let matching = history
        .records
        .iter()
        .filter(|timed| matches!(&timed.record, Record::Confirmed { view, .. } if wanted(view)));
    matching.count() as u64
}

/// Returns when a server other than the owner before `after` first held the key.
fn new_owner_after(history: &History, key: &str, after: u64) -> Option<u64> {
    let hash = KeyHash::of(key);
    let mut owner = None;
    for timed in &history.records {
        let Record::Holds { server, slices, .. } = &timed.record else {
            continue;
        };
        let holds = slices.iter().any(|slice| slice.range.contains(hash));
        if holds && timed.at <= after {
            owner = Some(*server);
        }
        if holds && timed.at > after && owner != Some(*server) {
            return Some(timed.at);
        }
    }
    None
}

fn outcome_word(view: &CallerView) -> &'static str {
    match view {
        CallerView::Complete { .. } => "complete",
        CallerView::NotRun { .. } => "not-run",
        CallerView::Unknown { .. } => "unknown",
        CallerView::NoAnswer => "no-answer",
    }
}

//! Measures imbalance, churn and unavailability from the world's record.
//!
//! Each policy runs the same scenario with the same seed and load. The figures
//! are computed from the recorded grants and effects, not from beamtray's own
//! metrics.

use crate::fault::{Fault, ScheduledFault};
use crate::record::{CallerView, History, Record};
use crate::scenario::{LoadShape, Scenario};
use crate::world::World;
use beamtray_placement::Policy;
use beamtray_settings::{Declaration, Division};
use beamtray_types::{KeyHash, SliceRange};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// Start of the faults, in milliseconds.
const START_MILLIS: u64 = 12_000;
/// End of the load, in milliseconds.
const END_MILLIS: u64 = 72_000;
/// Length of the windows over which imbalance is computed.
const WINDOW_MICROS: u64 = 5_000_000;
/// Start of the first window, after the initial placement has settled.
const MEASURE_FROM_MICROS: u64 = 8_000_000;
/// Number of keys in use.
const KEYS: u32 = 5_000;
const PER_SECOND: u32 = 1_500;
/// Exponent of the Zipf distribution over keys.
const SKEW: f64 = 0.6;

/// A named measurement scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Steady Zipf load.
    Steady,
    /// Keys that become hot within a minute, as in a month-end fee run or on payday.
    Hot,
    /// Every keyed server is drained, stopped, restarted and undrained in turn.
    RollingRestart,
    /// One server is lost permanently.
    ServerLoss,
    /// All servers and nodes of a zone are lost and later restarted.
    ZoneLoss,
    /// Machines are reclaimed one after another.
    Reclaimed,
    /// The key-value service is down throughout, and servers are lost meanwhile.
    KeyValueOutage,
    /// Several kinds of faults combined.
    BadDay,
}

impl Kind {
    /// All scenarios.
    pub const ALL: [Kind; 8] = [
        Kind::Steady,
        Kind::Hot,
        Kind::RollingRestart,
        Kind::ServerLoss,
        Kind::ZoneLoss,
        Kind::Reclaimed,
        Kind::KeyValueOutage,
        Kind::BadDay,
    ];

    /// The scenario's name.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Steady => "steady",
            Kind::Hot => "hot",
            Kind::RollingRestart => "rolling-restart",
            Kind::ServerLoss => "server-loss",
            Kind::ZoneLoss => "zone-loss",
            Kind::Reclaimed => "reclaimed",
            Kind::KeyValueOutage => "key-value-outage",
            Kind::BadDay => "bad-day",
        }
    }

    /// Looks up a scenario by name.
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == name)
    }

    fn faults(self, keyed: usize, zones: usize) -> Vec<ScheduledFault> {
        let at = |seconds: u64, fault| ScheduledFault {
            at_millis: START_MILLIS + seconds * 1_000,
            fault,
        };
        let kill = |server, restart_millis| Fault::KillServer {
            server,
            restart_millis,
        };
        let hot = Fault::HotKeys {
            count: 6,
            share_percent: 24,
            rise_millis: 15_000,
            millis: 50_000,
        };
        let leaves = |server| Fault::MachineLeaves {
            server,
            millis: 5_000,
        };
        match self {
            Kind::Steady => Vec::new(),
            Kind::Hot => vec![at(0, hot)],
            Kind::RollingRestart => (0..keyed)
                .map(|server| at(server as u64 * 3, Fault::StopServer { server }))
                .collect(),
            Kind::ServerLoss => vec![at(0, kill(0, None))],
            Kind::ZoneLoss => {
                let servers = (0..keyed).filter(|server| server % zones == 0);
                let mut faults: Vec<_> = servers
                    .map(|server| at(0, kill(server, Some(20_000))))
                    .collect();
                let node = |node| Fault::KillNode {
                    node,
                    restart_millis: Some(20_000),
                };
                faults.push(at(0, node(0)));
                faults.push(at(0, node(3)));
                faults
            }
            Kind::Reclaimed => (0..5).map(|n| at(n * 10, leaves(n as usize * 2))).collect(),
            Kind::KeyValueOutage => vec![
                at(0, Fault::KeyValueDown { millis: 58_000 }),
                at(5, kill(0, None)),
                at(20, kill(1, Some(2_000))),
            ],
            Kind::BadDay => vec![
                at(0, hot),
                at(2, Fault::KeyValueDown { millis: 15_000 }),
                at(4, kill(0, None)),
                at(
                    10,
                    Fault::PauseLeader {
                        millis: 3_000,
                        mid_step: true,
                    },
                ),
                at(18, leaves(3)),
                at(
                    26,
                    Fault::PauseServer {
                        server: 1,
                        millis: 4_000,
                    },
                ),
                at(
                    34,
                    Fault::CutZone {
                        zone: 2,
                        millis: 6_000,
                    },
                ),
                at(46, Fault::StopServer { server: 5 }),
            ],
        }
    }
}

/// Name of a policy in reports and on the command line.
pub fn policy_name(policy: Policy) -> &'static str {
    match policy {
        Policy::Balanced => "beamtray",
        Policy::Ring => "ring",
        Policy::Modulo => "modulo",
    }
}

/// Measurements of one policy in one scenario.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Measures {
    /// The scenario.
    pub scenario: String,
    /// The policy.
    pub policy: String,
    /// Ratio of the maximum to the mean load of keyed servers, averaged over time.
    pub load_imbalance: f64,
    /// 99th percentile of the load imbalance over the windows.
    pub load_imbalance_p99: f64,
    /// Ratio of the maximum to the mean number of keys per server, averaged over time.
    pub key_imbalance: f64,
    /// Ownership changes, as a fraction of the hash space.
    pub churn: f64,
    /// Longest time that a key had no owner, in milliseconds.
    pub unavailable_longest_millis: f64,
    /// 99th percentile over keys of the time without an owner, in milliseconds.
    pub unavailable_p99_millis: f64,
    /// Total time without an owner, in seconds per 1,000 keys.
    pub unavailable_total: f64,
    /// Longest time without an owner during a planned move, in milliseconds.
    pub planned_gap_millis: f64,
    /// Number of requests.
    pub requests: u64,
    /// Requests reported as not executed.
    pub not_run: u64,
    /// Requests whose outcome is unknown to the caller.
    pub unknown: u64,
    /// Attempts beyond the first.
    pub retries: u64,
    /// Median time to the final response, in milliseconds.
    pub latency_p50_millis: f64,
    /// 99th percentile of the time to the final response, in milliseconds.
    pub latency_p99_millis: f64,
    /// Requests per second of each keyed server, by window.
    pub load_series: Vec<Vec<f64>>,
    /// Slices that changed owner, by window.
    pub move_series: Vec<f64>,
    /// Requests rejected or with an unknown outcome, by window.
    pub refusal_series: Vec<f64>,
}

/// Runs one scenario under one policy.
pub fn measure(declaration: &Declaration, kind: Kind, policy: Policy, seed: u64) -> Measures {
    let mut scenario = Scenario::calm(seed, Some(declaration.clone()));
    let keyed = keyed_servers(declaration);
    scenario.policy = policy;
    scenario.load = LoadShape {
        per_second: PER_SECOND,
        keys: KEYS,
        skew: SKEW,
    };
    scenario.service_micros = 2_000;
    scenario.load_until_millis = END_MILLIS;
    scenario.faults = kind.faults(keyed, scenario.zones);
    let mut world = World::new(scenario);
    world.set_probing(false);
    let history = world.run();
    let mut measures = Measures {
        scenario: kind.as_str().to_owned(),
        policy: policy_name(policy).to_owned(),
        ..Measures::default()
    };
    measure_ownership(&history, keyed, &mut measures);
    measure_load(&history, keyed, &mut measures);
    measure_requests(&history, &mut measures);
    measures
}

fn keyed_servers(declaration: &Declaration) -> usize {
    let keyed = declaration
        .services
        .iter()
        .filter(|s| s.division == Division::Keyed);
    keyed.map(|service| service.servers.len()).sum()
}

/// An interval during which one server owned a sampled hash.
struct Tenure {
    server: usize,
    from: u64,
    until: u64,
}

/// Number of hashes at which ownership is sampled.
const SAMPLES: usize = 1_024;

fn measure_ownership(history: &History, keyed: usize, measures: &mut Measures) {
    let points: Vec<KeyHash> = SliceRange::split_evenly(SAMPLES as u32)
        .iter()
        .map(|range| KeyHash(range.first + (range.last - range.first) / 2))
        .collect();
    let tenures = tenures(history, &points);
    let end = END_MILLIS * 1_000;
    let mut gaps: Vec<u64> = Vec::new();
    let mut longest_of_key = Vec::new();
    let mut changes = 0usize;
    measures.move_series = vec![0.0; windows()];
    for key in &tenures {
        let mut longest = 0;
        for pair in key.windows(2) {
            let [before, after] = pair else { continue };
            if before.server != after.server && after.from < end {
                changes += 1;
                if let Some(window) = window_of(after.from) {
                    measures.move_series[window] += 1.0;
                }
                let gap = after.from.saturating_sub(before.until);
                gaps.push(gap);
                longest = longest.max(gap);
            }
        }
        longest_of_key.push(longest);
    }
    measures.churn = changes as f64 / SAMPLES as f64;
    longest_of_key.sort_unstable();
    let millis = |micros: u64| micros as f64 / 1_000.0;
    measures.unavailable_longest_millis = millis(longest_of_key.last().copied().unwrap_or(0));
    measures.unavailable_p99_millis = millis(longest_of_key[SAMPLES * 99 / 100]);
    measures.unavailable_total = gaps.iter().sum::<u64>() as f64 / 1e6 * 1_000.0 / SAMPLES as f64;
    let planned = gaps.iter().filter(|gap| **gap < 500_000).max();
    measures.planned_gap_millis = millis(planned.copied().unwrap_or(0));
    measures.key_imbalance = key_imbalance(&tenures, keyed);
}

/// Returns the tenures of each sampled hash in chronological order, with renewals
/// merged.
fn tenures(history: &History, points: &[KeyHash]) -> Vec<Vec<Tenure>> {
    let mut all: Vec<Vec<Tenure>> = points.iter().map(|_| Vec::new()).collect();
    for timed in &history.records {
        let at = timed.at;
        match &timed.record {
            Record::Holds {
                server,
                until,
                slices,
                ..
            } => {
                let mut ranges: Vec<SliceRange> = slices.iter().map(|s| s.range).collect();
                ranges.sort_unstable_by_key(|range| range.first);
                for (point, tenures) in points.iter().zip(&mut all) {
                    let next = ranges.partition_point(|range| range.first <= point.0);
                    let held = next > 0 && ranges[next - 1].contains(*point);
                    note_holding(tenures, server.server, at, *until, held);
                }
            }
            Record::ServerEnded { server } => {
                for tenures in &mut all {
                    note_holding(tenures, server.server, at, at, false);
                }
            }
            _ => {}
        }
    }
    all
}

fn note_holding(tenures: &mut Vec<Tenure>, server: usize, at: u64, until: u64, held: bool) {
    match tenures.last_mut() {
        Some(last) if last.server == server => {
            if held && at <= last.until {
                last.until = until;
            } else if held {
                let from = at;
                tenures.push(Tenure {
                    server,
                    from,
                    until,
                });
            } else {
                last.until = last.until.min(at);
            }
        }
        _ if held => tenures.push(Tenure {
            server,
            from: at,
            until,
        }),
        _ => {}
    }
}

fn windows() -> usize {
    (END_MILLIS * 1_000 - MEASURE_FROM_MICROS).div_ceil(WINDOW_MICROS) as usize
}

fn window_of(at: u64) -> Option<usize> {
    let position = at.checked_sub(MEASURE_FROM_MICROS)? / WINDOW_MICROS;
    let position = position as usize;
    (position < windows()).then_some(position)
}

fn key_imbalance(tenures: &[Vec<Tenure>], keyed: usize) -> f64 {
    let mut sum = 0.0;
    for window in 0..windows() {
        let at = MEASURE_FROM_MICROS + window as u64 * WINDOW_MICROS;
        let mut counts = vec![0u32; keyed];
        for key in tenures {
            let holder = key
                .iter()
                .find(|tenure| tenure.from <= at && at < tenure.until);
            if let Some(count) = holder.and_then(|tenure| counts.get_mut(tenure.server)) {
                *count += 1;
            }
        }
        let counts: Vec<f64> = counts.into_iter().map(f64::from).collect();
        sum += max_over_mean(&counts);
    }
    sum / windows() as f64
}

/// Ratio of the maximum to the mean of the nonzero values; zeros are excluded
/// because servers that are down cannot take load.
fn max_over_mean(values: &[f64]) -> f64 {
    let used: Vec<f64> = values
        .iter()
        .copied()
        .filter(|value| *value > 0.0)
        .collect();
    let sum: f64 = used.iter().sum();
    if sum == 0.0 {
        return 1.0;
    }
    used.iter().copied().fold(0.0, f64::max) * used.len() as f64 / sum
}

fn measure_load(history: &History, keyed: usize, measures: &mut Measures) {
    let mut series = vec![vec![0.0; windows()]; keyed];
    for timed in &history.records {
        if let Record::Effect { server, .. } = &timed.record
            && let Some(window) = window_of(timed.at)
            && let Some(counts) = series.get_mut(server.server)
        {
            counts[window] += 1.0;
        }
    }
    let mut ratios: Vec<f64> = (0..windows())
        .map(|window| {
            let counts: Vec<f64> = series.iter().map(|counts| counts[window]).collect();
            max_over_mean(&counts)
        })
        .collect();
    measures.load_imbalance = ratios.iter().sum::<f64>() / ratios.len() as f64;
    ratios.sort_by(f64::total_cmp);
    measures.load_imbalance_p99 = ratios[(ratios.len() * 99 / 100).min(ratios.len() - 1)];
    let seconds = WINDOW_MICROS as f64 / 1e6;
    for counts in &mut series {
        for count in counts {
            *count /= seconds;
        }
    }
    measures.load_series = series;
}

fn measure_requests(history: &History, measures: &mut Measures) {
    let mut sent: BTreeMap<&str, u64> = BTreeMap::new();
    let mut arrivals: BTreeMap<&str, u64> = BTreeMap::new();
    // Cannot fail: the bounds are constants (three significant digits, up to 1 min).
    let Ok(mut latency) = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3) else {
        return;
    };
    measures.refusal_series = vec![0.0; windows()];
    for timed in &history.records {
        match &timed.record {
            Record::Sent {
                name,
                after_faults: false,
                ..
            } => {
                sent.insert(name, timed.at);
                measures.requests += 1;
            }
            Record::Arrived { name, .. } => *arrivals.entry(name).or_default() += 1,
            Record::Answered { name, view } => {
                let Some(from) = sent.get(name.as_str()) else {
                    continue;
                };
                match view {
                    CallerView::Complete { .. } => {
                        let elapsed = (timed.at - from).max(1);
                        latency.saturating_record(elapsed);
                        continue;
                    }
                    CallerView::NotRun { .. } => measures.not_run += 1,
                    CallerView::Unknown { .. } | CallerView::NoAnswer => measures.unknown += 1,
                }
                if let Some(window) = window_of(timed.at) {
                    measures.refusal_series[window] += 1.0;
                }
            }
            _ => {}
        }
    }
    measures.retries = arrivals.values().map(|count| count - 1).sum();
    measures.latency_p50_millis = latency.value_at_quantile(0.5) as f64 / 1_000.0;
    measures.latency_p99_millis = latency.value_at_quantile(0.99) as f64 / 1_000.0;
}

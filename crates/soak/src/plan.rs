//! Fault plans, generated from a seed.

use crate::size::Size;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Maximum number of maintenance series in a run.
const MOST_SERIES: usize = 3;
/// Configuration changes in a series.
const CONFIGURATIONS: usize = 6;

/// A fault or a planned operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SoakFault {
    /// A router is killed and restarted.
    RouterKill(usize),
    /// All routers are killed and restarted.
    KillAll,
    /// All routers and the upstreams of a zone lose power: their connections go silent without
    /// a reset until they start again.
    PowerLoss(usize),
    /// A router is suspended.
    RouterPause(usize),
    /// A router is stopped gracefully and restarted.
    RouterStop(usize),
    /// A router reloads its settings.
    RouterReload(usize),
    /// The link between a router and the store is cut in both directions.
    StoreCut(usize),
    /// The link from the store to a router is cut; the other direction works.
    StoreOneWay(usize),
    /// A router's connections to the store are reset.
    StoreReset(usize),
    /// The link between a router and the store is delayed.
    StoreDelay(usize),
    /// The store does not respond; leases expire meanwhile.
    StoreDownLapse,
    /// The store does not respond; leases are suspended meanwhile.
    StoreDown,
    /// The store refuses every call.
    StoreBusy,
    /// The store responds with a delay.
    StoreSlow,
    /// Responses to writes are lost.
    StoreLost,
    /// Responses to writes are lost and the writes are applied late.
    StoreLate,
    /// Watches receive nothing for a second, then the store compacts its history.
    StoreCompact,
    /// An upstream is killed and replaced by a new one at the same address.
    UpstreamKill(usize),
    /// An upstream is suspended.
    UpstreamPause(usize),
    /// An upstream drains and is replaced by a new one at the same address.
    UpstreamDrain(usize),
    /// The link to an upstream is cut in both directions.
    UpstreamCut(usize),
    /// An upstream is cut off from both the routers and the store.
    UpstreamUnreachable(usize),
    /// Connections to an upstream are reset.
    UpstreamReset(usize),
    /// The link to an upstream is delayed.
    UpstreamDelay(usize),
    /// An upstream drops some of its responses.
    AnswersLost(usize),
    /// An upstream spoils some of its answers.
    AnswersSpoiled(usize),
    /// An upstream announces a rate limit in its responses.
    UpstreamInNeed(usize),
    /// An upstream rejects all requests and asks routers to pause.
    UpstreamRests(usize),
    /// The store does not respond, then comes back from an older snapshot.
    StoreGoesBack,
    /// A new configuration is published.
    Configure,
}

/// One fault of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedFault {
    /// Start, in milliseconds after the beginning of the fault phase.
    pub at_ms: u64,
    /// Duration in milliseconds.
    pub for_ms: u64,
    /// The fault.
    pub fault: SoakFault,
}

/// The faults of a run, ordered by start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The faults.
    pub faults: Vec<PlannedFault>,
}

impl Plan {
    /// Draws the plan of a seed for a fault phase of the given length.
    pub fn draw(seed: u64, troubled: Duration, size: Size) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let end = troubled.as_millis() as u64;
        let mut faults = Vec::new();
        let mut at_ms = 0;
        while at_ms < end {
            faults.push(PlannedFault {
                at_ms,
                for_ms: random.random_range(500..5_000),
                fault: draw_fault(&mut random, size),
            });
            at_ms += random.random_range(200..3_500);
        }
        for _ in 0..random.random_range(1..=MOST_SERIES) {
            let begin = random.random_range(0..end.max(1));
            let series = draw_series(&mut random, begin, size);
            faults.extend(series.into_iter().filter(|fault| fault.at_ms < end));
        }
        let unreachable = draw_unreachable(seed, end, size).into_iter();
        faults.extend(unreachable.filter(|fault| fault.at_ms < end));
        let in_need = draw_need(seed, end, size).into_iter();
        faults.extend(in_need.filter(|fault| fault.at_ms < end));
        let rests = draw_rests(seed, end, size).into_iter();
        faults.extend(rests.filter(|fault| fault.at_ms < end));
        faults.extend(draw_going_back(seed, end, size));
        faults.extend(draw_long_pauses(seed, end, size));
        faults.sort_by_key(|fault| fault.at_ms);
        Self { faults }
    }

    /// Adds upstreams that spoil answers to the plan of a seed. Draws from a
    /// separate generator, so that the other faults of a seed do not change.
    pub fn with_spoiled_answers(mut self, seed: u64, troubled: Duration, size: Size) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x5901_0000);
        let end = troubled.as_millis() as u64;
        let spoiled = (0..size.upstreams()).filter(|_| random.random_ratio(3, 5));
        let spoiled: Vec<usize> = spoiled.collect();
        for upstream in spoiled {
            self.faults.push(PlannedFault {
                at_ms: random.random_range(0..end.max(1)),
                for_ms: random.random_range(8_000..25_000),
                fault: SoakFault::AnswersSpoiled(upstream),
            });
        }
        self.faults.sort_by_key(|fault| fault.at_ms);
        self
    }

    /// Whether a fault concerns the links of upstreams. Power loss does not: nobody is left to use
    /// them.
    pub fn has_upstream_link_faults(&self) -> bool {
        self.faults.iter().any(|one| {
            matches!(
                one.fault,
                SoakFault::UpstreamCut(_)
                    | SoakFault::UpstreamUnreachable(_)
                    | SoakFault::UpstreamReset(_)
                    | SoakFault::UpstreamDelay(_)
            )
        })
    }

    /// The plan without the fault at `index`.
    pub fn without(&self, index: usize) -> Self {
        let mut faults = self.faults.clone();
        faults.remove(index);
        Self { faults }
    }

    /// End of the last fault, in milliseconds.
    pub fn end_ms(&self) -> u64 {
        let ends = self.faults.iter().map(|one| one.at_ms + one.for_ms);
        ends.max().unwrap_or_default()
    }
}

/// In one run of three, cuts off an upstream of the sharded service for longer than a hold
/// and its transit time, in half of these cases while a router is killed. Draws from a
/// separate generator, so that the other faults of a seed do not change.
fn draw_unreachable(seed: u64, end_ms: u64, size: Size) -> Vec<PlannedFault> {
    const ONE_IN: u32 = 3;
    /// Maximum time between the cut and the kill.
    const AFTER_MS: u64 = 400;
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0xC07_0000);
    if !random.random_ratio(1, ONE_IN) {
        return Vec::new();
    }
    let at_ms = random.random_range(0..end_ms.max(1));
    let unreachable = PlannedFault {
        at_ms,
        // Half of the cuts are short enough that data written as the cut began is retransmitted,
        // 6.2 s later, before the upstream can receive new grants of the same keys.
        for_ms: if random.random_bool(0.5) {
            random.random_range(5_000..6_000)
        } else {
            random.random_range(6_000..10_000)
        },
        fault: SoakFault::UpstreamUnreachable(random.random_range(0..size.keyed)),
    };
    let killed = PlannedFault {
        at_ms: at_ms + random.random_range(0..AFTER_MS),
        for_ms: random.random_range(500..5_000),
        fault: SoakFault::RouterKill(random.random_range(0..size.routers)),
    };
    let with_kill = random.random_bool(0.5);
    let killed = with_kill.then_some(killed);
    [unreachable].into_iter().chain(killed).collect()
}

/// In one run of two, has upstreams announce rate limits. Uses a separate generator, as above.
fn draw_need(seed: u64, end_ms: u64, size: Size) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x11E_0000);
    if random.random_bool(0.5) {
        return Vec::new();
    }
    let count = random.random_range(1..=3);
    let in_need = (0..count).map(|_| PlannedFault {
        at_ms: random.random_range(0..end_ms.max(1)),
        for_ms: random.random_range(5_000..12_000),
        fault: SoakFault::UpstreamInNeed(random.random_range(0..size.upstreams())),
    });
    in_need.collect()
}

/// In one run of two, has upstreams ask for pauses. Uses a separate generator, as above.
fn draw_rests(seed: u64, end_ms: u64, size: Size) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x2E57_0000);
    if random.random_bool(0.5) {
        return Vec::new();
    }
    let count = random.random_range(1..=3);
    let rests = (0..count).map(|_| PlannedFault {
        at_ms: random.random_range(0..end_ms.max(1)),
        for_ms: random.random_range(1_000..9_000),
        fault: SoakFault::UpstreamRests(random.random_range(0..size.upstreams())),
    });
    rests.collect()
}

/// In one run of three, restores the store from a snapshot, in half of these cases with one
/// or all routers killed at that time or soon after. Uses a separate generator, as above.
fn draw_going_back(seed: u64, end_ms: u64, size: Size) -> Vec<PlannedFault> {
    const ONE_IN: u32 = 3;
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0xE2A_0000);
    if !random.random_ratio(1, ONE_IN) {
        return Vec::new();
    }
    let at_ms = random.random_range(0..end_ms.max(1));
    let going_back = PlannedFault {
        at_ms,
        for_ms: random.random_range(1_000..4_000),
        fault: SoakFault::StoreGoesBack,
    };
    let kill = PlannedFault {
        at_ms: (at_ms + random.random_range(0..6_000)).min(end_ms.saturating_sub(1)),
        for_ms: random.random_range(500..3_000),
        fault: if random.random() {
            SoakFault::KillAll
        } else {
            SoakFault::RouterKill(random.random_range(0..size.routers))
        },
    };
    let with_kill = random.random_bool(0.5);
    [going_back]
        .into_iter()
        .chain(with_kill.then_some(kill))
        .collect()
}

/// In one run of two, suspends upstreams of the sharded service for longer than their holds,
/// and up to the time for which routers consider an unacknowledged order possibly delivered.
/// Uses a separate generator, as above.
fn draw_long_pauses(seed: u64, end_ms: u64, size: Size) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x9A05_0000);
    if random.random_bool(0.5) {
        return Vec::new();
    }
    let count = random.random_range(1..=2);
    let pauses = (0..count).map(|_| PlannedFault {
        at_ms: random.random_range(0..end_ms.max(1)),
        for_ms: random.random_range(5_000..15_000),
        fault: SoakFault::UpstreamPause(random.random_range(0..size.keyed)),
    });
    pauses.collect()
}

/// Draws a series of maintenance steps, one per machine, as in a rolling restart. It may
/// overlap with other series and faults.
fn draw_series(random: &mut ChaCha8Rng, begin_ms: u64, size: Size) -> Vec<PlannedFault> {
    let gap_ms = random.random_range(50..900);
    let steps: Vec<SoakFault> = match random.random_range(0..5) {
        0 => (0..size.routers).map(SoakFault::RouterStop).collect(),
        1 => {
            let twice = (0..size.routers).chain(0..size.routers);
            twice.map(SoakFault::RouterReload).collect()
        }
        2 => (0..size.upstreams())
            .map(SoakFault::UpstreamDrain)
            .collect(),
        3 => vec![SoakFault::Configure; CONFIGURATIONS],
        _ => {
            let stops = (0..size.routers).map(SoakFault::RouterStop);
            let reloads = (0..size.routers).map(SoakFault::RouterReload);
            stops
                .zip(reloads)
                .flat_map(|(stop, reload)| [stop, reload])
                .collect()
        }
    };
    let steps = steps.into_iter().enumerate();
    let planned = steps.map(|(step, fault)| PlannedFault {
        at_ms: begin_ms + gap_ms * step as u64,
        for_ms: gap_ms,
        fault,
    });
    planned.collect()
}

fn draw_fault(random: &mut ChaCha8Rng, size: Size) -> SoakFault {
    let router = random.random_range(0..size.routers);
    let upstream = random.random_range(0..size.upstreams());
    match random.random_range(0..26) {
        0 => SoakFault::RouterKill(router),
        1 => SoakFault::KillAll,
        2 | 3 => SoakFault::RouterPause(router),
        4 | 5 => SoakFault::RouterStop(router),
        6 => SoakFault::RouterReload(router),
        7 => SoakFault::StoreCut(router),
        8 => SoakFault::StoreOneWay(router),
        9 => SoakFault::StoreReset(router),
        10 => SoakFault::StoreDelay(router),
        11 => SoakFault::StoreDownLapse,
        12 => SoakFault::StoreDown,
        13 => SoakFault::StoreBusy,
        14 => SoakFault::StoreSlow,
        15 => SoakFault::StoreLost,
        16 => SoakFault::StoreLate,
        17 => SoakFault::StoreCompact,
        18 => SoakFault::UpstreamKill(upstream),
        19 => SoakFault::UpstreamPause(upstream),
        20 => SoakFault::UpstreamDrain(upstream),
        21 => SoakFault::UpstreamCut(upstream),
        22 => SoakFault::UpstreamReset(upstream),
        23 => SoakFault::UpstreamDelay(upstream),
        24 => SoakFault::AnswersLost(upstream),
        _ => SoakFault::Configure,
    }
}

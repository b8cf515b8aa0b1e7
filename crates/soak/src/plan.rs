//! Faults as data, drawn from a seed.

use crate::size::Size;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Most series of planned work in a run.
const MOST_SERIES: usize = 3;
/// Configurations in a series.
const CONFIGURATIONS: usize = 6;

/// What goes wrong, or is planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SoakFault {
    /// A router is killed and started again.
    RouterKill(usize),
    /// All routers are killed and started again.
    KillAll,
    /// A router stands still.
    RouterPause(usize),
    /// A router is told to stop, and started again.
    RouterStop(usize),
    /// A router is told that its settings changed.
    RouterReload(usize),
    /// A router's way to the store is silent both ways.
    StoreCut(usize),
    /// The store hears a router, which hears nothing.
    StoreOneWay(usize),
    /// A router's connections to the store are reset.
    StoreReset(usize),
    /// A router's way to the store takes longer.
    StoreDelay(usize),
    /// The store is silent; leases run out.
    StoreDownLapse,
    /// The store is silent; leases wait.
    StoreDown,
    /// The store refuses everything.
    StoreBusy,
    /// The store is slow.
    StoreSlow,
    /// Answers to writes are lost.
    StoreLost,
    /// Answers to writes are lost and the writes are done late.
    StoreLate,
    /// Watches hear nothing for a second, then the history is gone.
    StoreCompact,
    /// An upstream is killed; another one takes its address.
    UpstreamKill(usize),
    /// An upstream stands still.
    UpstreamPause(usize),
    /// An upstream leaves as planned; another one takes its address.
    UpstreamDrain(usize),
    /// The way to an upstream is silent both ways.
    UpstreamCut(usize),
    /// An upstream is out of reach of routers, and the store out of its reach.
    UpstreamUnreachable(usize),
    /// Connections to an upstream are reset.
    UpstreamReset(usize),
    /// The way to an upstream takes longer.
    UpstreamDelay(usize),
    /// An upstream loses answers.
    AnswersLost(usize),
    /// An upstream's answers name the requests a second that it takes.
    UpstreamInNeed(usize),
    /// An upstream turns all requests away and asks for rest.
    UpstreamRests(usize),
    /// The store is silent and comes back from an older copy of itself.
    StoreGoesBack,
    /// A new configuration.
    Configure,
}

/// One fault of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedFault {
    /// Milliseconds after the beginning of the troubles.
    pub at_ms: u64,
    /// How long it lasts, in milliseconds.
    pub for_ms: u64,
    /// What.
    pub fault: SoakFault,
}

/// The faults of a run, in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The faults.
    pub faults: Vec<PlannedFault>,
}

impl Plan {
    /// The plan of a seed for troubles of that length.
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

    /// The plan without one of its faults.
    pub fn without(&self, index: usize) -> Self {
        let mut faults = self.faults.clone();
        faults.remove(index);
        Self { faults }
    }

    /// When the last fault is over, in milliseconds.
    pub fn end_ms(&self) -> u64 {
        let ends = self.faults.iter().map(|one| one.at_ms + one.for_ms);
        ends.max().unwrap_or_default()
    }
}

/// In one run of three, an upstream that holds keys is out of reach for longer than a hold
/// and its transit, in half of these while a router is killed: from a generator of its own,
/// so that the other faults of a seed stay what they were.
fn draw_unreachable(seed: u64, end_ms: u64, size: Size) -> Vec<PlannedFault> {
    const ONE_IN: u32 = 3;
    /// Between the cut and the kill.
    const AFTER_MS: u64 = 400;
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0xC07_0000);
    if !random.random_ratio(1, ONE_IN) {
        return Vec::new();
    }
    let at_ms = random.random_range(0..end_ms.max(1));
    let unreachable = PlannedFault {
        at_ms,
        // Half of them so short that what was written as the cut began is sent again, 6.2 s
        // later, before the upstream can have new grants of the same keys.
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

/// In one run of two, upstreams are in need: from a generator of its own, as above.
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

/// In one run of two, upstreams ask for rest: from a generator of its own, as above.
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

/// In one run of three, the store goes back, in half of these while all routers are killed or
/// soon after: from a generator of its own, as above.
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

/// In one run of two, upstreams that hold keys stand still for longer than their holds, and
/// up to the time for which an order counts that may lie with one: from a generator of its
/// own, as above.
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

/// Planned work in a series, one step a machine, as operators and platforms do it. It
/// overlaps other series and faults.
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

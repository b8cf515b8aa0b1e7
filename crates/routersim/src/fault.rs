//! Faults as data.

use crate::world::WorldConfig;
use beamtray_types::Time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::Range;
use std::time::Duration;

/// What goes wrong, or is planned.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// A node is killed and started again after the time.
    NodeKill {
        /// The node; the granter for none.
        node: Option<usize>,
    },
    /// All nodes are killed at once.
    KillAll,
    /// A node stands still.
    NodeFreeze {
        /// The node; the granter for none.
        node: Option<usize>,
    },
    /// A node's machine is suspended: its steady clock does not count that time.
    NodeSuspend {
        /// The node; the granter for none.
        node: Option<usize>,
    },
    /// A node is slow: each order that it gives takes that long, one after the other.
    NodeSlow {
        /// The node; the granter for none.
        node: Option<usize>,
        /// Milliseconds for each order.
        order_ms: u64,
    },
    /// A node loses the store, silently.
    StoreCut {
        /// The node; the granter for none.
        node: Option<usize>,
    },
    /// A node loses all other nodes.
    PeerCut {
        /// The node.
        node: usize,
    },
    /// A node is told to stop, and started again after the time.
    Stop {
        /// The node.
        node: usize,
    },
    /// The store is silent.
    StoreDown {
        /// Whether leases run out meanwhile.
        lapse: bool,
    },
    /// The store is silent and comes back from a copy of itself that is older than its
    /// silence. What operators and upstreams wrote since is written again.
    StoreGoesBack {
        /// How old the copy is when the silence begins, in milliseconds.
        back_ms: u64,
    },
    /// Answers to writes are lost; the writes are done, some of them late.
    StoreLost {
        /// Part of the writes, in percent.
        percent: u32,
        /// Whether they are done 1 to 6 s later.
        late: bool,
    },
    /// Watches hear nothing for a second, then the history is gone.
    Compact,
    /// An upstream ends at once and comes back as another.
    UpstreamCrash {
        /// Its number.
        upstream: usize,
        /// Whether its address falls silent instead of refusing.
        dark: bool,
    },
    /// An upstream ends at once and starts again under its name, if it tells its birth;
    /// else it comes back as another.
    UpstreamRestart {
        /// Its number.
        upstream: usize,
        /// Whether its address falls silent instead of refusing.
        dark: bool,
    },
    /// An upstream says that it leaves, serves on for a while and ends.
    UpstreamDrain {
        /// Its number.
        upstream: usize,
        /// Whether it takes its registration back instead of saying so.
        abrupt: bool,
    },
    /// An upstream leaves and says so in its answers; the store hears of it after the time.
    UpstreamLeaves {
        /// Its number.
        upstream: usize,
    },
    /// An upstream turns all requests away and asks those who sent them for rest.
    UpstreamRests {
        /// Its number.
        upstream: usize,
        /// Milliseconds that it asks for.
        rest_ms: u64,
    },
    /// An upstream can't reach the store, so its registration vanishes.
    UpstreamCut {
        /// Its number.
        upstream: usize,
    },
    /// Nothing comes to an upstream, or leaves it, over some of its links. What was
    /// written to them before and meanwhile comes after.
    UpstreamUnreachable {
        /// Its number.
        upstream: usize,
        /// Which links.
        from: CutFrom,
    },
    /// An upstream is in need: its answers name the requests a second that it takes.
    UpstreamInNeed {
        /// Its number.
        upstream: usize,
        /// Requests in a thousand seconds.
        rate_milli: u32,
    },
    /// A node's machine loses power, and starts again after the time.
    NodePowerLoss {
        /// The node; the granter for none.
        node: Option<usize>,
    },
    /// The operators evacuate a zone, and take that back after the time.
    ZoneEvacuation {
        /// The zone's name.
        zone: &'static str,
    },
    /// Orders to upstreams get no answer, and are taken 2 to 12 s later.
    OrdersLate {
        /// Part of the orders, in percent.
        percent: u32,
    },
    /// Upstreams lose answers of requests that ran.
    AnswersLost {
        /// Part of the answers, in percent.
        percent: u32,
    },
    /// A standby of the granter and an upstream are cut off from everything else
    /// together: they reach each other, and nothing else reaches either.
    StandbyIsland {
        /// The upstream's number.
        upstream: usize,
    },
    /// The same with the granter instead of a standby.
    GranterIsland {
        /// The upstream's number.
        upstream: usize,
    },
    /// Callers send one request again and again, all at the same moment and each to any
    /// node, that ends each upstream which begins to run it.
    PoisonRequest {
        /// Whether it is a read by key, which may be repeated, or an order.
        is_read: bool,
        /// Milliseconds between two sendings.
        pause_ms: u64,
        /// How many they are, each at an address of its own.
        callers: u8,
    },
    /// Clients ask for one thing again and again, each time at any node; it harms nobody.
    PopularRequest {
        /// Whether it is a read by key, which may be repeated, or an order.
        is_read: bool,
        /// Milliseconds between two sendings.
        pause_ms: u64,
        /// Whether all requests say the same; else each says something else of the same
        /// key, to compare with.
        says_the_same: bool,
    },
    /// One key gets much of the traffic.
    HotKey,
    /// A new configuration.
    Configure,
}

/// Links of an upstream that are cut.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CutFrom {
    /// Those to all nodes and to the store.
    Everything,
    /// Those to these nodes.
    Nodes(Vec<usize>),
}

/// One fault.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// When it begins.
    pub at: Time,
    /// How long it lasts, where that fits.
    pub duration: Duration,
    /// What it is.
    pub kind: FaultKind,
}

impl Fault {
    /// A fault at so many milliseconds that lasts so many.
    pub fn new(at_ms: u64, duration_ms: u64, kind: FaultKind) -> Self {
        Self {
            at: Time(at_ms * 1_000),
            duration: Duration::from_millis(duration_ms),
            kind,
        }
    }
}

/// Faults of one history.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FaultPlan {
    /// In any order.
    pub faults: Vec<Fault>,
}

impl FaultPlan {
    /// Draws the faults of a seed.
    pub fn draw(seed: u64, config: &WorldConfig) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0xFA17);
        let count = random.random_range(2..9);
        let begin = config.warm_up_time.as_millis() as u64;
        let end = begin + config.fault_window.as_millis() as u64;
        let mut faults: Vec<Fault> = (0..count)
            .map(|_| Fault {
                at: Time(random.random_range(begin..end) * 1_000),
                duration: Duration::from_millis(random.random_range(500..6_000)),
                kind: draw_kind(&mut random, config),
            })
            .collect();
        faults.extend(draw_poison(seed, config));
        faults.extend(draw_suspensions(seed, config));
        faults.extend(draw_unreachable(seed, config));
        faults.extend(draw_need(seed, config));
        faults.sort_by_key(|fault| fault.at);
        Self { faults }
    }

    /// The same, with upstreams that say that they leave or ask for rest, and with a store that
    /// goes back. Histories of seeds that tests name were found without these.
    pub fn draw_extended(seed: u64, config: &WorldConfig) -> Self {
        let mut plan = Self::draw(seed, config);
        plan.faults.extend(draw_leaving(seed, config));
        plan.faults.extend(draw_rests(seed, config));
        plan.faults.extend(draw_going_back(seed, config));
        plan.faults.sort_by_key(|fault| fault.at);
        plan
    }
}

/// In one history of four, a request that ends upstreams: from a generator of its own,
/// so that the other faults of a seed stay what they were.
fn draw_poison(seed: u64, config: &WorldConfig) -> Option<Fault> {
    const PERCENT: u32 = 25;
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x9015_0000);
    if random.random_range(0..100) >= PERCENT {
        return None;
    }
    Some(Fault {
        at: Time::ZERO + config.warm_up_time + Duration::from_millis(random.random_range(0..4_000)),
        // It ends with the other troubles: each upstream that it ends takes its keys with it
        // for seconds.
        duration: config.fault_window,
        kind: FaultKind::PoisonRequest {
            is_read: random.random(),
            pause_ms: random.random_range(400..4_000),
            callers: random.random_range(1..=6),
        },
    })
}

/// In one history of six, machines are suspended: from a generator of its own, as above.
fn draw_suspensions(seed: u64, config: &WorldConfig) -> Vec<Fault> {
    const ONE_IN: u32 = 6;
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x51EE_0000);
    if !random.random_ratio(1, ONE_IN) {
        return Vec::new();
    }
    let fault_window = config.fault_window.as_millis() as u64;
    let count = random.random_range(1..4);
    (0..count)
        .map(|_| {
            let node = random.random_range(0..config.nodes);
            Fault {
                at: Time::ZERO
                    + config.warm_up_time
                    + Duration::from_millis(random.random_range(0..fault_window)),
                duration: Duration::from_millis(random.random_range(500..8_000)),
                kind: FaultKind::NodeSuspend {
                    node: random.random_bool(0.5).then_some(node),
                },
            }
        })
        .collect()
}

/// In one history of four, an upstream is out of reach for longer than a hold and its
/// transit, in half of these while the granter loses power or is killed: from a generator
/// of its own, as above.
fn draw_unreachable(seed: u64, config: &WorldConfig) -> Vec<Fault> {
    const ONE_IN: u32 = 4;
    /// Between the cut and what befalls the granter.
    const AFTER_MS: u64 = 1_000;
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0xC07_0000);
    if !random.random_ratio(1, ONE_IN) {
        return Vec::new();
    }
    let fault_window = config.fault_window.as_millis() as u64;
    let at = Time::ZERO
        + config.warm_up_time
        + Duration::from_millis(random.random_range(0..fault_window));
    let from = if random.random_bool(0.5) {
        CutFrom::Everything
    } else {
        let nodes = 0..config.nodes;
        CutFrom::Nodes(nodes.filter(|_| random.random_bool(0.5)).collect())
    };
    let unreachable = Fault {
        at,
        duration: Duration::from_millis(random.random_range(3_000..10_000)),
        kind: FaultKind::UpstreamUnreachable {
            upstream: random.random_range(0..config.upstreams()),
            from,
        },
    };
    let granter = Fault {
        at: at + Duration::from_millis(random.random_range(0..AFTER_MS)),
        duration: Duration::from_millis(random.random_range(500..6_000)),
        kind: if random.random() {
            FaultKind::NodePowerLoss { node: None }
        } else {
            FaultKind::NodeKill { node: None }
        },
    };
    let with_granter = random.random_bool(0.5);
    let granter = with_granter.then_some(granter);
    [unreachable].into_iter().chain(granter).collect()
}

/// In one history of three, upstreams are in need for longer than it may take to keep to what
/// they name: from a generator of its own, as above.
fn draw_need(seed: u64, config: &WorldConfig) -> Vec<Fault> {
    const ONE_IN: u32 = 3;
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x11E_0000);
    if !random.random_ratio(1, ONE_IN) {
        return Vec::new();
    }
    draw_some(&mut random, config, 1..3, 4_000..9_000, |random| {
        FaultKind::UpstreamInNeed {
            upstream: random.random_range(0..config.upstreams()),
            rate_milli: random.random_range(2_000..8_000),
        }
    })
}

/// In one history of four, upstreams say in their answers that they leave, seconds before the
/// store hears of it: from a generator of its own, as above.
fn draw_leaving(seed: u64, config: &WorldConfig) -> Vec<Fault> {
    const ONE_IN: u32 = 4;
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x1EAE_0000);
    if !random.random_ratio(1, ONE_IN) {
        return Vec::new();
    }
    draw_some(&mut random, config, 1..3, 0..6_000, |random| {
        FaultKind::UpstreamLeaves {
            upstream: random.random_range(0..config.upstreams()),
        }
    })
}

/// In one history of four, upstreams turn requests away and ask for rest: from a generator of
/// its own, as above.
fn draw_rests(seed: u64, config: &WorldConfig) -> Vec<Fault> {
    const ONE_IN: u32 = 4;
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x2E57_0000);
    if !random.random_ratio(1, ONE_IN) {
        return Vec::new();
    }
    draw_some(&mut random, config, 1..4, 1_000..9_000, |random| {
        FaultKind::UpstreamRests {
            upstream: random.random_range(0..config.upstreams()),
            rest_ms: random.random_range(500..5_000),
        }
    })
}

/// In one history of six, the store goes back, in half of these while the granter or all nodes
/// are killed: from a generator of its own, as above.
fn draw_going_back(seed: u64, config: &WorldConfig) -> Vec<Fault> {
    const ONE_IN: u32 = 6;
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0xE2A_0000);
    if !random.random_ratio(1, ONE_IN) {
        return Vec::new();
    }
    let fault_window = config.fault_window.as_millis() as u64;
    let at = Time::ZERO
        + config.warm_up_time
        + Duration::from_millis(random.random_range(0..fault_window));
    let duration = Duration::from_millis(random.random_range(1_000..4_000));
    let back_ms = random.random_range(500..8_000);
    let going_back = Fault {
        at,
        duration,
        kind: FaultKind::StoreGoesBack { back_ms },
    };
    let kill = Fault {
        at: at + Duration::from_millis(random.random_range(0..6_000)),
        duration: Duration::from_millis(random.random_range(500..4_000)),
        kind: if random.random() {
            FaultKind::NodeKill { node: None }
        } else {
            FaultKind::KillAll
        },
    };
    let with_kill = random.random_bool(0.5);
    [going_back]
        .into_iter()
        .chain(with_kill.then_some(kill))
        .collect()
}

/// Draws a number of faults of one sort that begin in the troubled time and last so many
/// milliseconds.
fn draw_some(
    random: &mut ChaCha8Rng,
    config: &WorldConfig,
    count: Range<usize>,
    duration_ms: Range<u64>,
    kind: impl Fn(&mut ChaCha8Rng) -> FaultKind,
) -> Vec<Fault> {
    let fault_window = config.fault_window.as_millis() as u64;
    let count = random.random_range(count);
    (0..count)
        .map(|_| Fault {
            at: Time::ZERO
                + config.warm_up_time
                + Duration::from_millis(random.random_range(0..fault_window)),
            duration: Duration::from_millis(random.random_range(duration_ms.clone())),
            kind: kind(random),
        })
        .collect()
}

fn draw_kind(random: &mut ChaCha8Rng, config: &WorldConfig) -> FaultKind {
    let node = random.random_range(0..config.nodes);
    let chosen = random.random_bool(0.5).then_some(node);
    let upstream = random.random_range(0..config.upstreams());
    match random.random_range(0..20) {
        0 | 1 => FaultKind::NodeKill { node: chosen },
        2 => FaultKind::KillAll,
        3 | 4 => FaultKind::NodeFreeze { node: chosen },
        5 | 6 => FaultKind::StoreCut { node: chosen },
        7 => FaultKind::PeerCut { node },
        8 => FaultKind::Stop { node },
        9 => FaultKind::StoreDown {
            lapse: random.random(),
        },
        10 => FaultKind::StoreLost {
            percent: random.random_range(10..60),
            late: random.random(),
        },
        11 => FaultKind::Compact,
        12 => FaultKind::UpstreamCrash {
            upstream,
            dark: random.random(),
        },
        13 => FaultKind::UpstreamDrain {
            upstream,
            abrupt: random.random(),
        },
        14 => FaultKind::UpstreamCut { upstream },
        15 => FaultKind::OrdersLate {
            percent: random.random_range(10..60),
        },
        17 => FaultKind::StandbyIsland {
            upstream: random.random_range(0..config.keyed),
        },
        18 => FaultKind::NodeSlow {
            node: chosen,
            order_ms: random.random_range(5..80),
        },
        16 => FaultKind::AnswersLost {
            percent: random.random_range(2..40),
        },
        _ => {
            if random.random() {
                FaultKind::HotKey
            } else {
                FaultKind::Configure
            }
        }
    }
}

//! Fault plans: which faults occur in a history, when and for how long.

use crate::world::WorldConfig;
use beamtray_types::Time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::Range;
use std::time::Duration;

/// Number of zones, which nodes belong to in turn.
const ZONES: usize = 3;

/// A kind of fault or of planned operation.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// A node is killed and restarted when the fault ends.
    NodeKill {
        /// The affected node; `None` selects the granter.
        node: Option<usize>,
    },
    /// All nodes are killed at once.
    KillAll,
    /// The machines of all nodes lose power, with those of the upstreams of a zone; all boot when
    /// the fault ends.
    PowerLoss {
        /// Number of the zone.
        zone: usize,
    },
    /// A node's process is paused.
    NodeFreeze {
        /// The affected node; `None` selects the granter.
        node: Option<usize>,
    },
    /// A node's machine is suspended; its monotonic clock does not include that time.
    NodeSuspend {
        /// The affected node; `None` selects the granter.
        node: Option<usize>,
    },
    /// A node is slow: it sends orders one at a time, and each takes `order_ms`.
    NodeSlow {
        /// The affected node; `None` selects the granter.
        node: Option<usize>,
        /// Milliseconds per order.
        order_ms: u64,
    },
    /// Packets between a node and the store are dropped.
    StoreCut {
        /// The affected node; `None` selects the granter.
        node: Option<usize>,
    },
    /// A node is partitioned from all other nodes.
    PeerCut {
        /// The node.
        node: usize,
    },
    /// A node is stopped gracefully and restarted when the fault ends.
    Stop {
        /// The node.
        node: usize,
    },
    /// The store does not respond.
    StoreDown {
        /// Whether leases expire during the outage.
        lapse: bool,
    },
    /// The store does not respond, then resumes from a snapshot older than the outage.
    /// Operators and upstreams repeat what they have written since the snapshot.
    StoreGoesBack {
        /// Age of the snapshot when the outage begins, in milliseconds.
        back_ms: u64,
    },
    /// Responses to writes are lost; the writes are applied, some of them late.
    StoreLost {
        /// Percentage of affected writes.
        percent: u32,
        /// Whether they are applied 1 to 6 s late.
        late: bool,
    },
    /// Responses of the store to watches that report changes are lost.
    WatchAnswersLost,
    /// Watches receive nothing for a second, then the store's revision history is compacted.
    Compact,
    /// An upstream crashes and is replaced by one with another name.
    UpstreamCrash {
        /// Index of the upstream.
        upstream: usize,
        /// Whether connections to its address time out instead of being refused.
        dark: bool,
    },
    /// An upstream crashes. It restarts under its name if it reports its birth, otherwise under
    /// another name.
    UpstreamRestart {
        /// Index of the upstream.
        upstream: usize,
        /// Whether connections to its address time out instead of being refused.
        dark: bool,
    },
    /// An upstream announces that it is leaving, keeps serving for a while and ends.
    UpstreamDrain {
        /// Index of the upstream.
        upstream: usize,
        /// Whether it deletes its registration instead of announcing that it is leaving.
        abrupt: bool,
    },
    /// An upstream announces in its responses that it is leaving; its registration says so only
    /// when the fault ends.
    UpstreamLeaves {
        /// Index of the upstream.
        upstream: usize,
    },
    /// An upstream rejects all requests with a retry-after period.
    UpstreamRests {
        /// Index of the upstream.
        upstream: usize,
        /// Retry-after period in milliseconds.
        rest_ms: u64,
    },
    /// An upstream cannot reach the store, so its registration expires.
    UpstreamCut {
        /// Index of the upstream.
        upstream: usize,
    },
    /// Some links of an upstream are down in both directions. Data written to them before and
    /// during the cut is delivered afterwards.
    UpstreamUnreachable {
        /// Index of the upstream.
        upstream: usize,
        /// The links that are down.
        from: CutFrom,
    },
    /// Nodes are partitioned from all upstreams, while clients, the store and the other nodes still
    /// reach them.
    NodesPartitioned {
        /// The nodes.
        nodes: Vec<usize>,
        /// What happens to their connections.
        mode: UpstreamPartition,
    },
    /// An upstream is overloaded: its responses advertise a rate limit.
    UpstreamInNeed {
        /// Index of the upstream.
        upstream: usize,
        /// Rate limit in requests per 1,000 seconds.
        rate_milli: u32,
    },
    /// A node's machine loses power and boots when the fault ends.
    NodePowerLoss {
        /// The affected node; `None` selects the granter.
        node: Option<usize>,
    },
    /// Operators evacuate a zone and readmit it when the fault ends.
    ZoneEvacuation {
        /// Name of the zone.
        zone: &'static str,
    },
    /// Orders to upstreams are not answered, and are carried out 2 to 12 s later.
    OrdersLate {
        /// Percentage of affected orders.
        percent: u32,
    },
    /// Responses to requests that have run are lost.
    AnswersLost {
        /// Percentage of lost responses.
        percent: u32,
    },
    /// A standby of the granter and an upstream are partitioned from everything else but can
    /// reach each other.
    StandbyIsland {
        /// Index of the upstream.
        upstream: usize,
    },
    /// Like `StandbyIsland`, with the granter instead of a standby.
    GranterIsland {
        /// Index of the upstream.
        upstream: usize,
    },
    /// Callers repeatedly send the same request, all at the same moment and each to an
    /// arbitrary node. It crashes each upstream that begins to run it.
    PoisonRequest {
        /// Whether it is a keyed read, which is repeatable, or an order, which is not.
        is_read: bool,
        /// Milliseconds between two requests.
        pause_ms: u64,
        /// Number of callers, each with its own address.
        callers: u8,
    },
    /// Clients repeatedly send the same harmless request, each time to an arbitrary node.
    PopularRequest {
        /// Whether it is a keyed read, which is repeatable, or an order, which is not.
        is_read: bool,
        /// Milliseconds between two requests.
        pause_ms: u64,
        /// Whether all requests have the same content. Otherwise the contents differ and only
        /// the key is the same, as a baseline.
        says_the_same: bool,
    },
    /// One key receives a large share of the traffic.
    HotKey,
    /// A new configuration is written to the store.
    Configure,
}

/// What happens to the connections of nodes that are partitioned from all upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamPartition {
    /// Open connections go silent, new ones time out.
    Silent,
    /// Open connections are reset, new ones are refused.
    Reset,
    /// Open connections live on, new ones are refused.
    Refused,
}

/// Links of an upstream that are down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CutFrom {
    /// The links to all nodes and to the store.
    Everything,
    /// The links to these nodes.
    Nodes(Vec<usize>),
}

/// A fault with its start and duration.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Start of the fault.
    pub at: Time,
    /// Duration, for kinds that have one.
    pub duration: Duration,
    /// Kind of fault.
    pub kind: FaultKind,
}

impl Fault {
    /// A fault with its start and duration in milliseconds.
    pub fn new(at_ms: u64, duration_ms: u64, kind: FaultKind) -> Self {
        Self {
            at: Time(at_ms * 1_000),
            duration: Duration::from_millis(duration_ms),
            kind,
        }
    }
}

/// The faults of one history.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FaultPlan {
    /// Faults in any order.
    pub faults: Vec<Fault>,
}

impl FaultPlan {
    /// Draws the faults for a seed.
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

    /// Like [`FaultPlan::draw`], plus upstreams that announce leaving or send retry-after
    /// periods, and store rollbacks. These are kept apart because the seeds named in tests were
    /// found without them.
    pub fn draw_extended(seed: u64, config: &WorldConfig) -> Self {
        let mut plan = Self::draw(seed, config);
        plan.faults.extend(draw_leaving(seed, config));
        plan.faults.extend(draw_rests(seed, config));
        plan.faults.extend(draw_going_back(seed, config));
        plan.faults.sort_by_key(|fault| fault.at);
        plan
    }

    /// Like [`FaultPlan::draw`], plus nodes that are partitioned from all upstreams.
    pub fn draw_with_partitions(seed: u64, config: &WorldConfig) -> Self {
        let mut plan = Self::draw(seed, config);
        plan.faults.extend(draw_partitions(seed, config));
        plan.faults.sort_by_key(|fault| fault.at);
        plan
    }

    /// Draws partitions of nodes from all upstreams for a deployment of many nodes, beside up to
    /// two other faults.
    pub fn draw_large_partitions(seed: u64, config: &WorldConfig) -> Self {
        let mut faults = draw_partitions_of_many(seed, config);
        faults.extend(draw_few(seed, config));
        faults.sort_by_key(|fault| fault.at);
        Self { faults }
    }
}

/// Draws partitions of nodes from all upstreams: of a few nodes, of a zone or of two, one or two of
/// them. Uses its own generator.
fn draw_partitions(seed: u64, config: &WorldConfig) -> Vec<Fault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0xA17_0000);
    draw_some(&mut random, config, 1..3, 3_500..9_000, |random| {
        let zones = draw_zones(random);
        let nodes = (0..config.nodes).filter(|node| match zones.is_empty() {
            true => random.random_ratio(1, 3),
            false => zones.contains(&(node % ZONES)),
        });
        let nodes = nodes.collect();
        let mode = draw_mode(random);
        FaultKind::NodesPartitioned { nodes, mode }
    })
}

/// Zones whose nodes are partitioned: one, two, or none if it is a few nodes of any zone.
fn draw_zones(random: &mut ChaCha8Rng) -> Vec<usize> {
    match random.random_range(0..3) {
        0 => Vec::new(),
        1 => vec![random.random_range(0..ZONES)],
        _ => vec![0, 1],
    }
}

fn draw_mode(random: &mut ChaCha8Rng) -> UpstreamPartition {
    let modes = [
        UpstreamPartition::Silent,
        UpstreamPartition::Reset,
        UpstreamPartition::Refused,
    ];
    modes[random.random_range(0..modes.len())]
}

/// Draws one or two partitions of nodes of a deployment of many from all upstreams: of a few nodes,
/// or of all or most nodes of one zone or of two. Uses its own generator.
fn draw_partitions_of_many(seed: u64, config: &WorldConfig) -> Vec<Fault> {
    /// One node in this many is cut if there are few.
    const FEW_ONE_IN: usize = 24;
    /// Maximum number of nodes of each zone that are not cut if most are.
    const MAX_SPARED: usize = 2;
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x9A47_1A46);
    draw_some(&mut random, config, 1..3, 4_000..6_000, |random| {
        let zones = draw_zones(random);
        let spared = random.random_range(0..=MAX_SPARED);
        let nodes = (0..config.nodes).filter(|node| match zones.is_empty() {
            true => node % FEW_ONE_IN == 0,
            false => zones.contains(&(node % ZONES)) && node / ZONES >= spared,
        });
        let nodes = nodes.collect();
        let mode = draw_mode(random);
        FaultKind::NodesPartitioned { nodes, mode }
    })
}

/// Draws up to two faults of any kind. Uses its own generator.
fn draw_few(seed: u64, config: &WorldConfig) -> Vec<Fault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x9A47_0743);
    draw_some(&mut random, config, 0..3, 500..6_000, |random| {
        draw_kind(random, config)
    })
}

/// Draws a request that crashes upstreams, in one history of four. Uses its own generator so
/// that the other faults of a seed do not change.
fn draw_poison(seed: u64, config: &WorldConfig) -> Option<Fault> {
    const PERCENT: u32 = 25;
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x9015_0000);
    if random.random_range(0..100) >= PERCENT {
        return None;
    }
    Some(Fault {
        at: Time::ZERO + config.warm_up_time + Duration::from_millis(random.random_range(0..4_000)),
        // Ends with the other faults, because each crashed upstream makes its keys unavailable
        // for seconds.
        duration: config.fault_window,
        kind: FaultKind::PoisonRequest {
            is_read: random.random(),
            pause_ms: random.random_range(400..4_000),
            callers: random.random_range(1..=6),
        },
    })
}

/// Draws machine suspensions, in one history of six, with its own generator.
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

/// Draws an upstream that is unreachable for longer than a hold plus its transit time, in one
/// history of four. In half of these the granter also loses power or is killed. Uses its own
/// generator.
fn draw_unreachable(seed: u64, config: &WorldConfig) -> Vec<Fault> {
    const ONE_IN: u32 = 4;
    /// Maximum delay between the cut and the granter's fault.
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

/// Draws overloaded upstreams, in one history of three, for longer than nodes may take to
/// respect the advertised rate. Uses its own generator.
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

/// Draws upstreams that announce in their responses that they are leaving, seconds before their
/// registration says so, in one history of four. Uses its own generator.
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

/// Draws upstreams that reject requests with a retry-after period, in one history of four. Uses
/// its own generator.
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

/// Draws a store rollback, in one history of six. In half of these the granter or all nodes are
/// also killed. Uses its own generator.
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

/// Draws faults of one kind that begin within the fault window, with durations from
/// `duration_ms`.
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

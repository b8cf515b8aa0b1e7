//! Scenario definitions and their random generation from a seed.

use crate::fault::{Fault, ScheduledFault};
use beamtray_control::Guards;
use beamtray_placement::Policy;
use beamtray_settings::{Declaration, TimingSettings};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Name of the pool that reveals which configuration is in force: each confirmed
/// declaration assigns it a different back end.
pub const PROBE_SERVICE: &str = "probe";

/// Guards that can be disabled to verify that a checker detects their absence.
#[derive(Clone, Copy, Debug)]
pub struct WorldGuards {
    /// Guards of the nodes.
    pub control: Guards,
    /// Servers check the expiry of their grants.
    pub server_checks_expiry: bool,
    /// Servers check fences.
    pub server_checks_fence: bool,
    /// Servers check the grant again just before applying the effect.
    pub server_checks_at_effect: bool,
    /// The connection of a timed-out exchange is closed, so that its late response is
    /// not attributed to another request.
    pub closes_timed_out: bool,
}

impl Default for WorldGuards {
    fn default() -> Self {
        Self {
            control: Guards::default(),
            server_checks_expiry: true,
            server_checks_fence: true,
            server_checks_at_effect: true,
            closes_timed_out: true,
        }
    }
}

/// A request sent at a fixed time.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ScriptedRequest {
    /// Send time on the world clock, in milliseconds.
    pub at_millis: u64,
    /// The request name assigned by the caller.
    pub name: String,
    /// The receiving node.
    pub node: usize,
    /// The service.
    pub service: String,
    /// The key.
    pub key: String,
    /// Whether the request is a transfer, which is not repeatable.
    pub transfer: bool,
}

/// Shape of the random request load.
#[derive(Clone, Copy, Debug)]
pub struct LoadShape {
    /// Requests per second.
    pub per_second: u32,
    /// Keys in use.
    pub keys: u32,
    /// Exponent of the Zipf distribution of requests over keys; 0 is uniform.
    pub skew: f64,
}

/// Parameters of a simulated world.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed of every random choice.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of zones; nodes and servers are assigned to them round-robin.
    pub zones: usize,
    /// One-way delay within a zone, in microseconds.
    pub near_micros: u64,
    /// One-way delay between zones, in microseconds.
    pub far_micros: u64,
    /// Share of grants that the network delays by up to 3 s.
    pub held_up_share: f64,
    /// Mean service time of a request at a server, in microseconds.
    pub service_micros: u64,
    /// Initial declaration.
    pub declaration: Declaration,
    /// Faults to inject.
    pub faults: Vec<ScheduledFault>,
    /// Load of random requests.
    pub load: LoadShape,
    /// Scripted requests.
    pub script: Vec<ScriptedRequest>,
    /// End of the random requests, in milliseconds.
    pub load_until_millis: u64,
    /// Enabled guards.
    pub guards: WorldGuards,
    /// Protocol timing.
    pub timing: TimingSettings,
    /// Placement policy.
    pub policy: Policy,
}

/// Start of the random requests, in milliseconds.
pub const LOAD_FROM_MILLIS: u64 = 4_500;
/// Earliest start of a random fault, in milliseconds.
pub const FAULTS_FROM_MILLIS: u64 = 6_000;
const FAULTS_SPAN_MILLIS: u64 = 12_000;
const HELD_UP_SHARE: f64 = 0.005;

const SMALL_DEPLOYMENT: &str = r#"
[[service]]
name = "accounts"
slices_per_server = 6
move_cost = 0.05
deadline_millis = 4000

[[service.rule]]
method = "GET"
repeatable = true

[[service.server]]
name = "a1"
address = "10.0.0.1:1"
zone = "zone-0"
slots = 4
[[service.server]]
name = "a2"
address = "10.0.0.2:1"
zone = "zone-1"
slots = 4
[[service.server]]
name = "a3"
address = "10.0.0.3:1"
zone = "zone-2"
slots = 4
[[service.server]]
name = "a4"
address = "10.0.0.4:1"
zone = "zone-0"
slots = 4

[[service]]
name = "payments"
division = "pool"
deadline_millis = 4000

[[service.rule]]
method = "GET"
repeatable = true

[[service.server]]
name = "p1"
address = "10.0.1.1:1"
zone = "zone-0"
slots = 4
[[service.server]]
name = "p2"
address = "10.0.1.2:1"
zone = "zone-1"
slots = 4
[[service.server]]
name = "p3"
address = "10.0.1.3:1"
zone = "zone-2"
slots = 4
"#;

impl Scenario {
    /// Builds a scenario without faults; without a declaration it uses a small
    /// deployment.
    pub fn calm(seed: u64, declaration: Option<Declaration>) -> Self {
        let small = || {
            // Cannot fail: `SMALL_DEPLOYMENT` is a constant, and a test covers it.
            Declaration::parse("small", SMALL_DEPLOYMENT).unwrap_or_default()
        };
        Self {
            seed,
            nodes: 5,
            zones: 3,
            near_micros: 200,
            far_micros: 1_000,
            held_up_share: 0.0,
            service_micros: 3_000,
            declaration: declaration.unwrap_or_else(small),
            faults: Vec::new(),
            load: LoadShape {
                per_second: 60,
                keys: 12,
                skew: 0.0,
            },
            script: Vec::new(),
            load_until_millis: FAULTS_FROM_MILLIS + FAULTS_SPAN_MILLIS + 4_000,
            guards: WorldGuards::default(),
            timing: TimingSettings::default(),
            policy: Policy::Balanced,
        }
    }

    /// Builds a scenario with random faults, restricted to those that `selected`
    /// accepts.
    pub fn random(
        seed: u64,
        declaration: Option<Declaration>,
        selected: &dyn Fn(&Fault) -> bool,
    ) -> Self {
        let mut scenario = Self::calm(seed, declaration);
        scenario.held_up_share = HELD_UP_SHARE;
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5ca1_ab1e);
        let count = rng.random_range(3..=7);
        let shape = Shape {
            nodes: scenario.nodes,
            zones: scenario.zones,
            servers: scenario
                .declaration
                .services
                .iter()
                .map(|service| service.servers.len())
                .sum(),
            keys: scenario.load.keys as usize,
        };
        let mut tries = 0;
        while scenario.faults.len() < count && tries < 1_000 {
            tries += 1;
            let fault = random_fault(&mut rng, &shape);
            if selected(&fault) {
                let span = rng.random_range(0..FAULTS_SPAN_MILLIS);
                let at_millis = FAULTS_FROM_MILLIS + span;
                scenario.faults.push(ScheduledFault { at_millis, fault });
            }
        }
        keep_a_majority(&mut scenario.faults);
        scenario.faults.sort_by_key(|scheduled| scheduled.at_millis);
        scenario
    }
}

struct Shape {
    nodes: usize,
    zones: usize,
    servers: usize,
    keys: usize,
}

/// Limits permanent losses to one node and one server, since only the loss of a
/// minority is tolerated and the final requests need a running server.
fn keep_a_majority(faults: &mut [ScheduledFault]) {
    let mut lost = 0;
    let mut lost_servers = 0;
    for scheduled in faults {
        if let Fault::KillServer { restart_millis, .. } = &mut scheduled.fault
            && restart_millis.is_none()
        {
            lost_servers += 1;
            if lost_servers > 1 {
                *restart_millis = Some(2_000);
            }
        }
        if let Fault::KillNode { restart_millis, .. } = &mut scheduled.fault
            && restart_millis.is_none()
        {
            lost += 1;
            if lost > 1 {
                *restart_millis = Some(1_000);
            }
        }
    }
}

fn random_fault(rng: &mut ChaCha8Rng, shape: &Shape) -> Fault {
    let node = rng.random_range(0..shape.nodes);
    let server = rng.random_range(0..shape.servers.max(1));
    let zone = rng.random_range(0..shape.zones);
    let other = (zone + rng.random_range(1..shape.zones.max(2))) % shape.zones;
    let key = format!("key-{}", rng.random_range(0..shape.keys));
    let short = rng.random_range(200..3_000);
    let long = rng.random_range(1_000..8_000);
    let restart = rng.random_range(300..3_000);
    let restart_millis = rng.random_bool(0.7).then_some(restart);
    match rng.random_range(0..23) {
        0 => Fault::KillNode {
            node,
            restart_millis,
        },
        1 => Fault::PauseNode {
            node,
            millis: short,
            mid_step: rng.random_bool(0.5),
        },
        2 => Fault::StopNode {
            node,
            restart_millis: restart,
        },
        3 => Fault::KillAllNodes {
            restart_millis: restart,
        },
        4 => Fault::KillLeaderAndOwner {
            key,
            restart_millis: restart,
        },
        5 | 6 => Fault::PauseLeader {
            millis: short,
            mid_step: rng.random_bool(0.7),
        },
        7 => Fault::KillServer {
            server,
            restart_millis,
        },
        8 => Fault::PauseServer {
            server,
            millis: short,
        },
        9 | 10 => Fault::PauseOwner { key, millis: short },
        11 => Fault::StopServer { server },
        12 => Fault::CutZones {
            from: zone,
            to: other,
            both_ways: rng.random_bool(0.5),
            millis: short,
        },
        13 => Fault::CutZone {
            zone,
            millis: if rng.random_bool(0.3) {
                rng.random_range(13_000..16_000)
            } else {
                long
            },
        },
        14 => Fault::CutServer {
            server,
            millis: short,
        },
        15 => Fault::KeyValueDown { millis: long },
        16 => Fault::KeyValueSlow { millis: long },
        17 => Fault::KeyValueLosesReplies { millis: long },
        18 => Fault::BadNetwork {
            millis: long,
            loss_percent: rng.random_range(0..10),
            duplicate_percent: rng.random_range(0..20),
            delay_millis: rng.random_range(1..200),
        },
        19 => Fault::OperatorRace,
        20 => {
            if rng.random_bool(0.5) {
                Fault::MachineLeaves {
                    server,
                    millis: rng.random_range(3_000..6_000),
                }
            } else {
                Fault::MachineListLies {
                    server,
                    millis: short,
                }
            }
        }
        21 => Fault::ReplaceServer {
            server,
            millis: rng.random_range(50..1_000),
        },
        _ => Fault::HotKey { key, millis: long },
    }
}

//! Scale runs: many nodes that run the production cores in one process.
//!
//! Few requests are sent, because the measurements concern the control plane:
//! bytes, messages and CPU time of each node by role in steady state, the cost of
//! one configuration change, and the recovery time after the loss of a server.

use crate::fault::{Fault, ScheduledFault};
use crate::record::Record;
use crate::scenario::{LoadShape, Scenario};
use crate::world::{NodeMeter, World};
use beamtray_control::NodeCore;
use beamtray_settings::{Declaration, Division, ServerDeclaration, ServiceDeclaration};
use beamtray_types::{KeyHash, ServerName, ServiceName, Zone};
use serde::Serialize;
use std::net::SocketAddr;

const ZONES: usize = 4;
const SLICES_PER_SERVER: u32 = 16;
const KEYED: &str = "keyed";
/// Start of metering, after the initial placement has settled, in milliseconds.
const METER_FROM_MILLIS: u64 = 9_000;
const METER_MILLIS: u64 = 10_000;
const LOSS_AT_MILLIS: u64 = 22_000;
const CHANGE_AT_MILLIS: u64 = 20_000;

/// Parameters of a scale run.
#[derive(Clone, Copy, Debug)]
pub struct ScaleRun {
    /// Number of nodes, and of keyed servers.
    pub nodes: usize,
    /// Number of keys in use; it adds no control-plane cost, since slices are assigned
    /// rather than keys.
    pub keys: u64,
    /// Simulated requests per second.
    pub rate: u32,
    /// Seed.
    pub seed: u64,
}

/// Control-plane cost per node of a role, per second.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RoleCost {
    /// The role.
    pub role: String,
    /// Number of nodes with this role.
    pub nodes: usize,
    /// Messages sent and received.
    pub messages: f64,
    /// Bytes sent and received.
    pub bytes: f64,
    /// Part of `bytes` used for grants.
    pub grant_bytes: f64,
    /// Part of `bytes` used for reports and state.
    pub view_bytes: f64,
    /// Part of `bytes` used for the replicated log.
    pub log_bytes: f64,
    /// CPU time as a share of one core of this host, in percent.
    pub processor_percent: f64,
}

/// Results of a scale run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ScaleReport {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of slices.
    pub slices: usize,
    /// Encoded size of one node's state, in bytes.
    pub state_bytes: usize,
    /// Resident memory of this process per node, in bytes.
    pub resident_bytes_per_node: u64,
    /// Costs by role.
    pub roles: Vec<RoleCost>,
    /// Additional bytes that all nodes send for one configuration change.
    pub change_bytes: u64,
    /// Time until a change was in force at every node, in milliseconds.
    pub change_millis: Option<u64>,
    /// Time until the keys of a lost server were granted again, in milliseconds.
    pub recovery_millis: Option<u64>,
}

impl ScaleRun {
    fn scenario(&self) -> Scenario {
        let mut scenario = Scenario::calm(self.seed, Some(declaration(self.nodes)));
        scenario.nodes = self.nodes;
        scenario.zones = ZONES;
        scenario.far_micros = 1_500;
        scenario.service_micros = 1_000;
        scenario.load = LoadShape {
            per_second: self.rate,
            keys: u32::try_from(self.keys.min(20_000)).unwrap_or(20_000),
            skew: 0.0,
        };
        scenario.load_until_millis = LOSS_AT_MILLIS + 6_000;
        scenario.faults = vec![
            ScheduledFault {
                at_millis: CHANGE_AT_MILLIS,
                fault: Fault::OperatorRace,
            },
            ScheduledFault {
                at_millis: LOSS_AT_MILLIS,
                fault: Fault::KillServer {
                    server: 1,
                    restart_millis: None,
                },
            },
        ];
        scenario
    }

    /// Runs the simulation and returns the measurements.
    pub fn run(&self) -> ScaleReport {
        let millis = |millis: u64| millis * 1_000;
        let mut world = World::new(self.scenario());
        world.set_probing(false);
        world.run_until(millis(METER_FROM_MILLIS));
        world.set_metering(true);
        world.run_until(millis(METER_FROM_MILLIS + METER_MILLIS));
        world.set_metering(false);
        let roles = self.roles(&mut world);
        let before = self.total_out(&world);
        world.set_metering(true);
        let change_millis = self.await_change(&mut world);
        world.set_metering(false);
        let elapsed_millis = change_millis.unwrap_or(0);
        let quiet = self.quiet_bytes(&roles) * elapsed_millis as f64 / 1_000.0;
        let change_bytes = self.total_out(&world).saturating_sub(before);
        world.run_until(millis(LOSS_AT_MILLIS + 6_000));
        let (state_bytes, slices) = self.state_size(&mut world);
        ScaleReport {
            nodes: self.nodes,
            slices,
            state_bytes,
            resident_bytes_per_node: resident_bytes() / self.nodes as u64,
            roles,
            change_bytes: change_bytes.saturating_sub(quiet as u64),
            change_millis,
            recovery_millis: recovery(&world),
        }
    }

    fn roles(&self, world: &mut World) -> Vec<RoleCost> {
        let mut leader = RoleCost::named("leader");
        let mut voter = RoleCost::named("voter");
        let mut other = RoleCost::named("ingress and gate");
        for node in 0..self.nodes {
            let meter = world.meter().nodes[node];
            let leads = world.look(node, NodeCore::is_leader) == Some(true);
            let votes = world.look(node, NodeCore::is_voter) == Some(true);
            let role = match (leads, votes) {
                (true, _) => &mut leader,
                (false, true) => &mut voter,
                (false, false) => &mut other,
            };
            role.add(&meter);
        }
        let seconds = METER_MILLIS as f64 / 1_000.0;
        [leader, voter, other]
            .into_iter()
            .map(|role| role.per_second(seconds))
            .collect()
    }

    fn total_out(&self, world: &World) -> u64 {
        world
            .meter()
            .nodes
            .iter()
            .map(|meter| meter.bytes_out)
            .sum()
    }

    /// Bytes that all nodes send per second in steady state.
    fn quiet_bytes(&self, roles: &[RoleCost]) -> f64 {
        let all: f64 = roles
            .iter()
            .map(|role| role.bytes * role.nodes as f64)
            .sum();
        // Each byte between nodes is counted by both the sender and the receiver.
        all / 2.0
    }

    /// Measures the time in milliseconds from a confirmation until every node applies
    /// it.
    fn await_change(&self, world: &mut World) -> Option<u64> {
        let start = CHANGE_AT_MILLIS * 1_000;
        world.run_until(start - 1);
        let revision = |core: &NodeCore| core.state().revision.0;
        let before = world.look(0, revision)?;
        (1..=200u64).map(|step| step * 10).find(|elapsed| {
            world.run_until(start + elapsed * 1_000);
            (0..self.nodes).all(|node| world.look(node, revision).is_some_and(|now| now > before))
        })
    }

    fn state_size(&self, world: &mut World) -> (usize, usize) {
        let size = |core: &NodeCore| borsh::object_length(core.state()).unwrap_or(0);
        let slices = |core: &NodeCore| core.state().services.values().map(|t| t.len()).sum();
        (
            world.look(0, size).unwrap_or(0),
            world.look(0, slices).unwrap_or(0),
        )
    }
}

impl RoleCost {
    fn named(role: &str) -> Self {
        Self {
            role: role.to_owned(),
            ..Self::default()
        }
    }

    fn add(&mut self, meter: &NodeMeter) {
        self.nodes += 1;
        self.messages += (meter.messages_in + meter.messages_out) as f64;
        self.bytes += (meter.bytes_in + meter.bytes_out) as f64;
        self.grant_bytes += meter.grant_bytes as f64;
        self.view_bytes += meter.view_bytes as f64;
        self.log_bytes += meter.log_bytes as f64;
        self.processor_percent += meter.processor.as_secs_f64() * 100.0;
    }

    fn per_second(mut self, seconds: f64) -> Self {
        let share = 1.0 / (seconds * self.nodes.max(1) as f64);
        self.messages *= share;
        self.bytes *= share;
        self.grant_bytes *= share;
        self.view_bytes *= share;
        self.log_bytes *= share;
        self.processor_percent *= share;
        self
    }
}

/// Returns the time in milliseconds from the loss of a server until all its slices
/// are granted to other servers.
fn recovery(world: &World) -> Option<u64> {
    let lost_at = LOSS_AT_MILLIS * 1_000;
    let mut held = Vec::new();
    let mut missing = None;
    for timed in &world.history().records {
        let Record::Holds { server, slices, .. } = &timed.record else {
            continue;
        };
        if timed.at < lost_at {
            if server.server == 1 {
                held.clone_from(slices);
            }
            continue;
        }
        let missing = missing.get_or_insert_with(|| held.clone());
        if server.server != 1 {
            missing.retain(|lost| {
                let start = KeyHash(lost.range.first);
                !slices.iter().any(|slice| slice.range.contains(start))
            });
        }
        if missing.is_empty() {
            return Some((timed.at - lost_at) / 1_000);
        }
    }
    None
}

fn declaration(servers: usize) -> Declaration {
    let servers = (0..servers)
        .map(|index| {
            let [high, low] = (index as u16).to_be_bytes();
            ServerDeclaration {
                name: ServerName(format!("server-{index}")),
                address: SocketAddr::from(([10, 1, high, low], 8080)),
                zone: Zone(format!("zone-{}", index % ZONES)),
                slots: 4,
                drain: false,
            }
        })
        .collect();
    Declaration {
        services: vec![ServiceDeclaration {
            name: ServiceName::from(KEYED),
            division: Division::Keyed,
            slices_per_server: SLICES_PER_SERVER,
            move_cost: 0.5,
            reassign_after_millis: 0,
            deadline_millis: 4_000,
            queue: 512,
            retry_share: 0.1,
            rules: Vec::new(),
            servers,
        }],
    }
}

/// Returns the resident memory of this process in bytes, or 0 if it is unavailable.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

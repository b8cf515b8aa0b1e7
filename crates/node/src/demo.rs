//! Demo: three nodes and stand-in services in one process, all on loopback.

use crate::client::{get, http_client, send_operator_request};
use crate::process::{BoundNode, RunningNode};
use beamtray_control::{OperatorAnswer, OperatorRequest, StatusReport};
use beamtray_http::{HttpCall, HttpReply, WorkerServer};
use beamtray_settings::{
    Declaration, Division, NodeSettings, PeerSettings, ServiceDeclaration, TimingSettings,
};
use beamtray_standin::{BackendConfig, service};
use beamtray_types::{GroupId, NodeId, OperationId, Revision, Zone};
use eyre::{Result, WrapErr, bail};
use slog::Logger;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

const NODES: u32 = 3;
const KEY_VALUE_RATE: u32 = 100;
const MACHINE_LIST_LAG: Duration = Duration::from_secs(2);
const SERVICE_TIME: Duration = Duration::from_millis(1);
/// Timeout for the control group to form and for all keys to have owners.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A running demo.
pub struct Demo {
    declaration: Declaration,
    nodes: Vec<RunningNode>,
    _standins: Vec<WorkerServer>,
}

impl Demo {
    /// Starts stand-ins for everything that the declaration names, and three
    /// nodes.
    ///
    /// # Errors
    /// When an address cannot be listened on.
    pub fn start(mut declaration: Declaration, log: &Logger) -> Result<Self> {
        let mut standins = Vec::new();
        let key_value = service::serve_key_value(loopback(), KEY_VALUE_RATE)?;
        let machines = service::serve_machines(loopback(), MACHINE_LIST_LAG)?;
        for declared in &mut declaration.services {
            for server in &mut declared.servers {
                let standin = match declared.division {
                    Division::Keyed => {
                        service::serve_keyed_server(loopback(), server.slots, SERVICE_TIME, |_| {})?
                    }
                    Division::Pool => {
                        let config = BackendConfig {
                            slots: server.slots,
                            service_time: SERVICE_TIME,
                            cold_for: Duration::ZERO,
                            cold_factor: 1,
                        };
                        service::serve_backend(loopback(), config)?
                    }
                };
                server.address = standin.address();
                standins.push(standin);
            }
        }
        let platform = (key_value.address(), machines.address());
        standins.push(key_value);
        standins.push(machines);
        let nodes = start_nodes(&zones(&declaration), platform, log)?;
        Ok(Self {
            declaration,
            nodes,
            _standins: standins,
        })
    }

    /// Confirms the declaration, sends a read and a transfer, then plans and
    /// confirms a drain. Prints each result and returns whether all succeeded.
    ///
    /// # Errors
    /// When a step received no answer.
    pub fn run_scenario(&self) -> Result<bool> {
        self.wait_for_group()?;
        let mut passed = true;
        let mut step = |name: &str, ok: bool, detail: String| {
            println!("{} {name}: {detail}", if ok { "ok  " } else { "FAIL" });
            passed &= ok;
        };
        let (ok, detail) = self.plan_and_confirm(&self.declaration)?;
        step("confirm", ok, detail);
        self.wait_for_owners()?;
        if let Some(keyed) = self.first_service(Division::Keyed) {
            let reply = self.call("GET", &format!("/{}/account-1/balance", keyed.name), None)?;
            step("read", reply.status == 200, describe(&reply));
        }
        let transfer = self
            .first_service(Division::Pool)
            .map(|pool| format!("/{}/transfers", pool.name))
            .or_else(|| {
                let keyed = self.first_service(Division::Keyed)?;
                Some(format!("/{}/account-1/transfer", keyed.name))
            });
        if let Some(path) = transfer {
            let reply = self.call("POST", &path, Some("demo-transfer-1"))?;
            step("transfer", reply.status == 200, describe(&reply));
        }
        let mut drained = self.declaration.clone();
        let first = drained
            .services
            .iter_mut()
            .flat_map(|s| &mut s.servers)
            .next();
        if let Some(server) = first {
            server.drain = true;
        }
        let (ok, detail) = self.plan_and_confirm(&drained)?;
        step("drain", ok, detail);
        Ok(passed)
    }

    /// Prints the nodes' addresses and example commands.
    pub fn print_addresses(&self) {
        for (position, node) in self.nodes.iter().enumerate() {
            println!(
                "node {}: callers http://{} operators http://{}",
                position + 1,
                node.addresses.callers,
                node.addresses.operators
            );
        }
        let callers = self.callers();
        if let Some(keyed) = self.first_service(Division::Keyed) {
            println!(
                "try: curl -i http://{callers}/{}/account-1/balance",
                keyed.name
            );
        }
        println!("     beamtray status --operators {}", self.operators());
        println!("Ctrl-C stops");
    }

    /// Performs a planned stop of every node.
    ///
    /// # Errors
    /// When a node's event loop failed.
    pub fn stop(self) -> Result<()> {
        for node in &self.nodes {
            node.stop();
        }
        for node in self.nodes {
            node.join()?;
        }
        Ok(())
    }

    fn first_service(&self, division: Division) -> Option<&ServiceDeclaration> {
        let mut services = self.declaration.services.iter();
        services.find(|service| service.division == division)
    }

    fn callers(&self) -> SocketAddr {
        self.nodes[0].addresses.callers
    }

    fn operators(&self) -> SocketAddr {
        self.nodes[0].addresses.operators
    }

    fn status(&self) -> Option<StatusReport> {
        match send_operator_request(self.operators(), &OperatorRequest::Status) {
            Ok(OperatorAnswer::Status(report)) => Some(report),
            _ => None,
        }
    }

    fn wait_for_group(&self) -> Result<()> {
        wait_until("a control group", || {
            self.status()
                .is_some_and(|report| report.nodes.len() == NODES as usize)
        })
    }

    fn wait_for_owners(&self) -> Result<()> {
        wait_until("owners of all keys", || {
            let ready = self.nodes.iter().all(|node| {
                get(node.addresses.operators, "/readyz").is_ok_and(|page| page.status == 200)
            });
            ready
                && self
                    .status()
                    .is_some_and(|report| report.services.iter().all(|s| s.unowned == 0))
        })
    }

    fn plan_and_confirm(&self, declaration: &Declaration) -> Result<(bool, String)> {
        let declaration = declaration.clone();
        let answer =
            send_operator_request(self.operators(), &OperatorRequest::Plan { declaration })?;
        let OperatorAnswer::Plan(plan) = answer else {
            return Ok((false, format!("{answer:?}")));
        };
        let moved: u32 = plan.services.iter().map(|s| s.slices_moved).sum();
        let request = OperatorRequest::Confirm {
            operation: OperationId(rand::random()),
            base: Revision(plan.base),
            declaration: plan.declaration,
        };
        let answer = send_operator_request(self.operators(), &request)?;
        let changes = plan.changes.len();
        Ok(match answer {
            OperatorAnswer::InForce { revision } => {
                let detail =
                    format!("revision {revision}, {changes} changes, {moved} slices to move");
                (true, detail)
            }
            other => (false, format!("{other:?}")),
        })
    }

    fn call(&self, method: &str, path: &str, name: Option<&str>) -> Result<HttpReply> {
        let url = format!("http://{}{path}", self.callers());
        let headers: Vec<(&str, String)> = name
            .map(|name| ("idempotency-key", name.to_owned()))
            .into_iter()
            .collect();
        let call = HttpCall {
            method,
            url: &url,
            headers: &headers,
            body: &[],
            timeout: CALL_TIMEOUT,
            fresh_connection: true,
        };
        match http_client().call(&call) {
            Ok(reply) => Ok(reply),
            Err(error) => bail!("{method} {url}: {error}"),
        }
    }
}

fn describe(reply: &HttpReply) -> String {
    let outcome = reply.header("beamtray-outcome").unwrap_or("-");
    let body = String::from_utf8_lossy(&reply.body);
    format!("{} {outcome} {}", reply.status, body.trim_end())
}

fn wait_until(what: &str, done: impl Fn() -> bool) -> Result<()> {
    let deadline = Instant::now() + STARTUP_TIMEOUT;
    while !done() {
        if Instant::now() > deadline {
            bail!(
                "timed out after {} s waiting for {what}",
                STARTUP_TIMEOUT.as_secs()
            );
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns the zones named in the declaration, or a default zone if there is none.
fn zones(declaration: &Declaration) -> Vec<Zone> {
    let servers = declaration.services.iter().flat_map(|s| &s.servers);
    let zones: BTreeSet<Zone> = servers.map(|server| server.zone.clone()).collect();
    if zones.is_empty() {
        return vec![Zone::from("zone-1")];
    }
    zones.into_iter().collect()
}

fn start_nodes(
    zones: &[Zone],
    (key_value, machines): (SocketAddr, SocketAddr),
    log: &Logger,
) -> Result<Vec<RunningNode>> {
    let zone = |node: u32| zones[node as usize % zones.len()].clone();
    let peer_nodes: Vec<PeerSettings> = (1..=NODES)
        .map(|node| PeerSettings {
            node: NodeId(node),
            zone: zone(node),
            address: loopback(),
        })
        .collect();
    let settings = |node: u32| NodeSettings {
        node: NodeId(node),
        group: GroupId(0),
        zone: zone(node),
        callers: loopback(),
        peers: loopback(),
        operators: loopback(),
        key_value,
        machines: Some(machines),
        voters: NODES as usize,
        upstream_workers: 32,
        caller_connections: 256,
        max_body_bytes: 1024 * 1024,
        stop_millis: 2_000,
        timing: TimingSettings::default(),
        peer_nodes: peer_nodes.clone(),
    };
    let mut bound = (1..=NODES)
        .map(|node| BoundNode::bind(settings(node)))
        .collect::<Result<Vec<_>>>()?;
    let addresses: BTreeMap<NodeId, SocketAddr> = (1..=NODES)
        .map(NodeId)
        .zip(bound.iter().map(BoundNode::peer_address))
        .collect();
    for node in &mut bound {
        node.set_peer_addresses(&addresses);
    }
    bound
        .into_iter()
        .map(|node| node.start(log.clone()).wrap_err("start a node"))
        .collect()
}

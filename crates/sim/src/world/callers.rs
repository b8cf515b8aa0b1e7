//! Callers: random, scripted, probe and final requests, and their responses.

use super::nodes::ProcessState;
use super::{SimEvent, World};
use crate::record::{CallerView, Record};
use crate::scenario::{LoadShape, PROBE_SERVICE, Scenario};
use beamtray_control::Input;
use beamtray_routing::{Answer, CallerRequest, RequestId, RunState};
use beamtray_settings::Division;
use beamtray_types::ServiceName;
use rand::RngExt;
use std::collections::BTreeMap;

const PROBE_MICROS: u64 = 150_000;
const PATIENCE_MICROS: u64 = 9_000_000;
/// Share of requests that are transfers.
const TRANSFER_SHARE: f64 = 0.4;
/// Share of requests that go to a pool.
const POOL_SHARE: f64 = 0.15;
/// Share of requests that go to a hot key.
const HOT_SHARE: f64 = 0.6;

/// A request that awaits its response.
#[derive(Clone, Debug)]
struct PendingRequest {
    name: String,
}

/// State of all callers.
#[derive(Debug)]
pub(crate) struct Callers {
    waiting: BTreeMap<(usize, u64, RequestId), PendingRequest>,
    next_name: u64,
    cumulative: Vec<f64>,
    keyed: Vec<ServiceName>,
    pools: Vec<ServiceName>,
    pub(crate) hot: Option<HotKeys>,
    pub(crate) probing: bool,
}

/// Keys that together receive a share of the requests.
#[derive(Clone, Debug)]
pub(crate) struct HotKeys {
    pub(crate) keys: Vec<String>,
    pub(crate) share: f64,
    pub(crate) from: u64,
    pub(crate) rise: u64,
}

impl HotKeys {
    /// A single key that receives most of the requests immediately, without a ramp.
    pub(crate) fn at_once(key: String) -> Self {
        Self {
            keys: vec![key],
            share: HOT_SHARE,
            from: 0,
            rise: 0,
        }
    }

    fn share_at(&self, now: u64) -> f64 {
        let elapsed = now.saturating_sub(self.from);
        if elapsed >= self.rise {
            return self.share;
        }
        self.share * elapsed as f64 / self.rise as f64
    }
}

/// Parameters of a request to send.
struct RequestParameters {
    name: String,
    service: ServiceName,
    key: Option<String>,
    transfer: bool,
    probe: bool,
    after_faults: bool,
}

impl Callers {
    pub(crate) fn new(scenario: &Scenario) -> Self {
        let of = |division| {
            scenario
                .declaration
                .services
                .iter()
                .filter(|service| service.division == division)
                .map(|service| service.name.clone())
                .collect()
        };
        Self {
            waiting: BTreeMap::new(),
            next_name: 0,
            cumulative: zipf(scenario.load),
            keyed: of(Division::Keyed),
            pools: of(Division::Pool),
            hot: None,
            probing: true,
        }
    }
}

/// Returns the cumulative Zipf distribution over the keys.
fn zipf(load: LoadShape) -> Vec<f64> {
    let weights: Vec<f64> = (1..=load.keys)
        .map(|rank| f64::from(rank).powf(-load.skew))
        .collect();
    let sum: f64 = weights.iter().sum();
    let mut total = 0.0;
    weights
        .iter()
        .map(|weight| {
            total += weight / sum;
            total
        })
        .collect()
}

impl World {
    fn random_key(&mut self) -> String {
        if let Some(hot) = &self.callers.hot
            && self.rng.random_bool(hot.share_at(self.now))
        {
            return hot.keys[self.rng.random_range(0..hot.keys.len())].clone();
        }
        let draw: f64 = self.rng.random_range(0.0..1.0);
        let position = self
            .callers
            .cumulative
            .partition_point(|share| *share < draw);
        format!("key-{position}")
    }

    fn new_name(&mut self, kind: &str) -> String {
        self.callers.next_name += 1;
        format!("{kind}-{}", self.callers.next_name)
    }

    pub(crate) fn send_random_request(&mut self) {
        if self.now >= self.scenario.load_until_millis * 1_000 {
            return;
        }
        let mean = 1_000_000.0 / f64::from(self.scenario.load.per_second.max(1));
        let draw: f64 = self.rng.random_range(0.000_1..1.0);
        self.after((-draw.ln() * mean) as u64 + 1, SimEvent::RandomRequest);
        let Some(node) = self.some_node() else { return };
        let transfer = self.rng.random_bool(TRANSFER_SHARE);
        let pool = self.rng.random_bool(POOL_SHARE) && !self.callers.pools.is_empty();
        let services = if pool {
            &self.callers.pools
        } else {
            &self.callers.keyed
        };
        if services.is_empty() {
            return;
        }
        let service = services[self.rng.random_range(0..services.len())].clone();
        let key = self.random_key();
        let kind = if transfer { "transfer" } else { "read" };
        let wanted = RequestParameters {
            name: self.new_name(kind),
            service,
            key: (!pool).then_some(key),
            transfer,
            probe: false,
            after_faults: false,
        };
        self.send(node, wanted);
    }

    fn some_node(&mut self) -> Option<usize> {
        let up: Vec<usize> = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].state != ProcessState::Dead)
            .collect();
        if up.is_empty() {
            return None;
        }
        Some(up[self.rng.random_range(0..up.len())])
    }

    /// Probes every node for the configuration in force.
    pub(crate) fn send_probes(&mut self) {
        if !self.callers.probing {
            return;
        }
        if self.now + 2_000_000 < self.history.end {
            self.after(PROBE_MICROS, SimEvent::Probe);
        }
        for node in 0..self.nodes.len() {
            if self.nodes[node].state == ProcessState::Dead {
                continue;
            }
            let wanted = RequestParameters {
                name: self.new_name("probe"),
                service: ServiceName::from(PROBE_SERVICE),
                key: None,
                transfer: false,
                probe: true,
                after_faults: false,
            };
            self.send(node, wanted);
        }
    }

    pub(crate) fn send_scripted(&mut self, position: usize) {
        let request = self.scenario.script[position].clone();
        let wanted = RequestParameters {
            name: request.name,
            service: ServiceName(request.service),
            key: Some(request.key).filter(|key| !key.is_empty()),
            transfer: request.transfer,
            probe: false,
            after_faults: false,
        };
        self.send(request.node, wanted);
    }

    /// Sends the final requests after all faults: one for every key and every pool,
    /// each to some node.
    pub(crate) fn send_final_requests(&mut self) {
        let keys = self.scenario.load.keys;
        let mut all = Vec::new();
        for service in self.callers.keyed.clone() {
            all.extend((0..keys).map(|key| (service.clone(), Some(format!("key-{key}")))));
        }
        all.extend(self.callers.pools.iter().map(|pool| (pool.clone(), None)));
        for (service, key) in all {
            let Some(node) = self.some_node() else { return };
            let wanted = RequestParameters {
                name: self.new_name("last"),
                service,
                key,
                transfer: false,
                probe: false,
                after_faults: true,
            };
            self.send(node, wanted);
        }
    }

    fn send(&mut self, node: usize, wanted: RequestParameters) {
        let target = &mut self.nodes[node];
        let id = RequestId(target.next_request);
        target.next_request += 1;
        let run = target.run;
        self.record(Record::Sent {
            name: wanted.name.clone(),
            node,
            node_run: run,
            repeatable: !wanted.transfer,
            probe: wanted.probe,
            after_faults: wanted.after_faults,
        });
        if self.nodes[node].state == ProcessState::Dead {
            let name = wanted.name;
            let view = CallerView::NoAnswer;
            return self.record(Record::Answered { name, view });
        }
        let method = if wanted.transfer { "POST" } else { "GET" };
        let request = CallerRequest {
            service: wanted.service,
            key: wanted.key,
            method: method.to_owned(),
            path: String::new(),
            target: String::new(),
            headers: Vec::new(),
            body: Vec::new(),
            deadline_micros: None,
            idempotency_key: Some(wanted.name.clone()),
        };
        let name = wanted.name.clone();
        self.callers
            .waiting
            .insert((node, run, id), PendingRequest { name: wanted.name });
        self.after(PATIENCE_MICROS, SimEvent::CallerTimesOut { name });
        let input = Input::Caller { id, request };
        let delay = self.scenario.far_micros;
        self.after(delay, SimEvent::ToNode { node, run, input });
    }

    pub(crate) fn on_answer(&mut self, node: usize, id: RequestId, answer: Answer) {
        let run = self.nodes[node].run;
        let Some(waiting) = self.callers.waiting.remove(&(node, run, id)) else {
            return;
        };
        let status = answer.status;
        let view = match answer.run_state {
            RunState::Complete => CallerView::Complete {
                status,
                body: String::from_utf8_lossy(&answer.body).into_owned(),
            },
            RunState::NotRun => CallerView::NotRun { status },
            RunState::Unknown => CallerView::Unknown { status },
        };
        let name = waiting.name;
        self.record(Record::Answered { name, view });
    }

    pub(crate) fn on_caller_timeout(&mut self, name: &str) {
        let found = self
            .callers
            .waiting
            .iter()
            .find(|(_, waiting)| waiting.name == name)
            .map(|(key, _)| *key);
        let Some((node, run, id)) = found else { return };
        self.callers.waiting.remove(&(node, run, id));
        let view = CallerView::NoAnswer;
        self.record(Record::Answered {
            name: name.to_owned(),
            view,
        });
        let input = Input::CallerDisconnected { id };
        self.after(0, SimEvent::ToNode { node, run, input });
    }

    /// Breaks the connections of a node's callers.
    pub(crate) fn drop_callers_of(&mut self, node: usize) {
        let mut dropped = Vec::new();
        self.callers.waiting.retain(|(other, _, _), waiting| {
            if *other == node {
                dropped.push(waiting.name.clone());
            }
            *other != node
        });
        for name in dropped {
            let view = CallerView::NoAnswer;
            self.record(Record::Answered { name, view });
        }
    }
}

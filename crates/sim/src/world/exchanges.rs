//! Calls from gates to servers and back ends: arrival, effect and reply.

use super::nodes::ProcessState;
use super::servers::{Model, PROBE_SERVER, PendingInput};
use super::{SimEvent, World};
use crate::record::{Record, ServerRun};
use beamtray_control::Input;
use beamtray_routing::{CallId, Forward, NotRunReason, UpstreamAnswer, UpstreamOutcome};
use beamtray_standin::{Admitted, ServerRefusal};
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;

const CONNECT_TIMEOUT_MICROS: u64 = 1_000_000;

/// A call from a gate to an upstream.
pub(crate) struct Exchange {
    pub(crate) node: usize,
    run: u64,
    call: CallId,
    pub(crate) server: usize,
    forward: Forward,
    admitted: Option<Admitted>,
    /// Whether the gate has stopped waiting for the reply.
    pub(crate) over: bool,
}

impl World {
    pub(crate) fn begin_exchange(
        &mut self,
        node: usize,
        call: CallId,
        address: SocketAddr,
        forward: Forward,
        timeout: Duration,
    ) {
        let run = self.nodes[node].run;
        let found = self.servers.iter().position(|s| s.address == address);
        let server = found.unwrap_or(PROBE_SERVER);
        let exchange = self.new_exchange(Exchange {
            node,
            run,
            call,
            server,
            forward,
            admitted: None,
            over: false,
        });
        let timeout = timeout.as_micros() as u64;
        let lost = SimEvent::CallEnds {
            exchange,
            outcome: UpstreamOutcome::Lost {
                cause: "timed out".to_owned(),
            },
        };
        self.after(timeout, lost);
        if server == PROBE_SERVER {
            return self.after(1_000, SimEvent::CallArrives { exchange });
        }
        let (from, to) = (self.nodes[node].zone, self.servers[server].zone);
        let delay = self.network.delay(&mut self.rng, self.now, from, to);
        let reachable = self.now >= self.servers[server].cut_until;
        match delay.filter(|_| reachable) {
            Some(delay) => self.after(delay, SimEvent::CallArrives { exchange }),
            None => {
                let outcome = not_run(NotRunReason::NotConnected);
                let event = SimEvent::CallEnds { exchange, outcome };
                self.after(CONNECT_TIMEOUT_MICROS.min(timeout), event);
            }
        }
    }

    pub(crate) fn on_call_arrives(&mut self, id: u64) {
        let Some(exchange) = self.exchanges.get(&id) else {
            return;
        };
        let index = exchange.server;
        if index == PROBE_SERVER {
            return self.serve_probe(id);
        }
        match self.servers[index].state {
            ProcessState::Dead => {
                let outcome = not_run(NotRunReason::NotConnected);
                return self.reply(id, index, outcome);
            }
            ProcessState::Suspended | ProcessState::Suspending(_) => {
                self.servers[index].held.push(PendingInput::Call(id));
                return;
            }
            ProcessState::Running => {}
        }
        if self.servers[index].stopping {
            let outcome = not_run(NotRunReason::NotConnected);
            return self.reply(id, index, outcome);
        }
        let name = request_name(&exchange.forward);
        let server = self.servers[index].id(index);
        self.record(Record::Arrived { server, name });
        self.admit(id, index);
    }

    fn admit(&mut self, id: u64, index: usize) {
        let mean = self.scenario.service_micros as f64;
        let draw: f64 = self.rng.random_range(0.000_1..1.0);
        let service = (-draw.ln() * mean) as u64;
        let Some(exchange) = self.exchanges.get_mut(&id) else {
            return;
        };
        let server = &mut self.servers[index];
        let now = server.clock(self.now);
        let begun = match &mut server.model {
            Model::Keyed(model) => {
                let key = exchange.forward.request.key.clone().unwrap_or_default();
                let fence = exchange.forward.fence.unwrap_or_default();
                match model.begin(now, &key, fence) {
                    Ok(admitted) => {
                        exchange.admitted = Some(admitted);
                        Ok(())
                    }
                    Err(refusal) => Err(refusal),
                }
            }
            Model::Pool(model) => model.begin(now).map(|_| ()).ok_or(ServerRefusal::Shed),
        };
        let server_run = server.run;
        match begun {
            Ok(()) => self.after(
                service,
                SimEvent::CallCommits {
                    exchange: id,
                    server_run,
                },
            ),
            Err(refusal) => self.reply(id, index, not_run(refusal_reason(refusal))),
        }
    }

    pub(crate) fn on_call_commits(&mut self, id: u64, server_run: u64) {
        let Some(exchange) = self.exchanges.get(&id) else {
            return;
        };
        let index = exchange.server;
        let server = &mut self.servers[index];
        if server.run != server_run || server.state == ProcessState::Dead {
            return;
        }
        if matches!(
            server.state,
            ProcessState::Suspended | ProcessState::Suspending(_)
        ) {
            server.held.push(PendingInput::Commit(id));
            return;
        }
        self.commit(id, index);
    }

    pub(crate) fn commit(&mut self, id: u64, index: usize) {
        let checks = self.scenario.guards.server_checks_at_effect;
        let Some(exchange) = self.exchanges.get_mut(&id) else {
            return;
        };
        let name = request_name(&exchange.forward);
        let request = &exchange.forward.request;
        let key = request.key.clone().unwrap_or_default();
        let fence = exchange.forward.fence;
        let writes = request.method != "GET";
        let server = &mut self.servers[index];
        let now = server.clock(self.now);
        let committed = match &mut server.model {
            Model::Keyed(model) => {
                let Some(admitted) = exchange.admitted.take() else {
                    return;
                };
                let result = model.commit(now, admitted, writes, Some(name.clone()));
                result.is_ok() || !checks
            }
            Model::Pool(model) => {
                model.finish();
                true
            }
        };
        if !committed {
            return self.reply(id, index, not_run(NotRunReason::NotOwner));
        }
        let server = self.servers[index].id(index);
        self.record(Record::Effect {
            server,
            name: name.clone(),
            key: key.clone(),
            fence,
        });
        self.reply(id, index, answered(&key, &name));
    }

    fn serve_probe(&mut self, id: u64) {
        let Some(exchange) = self.exchanges.get(&id) else {
            return;
        };
        let name = request_name(&exchange.forward);
        let marker = exchange.forward.server.to_string();
        let server = ServerRun {
            server: PROBE_SERVER,
            run: 0,
        };
        self.record(Record::Effect {
            server,
            name: name.clone(),
            key: marker.clone(),
            fence: None,
        });
        let outcome = answered(&marker, &name);
        self.after(
            1_000,
            SimEvent::CallEnds {
                exchange: id,
                outcome,
            },
        );
    }

    /// Sends an upstream's reply back to the gate.
    fn reply(&mut self, id: u64, index: usize, outcome: UpstreamOutcome) {
        let Some(exchange) = self.exchanges.get(&id) else {
            return;
        };
        let (from, to) = (self.servers[index].zone, self.nodes[exchange.node].zone);
        let reachable = self.now >= self.servers[index].cut_until;
        let delay = self.network.delay(&mut self.rng, self.now, from, to);
        if let Some(delay) = delay.filter(|_| reachable) {
            let event = SimEvent::CallEnds {
                exchange: id,
                outcome,
            };
            self.after(delay, event);
        }
    }

    /// Reports the outcome of a call to the gate. Later replies find the connection
    /// closed.
    pub(crate) fn end_exchange(&mut self, id: u64, outcome: UpstreamOutcome) {
        let closes = self.scenario.guards.closes_timed_out;
        let Some(exchange) = self.exchanges.get_mut(&id) else {
            return;
        };
        if exchange.over {
            if !closes {
                self.deliver_late(id, outcome);
            }
            return;
        }
        exchange.over = true;
        let (node, run, call) = (exchange.node, exchange.run, exchange.call);
        let input = Input::CallResult { call, outcome };
        self.after(0, SimEvent::ToNode { node, run, input });
    }

    /// With the guard disabled, the gate reads a late reply on a reused connection as
    /// the reply to its next exchange with the same server.
    fn deliver_late(&mut self, id: u64, outcome: UpstreamOutcome) {
        let Some(late) = self.exchanges.get(&id) else {
            return;
        };
        let (node, server) = (late.node, late.server);
        let next = self
            .exchanges
            .iter()
            .find(|(_, other)| !other.over && other.node == node && other.server == server);
        let Some((next, _)) = next else { return };
        let next = *next;
        self.end_exchange(next, outcome);
    }
}

fn request_name(forward: &Forward) -> String {
    forward.request.idempotency_key.clone().unwrap_or_default()
}

fn answered(key: &str, name: &str) -> UpstreamOutcome {
    UpstreamOutcome::Answered(UpstreamAnswer {
        status: 200,
        headers: Vec::new(),
        body: format!("{key} {name}").into_bytes(),
    })
}

fn refusal_reason(refusal: ServerRefusal) -> NotRunReason {
    match refusal {
        ServerRefusal::NotOwner => NotRunReason::NotOwner,
        ServerRefusal::Shed => NotRunReason::Shed,
    }
}

fn not_run(reason: NotRunReason) -> UpstreamOutcome {
    UpstreamOutcome::NotRun {
        reason,
        retry_after_micros: None,
    }
}

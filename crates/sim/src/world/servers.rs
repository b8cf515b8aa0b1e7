//! Servers and back ends: the stand-in models run as processes with their own
//! clocks.

use super::nodes::ProcessState;
use super::{SimEvent, World};
use crate::record::{Record, ServerRun};
use beamtray_control::Input;
use beamtray_ownership::{GrantReply, GrantRequest, PendingGrant};
use beamtray_routing::UpstreamOutcome;
use beamtray_settings::Division;
use beamtray_standin::{Backend, BackendConfig, KeyedServer};
use beamtray_types::{Incarnation, ServerName, Time};
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;

const MAX_DEVIATION_PPM: i64 = 9_000;
const GRANT_TIMEOUT_MICROS: u64 = 700_000;
const RESET_MICROS: u64 = 1_000;
/// Index that represents the back ends of the probe pool.
pub(crate) const PROBE_SERVER: usize = usize::MAX;

/// Model that a server process runs.
pub(crate) enum Model {
    Keyed(Box<KeyedServer>),
    Pool(Backend),
}

/// An input that reached a suspended server.
pub(crate) enum PendingInput {
    Call(u64),
    Commit(u64),
    Grant(usize, u64, GrantRequest, u64),
}

/// A server's process.
pub(crate) struct SimServer {
    pub(crate) name: ServerName,
    pub(crate) zone: usize,
    pub(crate) address: SocketAddr,
    pub(crate) run: u64,
    pub(crate) state: ProcessState,
    pub(crate) stopping: bool,
    pub(crate) model: Model,
    slots: u32,
    started: u64,
    deviation_ppm: i64,
    pub(crate) cut_until: u64,
    pub(crate) held: Vec<PendingInput>,
}

impl SimServer {
    /// Returns this run's clock at a world time.
    pub(crate) fn clock(&self, at: u64) -> Time {
        let elapsed = at.saturating_sub(self.started) as i64;
        Time((elapsed + elapsed / 1_000 * self.deviation_ppm / 1_000) as u64)
    }

    /// Returns the first world time at which this run's clock has reached `time`.
    fn world_time(&self, time: Time) -> u64 {
        let rate = 1.0 + self.deviation_ppm as f64 / 1_000_000.0;
        self.started + (time.0 as f64 / rate).ceil() as u64 + 1_000
    }

    pub(crate) fn id(&self, index: usize) -> ServerRun {
        ServerRun {
            server: index,
            run: self.run,
        }
    }
}

impl World {
    pub(crate) fn start_servers(&mut self) {
        let services = self.scenario.declaration.services.clone();
        let zones = self.scenario.zones;
        for (service, server) in services
            .iter()
            .flat_map(|service| service.servers.iter().map(move |server| (service, server)))
        {
            let index = self.servers.len();
            let deviation_ppm = self
                .rng
                .random_range(-MAX_DEVIATION_PPM..=MAX_DEVIATION_PPM);
            let keyed = service.division == Division::Keyed;
            let mut sim = SimServer {
                name: server.name.clone(),
                zone: index % zones,
                address: server.address,
                run: 0,
                state: ProcessState::Running,
                stopping: false,
                model: Model::Pool(Backend::new(backend_config(server.slots, 0), Time::ZERO)),
                slots: server.slots,
                started: 0,
                deviation_ppm,
                cut_until: 0,
                held: Vec::new(),
            };
            if keyed {
                sim.model = Model::Keyed(Box::new(KeyedServer::new(Incarnation(1), server.slots)));
            }
            self.servers.push(sim);
            self.start_model(index);
        }
    }

    fn start_model(&mut self, index: usize) {
        let guards = self.scenario.guards;
        let service_micros = self.scenario.service_micros;
        let server = &mut self.servers[index];
        server.run += 1;
        server.started = self.now;
        server.state = ProcessState::Running;
        server.stopping = false;
        server.held.clear();
        match &mut server.model {
            Model::Keyed(model) => {
                **model = KeyedServer::new(Incarnation(server.run), server.slots);
                model.table_mut().checks_expiry = guards.server_checks_expiry;
                model.table_mut().checks_fence = guards.server_checks_fence;
            }
            Model::Pool(model) => {
                let config = backend_config(server.slots, service_micros);
                *model = Backend::new(config, Time::ZERO);
            }
        }
    }

    pub(crate) fn send_grant(&mut self, node: usize, grant: PendingGrant) {
        let run = self.nodes[node].run;
        self.meter.grant(node, &grant.request);
        let found = self.servers.iter().position(|s| s.address == grant.address);
        let Some(server) = found else { return };
        let name = grant.server.clone();
        let sent = self.now;
        let event = SimEvent::ToNode {
            node,
            run,
            input: Input::Grant {
                server: name,
                reply: None,
            },
        };
        let (from, to) = (self.nodes[node].zone, self.servers[server].zone);
        let delay = self.network.delay(&mut self.rng, self.now, from, to);
        let reachable = self.now >= self.servers[server].cut_until;
        match delay.filter(|_| reachable) {
            // The sender learns of a refused connection after one round trip.
            Some(delay) if self.servers[server].state == ProcessState::Dead => {
                self.after(2 * delay, event);
            }
            Some(delay) => {
                // A share of the grants is delayed by up to 3 s.
                let held_up = if self.rng.random_bool(self.scenario.held_up_share) {
                    self.rng.random_range(0..3_000_000)
                } else {
                    0
                };
                let request = grant.request;
                self.after(
                    delay + held_up,
                    SimEvent::GrantArrives {
                        node,
                        run,
                        server,
                        request,
                        sent,
                    },
                );
            }
            None => self.after(GRANT_TIMEOUT_MICROS, event),
        }
    }

    pub(crate) fn on_grant_arrives(
        &mut self,
        node: usize,
        run: u64,
        index: usize,
        request: GrantRequest,
        sent: u64,
    ) {
        match self.servers[index].state {
            ProcessState::Dead => return self.grant_failed(node, run, index, sent),
            ProcessState::Suspended | ProcessState::Suspending(_) => {
                let held = PendingInput::Grant(node, run, request, sent);
                self.servers[index].held.push(held);
                return self.grant_failed(node, run, index, sent);
            }
            ProcessState::Running => {}
        }
        let server = &mut self.servers[index];
        let now = server.clock(self.now);
        let Model::Keyed(model) = &mut server.model else {
            return;
        };
        let reply = model.on_grant(now, &request);
        let table = model.table();
        let valid_until = table.valid_until();
        let unlimited = !table.checks_expiry;
        let slices = if unlimited || now < valid_until {
            table.granted_slices()
        } else {
            Vec::new()
        };
        if reply.accepted {
            let until = if unlimited {
                u64::MAX
            } else {
                self.servers[index].world_time(valid_until)
            };
            let server = self.servers[index].id(index);
            self.record(Record::Holds {
                server,
                generation: request.version.generation.0,
                until,
                slices,
            });
        }
        self.send_grant_reply(node, run, index, reply, sent);
    }

    fn send_grant_reply(
        &mut self,
        node: usize,
        run: u64,
        index: usize,
        reply: GrantReply,
        sent: u64,
    ) {
        let (from, to) = (self.servers[index].zone, self.nodes[node].zone);
        let delay = self.network.delay(&mut self.rng, self.now, from, to);
        let reachable = self.now >= self.servers[index].cut_until;
        let in_time = |delay: &u64| self.now + delay < sent + GRANT_TIMEOUT_MICROS;
        match delay.filter(in_time).filter(|_| reachable) {
            Some(delay) => {
                self.meter.grant_reply(node, &reply);
                let server = self.servers[index].name.clone();
                let reply = Some(reply);
                let input = Input::Grant { server, reply };
                self.after(delay, SimEvent::ToNode { node, run, input });
            }
            None => self.grant_failed(node, run, index, sent),
        }
    }

    fn grant_failed(&mut self, node: usize, run: u64, index: usize, sent: u64) {
        let server = self.servers[index].name.clone();
        let reply = None;
        let input = Input::Grant { server, reply };
        let at = (sent + GRANT_TIMEOUT_MICROS).max(self.now);
        self.at(at, SimEvent::ToNode { node, run, input });
    }

    /// Ends a server's process.
    pub(crate) fn end_server(&mut self, index: usize) {
        if self.servers[index].state == ProcessState::Dead {
            return;
        }
        let server = self.servers[index].id(index);
        self.record(Record::ServerEnded { server });
        self.disconnect_server(index);
    }

    /// Disconnects a run and starts another in its place. The record does not mark
    /// the old run as ended, so it holds its grants until they expire.
    pub(crate) fn replace_server(&mut self, index: usize, millis: u64) {
        if self.servers[index].state == ProcessState::Running {
            self.disconnect_server(index);
            self.after(millis * 1_000, SimEvent::RestartServer { server: index });
        }
    }

    fn disconnect_server(&mut self, index: usize) {
        self.servers[index].state = ProcessState::Dead;
        self.servers[index].held.clear();
        let cut: Vec<u64> = self
            .exchanges
            .iter()
            .filter(|(_, exchange)| exchange.server == index && !exchange.over)
            .map(|(id, _)| *id)
            .collect();
        for id in cut {
            let outcome = UpstreamOutcome::Lost {
                cause: "connection reset".to_owned(),
            };
            self.after(
                RESET_MICROS,
                SimEvent::CallEnds {
                    exchange: id,
                    outcome,
                },
            );
        }
    }

    pub(crate) fn restart_server(&mut self, index: usize) {
        if self.servers[index].state == ProcessState::Dead {
            self.start_model(index);
        }
    }

    pub(crate) fn freeze_server(&mut self, index: usize, millis: u64) {
        let server = &mut self.servers[index];
        if server.state != ProcessState::Running {
            return;
        }
        server.state = ProcessState::Suspended;
        let run = server.run;
        self.after(
            millis * 1_000,
            SimEvent::ResumeServer { server: index, run },
        );
    }

    pub(crate) fn resume_server(&mut self, index: usize, run: u64) {
        let server = &mut self.servers[index];
        if server.run != run || server.state != ProcessState::Suspended {
            return;
        }
        server.state = ProcessState::Running;
        let held = std::mem::take(&mut server.held);
        // Work in progress continues before inputs received meanwhile are read.
        let (commits, rest): (Vec<PendingInput>, Vec<PendingInput>) = held
            .into_iter()
            .partition(|held| matches!(held, PendingInput::Commit(_)));
        for held in commits.into_iter().chain(rest) {
            match held {
                PendingInput::Commit(id) => self.commit(id, index),
                PendingInput::Call(id) => self.on_call_arrives(id),
                PendingInput::Grant(node, run, request, sent) => {
                    self.on_grant_arrives(node, run, index, request, sent);
                }
            }
        }
    }

    /// Starts a planned stop: the server admits no new requests, finishes those in
    /// flight and then ends.
    pub(crate) fn stop_server(&mut self, index: usize) {
        if self.servers[index].state != ProcessState::Running {
            return;
        }
        if !self.servers[index].stopping {
            self.servers[index].stopping = true;
            let server = self.servers[index].id(index);
            self.record(Record::ServerStops { server });
        }
        let busy = match &self.servers[index].model {
            Model::Keyed(model) => model.table().in_flight_count() > 0,
            Model::Pool(model) => model.load() > 0,
        };
        if busy {
            return self.after(50_000, SimEvent::StopServer { server: index });
        }
        self.end_server(index);
    }

    /// Returns the server that currently holds a key according to the world.
    pub(crate) fn owner_of(&self, key: &str) -> Option<usize> {
        let hash = beamtray_types::KeyHash::of(key);
        self.servers.iter().position(|server| match &server.model {
            Model::Keyed(model) if server.state != ProcessState::Dead => {
                model.table().is_owner(server.clock(self.now), hash)
            }
            _ => false,
        })
    }
}

fn backend_config(slots: u32, service_micros: u64) -> BackendConfig {
    BackendConfig {
        slots,
        service_time: Duration::from_micros(service_micros),
        cold_for: Duration::ZERO,
        cold_factor: 1,
    }
}

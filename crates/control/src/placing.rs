//! From loads and grants to commands that move slices.

use crate::core::NodeCore;
use crate::event::{Event, Level};
use beamtray_ownership::{Command, Granter, Ownership, SliceTable};
use beamtray_placement::{Change, PlacementInput, Policy, SliceLoad, plan};
use beamtray_routing::SliceCount;
use beamtray_settings::{Division, ServiceDeclaration};
use beamtray_types::{ServerName, ServiceName, SliceRange, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// Over which loads are averaged.
const LOAD_WINDOW: Duration = Duration::from_millis(1_000);
/// Weight of the newest window.
const LOAD_WEIGHT: f64 = 0.4;
/// Rates below this are forgotten.
const MIN_RATE: f64 = 0.01;
/// Servers that are asked for the first time have this long to answer before
/// anything is placed on the strength of their silence.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(400);

#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    counted: u64,
    per_second: f64,
    hot_hash: Option<u64>,
}

/// Requests per second of each slice, as the nodes' reports tell.
#[derive(Clone, Debug, Default)]
pub(crate) struct Loads {
    rates: BTreeMap<ServiceName, BTreeMap<u64, Rate>>,
    window_start: Time,
}

impl Loads {
    pub(crate) fn record(&mut self, counts: Vec<SliceCount>) {
        for count in counts {
            let slices = self.rates.entry(count.service).or_default();
            let rate = slices.entry(count.first).or_default();
            rate.counted += count.count;
            rate.hot_hash = count.hot_hash.or(rate.hot_hash);
        }
    }

    /// Closes the window when it is over.
    pub(crate) fn advance(&mut self, now: Time) {
        let elapsed = now.since(self.window_start);
        if elapsed < LOAD_WINDOW {
            return;
        }
        self.window_start = now;
        for slices in self.rates.values_mut() {
            for rate in slices.values_mut() {
                let measured = rate.counted as f64 / elapsed.as_secs_f64();
                rate.per_second += LOAD_WEIGHT * (measured - rate.per_second);
                rate.counted = 0;
            }
            slices.retain(|_, rate| rate.per_second > MIN_RATE);
        }
    }

    /// A slice is about to be split: both parts are taken for equal until
    /// reports tell them apart.
    fn split(&mut self, service: &ServiceName, first: u64, at: u64) {
        let Some(slices) = self.rates.get_mut(service) else {
            return;
        };
        if let Some(rate) = slices.get_mut(&first) {
            rate.per_second /= 2.0;
            rate.counted = 0;
            let half = *rate;
            slices.insert(at, half);
        }
    }

    fn get(&self, service: &ServiceName, first: u64) -> Rate {
        let slices = self.rates.get(service);
        slices
            .and_then(|slices| slices.get(&first))
            .copied()
            .unwrap_or_default()
    }
}

/// The slices of a service as placement sees them.
pub(crate) fn slice_loads(
    name: &ServiceName,
    table: &SliceTable,
    loads: Option<&Loads>,
    free: impl Fn(&ServerName, SliceRange) -> bool,
    available: &[ServerName],
) -> Vec<SliceLoad> {
    table
        .iter()
        .map(|(range, slice)| {
            let rate = loads.map(|loads| loads.get(name, range.first));
            let rate = rate.unwrap_or_default();
            let (owner, moving) = match &slice.ownership {
                Ownership::Unassigned => (None, false),
                Ownership::Owned { server, .. } => (Some(server.clone()), false),
                Ownership::Revoking { from, to, .. } => {
                    let target = to.as_ref().filter(|to| available.contains(to));
                    let ready = free(from, range);
                    let owner = target.cloned().or((!ready).then(|| from.clone()));
                    (owner, !ready || target.is_some())
                }
            };
            SliceLoad {
                range,
                owner,
                moving,
                rate: rate.per_second,
                hot_hash: rate.hot_hash,
            }
        })
        .collect()
}

impl NodeCore {
    /// Commands for the slices of every service.
    pub(crate) fn slice_changes(&mut self, allow_balance: bool) -> Vec<Command> {
        let services: Vec<ServiceName> = self.state.services.keys().cloned().collect();
        let mut commands = Vec::new();
        for name in services {
            let declared = self.state.declaration.service(&name);
            let keyed = declared.filter(|service| service.division == Division::Keyed);
            match keyed.cloned() {
                Some(service) => commands.extend(self.keyed_changes(&service, allow_balance)),
                None => commands.extend(self.undeclared_changes(&name)),
            }
        }
        commands
    }

    /// Takes back every slice of a service that is no longer declared.
    fn undeclared_changes(&self, name: &ServiceName) -> Vec<Command> {
        let (Some(leadership), Some(table)) = (&self.leadership, self.state.services.get(name))
        else {
            return Vec::new();
        };
        let mut commands = Vec::new();
        for (range, slice) in table.iter() {
            let service = name.clone();
            let first = range.first;
            match &slice.ownership {
                Ownership::Unassigned => {}
                Ownership::Owned { fence, .. } => commands.push(Command::Revoke {
                    service,
                    first,
                    expected: *fence,
                    to: None,
                }),
                Ownership::Revoking { from, fence, .. } => {
                    if leadership.granter.is_free(self.now, from, range) {
                        commands.push(Command::Release {
                            service,
                            first,
                            expected: *fence,
                        });
                    }
                }
            }
        }
        let free = table
            .iter()
            .all(|(_, slice)| slice.ownership == Ownership::Unassigned);
        if free {
            let service = name.clone();
            commands.push(Command::DropService { service });
        }
        commands
    }

    fn keyed_changes(&mut self, service: &ServiceDeclaration, allow_balance: bool) -> Vec<Command> {
        let mut commands = self.revoke_from_lost_servers(service);
        let Some(leadership) = &self.leadership else {
            return commands;
        };
        let now = self.now;
        let granter = &leadership.granter;
        let (available, unresponsive) = self.usable_servers(service, granter);
        // Were the first server to answer alone in being available, it would
        // be given everything.
        let awaited = unresponsive
            .iter()
            .any(|name| granter.is_first_reply_pending(now, name, FIRST_REPLY_TIMEOUT));
        if available.is_empty() || awaited {
            return commands;
        }
        let Some(table) = self.state.services.get(&service.name) else {
            return commands;
        };
        let free = |server: &ServerName, range| granter.is_free(now, server, range);
        let loads = Some(&leadership.loads);
        let slices = slice_loads(&service.name, table, loads, free, &available);
        commands.extend(self.assign_released_slices(service, table, &available, granter));
        let no_pending_moves = commands.is_empty();
        let input = PlacementInput {
            slices,
            available,
            unresponsive,
            move_cost: service.move_cost,
            slices_per_server: service.slices_per_server,
            policy: self.config.policy,
            allow_balance: allow_balance && no_pending_moves,
        };
        let changes = plan(&input);
        for change in changes {
            commands.extend(self.command_for(service, change));
        }
        commands
    }

    /// Servers that may be given slices, and those that only keep theirs.
    fn usable_servers(
        &self,
        service: &ServiceDeclaration,
        granter: &Granter,
    ) -> (Vec<ServerName>, Vec<ServerName>) {
        let drains = self.config.guards.drains;
        let staying = service
            .servers
            .iter()
            .map(|server| &server.name)
            .filter(|name| !drains || !self.state.is_leaving(name));
        let (available, silent): (Vec<ServerName>, Vec<ServerName>) = staying
            .cloned()
            .partition(|name| granter.is_answering(self.now, name));
        (available, silent)
    }

    /// Takes back the slices of servers that are silent and whose grants lapsed,
    /// or that are leaving.
    fn revoke_from_lost_servers(&mut self, service: &ServiceDeclaration) -> Vec<Command> {
        let now = self.now;
        let patience = Duration::from_millis(service.reassign_after_millis);
        let (Some(leadership), Some(table)) =
            (&self.leadership, self.state.services.get(&service.name))
        else {
            return Vec::new();
        };
        let settled = now.since(leadership.started) >= FIRST_REPLY_TIMEOUT;
        let lost = |server: &ServerName| {
            // Nobody is served by a server that leaves and has no grant.
            let leaves = self.config.guards.drains && self.state.is_leaving(server);
            if settled && leaves && !leadership.granter.is_granted(now, server) {
                return true;
            }
            let unknown = service.servers.iter().all(|known| known.name != *server);
            let expired_since = leadership.granter.expired_since(now, server);
            unknown || expired_since.is_some_and(|since| now.since(since) >= patience)
        };
        let mut commands = Vec::new();
        for (range, slice) in table.iter() {
            if let Ownership::Owned { server, fence } = &slice.ownership
                && lost(server)
            {
                commands.push(Command::Revoke {
                    service: service.name.clone(),
                    first: range.first,
                    expected: *fence,
                    to: None,
                });
            }
        }
        if !commands.is_empty() {
            let event = Event::new(Level::Warning, "owner_lost")
                .with("service", &service.name)
                .with("slices", commands.len());
            self.log(event);
        }
        commands
    }

    /// Gives revoked slices that are free to the servers they were meant for.
    fn assign_released_slices(
        &self,
        service: &ServiceDeclaration,
        table: &SliceTable,
        available: &[ServerName],
        granter: &Granter,
    ) -> Vec<Command> {
        let mut commands = Vec::new();
        for (range, slice) in table.iter() {
            let Ownership::Revoking {
                from,
                fence,
                to: Some(to),
            } = &slice.ownership
            else {
                continue;
            };
            if available.contains(to) && granter.is_free(self.now, from, range) {
                commands.push(Command::Assign {
                    service: service.name.clone(),
                    first: range.first,
                    expected: Some(*fence),
                    to: to.clone(),
                });
            }
        }
        commands
    }

    fn command_for(&mut self, service: &ServiceDeclaration, change: Change) -> Option<Command> {
        let table = self.state.services.get(&service.name)?;
        let service = service.name.clone();
        match change {
            Change::Place { first, to } => Some(Command::Assign {
                expected: table.get(first)?.ownership.fence(),
                service,
                first,
                to,
            }),
            Change::Move { first, to } => Some(Command::Revoke {
                expected: table.get(first)?.ownership.fence()?,
                service,
                first,
                to: Some(to),
            }),
            Change::Split { first, at } => {
                let leadership = self.leadership.as_mut()?;
                leadership.loads.split(&service, first, at);
                Some(Command::Split { service, first, at })
            }
            Change::Merge { first } => Some(Command::Merge { service, first }),
        }
    }
}

/// The policy that plans for operators are made with.
pub(crate) const PLANNING_POLICY: Policy = Policy::Balanced;

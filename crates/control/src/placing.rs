//! Derives commands that assign and move slices from loads and grants.

use crate::core::NodeCore;
use crate::event::{Event, Level};
use beamtray_ownership::{Command, Granter, Ownership, SliceTable};
use beamtray_placement::{Change, PlacementInput, Policy, SliceLoad, plan};
use beamtray_routing::SliceCount;
use beamtray_settings::{Division, ServiceDeclaration};
use beamtray_types::{ServerName, ServiceName, SliceRange, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// Length of a load measurement window.
const LOAD_WINDOW: Duration = Duration::from_millis(1_000);
/// Weight of the newest window in the exponential moving average.
const LOAD_WEIGHT: f64 = 0.4;
/// Rates not above this are dropped.
const MIN_RATE: f64 = 0.01;
/// How long servers contacted for the first time may take to reply before
/// placement treats them as unresponsive.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(400);

#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    counted: u64,
    per_second: f64,
    hot_hash: Option<u64>,
}

/// Requests per second of each slice, measured from the nodes' reports.
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

    /// Closes the current measurement window once it has elapsed.
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

    /// Divides the load of a slice that is about to be split equally between both
    /// parts until reports distinguish them.
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

/// Converts a service's slices into the input of placement.
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

    /// Commands that revoke and release every slice of a service that is no
    /// longer declared.
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
        // Otherwise the first server to reply would be the only available one
        // and would be assigned every slice.
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

    /// Returns the servers that may be assigned slices, and the unresponsive ones
    /// that only keep theirs.
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
        let (available, unresponsive): (Vec<ServerName>, Vec<ServerName>) = staying
            .cloned()
            .partition(|name| granter.is_answering(self.now, name));
        (available, unresponsive)
    }

    /// Commands that revoke the slices of servers that are no longer declared,
    /// are unresponsive with expired grants, or are leaving without a grant.
    fn revoke_from_lost_servers(&mut self, service: &ServiceDeclaration) -> Vec<Command> {
        let now = self.now;
        let reassign_after = Duration::from_millis(service.reassign_after_millis);
        let (Some(leadership), Some(table)) =
            (&self.leadership, self.state.services.get(&service.name))
        else {
            return Vec::new();
        };
        let first_replies_due = now.since(leadership.started) >= FIRST_REPLY_TIMEOUT;
        let must_revoke = |server: &ServerName| {
            // A leaving server without a grant serves no requests.
            let leaves = self.config.guards.drains && self.state.is_leaving(server);
            if first_replies_due && leaves && !leadership.granter.is_granted(now, server) {
                return true;
            }
            let unknown = service.servers.iter().all(|known| known.name != *server);
            let expired_since = leadership.granter.expired_since(now, server);
            unknown || expired_since.is_some_and(|since| now.since(since) >= reassign_after)
        };
        let mut commands = Vec::new();
        for (range, slice) in table.iter() {
            if let Ownership::Owned { server, fence } = &slice.ownership
                && must_revoke(server)
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

    /// Commands that assign released slices to their intended servers.
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

/// The placement policy of plans for operators.
pub(crate) const PLANNING_POLICY: Policy = Policy::Balanced;

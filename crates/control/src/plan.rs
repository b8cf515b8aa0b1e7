//! Plans: the effects of a declaration, computed before it is confirmed.

use crate::placing::{Loads, PLANNING_POLICY, slice_loads};
use beamtray_ownership::{Command, CommandBatch, ControlState, Ownership, SliceTable};
use beamtray_placement::{Change, PlacementInput, imbalance, plan};
use beamtray_settings::{Declaration, DeclarationChange, Division, ServiceDeclaration};
use beamtray_types::{Fence, OperationId, ServerName};
use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of placement rounds that a plan simulates.
const MAX_ROUNDS: usize = 2_000;

/// The effects of confirming a declaration.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize, Serialize, Deserialize)]
pub struct PlanReport {
    /// Revision that the plan is based on; confirmation requires that it is
    /// still active.
    pub base: u64,
    /// The planned declaration.
    pub declaration: Declaration,
    /// Descriptions of the changes.
    pub changes: Vec<String>,
    /// The effects on each keyed service.
    pub services: Vec<ServicePlan>,
}

/// The effects of a plan on one keyed service.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize, Serialize, Deserialize)]
pub struct ServicePlan {
    /// The service.
    pub service: String,
    /// Number of slices that would change owner.
    pub slices_moved: u32,
    /// Total number of slices.
    pub slices: u32,
    /// Fraction of the keys that would change owner, from 0 to 1.
    pub keys_moved: f64,
    /// Current ratio of the busiest server's load to the mean.
    pub load_imbalance_before: f64,
    /// The same ratio after the moves.
    pub load_imbalance_after: f64,
    /// Current ratio of the largest share of keys of a server to the mean.
    pub key_imbalance_before: f64,
    /// The same ratio after the moves.
    pub key_imbalance_after: f64,
}

/// Plans the change from `state` to `declaration`.
pub(crate) fn plan_report(
    state: &ControlState,
    loads: Option<&Loads>,
    declaration: &Declaration,
) -> PlanReport {
    let mut next = state.clone();
    let configure = Command::Configure {
        operation: OperationId(0),
        revision: beamtray_types::Revision(state.revision.0 + 1),
        base: state.revision,
        changes: vec![DeclarationChange::Replace(declaration.clone())],
    };
    let commands = vec![configure];
    next.apply(Fence::default(), &CommandBatch { commands });
    let services = declaration
        .services
        .iter()
        .filter(|service| service.division == Division::Keyed)
        .filter_map(|service| service_plan(state, &next, loads, service))
        .collect();
    PlanReport {
        base: state.revision.0,
        declaration: declaration.clone(),
        changes: describe_changes(&state.declaration, declaration),
        services,
    }
}

fn service_plan(
    state: &ControlState,
    next: &ControlState,
    loads: Option<&Loads>,
    service: &ServiceDeclaration,
) -> Option<ServicePlan> {
    let empty = SliceTable::default();
    let old_table = state.services.get(&service.name).unwrap_or(&empty);
    let new_table = next.services.get(&service.name)?;
    let old_servers: Vec<ServerName> = state
        .declaration
        .service(&service.name)
        .map(|old| old.servers.iter().map(|s| s.name.clone()).collect())
        .unwrap_or_default();
    let available: Vec<ServerName> = service
        .servers
        .iter()
        .map(|server| server.name.clone())
        .filter(|name| !next.is_leaving(name))
        .collect();
    let free = |_: &ServerName, _| true;
    let before = slice_loads(&service.name, old_table, loads, free, &old_servers);
    let before_imbalance = imbalance(&before, &old_servers);
    let owners: BTreeMap<u64, Option<ServerName>> = new_table
        .iter()
        .map(|(range, slice)| (range.first, owner_of(&slice.ownership)))
        .collect();
    let mut input = PlacementInput {
        slices: slice_loads(&service.name, new_table, loads, free, &available),
        available: available.clone(),
        unresponsive: Vec::new(),
        move_cost: service.move_cost,
        slices_per_server: service.slices_per_server,
        policy: PLANNING_POLICY,
        allow_balance: true,
    };
    apply_moves_until_stable(&mut input);
    let moved = input.slices.iter().filter(|slice| {
        let old = owners.get(&slice.range.first);
        old.is_some_and(|old| old.is_some() && *old != slice.owner)
    });
    let (count, keys) = moved.fold((0, 0.0), |(count, keys), slice| {
        (count + 1, keys + slice.range.fraction())
    });
    let after_imbalance = imbalance(&input.slices, &available);
    Some(ServicePlan {
        service: service.name.to_string(),
        slices_moved: count,
        slices: input.slices.len() as u32,
        keys_moved: keys,
        load_imbalance_before: before_imbalance.load,
        load_imbalance_after: after_imbalance.load,
        key_imbalance_before: before_imbalance.keys,
        key_imbalance_after: after_imbalance.keys,
    })
}

fn owner_of(ownership: &Ownership) -> Option<ServerName> {
    ownership.holder().cloned()
}

/// Applies planned moves until none is left. Splits are ignored because they
/// depend on future load.
fn apply_moves_until_stable(input: &mut PlacementInput) {
    for _ in 0..MAX_ROUNDS {
        let mut moved = false;
        for change in plan(input) {
            if let Change::Place { first, to } | Change::Move { first, to } = change {
                let slice = input.slices.iter_mut().find(|s| s.range.first == first);
                if let Some(slice) = slice {
                    slice.owner = Some(to);
                    moved = true;
                }
            }
        }
        if !moved {
            return;
        }
    }
}

/// Describes the differences between two declarations, one per line.
pub(crate) fn describe_changes(old: &Declaration, new: &Declaration) -> Vec<String> {
    let mut lines = Vec::new();
    let names: BTreeSet<_> = old
        .services
        .iter()
        .chain(&new.services)
        .map(|service| &service.name)
        .collect();
    for name in names {
        match (old.service(name), new.service(name)) {
            (None, Some(_)) => lines.push(format!("service {name}: added")),
            (Some(_), None) => lines.push(format!("service {name}: removed")),
            (Some(old), Some(new)) => describe_service(old, new, &mut lines),
            (None, None) => {}
        }
    }
    lines
}

fn describe_service(old: &ServiceDeclaration, new: &ServiceDeclaration, lines: &mut Vec<String>) {
    let name = &new.name;
    for server in &new.servers {
        let label = &server.name;
        match old.servers.iter().find(|other| other.name == *label) {
            None => lines.push(format!("service {name}: server {label}: added")),
            Some(other) if other.drain != server.drain => {
                let word = if server.drain { "drained" } else { "filled" };
                lines.push(format!("service {name}: server {label}: {word}"));
            }
            Some(other) if other != server => {
                lines.push(format!("service {name}: server {label}: changed"));
            }
            Some(_) => {}
        }
    }
    for server in &old.servers {
        if new.servers.iter().all(|other| other.name != server.name) {
            lines.push(format!("service {name}: server {}: removed", server.name));
        }
    }
    let without_servers = |service: &ServiceDeclaration| ServiceDeclaration {
        servers: Vec::new(),
        ..service.clone()
    };
    if without_servers(old) != without_servers(new) {
        lines.push(format!("service {name}: settings changed"));
    }
}

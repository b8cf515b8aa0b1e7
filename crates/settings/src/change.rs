//! Differences between declarations, so that the size of a change to one server
//! does not depend on the size of the whole declaration.

use crate::declaration::{Declaration, ServerDeclaration, ServiceDeclaration};
use beamtray_types::{ServerName, ServiceName};
use borsh::{BorshDeserialize, BorshSerialize};

/// One change in the difference between two declarations.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum DeclarationChange {
    /// Replaces the whole declaration.
    Replace(Declaration),
    /// Removes a service.
    RemoveService(ServiceName),
    /// Adds a service, or replaces everything except its servers. The servers
    /// in the given value are ignored.
    PutService(ServiceDeclaration),
    /// Removes a server.
    RemoveServer(ServiceName, ServerName),
    /// Adds or replaces a server.
    PutServer(ServiceName, ServerDeclaration),
}

impl Declaration {
    /// Returns the changes that turn this declaration into `next`.
    pub fn diff(&self, next: &Declaration) -> Vec<DeclarationChange> {
        let mut changes = Vec::new();
        for service in &self.services {
            if next.service(&service.name).is_none() {
                changes.push(DeclarationChange::RemoveService(service.name.clone()));
            }
        }
        for service in &next.services {
            let old = self.service(&service.name);
            diff_service(old, service, &mut changes);
        }
        // Changes do not preserve the order of entries; if the order differs, the
        // whole declaration is replaced.
        if self.with_changes(&changes) == *next {
            return changes;
        }
        vec![DeclarationChange::Replace(next.clone())]
    }

    /// Returns this declaration with `changes` applied.
    pub fn with_changes(&self, changes: &[DeclarationChange]) -> Declaration {
        let mut next = self.clone();
        for change in changes {
            next.apply(change);
        }
        next
    }

    fn apply(&mut self, change: &DeclarationChange) {
        match change {
            DeclarationChange::Replace(next) => *self = next.clone(),
            DeclarationChange::RemoveService(name) => {
                self.services.retain(|service| service.name != *name);
            }
            DeclarationChange::PutService(new) => {
                let existing = self.services.iter_mut().find(|s| s.name == new.name);
                match existing {
                    Some(existing) => {
                        let servers = std::mem::take(&mut existing.servers);
                        *existing = new.clone();
                        existing.servers = servers;
                    }
                    None => self.services.push(without_servers(new)),
                }
            }
            DeclarationChange::RemoveServer(service, name) => {
                if let Some(service) = self.services.iter_mut().find(|s| s.name == *service) {
                    service.servers.retain(|server| server.name != *name);
                }
            }
            DeclarationChange::PutServer(service, new) => {
                let Some(service) = self.services.iter_mut().find(|s| s.name == *service) else {
                    return;
                };
                match service.servers.iter_mut().find(|s| s.name == new.name) {
                    Some(existing) => *existing = new.clone(),
                    None => service.servers.push(new.clone()),
                }
            }
        }
    }
}

fn without_servers(service: &ServiceDeclaration) -> ServiceDeclaration {
    ServiceDeclaration {
        servers: Vec::new(),
        ..service.clone()
    }
}

fn diff_service(
    old: Option<&ServiceDeclaration>,
    new: &ServiceDeclaration,
    changes: &mut Vec<DeclarationChange>,
) {
    let service = without_servers(new);
    if old.map(without_servers) != Some(service.clone()) {
        changes.push(DeclarationChange::PutService(service));
    }
    let old_servers = old.map_or(&[][..], |old| &old.servers);
    for server in old_servers {
        if new.servers.iter().all(|other| other.name != server.name) {
            let name = server.name.clone();
            changes.push(DeclarationChange::RemoveServer(new.name.clone(), name));
        }
    }
    for server in &new.servers {
        if !old_servers.contains(server) {
            changes.push(DeclarationChange::PutServer(
                new.name.clone(),
                server.clone(),
            ));
        }
    }
}

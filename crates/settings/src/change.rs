//! The difference between two declarations, so that a change of one server
//! costs the size of that server and not of the whole.

use crate::declaration::{Declaration, ServerDeclaration, ServiceDeclaration};
use beamtray_types::{ServerName, ServiceName};
use borsh::{BorshDeserialize, BorshSerialize};

/// One step from a declaration to the next.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum DeclarationChange {
    /// The whole next declaration.
    Replace(Declaration),
    /// Removes a service.
    RemoveService(ServiceName),
    /// Adds a service, or replaces all of it but its servers; those given here
    /// are ignored.
    PutService(ServiceDeclaration),
    /// Removes a server.
    RemoveServer(ServiceName, ServerName),
    /// Adds or replaces a server.
    PutServer(ServiceName, ServerDeclaration),
}

impl Declaration {
    /// The steps from this declaration to `next`.
    pub fn diff(&self, next: &Declaration) -> Vec<DeclarationChange> {
        let mut changes = Vec::new();
        for service in &self.services {
            if next.service(&service.name).is_none() {
                changes.push(DeclarationChange::RemoveService(service.name.clone()));
            }
        }
        for service in &next.services {
            let old = self.service(&service.name);
            service_changes(old, service, &mut changes);
        }
        // Steps do not carry the order of entries; where it matters, the whole
        // declaration goes.
        if self.with_changes(&changes) == *next {
            return changes;
        }
        vec![DeclarationChange::Replace(next.clone())]
    }

    /// This declaration after some steps.
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
                let known = self.services.iter_mut().find(|s| s.name == new.name);
                match known {
                    Some(known) => {
                        let servers = std::mem::take(&mut known.servers);
                        *known = new.clone();
                        known.servers = servers;
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
                    Some(known) => *known = new.clone(),
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

fn service_changes(
    old: Option<&ServiceDeclaration>,
    new: &ServiceDeclaration,
    changes: &mut Vec<DeclarationChange>,
) {
    let bare = without_servers(new);
    if old.map(without_servers) != Some(bare.clone()) {
        changes.push(DeclarationChange::PutService(bare));
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

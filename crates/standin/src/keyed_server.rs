//! A model of a keyed server: it accepts fenced grants, runs requests in slots, and
//! checks its grant again at the moment a request takes effect.

use beamtray_ownership::{GrantReply, GrantRequest, GrantTable, Refusal, Ticket};
use beamtray_types::{Fence, Incarnation, KeyHash, Time};
use std::collections::BTreeMap;

/// Why the server did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerRefusal {
    /// The server does not own the key under the request's fence.
    NotOwner,
    /// All slots are taken.
    Shed,
}

impl From<Refusal> for ServerRefusal {
    fn from(_: Refusal) -> Self {
        ServerRefusal::NotOwner
    }
}

/// One write that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Effect {
    /// Time on the server's clock.
    pub at: Time,
    /// Key that was written.
    pub key: String,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// Fence that the request carried.
    pub fence: Fence,
}

/// One process lifetime of a keyed server.
#[derive(Clone, Debug)]
pub struct KeyedServer {
    table: GrantTable,
    counts: BTreeMap<String, u64>,
    /// Effects in the order of their occurrence.
    pub effects: Vec<Effect>,
    slots: u32,
    running: u32,
    /// Whether it rejects all requests as overload.
    pub sheds: bool,
}

/// A request that was admitted and has not taken effect yet.
#[derive(Clone, Debug)]
pub struct Admitted {
    ticket: Ticket,
    key: String,
    fence: Fence,
}

impl KeyedServer {
    /// Creates a server without grants.
    pub fn new(incarnation: Incarnation, slots: u32) -> Self {
        Self {
            table: GrantTable::new(incarnation),
            counts: BTreeMap::new(),
            effects: Vec::new(),
            slots,
            running: 0,
            sheds: false,
        }
    }

    /// Returns the table of grants.
    pub fn table(&self) -> &GrantTable {
        &self.table
    }

    /// Returns the table of grants for changing which checks it makes.
    pub fn table_mut(&mut self) -> &mut GrantTable {
        &mut self.table
    }

    /// Handles a grant.
    pub fn on_grant(&mut self, now: Time, request: &GrantRequest) -> GrantReply {
        self.table.handle(now, request)
    }

    /// Admits a request and occupies a slot.
    ///
    /// # Errors
    /// [`ServerRefusal`] if the request was rejected; it did not run.
    pub fn begin(&mut self, now: Time, key: &str, fence: Fence) -> Result<Admitted, ServerRefusal> {
        if self.sheds || self.running >= self.slots {
            return Err(ServerRefusal::Shed);
        }
        let ticket = self
            .table
            .admit(now, KeyHash::of(key), fence)
            .map_err(ServerRefusal::from)?;
        self.running += 1;
        Ok(Admitted {
            ticket,
            key: key.to_owned(),
            fence,
        })
    }

    /// Executes an admitted request: adds one to the key's count if `writes` is set, and only
    /// reads the count otherwise. The grant is checked at this moment.
    ///
    /// # Errors
    /// [`ServerRefusal::NotOwner`] if the grant has expired; nothing took effect.
    pub fn commit(
        &mut self,
        now: Time,
        admitted: Admitted,
        writes: bool,
        idempotency_key: Option<String>,
    ) -> Result<u64, ServerRefusal> {
        self.running = self.running.saturating_sub(1);
        let allowed = self.table.may_commit(now, admitted.ticket);
        self.table.finish(now, admitted.ticket);
        if !allowed {
            return Err(ServerRefusal::NotOwner);
        }
        let count = self.counts.entry(admitted.key.clone()).or_default();
        if writes {
            *count += 1;
            self.effects.push(Effect {
                at: now,
                key: admitted.key,
                idempotency_key,
                fence: admitted.fence,
            });
        }
        Ok(*count)
    }
}

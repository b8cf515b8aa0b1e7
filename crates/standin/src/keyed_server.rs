//! A keyed server: it accepts fenced grants, runs requests in slots, and asks
//! for its grant again at the instant of the effect.

use beamtray_ownership::{GrantReply, GrantRequest, GrantTable, Refusal, Ticket};
use beamtray_types::{Fence, Incarnation, KeyHash, Time};
use std::collections::BTreeMap;

/// Why a request did not run here.
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

/// One effect that took place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Effect {
    /// When, on the server's clock.
    pub at: Time,
    /// The key.
    pub key: String,
    /// The caller's name for the request.
    pub idempotency_key: Option<String>,
    /// Fence under which it ran.
    pub fence: Fence,
}

/// One run of a keyed server.
#[derive(Clone, Debug)]
pub struct KeyedServer {
    table: GrantTable,
    counts: BTreeMap<String, u64>,
    /// Effects in the order in which they took place.
    pub effects: Vec<Effect>,
    slots: u32,
    running: u32,
    /// Whether it refuses all requests as over its limit.
    pub sheds: bool,
}

/// A request between admission and effect.
#[derive(Clone, Debug)]
pub struct Admitted {
    ticket: Ticket,
    key: String,
    fence: Fence,
}

impl KeyedServer {
    /// A run with nothing granted.
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

    /// What is granted.
    pub fn table(&self) -> &GrantTable {
        &self.table
    }

    /// The same, to switch its checks.
    pub fn table_mut(&mut self) -> &mut GrantTable {
        &mut self.table
    }

    /// Takes a grant.
    pub fn on_grant(&mut self, now: Time, request: &GrantRequest) -> GrantReply {
        self.table.handle(now, request)
    }

    /// Admits a request to a slot.
    ///
    /// # Errors
    /// [`ServerRefusal`]; the request did not run.
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

    /// Runs an admitted request: `writes` adds to the key's count, otherwise
    /// the count is read. The grant is checked at this instant.
    ///
    /// # Errors
    /// [`ServerRefusal::NotOwner`] when the grant lapsed; nothing took effect.
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

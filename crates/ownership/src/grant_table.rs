//! The server's side of the grant protocol: the granted slices and their expiry.

use crate::grant::{GrantReply, GrantRequest, GrantSet, GrantedSlice};
use beamtray_types::{Fence, Incarnation, KeyHash, SliceRange, Time};
use std::collections::BTreeMap;

/// Handle of an admitted request; must be passed to [`GrantTable::finish`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// Why a server rejected a request for a key. The request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The key's slice is not granted, or the grant expired.
    NotOwner,
    /// The request's fencing token differs from that of the grant.
    Fence,
}

#[derive(Clone, Copy, Debug)]
struct InFlight {
    hash: KeyHash,
    fence: Fence,
}

/// A slice of a replaced set that may still have requests in flight.
#[derive(Clone, Copy, Debug)]
struct Retired {
    slice: GrantedSlice,
    valid_until: Time,
}

/// The slices that one incarnation of a server may act for.
#[derive(Clone, Debug)]
pub struct GrantTable {
    incarnation: Incarnation,
    version: Fence,
    valid_until: Time,
    slices: BTreeMap<u64, GrantedSlice>,
    retired: Vec<Retired>,
    in_flight: BTreeMap<Ticket, InFlight>,
    next_ticket: u64,
    /// Whether expiry is checked. Disabled only by tests that demonstrate the
    /// need for the check.
    pub checks_expiry: bool,
    /// Whether fencing tokens are checked. Disabled only by tests that
    /// demonstrate the need for the check.
    pub checks_fence: bool,
}

impl GrantTable {
    /// Creates a table without any granted slice.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            version: Fence::default(),
            valid_until: Time::ZERO,
            slices: BTreeMap::new(),
            retired: Vec::new(),
            in_flight: BTreeMap::new(),
            next_ticket: 0,
            checks_expiry: true,
            checks_fence: true,
        }
    }

    /// Number of slices held, including those whose grant has expired.
    pub fn slice_count(&self) -> usize {
        self.slices.len()
    }

    /// Number of requests admitted and not finished.
    pub fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    /// Handles a message from the leader.
    ///
    /// Invariant: a renewal extends the expiry only of the set it was issued
    /// for. If a renewal of a newer set extended an old set, a slice already
    /// assigned to another server would remain granted here.
    pub fn handle(&mut self, now: Time, request: &GrantRequest) -> GrantReply {
        let was_holding = self.is_valid(now, self.valid_until) && !self.slices.is_empty();
        let accepted = self.accept(now, request);
        GrantReply {
            incarnation: self.incarnation,
            reading: now,
            version: self.version,
            accepted,
            was_holding,
            releasing: self.releasing(now),
        }
    }

    fn accept(&mut self, now: Time, request: &GrantRequest) -> bool {
        let current = request.version >= self.version || !self.checks_fence;
        if !current || request.incarnation != Some(self.incarnation) {
            return false;
        }
        match &request.set {
            GrantSet::Unchanged if request.version != self.version => return false,
            GrantSet::Unchanged => {}
            GrantSet::Full(_) if request.version == self.version => {}
            GrantSet::Full(slices) => self.replace(now, slices),
        }
        self.version = request.version;
        if let Some(until) = request.valid_until {
            self.valid_until = self.valid_until.max(until);
        }
        true
    }

    fn replace(&mut self, now: Time, slices: &[GrantedSlice]) {
        let valid_until = self.valid_until;
        let old = std::mem::take(&mut self.slices);
        if self.is_valid(now, valid_until) {
            let retired = old
                .into_values()
                .map(|slice| Retired { slice, valid_until });
            self.retired.extend(retired);
        } else {
            // Requests under an expired set can no longer commit.
            self.retired.clear();
        }
        self.slices = slices
            .iter()
            .map(|slice| (slice.range.first, *slice))
            .collect();
        self.prune_retired(now);
    }

    /// Removes retired slices that have expired or have no requests in flight.
    fn prune_retired(&mut self, now: Time) {
        let in_flight = &self.in_flight;
        let checks_expiry = self.checks_expiry;
        self.retired.retain(|retired| {
            (!checks_expiry || now < retired.valid_until)
                && in_flight.values().any(|request| {
                    request.fence == retired.slice.fence
                        && retired.slice.range.contains(request.hash)
                })
        });
    }

    /// Admits a request for a key under a fencing token.
    ///
    /// # Errors
    /// [`Refusal`] if this server may not act for the key; the request did not run.
    pub fn admit(&mut self, now: Time, hash: KeyHash, fence: Fence) -> Result<Ticket, Refusal> {
        if !self.is_valid(now, self.valid_until) {
            return Err(Refusal::NotOwner);
        }
        let granted = self.find(hash).ok_or(Refusal::NotOwner)?;
        if self.checks_fence && granted.fence != fence {
            return Err(Refusal::Fence);
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let fence = granted.fence;
        self.in_flight.insert(ticket, InFlight { hash, fence });
        Ok(ticket)
    }

    /// Whether an admitted request may take effect at `now`. Must be checked
    /// atomically with the effect, because the grant may expire between
    /// admission and effect.
    pub fn may_commit(&self, now: Time, ticket: Ticket) -> bool {
        let Some(request) = self.in_flight.get(&ticket) else {
            return false;
        };
        let current = self.find(request.hash).is_some_and(|granted| {
            granted.fence == request.fence && self.is_valid(now, self.valid_until)
        });
        current || self.is_retired_valid(now, request)
    }

    fn is_retired_valid(&self, now: Time, request: &InFlight) -> bool {
        self.retired.iter().any(|retired| {
            retired.slice.fence == request.fence
                && retired.slice.range.contains(request.hash)
                && self.is_valid(now, retired.valid_until)
        })
    }

    /// Removes an admitted request, whether or not it took effect.
    pub fn finish(&mut self, now: Time, ticket: Ticket) {
        self.in_flight.remove(&ticket);
        self.prune_retired(now);
    }

    /// Whether this server may act for `hash` at `now`. Used by the checker of
    /// exclusive ownership.
    pub fn is_owner(&self, now: Time, hash: KeyHash) -> bool {
        let current = self.is_valid(now, self.valid_until) && self.find(hash).is_some();
        let in_flight = || {
            self.in_flight
                .values()
                .any(|request| request.hash == hash && self.is_retired_valid(now, request))
        };
        current || in_flight()
    }

    /// Expiry of the current set on this server's clock.
    pub fn valid_until(&self) -> Time {
        self.valid_until
    }

    /// The slices of the current set, including expired ones.
    pub fn granted_slices(&self) -> Vec<GrantedSlice> {
        self.slices.values().copied().collect()
    }

    fn find(&self, hash: KeyHash) -> Option<GrantedSlice> {
        let (_, slice) = self.slices.range(..=hash.0).next_back()?;
        slice.range.contains(hash).then_some(*slice)
    }

    fn is_valid(&self, now: Time, until: Time) -> bool {
        !self.checks_expiry || now < until
    }

    /// Retired ranges with requests that may still commit.
    fn releasing(&mut self, now: Time) -> Vec<SliceRange> {
        self.prune_retired(now);
        let uncovered = |request: &&InFlight| {
            self.find(request.hash)
                .is_none_or(|granted| granted.fence != request.fence)
        };
        self.retired
            .iter()
            .filter(|retired| {
                let range = retired.slice.range;
                let mut requests = self.in_flight.values().filter(uncovered);
                requests.any(|request| range.contains(request.hash))
            })
            .map(|retired| retired.slice.range)
            .collect()
    }
}

//! The leader's side of the grant protocol: renewals, new sets, and tracking
//! which slices may be reassigned.

use crate::grant::{GrantReply, GrantRequest, GrantSet, GrantedSlice};
use beamtray_types::{
    Fence, Generation, GroupId, Incarnation, LogIndex, ServerName, SliceRange, Term, Time,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Timing of grants.
#[derive(Clone, Copy, Debug)]
pub struct GranterConfig {
    /// The control group.
    pub group: GroupId,
    /// Renewal interval, and how long a reply is awaited.
    pub renewal: Duration,
    /// Lifetime of a grant on the server's clock.
    pub grant: Duration,
    /// The lifetime extended by the maximum clock drift: how long the granter
    /// treats a grant as live.
    pub grant_bound: Duration,
    /// Checks that protect exclusive ownership.
    pub guards: GranterGuards,
}

/// Checks that tests can disable one by one to demonstrate what each protects.
#[derive(Clone, Copy, Debug)]
pub struct GranterGuards {
    /// Slices of an unresponsive owner are not reassigned before its grants
    /// expire.
    pub waits_for_expiry: bool,
    /// A new leader waits until the grants of previous leaders have expired.
    pub waits_for_previous_leaders: bool,
    /// A revoked slice is not reassigned while its old owner has requests in
    /// flight on it.
    pub waits_for_release: bool,
    /// A new incarnation of a server gets no grant before those of the previous
    /// incarnation expire.
    pub checks_incarnation: bool,
}

impl Default for GranterGuards {
    fn default() -> Self {
        Self {
            waits_for_expiry: true,
            waits_for_previous_leaders: true,
            waits_for_release: true,
            checks_incarnation: true,
        }
    }
}

/// A message to send to a server.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingGrant {
    /// The server.
    pub server: ServerName,
    /// Its address.
    pub address: SocketAddr,
    /// The message.
    pub request: GrantRequest,
}

/// Slices removed from a server's set that may not be reassignable yet.
#[derive(Clone, Debug)]
struct Removed {
    ranges: Vec<SliceRange>,
    /// Sequence number of the first set without them.
    sequence: u64,
    /// Expiry of the last grant that includes them, on the granter's clock.
    expires_at: Time,
    released: bool,
}

/// Sequence number of a link's first set; 0 means that none is acknowledged.
const INITIAL_SEQUENCE: u64 = 1;
/// Interval between polls for the end of requests in flight on revoked slices.
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long an expired removal is kept; far longer than the longest grant.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
struct ServerLink {
    address: SocketAddr,
    incarnation: Option<Incarnation>,
    /// Reading of the server's clock, and the local time when it arrived.
    reading: Option<(Time, Time)>,
    set: Vec<GrantedSlice>,
    sequence: u64,
    acknowledged: u64,
    sent_at: Option<Time>,
    next_send_at: Time,
    /// Expiry of the last of all grants sent so far.
    expires_at: Time,
    /// Expiry of this leader's latest grant.
    granted_until: Option<Time>,
    /// Until this time an incarnation that held no grant must not be given one:
    /// another incarnation of the same server may still hold one.
    no_grants_before: Time,
    removed: Vec<Removed>,
    created: Time,
    last_reply: Option<Time>,
}

/// Issues and tracks the grants of one leader in one term.
#[derive(Clone, Debug)]
pub struct Granter {
    config: GranterConfig,
    generation: Generation,
    term: Term,
    /// Time by which the grants of all previous leaders have expired.
    previous_grants_expire_at: Time,
    links: BTreeMap<ServerName, ServerLink>,
}

impl Granter {
    /// Creates a granter for a leader elected at `elected_at`.
    pub fn new(
        config: GranterConfig,
        generation: Generation,
        term: Term,
        elected_at: Time,
    ) -> Self {
        let wait = if config.guards.waits_for_previous_leaders {
            config.grant_bound
        } else {
            Duration::ZERO
        };
        Self {
            config,
            generation,
            term,
            previous_grants_expire_at: elected_at + wait,
            links: BTreeMap::new(),
        }
    }

    /// Sets the servers with their addresses and the slices granted to each.
    pub fn set_servers(
        &mut self,
        now: Time,
        servers: impl IntoIterator<Item = (ServerName, SocketAddr, Vec<GrantedSlice>)>,
    ) {
        for (name, address, set) in servers {
            let previous_grants_expire_at = self.previous_grants_expire_at;
            let link = self
                .links
                .entry(name)
                .or_insert_with(|| ServerLink::new(address, now, previous_grants_expire_at));
            if link.address != address {
                link.address = address;
                link.reset_process_state();
            }
            link.set_slices(now, set);
        }
    }

    /// Drops servers that `keep` does not select and whose grants have expired.
    pub fn retain(&mut self, now: Time, keep: impl Fn(&ServerName) -> bool) {
        self.links
            .retain(|name, link| keep(name) || now < link.expires_at);
    }

    /// Returns the messages that are due. `has_lease` tells whether the leader's
    /// own lease is valid at `now`; without it nothing is sent.
    pub fn poll(&mut self, now: Time, has_lease: bool) -> Vec<PendingGrant> {
        if !has_lease {
            return Vec::new();
        }
        let (config, generation, term) = (self.config, self.generation, self.term);
        self.links
            .iter_mut()
            .filter(|(_, link)| link.is_due(now, config.renewal))
            .map(|(name, link)| {
                link.next_send_at = now + config.renewal;
                link.sent_at = Some(now);
                PendingGrant {
                    server: name.clone(),
                    address: link.address,
                    request: link.request(now, &config, generation, term),
                }
            })
            .collect()
    }

    /// Handles a server's reply. Returns whether it may unblock changes: slices
    /// were released, or the server had been unresponsive.
    ///
    /// A clock reading is used only if the leader's lease is valid when it
    /// arrives. A leader that is paused and replaced can therefore only send
    /// grants that expire before its successor stops waiting.
    pub fn handle(
        &mut self,
        now: Time,
        server: &ServerName,
        reply: &GrantReply,
        has_lease: bool,
    ) -> bool {
        let guards = self.config.guards;
        let current_leader = (self.generation, self.term);
        let Some(link) = self.links.get_mut(server) else {
            return false;
        };
        link.sent_at = None;
        if !has_lease {
            return false;
        }
        let was_unresponsive = link
            .last_reply
            .is_none_or(|last_heard_at| now.since(last_heard_at) >= self.config.renewal * 2);
        let removed_before = link.removed.len();
        if link.incarnation != Some(reply.incarnation) {
            // State from an earlier generation may lack the latest assignments,
            // so only grants of this generation are renewed.
            let same_generation = reply.version.generation == self.generation;
            let holding = reply.was_holding && same_generation;
            link.handle_new_incarnation(now, reply.incarnation, holding, guards);
        }
        link.last_reply = Some(now);
        let newer = link
            .reading
            .is_none_or(|(reading, _)| reading < reply.reading);
        if newer {
            link.reading = Some((reply.reading, now));
        }
        if (reply.version.generation, reply.version.term) == current_leader {
            link.acknowledge(reply, guards.waits_for_release);
            if link.is_releasing() {
                // Requests are in flight on slices that are to be reassigned.
                link.next_send_at = link.next_send_at.min(now + RELEASE_POLL_INTERVAL);
            }
        }
        was_unresponsive || link.removed.len() < removed_before
    }

    /// Records that a message got no reply.
    pub fn record_no_reply(&mut self, server: &ServerName) {
        if let Some(link) = self.links.get_mut(server) {
            link.sent_at = None;
        }
    }

    /// Whether `server` holds no usable grant for any part of `range`, so that
    /// the range may be assigned to another server.
    pub fn is_free(&self, now: Time, server: &ServerName, range: SliceRange) -> bool {
        let guards = self.config.guards;
        let Some(link) = self.links.get(server) else {
            return now >= self.previous_grants_expire_at;
        };
        if !guards.waits_for_expiry {
            return true;
        }
        if link.set.iter().any(|slice| slice.range.overlaps(&range)) {
            return false;
        }
        if now < link.no_grants_before {
            return false;
        }
        let removed = link.removed.iter();
        removed
            .filter(|removed| removed.ranges.iter().any(|other| other.overlaps(&range)))
            .all(|removed| removed.released || now >= removed.expires_at)
    }

    /// Time at which all grants of an unresponsive server expired; `None` while
    /// one may still be valid.
    pub fn expired_since(&self, now: Time, server: &ServerName) -> Option<Time> {
        let link = self.links.get(server)?;
        let last_heard_at = link.last_reply.unwrap_or(link.created);
        let expired_at = (last_heard_at + self.config.grant_bound).max(link.expires_at);
        (now >= expired_at).then_some(expired_at)
    }

    /// Whether the server was first contacted less than `timeout` ago and has
    /// not replied yet.
    pub fn is_first_reply_pending(
        &self,
        now: Time,
        server: &ServerName,
        timeout: Duration,
    ) -> bool {
        self.links
            .get(server)
            .is_some_and(|link| link.last_reply.is_none() && now.since(link.created) < timeout)
    }

    /// Whether the server may hold an unexpired grant of this leader.
    pub fn is_granted(&self, now: Time, server: &ServerName) -> bool {
        let link = self.links.get(server);
        link.is_some_and(|link| link.granted_until.is_some_and(|until| now < until))
    }

    /// Whether the server replied within the last two renewal intervals.
    pub fn is_answering(&self, now: Time, server: &ServerName) -> bool {
        self.links.get(server).is_some_and(|link| {
            link.last_reply
                .is_some_and(|last_heard_at| now.since(last_heard_at) < self.config.renewal * 2)
        })
    }
}

impl ServerLink {
    fn new(address: SocketAddr, now: Time, previous_grants_expire_at: Time) -> Self {
        Self {
            address,
            incarnation: None,
            reading: None,
            set: Vec::new(),
            sequence: INITIAL_SEQUENCE,
            acknowledged: 0,
            sent_at: None,
            next_send_at: now,
            expires_at: previous_grants_expire_at,
            granted_until: None,
            no_grants_before: previous_grants_expire_at,
            // Grants of previous leaders remain in force until they expire or
            // the server accepts a set of this leader.
            removed: vec![Removed {
                ranges: vec![SliceRange::ALL],
                sequence: INITIAL_SEQUENCE,
                expires_at: previous_grants_expire_at,
                released: false,
            }],
            created: now,
            last_reply: None,
        }
    }

    /// Discards what is known of the server's process after its address changed.
    fn reset_process_state(&mut self) {
        self.incarnation = None;
        self.reading = None;
        self.acknowledged = 0;
        self.no_grants_before = self.no_grants_before.max(self.expires_at);
    }

    fn set_slices(&mut self, now: Time, set: Vec<GrantedSlice>) {
        if set == self.set {
            return;
        }
        let gone: Vec<SliceRange> = self
            .set
            .iter()
            .map(|slice| slice.range)
            .filter(|range| !set.iter().any(|slice| slice.range == *range))
            .collect();
        self.sequence += 1;
        if !gone.is_empty() {
            self.removed.push(Removed {
                ranges: gone,
                sequence: self.sequence,
                expires_at: self.expires_at,
                released: false,
            });
        }
        self.removed
            .retain(|removed| !removed.released && now < removed.expires_at + REMOVED_RETENTION);
        self.set = set;
        self.next_send_at = now;
    }

    fn is_due(&self, now: Time, renewal: Duration) -> bool {
        let removed_before = self.sent_at.is_some_and(|sent| now.since(sent) < renewal);
        now >= self.next_send_at && !removed_before
    }

    fn request(
        &mut self,
        now: Time,
        config: &GranterConfig,
        generation: Generation,
        term: Term,
    ) -> GrantRequest {
        let can_grant = self.incarnation.is_some() && now >= self.no_grants_before;
        let valid_until = self
            .reading
            .filter(|_| can_grant)
            .map(|(reading, received)| {
                let expires_at = received + config.grant_bound;
                self.expires_at = self.expires_at.max(expires_at);
                self.granted_until = self.granted_until.max(Some(expires_at));
                reading + config.grant
            });
        let set = if self.acknowledged == self.sequence {
            GrantSet::Unchanged
        } else {
            GrantSet::Full(self.set.clone())
        };
        GrantRequest {
            group: config.group,
            version: Fence::new(generation, term, LogIndex(self.sequence)),
            // While granting is not allowed, the message only probes the clock.
            incarnation: self.incarnation.filter(|_| can_grant),
            valid_until,
            set,
        }
    }

    /// Handles a reply from an incarnation of the server not seen before.
    ///
    /// If it holds an unexpired grant, the leader that issued the grant had
    /// already waited for earlier incarnations, so its grants can be renewed at
    /// once. Otherwise it gets no grant until all grants that an earlier
    /// incarnation may hold have expired.
    fn handle_new_incarnation(
        &mut self,
        now: Time,
        incarnation: Incarnation,
        holding: bool,
        guards: GranterGuards,
    ) {
        let first = self.last_reply.is_none();
        if first && holding {
            self.no_grants_before = now;
        } else if guards.checks_incarnation {
            self.no_grants_before = self.no_grants_before.max(self.expires_at);
        }
        self.incarnation = Some(incarnation);
        self.reading = None;
        self.acknowledged = 0;
        self.next_send_at = now.min(self.next_send_at);
    }

    /// Whether the server accepted a set without some slices and still has
    /// requests in flight on them.
    fn is_releasing(&self) -> bool {
        self.removed
            .iter()
            .any(|removed| !removed.released && self.acknowledged >= removed.sequence)
    }

    fn acknowledge(&mut self, reply: &GrantReply, waits_for_release: bool) {
        let sequence = reply.version.index.0;
        self.acknowledged = self.acknowledged.max(sequence);
        for removed in &mut self.removed {
            let no_requests_in_flight = !removed
                .ranges
                .iter()
                .any(|range| reply.releasing.iter().any(|other| other.overlaps(range)));
            if sequence >= removed.sequence && (no_requests_in_flight || !waits_for_release) {
                removed.released = true;
            }
        }
        self.removed.retain(|removed| !removed.released);
    }
}

//! The leader's side: renewals, new sets, and what may be given away.

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
    /// Between renewals, and how long an answer is awaited.
    pub renewal: Duration,
    /// Life of a grant on the server's clock.
    pub grant: Duration,
    /// The same stretched by the clock drift: how long the granter counts it.
    pub grant_bound: Duration,
    /// Checks that protect sole ownership.
    pub guards: GranterGuards,
}

/// Checks that a test can switch off one by one to see what each is for.
#[derive(Clone, Copy, Debug)]
pub struct GranterGuards {
    /// A silent owner's slices wait until its grants lapsed.
    pub waits_for_expiry: bool,
    /// A new leader waits until the grants of leaders before it lapsed.
    pub waits_for_previous_leaders: bool,
    /// A revoked slice waits for requests in flight at its old owner.
    pub waits_for_release: bool,
    /// A new run of a server waits for the grants of the run before.
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

/// Slices taken out of a server's set, until they are surely free.
#[derive(Clone, Debug)]
struct Removed {
    ranges: Vec<SliceRange>,
    /// Number of the first set without them.
    sequence: u64,
    /// When the last grant with them has lapsed, on the granter's clock.
    expires_at: Time,
    released: bool,
}

/// Number of a link's first set; 0 stands for none acknowledged.
const INITIAL_SEQUENCE: u64 = 1;
/// Between questions whether requests in flight on revoked slices have ended.
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long a lapsed removal is remembered. Long past the longest grant.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
struct ServerLink {
    address: SocketAddr,
    incarnation: Option<Incarnation>,
    /// The server's clock and when its reading arrived.
    reading: Option<(Time, Time)>,
    set: Vec<GrantedSlice>,
    sequence: u64,
    acknowledged: u64,
    sent_at: Option<Time>,
    next_send_at: Time,
    /// When every grant sent so far has lapsed.
    expires_at: Time,
    /// When the latest grant of this leader lapses.
    granted_until: Option<Time>,
    /// Before this a run that did not hold a grant must get none: another run
    /// of the same server may hold one.
    no_grants_before: Time,
    removed: Vec<Removed>,
    created: Time,
    last_reply: Option<Time>,
}

/// Grants of one leader in one term.
#[derive(Clone, Debug)]
pub struct Granter {
    config: GranterConfig,
    generation: Generation,
    term: Term,
    /// When the grants of every earlier leader have lapsed.
    previous_grants_expire_at: Time,
    links: BTreeMap<ServerName, ServerLink>,
}

impl Granter {
    /// Starts granting after an election at `elected_at`.
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

    /// States which servers there are, where, and what each is to hold.
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
                link.reset_run();
            }
            link.set_slices(now, set);
        }
    }

    /// Stops dealing with servers that are neither kept nor able to act under
    /// a grant of this leader.
    pub fn retain(&mut self, now: Time, keep: impl Fn(&ServerName) -> bool) {
        self.links
            .retain(|name, link| keep(name) || now < link.expires_at);
    }

    /// Messages that are due. `has_lease` is the leader's own lease at `now`;
    /// without it nothing is sent.
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

    /// Takes a server's reply; whether it may allow what was not possible
    /// before: slices were released, or the server was silent. A reading counts only when the leader's lease
    /// is valid as it arrives: this bounds what a leader that is paused and
    /// replaced can still send, to grants that lapse before its successor
    /// stops waiting.
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
        let was_silent = link
            .last_reply
            .is_none_or(|heard| now.since(heard) >= self.config.renewal * 2);
        let removed_before = link.removed.len();
        if link.incarnation != Some(reply.incarnation) {
            // A state from before this generation may have missed the latest
            // assignments, so only grants of this generation are continued.
            let same_generation = reply.version.generation == self.generation;
            let holding = reply.was_holding && same_generation;
            link.handle_new_run(now, reply.incarnation, holding, guards);
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
                // Requests are in flight on slices that someone waits for.
                link.next_send_at = link.next_send_at.min(now + RELEASE_POLL_INTERVAL);
            }
        }
        was_silent || link.removed.len() < removed_before
    }

    /// Notes that a message got no answer.
    pub fn record_no_reply(&mut self, server: &ServerName) {
        if let Some(link) = self.links.get_mut(server) {
            link.sent_at = None;
        }
    }

    /// Whether no grant that covers any of `range` can be acted under at
    /// `server`, so that the range may go to another.
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

    /// Whether a server has been silent for so long that all its grants
    /// lapsed; and since when.
    pub fn expired_since(&self, now: Time, server: &ServerName) -> Option<Time> {
        let link = self.links.get(server)?;
        let heard = link.last_reply.unwrap_or(link.created);
        let expired_at = (heard + self.config.grant_bound).max(link.expires_at);
        (now >= expired_at).then_some(expired_at)
    }

    /// Whether the server was first asked within `patience` and has not
    /// answered yet.
    pub fn is_first_reply_pending(
        &self,
        now: Time,
        server: &ServerName,
        patience: Duration,
    ) -> bool {
        self.links
            .get(server)
            .is_some_and(|link| link.last_reply.is_none() && now.since(link.created) < patience)
    }

    /// Whether the server may act under an unexpired grant of this leader.
    pub fn is_granted(&self, now: Time, server: &ServerName) -> bool {
        let link = self.links.get(server);
        link.is_some_and(|link| link.granted_until.is_some_and(|until| now < until))
    }

    /// Whether the server answered within the last two renewals.
    pub fn is_answering(&self, now: Time, server: &ServerName) -> bool {
        self.links.get(server).is_some_and(|link| {
            link.last_reply
                .is_some_and(|heard| now.since(heard) < self.config.renewal * 2)
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
            // Whatever earlier leaders granted is in force until the server
            // takes a set of this leader, or until it lapsed.
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

    /// The server is to be met anew, at another address.
    fn reset_run(&mut self) {
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
            // Without leave to grant, the message is a probe of the clock.
            incarnation: self.incarnation.filter(|_| can_grant),
            valid_until,
            set,
        }
    }

    /// Another run of the server than the one known answers.
    ///
    /// A run that holds an unexpired grant proves that whoever granted it had
    /// waited for the runs before, so its grants can be renewed at once. Any
    /// other run waits until whatever an earlier run may hold has lapsed.
    fn handle_new_run(
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

    /// Whether the server took a set without some slices and still has
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
            let quiet = !removed
                .ranges
                .iter()
                .any(|range| reply.releasing.iter().any(|other| other.overlaps(range)));
            if sequence >= removed.sequence && (quiet || !waits_for_release) {
                removed.released = true;
            }
        }
        self.removed.retain(|removed| !removed.released);
    }
}

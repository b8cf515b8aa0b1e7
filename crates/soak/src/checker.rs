//! Checks the observations of callers, upstreams and the store against the router's
//! guarantees.

mod history;
mod load;
mod owners;
mod rates;
mod requests;
mod tenants;
mod tokens;
mod words;

pub use history::{
    DelayedDelivery, Disturbance, Disturbed, FaultEnd, History, PlannedStop, UpstreamEnd,
};

use crate::config::CONTACT;
use crate::message::{CallerEnd, Observation, Report};
use crate::tenants::Identity;
use beamtray_types::Time;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::Duration;
use tenants::ToldSender;

/// A guarantee that the router gives. The variant names appear in reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// A caller receives the complete response to its own request or a visible failure.
    Mixed,
    /// Upstreams execute only requests that callers sent.
    Unasked,
    /// Requests that must not be retried are executed at most once.
    Twice,
    /// Refused requests have not been executed.
    Refused,
    /// Requests go to the service that the configuration names.
    Route,
    /// A key has at most one owner.
    Owner,
    /// A draining upstream receives no requests after the drain time.
    Drain,
    /// Neither a planned stop nor undisturbed operation disconnects a request in progress.
    Lost,
    /// A configuration comes into force in time.
    Config,
    /// Retries stay within their budget.
    Budget,
    /// Execution ends when the caller cancels the request.
    Gone,
    /// An upstream that announces a rate limit receives little more.
    Limit,
    /// An upstream that asked a router to pause receives almost nothing from it meanwhile.
    Rest,
    /// Upstreams are told the tenant of a request, and not its key.
    Tenant,
    /// A key is accepted as long as a tenant holds it, and no longer.
    Key,
    /// A tenant gets no more than its quota.
    Quota,
    /// After the fault phase requests are served again.
    Recover,
}

impl Promise {
    /// All promises.
    pub const ALL: [Promise; 17] = [
        Promise::Mixed,
        Promise::Unasked,
        Promise::Twice,
        Promise::Refused,
        Promise::Route,
        Promise::Owner,
        Promise::Drain,
        Promise::Lost,
        Promise::Config,
        Promise::Budget,
        Promise::Gone,
        Promise::Limit,
        Promise::Rest,
        Promise::Tenant,
        Promise::Key,
        Promise::Quota,
        Promise::Recover,
    ];
}

/// A violation of a guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The guarantee.
    pub promise: Promise,
    /// Time of the violation.
    pub at: Time,
    /// Description of the violation.
    pub text: String,
}

/// How often a guarantee was checked and violated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Number of checks.
    pub tested: usize,
    /// Number of violations.
    pub broken: usize,
}

/// Result of checking a run.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Counts by guarantee.
    pub counts: BTreeMap<Promise, Count>,
    /// Violations found.
    pub findings: Vec<Finding>,
}

impl Verdict {
    fn test(&mut self, promise: Promise, holds: bool, at: Time, text: impl FnOnce() -> String) {
        let count = self.counts.entry(promise).or_default();
        count.tested += 1;
        if !holds {
            count.broken += 1;
            let text = text();
            self.findings.push(Finding { promise, at, text });
        }
    }

    /// Whether no violation was found.
    pub fn is_clean(&self) -> bool {
        self.findings.is_empty()
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for promise in Promise::ALL {
            let count = self.counts.get(&promise).copied().unwrap_or_default();
            write!(formatter, "{promise:?}={}/{} ", count.broken, count.tested)?;
        }
        Ok(())
    }
}
#[derive(Clone, Debug)]
struct ExecutionStart {
    at: Time,
    upstream: String,
    path: String,
    key: Option<u16>,
    held_since: Time,
}

#[derive(Clone, Debug, Default)]
struct Request {
    asked: Option<Time>,
    node: usize,
    path: String,
    repeatable: bool,
    arrived: Vec<(Time, String)>,
    begun: Vec<ExecutionStart>,
    finished: Vec<(Time, String)>,
    ended: Option<(Time, CallerEnd)>,
    identity: Identity,
    told: Vec<ToldSender>,
}

/// An interval in which an upstream held a key range.
#[derive(Clone, Debug)]
struct Holding {
    upstream: String,
    first: u16,
    last: u16,
    since: Time,
    ends: Time,
    /// When the grant was accepted.
    taken: Time,
    /// When the lease would have expired without a release.
    lease_ends: Time,
}

/// A grant that an upstream accepted.
#[derive(Clone, Debug)]
struct AcceptedGrant {
    at: Time,
    upstream: String,
    first: u16,
    last: u16,
    token: u64,
}

/// A change of the rate limit that an upstream announces.
#[derive(Clone, Debug)]
struct NamedRate {
    at: Time,
    upstream: String,
    rate_milli: Option<u32>,
}

/// An announcement by an upstream in the response to a request.
#[derive(Clone, Debug)]
struct Announcement {
    at: Time,
    upstream: String,
    request: String,
    kind: AnnouncementKind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnnouncementKind {
    /// The upstream is draining.
    Leaves,
    /// The upstream asks for a pause of this length.
    Rest(Duration),
}

struct Checker<'a> {
    history: &'a History,
    requests: HashMap<String, Request>,
    holdings: Vec<Holding>,
    accepted_grants: Vec<AcceptedGrant>,
    left: HashMap<String, Time>,
    configured: Vec<(Time, u64)>,
    /// Rate limits announced by upstreams.
    named: Vec<NamedRate>,
    /// Announcements in responses to single requests.
    announcements: Vec<Announcement>,
    verdict: Verdict,
}

/// Checks the history of a run.
pub fn check(history: &History) -> Verdict {
    let mut history = history.clone();
    history.reports.sort_by_key(|report| report.at);
    let mut checker = Checker {
        history: &history,
        requests: HashMap::new(),
        holdings: Vec::new(),
        accepted_grants: Vec::new(),
        left: HashMap::new(),
        configured: Vec::new(),
        named: Vec::new(),
        announcements: Vec::new(),
        verdict: Verdict::default(),
    };
    for report in &history.reports {
        checker.record(report);
    }
    checker.end_holdings();
    checker.check_requests();
    checker.check_owners();
    checker.check_tokens();
    checker.check_work();
    checker.check_budget();
    checker.check_cancellations();
    checker.check_rates();
    checker.check_announcements();
    checker.check_tenants();
    checker.check_recovery();
    checker.verdict
}

impl Checker<'_> {
    fn record(&mut self, report: &Report) {
        let at = report.at;
        let from = report.from.clone();
        match &report.observation {
            Observation::Started | Observation::Flushed => {}
            Observation::RequestSent {
                id,
                node,
                path,
                repeatable,
            } => {
                let request = self.requests.entry(id.clone()).or_default();
                request.asked = Some(at);
                request.node = *node;
                request.path.clone_from(path);
                request.repeatable = *repeatable;
            }
            Observation::SentAs { id, identity } => {
                self.requests.entry(id.clone()).or_default().identity = *identity;
            }
            Observation::SenderTold {
                id,
                tenant,
                has_key,
            } => {
                let request = self.requests.entry(id.clone()).or_default();
                request.told.push(ToldSender {
                    at,
                    upstream: from,
                    tenant: tenant.clone(),
                    has_key: *has_key,
                });
            }
            Observation::RequestEnded { id, end } => {
                self.requests.entry(id.clone()).or_default().ended = Some((at, end.clone()));
            }
            Observation::RequestArrived { id } => {
                let request = self.requests.entry(id.clone()).or_default();
                request.arrived.push((at, from));
            }
            Observation::WorkStarted {
                id,
                path,
                key,
                held_since,
            } => self
                .requests
                .entry(id.clone())
                .or_default()
                .begun
                .push(ExecutionStart {
                    at,
                    upstream: from,
                    path: path.clone(),
                    key: *key,
                    held_since: *held_since,
                }),
            Observation::WorkFinished { id } => {
                let request = self.requests.entry(id.clone()).or_default();
                request.finished.push((at, from));
            }
            Observation::KeysHeld {
                first,
                last,
                since,
                ends,
            } => self.holdings.push(Holding {
                upstream: from,
                first: *first,
                last: *last,
                since: *since,
                ends: *ends,
                taken: at,
                lease_ends: *ends,
            }),
            Observation::GrantAccepted { first, last, token } => {
                self.accepted_grants.push(AcceptedGrant {
                    at,
                    upstream: from,
                    first: *first,
                    last: *last,
                    token: *token,
                })
            }
            Observation::KeysReleased { first, last } => self.release(at, &from, *first, *last),
            Observation::LeaveAnnounced { id } => self.announcements.push(Announcement {
                at,
                upstream: from,
                request: id.clone(),
                kind: AnnouncementKind::Leaves,
            }),
            Observation::PauseRequested { id, rest_ms } => self.announcements.push(Announcement {
                at,
                upstream: from,
                request: id.clone(),
                kind: AnnouncementKind::Rest(Duration::from_millis((*rest_ms).into())),
            }),
            Observation::UpstreamLeft { upstream } => {
                self.left.entry(upstream.clone()).or_insert(at);
            }
            Observation::RateAnnounced { rate_milli } => self.named.push(NamedRate {
                at,
                upstream: from,
                rate_milli: *rate_milli,
            }),
            Observation::ConfigurationAccepted { version } => self.configured.push((at, *version)),
        }
    }

    /// Ends the holdings of a released range; the rest of a partly released holding continues.
    fn release(&mut self, at: Time, upstream: &str, first: u16, last: u16) {
        let mut kept = Vec::new();
        for holding in &mut self.holdings {
            let overlaps = holding.first <= last && first <= holding.last;
            if holding.upstream != upstream || !overlaps || holding.ends <= at {
                continue;
            }
            if holding.first < first {
                let last = first - 1;
                kept.push(Holding {
                    last,
                    ..holding.clone()
                });
            }
            if holding.last > last {
                let first = last + 1;
                kept.push(Holding {
                    first,
                    ..holding.clone()
                });
            }
            holding.ends = at;
        }
        self.holdings.extend(kept);
    }

    /// Ends the holdings of upstreams that have exited, even if their grants last longer.
    fn end_holdings(&mut self) {
        for end in &self.history.upstream_ends {
            let ended = self.holdings.iter_mut();
            for holding in ended.filter(|holding| holding.upstream == end.upstream) {
                holding.ends = holding.ends.min(end.at);
            }
        }
    }

    /// Whether a router was connected and undisturbed from `from` to `until`.
    fn is_connected(&self, node: usize, from: Time, until: Time) -> bool {
        let disturbs =
            |whom: Disturbed| whom == Disturbed::Router(node) || whom == Disturbed::Store;
        let harmed = self.disturbed(from - CONTACT, until, disturbs);
        let stopped = self.history.stops.iter().any(|stop| {
            stop.node == node && stop.at <= until && from - CONTACT <= stop.until + CONTACT
        });
        !harmed && !stopped
    }

    fn disturbed(&self, from: Time, until: Time, whom: impl Fn(Disturbed) -> bool) -> bool {
        let mut disturbances = self.history.disturbances.iter();
        disturbances.any(|one| whom(one.whom) && one.from <= until && from <= one.until)
    }
}

//! Checks what callers, upstreams and the store saw against the promises.

mod history;
mod load;
mod owners;
mod rates;
mod requests;
mod tokens;
mod words;

pub use history::{
    DelayedDelivery, Disturbance, Disturbed, FaultEnd, History, PlannedStop, UpstreamEnd,
};

use crate::config::CONTACT;
use crate::message::{CallerEnd, Observation, Report};
use beamtray_types::Time;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::Duration;

/// What must hold; the names are those under which its users know them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// A caller gets the whole answer to its own request, or visibly none.
    Mixed,
    /// Upstreams run only what callers asked for.
    Unasked,
    /// What may not be repeated runs once at most.
    Twice,
    /// What was refused has not run.
    Refused,
    /// Requests go to services that a configuration names.
    Route,
    /// A key has one owner.
    Owner,
    /// Who leaves gets nothing after the drain time.
    Drain,
    /// A planned stop cuts off nothing.
    Lost,
    /// A configuration is in force in time.
    Config,
    /// Repeats stay within their budget.
    Budget,
    /// Work ends when its caller has left.
    Gone,
    /// An upstream that names the requests a second that it takes gets not much more.
    Limit,
    /// An upstream that asked a router for rest gets next to nothing from it meanwhile.
    Rest,
    /// After the troubles requests are served again.
    Recover,
}

impl Promise {
    /// All promises.
    pub const ALL: [Promise; 14] = [
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
        Promise::Recover,
    ];
}

/// One broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Which.
    pub promise: Promise,
    /// When.
    pub at: Time,
    /// What was seen.
    pub text: String,
}

/// How often a promise was put to the test, and broken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Times put to the test.
    pub tested: usize,
    /// Times broken.
    pub broken: usize,
}

/// The judgement of a run.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// By promise.
    pub counts: BTreeMap<Promise, Count>,
    /// Broken promises.
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

    /// Whether every promise held.
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
}

/// One span in which an upstream held keys.
#[derive(Clone, Debug)]
struct Holding {
    upstream: String,
    first: u16,
    last: u16,
    since: Time,
    ends: Time,
    /// When the grant was taken.
    taken: Time,
    /// When it would have run out if it had not been given back.
    lease_ends: Time,
}

/// A grant as an upstream took it.
#[derive(Clone, Debug)]
struct AcceptedGrant {
    at: Time,
    upstream: String,
    first: u16,
    last: u16,
    token: u64,
}

/// What an upstream named from then on.
#[derive(Clone, Debug)]
struct NamedRate {
    at: Time,
    upstream: String,
    rate_milli: Option<u32>,
}

/// What an upstream said in an answer to a request.
#[derive(Clone, Debug)]
struct Announcement {
    at: Time,
    upstream: String,
    request: String,
    kind: AnnouncementKind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnnouncementKind {
    /// That it leaves.
    Leaves,
    /// That it wants rest for so long.
    Rest(Duration),
}

struct Checker<'a> {
    history: &'a History,
    requests: HashMap<String, Request>,
    holdings: Vec<Holding>,
    accepted_grants: Vec<AcceptedGrant>,
    left: HashMap<String, Time>,
    configured: Vec<(Time, u64)>,
    /// What upstreams named, from when on.
    named: Vec<NamedRate>,
    /// What upstreams said of themselves in answers to single requests.
    announcements: Vec<Announcement>,
    verdict: Verdict,
}

/// Judges a run.
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
    checker.check_recovery();
    checker.verdict
}

impl Checker<'_> {
    fn record(&mut self, report: &Report) {
        let at = report.at;
        let from = report.from.clone();
        match &report.observation {
            Observation::Started => {}
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

    /// Ends holdings; what is left of a partly released one stays.
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

    /// Who has ended holds nothing, whatever the end of its last grant.
    fn end_holdings(&mut self) {
        for end in &self.history.upstream_ends {
            let ended = self.holdings.iter_mut();
            for holding in ended.filter(|holding| holding.upstream == end.upstream) {
                holding.ends = holding.ends.min(end.at);
            }
        }
    }

    /// Whether a router was in touch from `from` to `until`.
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

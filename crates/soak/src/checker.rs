//! Checks what callers, upstreams and the store saw against the promises.

use crate::config::{
    CONFIGURE, CONTACT, DRAIN, ORDER, PROBE, RETRY_ALLOWANCE, RETRY_RATIO, RETRY_WINDOW, service_of,
};
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
    /// After the troubles requests are served again.
    Recover,
}

impl Promise {
    /// All promises.
    pub const ALL: [Promise; 12] = [
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
        Promise::Recover,
    ];
}

/// Who is disturbed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbed {
    /// A router, by its number.
    Router(usize),
    /// The store.
    Store,
    /// Some upstream, or the way to it.
    Upstream,
}

/// A fault as it was carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disturbance {
    /// Who.
    pub whom: Disturbed,
    /// When it began.
    pub from: Time,
    /// When it ended.
    pub until: Time,
}

/// A planned stop of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStop {
    /// The router.
    pub node: usize,
    /// When it was told.
    pub at: Time,
    /// When it had ended.
    pub until: Time,
}

/// The end of an upstream's process, after which it holds nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEnd {
    /// The incarnation.
    pub upstream: String,
    /// When it had ended.
    pub at: Time,
}

/// All that a run showed.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// What the processes saw.
    pub reports: Vec<Report>,
    /// Faults that are not planned work.
    pub disturbances: Vec<Disturbance>,
    /// Planned stops.
    pub stops: Vec<PlannedStop>,
    /// Upstreams that ended.
    pub upstream_ends: Vec<UpstreamEnd>,
    /// From when on requests must be served again.
    pub recovered: Time,
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

/// Share of the late requests that must be served, as one in so many.
const SERVED_ONE_IN: usize = 4;
/// How long a router may take to pass on that a caller left.
const LEAVE_TIME: Duration = Duration::from_millis(500);
/// Requests at work after that, one in so many, that are borne.
const LEFT_ONE_IN: usize = 4;
/// Least number of them that says something.
const FEW_LEFT: usize = 4;
/// A request that was not passed on may be cut this soon.
const CUT_SLACK: Duration = Duration::from_millis(200);
/// Part of a caller's patience after which a cut is the deadline's.
const LAST_PART: Duration = Duration::from_millis(1_400);
/// How long two upstreams may hold the same keys.
const OVERLAP: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
struct Begun {
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
    begun: Vec<Begun>,
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
}

struct Checker<'a> {
    history: &'a History,
    requests: HashMap<String, Request>,
    holdings: Vec<Holding>,
    left: HashMap<String, Time>,
    configured: Vec<(Time, u64)>,
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
        left: HashMap::new(),
        configured: Vec::new(),
        verdict: Verdict::default(),
    };
    for report in &history.reports {
        checker.take(report);
    }
    checker.end_holdings();
    checker.judge_requests();
    checker.judge_owners();
    checker.judge_budget();
    checker.judge_leavers();
    checker.judge_recovery();
    checker.verdict
}

impl Checker<'_> {
    fn take(&mut self, report: &Report) {
        let at = report.at;
        let from = report.from.clone();
        match &report.observation {
            Observation::Started => {}
            Observation::Asked {
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
            Observation::Ended { id, end } => {
                self.requests.entry(id.clone()).or_default().ended = Some((at, end.clone()));
            }
            Observation::Arrived { id } => {
                let request = self.requests.entry(id.clone()).or_default();
                request.arrived.push((at, from));
            }
            Observation::Begun {
                id,
                path,
                key,
                held_since,
            } => self
                .requests
                .entry(id.clone())
                .or_default()
                .begun
                .push(Begun {
                    at,
                    upstream: from,
                    path: path.clone(),
                    key: *key,
                    held_since: *held_since,
                }),
            Observation::Finished { id } => {
                let request = self.requests.entry(id.clone()).or_default();
                request.finished.push((at, from));
            }
            Observation::Held {
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
            }),
            Observation::Released { first, last } => self.release(at, &from, *first, *last),
            Observation::Left { upstream } => {
                self.left.entry(upstream.clone()).or_insert(at);
            }
            Observation::Configured { version } => self.configured.push((at, *version)),
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
    fn in_touch(&self, node: usize, from: Time, until: Time) -> bool {
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

    fn judge_requests(&mut self) {
        let requests = std::mem::take(&mut self.requests);
        for (id, request) in &requests {
            self.judge_asked(id, request);
            self.judge_runs(id, request);
            if let Some((at, end)) = &request.ended {
                self.judge_end(id, request, *at, end);
            }
            self.judge_drain(id, request);
        }
        self.requests = requests;
    }

    fn judge_asked(&mut self, id: &str, request: &Request) {
        for begun in &request.begun {
            let asked = request.asked.is_some() && begun.path == request.path;
            self.verdict.test(Promise::Unasked, asked, begun.at, || {
                format!(
                    "{} runs {id} {}, which nobody asked for",
                    begun.upstream, begun.path
                )
            });
            let service = service_of(&begun.path);
            let right = begun.upstream.starts_with(service);
            self.verdict.test(Promise::Route, right, begun.at, || {
                format!("{} runs {id} {}", begun.upstream, begun.path)
            });
        }
    }

    fn judge_runs(&mut self, id: &str, request: &Request) {
        if request.repeatable || request.begun.is_empty() {
            return;
        }
        let at = request.begun[0].at;
        let runs = request.begun.len();
        self.verdict.test(Promise::Twice, runs <= 1, at, || {
            format!("{id} {} runs {runs} times", request.path)
        });
    }

    fn judge_end(&mut self, id: &str, request: &Request, at: Time, end: &CallerEnd) {
        let Some(asked) = request.asked else { return };
        match end {
            CallerEnd::Answered {
                status,
                signed,
                sound,
            } => {
                if (200..300).contains(status) {
                    let whole = *signed && *sound && !request.begun.is_empty();
                    self.verdict.test(Promise::Mixed, whole, at, || {
                        format!("{id} got {status}, signed {signed}, sound {sound}")
                    });
                }
                if matches!(status, 429 | 503 | 408 | 421) && !request.repeatable {
                    let kept = request.begun.is_empty();
                    self.verdict.test(Promise::Refused, kept, at, || {
                        format!("{id} got {status} and has run")
                    });
                }
                self.judge_probe(id, request, asked, *status);
            }
            CallerEnd::BrokenOff | CallerEnd::Unsent | CallerEnd::Left | CallerEnd::TimedOut => {}
        }
        self.judge_stop(id, request, asked, at, *end == CallerEnd::BrokenOff);
    }

    fn judge_probe(&mut self, id: &str, request: &Request, asked: Time, status: u16) {
        let Some(rest) = request.path.strip_prefix(PROBE) else {
            return;
        };
        let version = rest
            .split('/')
            .next()
            .and_then(|text| text.parse::<u64>().ok());
        let Some(version) = version else { return };
        if !self.in_touch(request.node, asked - CONFIGURE, asked) {
            return;
        }
        // The version that must be in force, and whether a later one may be.
        let in_force = self
            .configured
            .iter()
            .rfind(|(at, _)| *at + CONFIGURE < asked);
        let newest = self
            .configured
            .iter()
            .rfind(|(at, _)| *at <= asked + CONFIGURE);
        let (Some((_, in_force)), Some((_, newest))) = (in_force, newest) else {
            return;
        };
        if in_force != newest || version > *in_force {
            return;
        }
        let there = version == *in_force;
        let holds = if there { status != 404 } else { status == 404 };
        self.verdict.test(Promise::Config, holds, asked, || {
            format!(
                "router {} answers {id} {} with {status}, {in_force} is in force",
                request.node, request.path
            )
        });
    }

    /// Judges a request of a router that was told to stop while it lasted.
    fn judge_stop(&mut self, id: &str, request: &Request, asked: Time, at: Time, cut: bool) {
        let stops = &self.history.stops;
        let stopped = stops
            .iter()
            .any(|stop| stop.node == request.node && at >= stop.at && asked <= stop.until);
        let unplanned = self.disturbed(asked - CONTACT, at, |whom| {
            matches!(whom, Disturbed::Store | Disturbed::Upstream)
                || whom == Disturbed::Router(request.node)
        });
        if !stopped || unplanned || at.since(asked) >= LAST_PART {
            return;
        }
        let passed_on = !request.arrived.is_empty();
        let late = at.since(asked) > CUT_SLACK;
        self.verdict
            .test(Promise::Lost, !cut || !passed_on && !late, at, || {
                format!(
                    "router {} cut {id} {} at its stop",
                    request.node, request.path
                )
            });
    }

    fn judge_drain(&mut self, id: &str, request: &Request) {
        let Some(asked) = request.asked else { return };
        for (at, upstream) in &request.arrived {
            let Some(left) = self.left.get(upstream) else {
                continue;
            };
            let touched = self.in_touch(request.node, *left, *at);
            let hindered = self.disturbed(asked - CONTACT, *at, |whom| whom == Disturbed::Upstream);
            if !touched || hindered {
                continue;
            }
            let late = at.since(*left);
            self.verdict.test(Promise::Drain, late <= DRAIN, *at, || {
                let millis = late.as_millis();
                format!("{upstream} gets {id} {millis} ms after it left")
            });
        }
    }

    /// Two upstreams must not both begin requests on a key while both hold it.
    fn judge_owners(&mut self) {
        let mut begun: Vec<(u16, Begun)> = self
            .requests
            .values()
            .flat_map(|request| request.begun.iter())
            .filter_map(|begun| Some((begun.key?, begun.clone())))
            .collect();
        begun.sort_by_key(|(_, begun)| begun.at);
        let mut last: HashMap<(u16, String), Time> = HashMap::new();
        for (key, begun) in begun {
            let other = self.holdings.iter().find(|holding| {
                let holds = holding.first <= key
                    && key <= holding.last
                    && holding.since <= begun.at
                    && begun.at < holding.ends;
                let both_since = holding.since.max(begun.held_since);
                let began = last.get(&(key, holding.upstream.clone()));
                holds
                    && holding.upstream != begun.upstream
                    && began.is_some_and(|began| *began >= both_since)
            });
            let other = other.map(|holding| holding.upstream.clone());
            self.verdict
                .test(Promise::Owner, other.is_none(), begun.at, || {
                    let other = other.unwrap_or_default();
                    format!("{} and {other} both work on key {key}", begun.upstream)
                });
            last.insert((key, begun.upstream), begun.at);
        }
        self.judge_overlaps();
    }

    fn judge_overlaps(&mut self) {
        let holdings = std::mem::take(&mut self.holdings);
        for (index, one) in holdings.iter().enumerate() {
            let other = holdings[index + 1..].iter().find(|other| {
                let from = one.since.max(other.since);
                let until = one.ends.min(other.ends);
                one.upstream != other.upstream
                    && one.first <= other.last
                    && other.first <= one.last
                    && until.since(from) > OVERLAP
            });
            self.verdict
                .test(Promise::Owner, other.is_none(), one.since, || {
                    let other = other.map_or("", |other| other.upstream.as_str());
                    let (first, last) = (one.first, one.last);
                    format!(
                        "{} and {other} both hold keys of {first} to {last}",
                        one.upstream
                    )
                });
        }
        self.holdings = holdings;
    }

    fn judge_budget(&mut self) {
        for service in [crate::config::KEYED, crate::config::POOL] {
            let of_service = |request: &&Request| service_of(&request.path) == service;
            let requests: Vec<&Request> = self.requests.values().filter(of_service).collect();
            let mut asked: Vec<Time> = requests.iter().filter_map(|one| one.asked).collect();
            let mut repeats: Vec<Time> = requests
                .iter()
                .flat_map(|one| one.arrived.iter().skip(1).map(|(at, _)| *at))
                .collect();
            asked.sort_unstable();
            repeats.sort_unstable();
            let mut worst: Option<(Time, usize, f64)> = None;
            for (index, end) in repeats.iter().enumerate() {
                let from = *end - RETRY_WINDOW;
                let first = repeats.partition_point(|at| *at < from);
                let count = index + 1 - first;
                let begin = asked.partition_point(|at| *at < from);
                let until = asked.partition_point(|at| *at <= *end);
                let allowed = RETRY_RATIO * (until - begin) as f64 + RETRY_ALLOWANCE;
                if count as f64 > allowed {
                    worst = Some((*end, count, allowed));
                }
            }
            let at = worst.map_or(Time::ZERO, |(at, _, _)| at);
            self.verdict.test(Promise::Budget, worst.is_none(), at, || {
                format!("{service}: repeats beyond their budget: {worst:?}")
            });
        }
    }

    fn judge_leavers(&mut self) {
        let mut lasting = 0;
        let mut at_work = Vec::new();
        for (id, request) in &self.requests {
            let Some((left, CallerEnd::Left)) = &request.ended else {
                continue;
            };
            let Some(begun) = request.begun.first() else {
                continue;
            };
            let until = *left + LEAVE_TIME;
            let hindered =
                self.disturbed(*left - CONTACT, until, |whom| whom == Disturbed::Upstream);
            let touched = self.in_touch(request.node, *left, until);
            if begun.at > *left || hindered || !touched || request.path.starts_with(ORDER) {
                continue;
            }
            lasting += 1;
            let finished = request.finished.iter().map(|(at, _)| *at).max();
            if finished.is_none_or(|at| at > until) {
                at_work.push(id.clone());
            }
        }
        if lasting < FEW_LEFT {
            return;
        }
        let few = at_work.len() * LEFT_ONE_IN <= lasting;
        self.verdict.test(Promise::Gone, few, Time::ZERO, || {
            format!("{} of {lasting} still at work, {at_work:?}", at_work.len())
        });
    }

    fn judge_recovery(&mut self) {
        let late = self.requests.values().filter(|request| {
            let asked = request
                .asked
                .is_some_and(|asked| asked >= self.history.recovered);
            asked && !request.path.starts_with(PROBE)
        });
        let mut asked = 0;
        let mut served = 0;
        for request in late {
            asked += 1;
            let answered = matches!(
                request.ended,
                Some((
                    _,
                    CallerEnd::Answered {
                        status: 200..=299,
                        ..
                    }
                ))
            );
            served += usize::from(answered);
        }
        if asked == 0 {
            return;
        }
        let holds = served * SERVED_ONE_IN >= asked;
        self.verdict
            .test(Promise::Recover, holds, self.history.recovered, || {
                format!("{served} of {asked} served after the troubles")
            });
    }
}

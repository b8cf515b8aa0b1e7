//! Promises about what upstreams say of themselves in answers: that they leave, that they want
//! rest.

use super::{Checker, Disturbed, Promise, Said};
use crate::config::DRAIN;
use beamtray_types::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long after an answer that asks for rest requests that were under way may come.
const UNDER_WAY: Duration = Duration::from_millis(500);
/// How long an answer may be on its way.
const ON_ITS_WAY: Duration = Duration::from_secs(1);
/// Requests that may come in the rest of it.
const ALLOWED: usize = 2;

/// A request as it came from a router to an upstream.
struct Coming {
    id: String,
    asked: Time,
    at: Time,
}

impl Checker<'_> {
    pub(super) fn judge_words(&mut self) {
        let words = std::mem::take(&mut self.words);
        let comings = self.comings();
        let mut told: BTreeMap<(usize, &str), Time> = BTreeMap::new();
        for word in &words {
            let Some(request) = self.requests.get(&word.request) else {
                continue;
            };
            if self.may_be_lost(word.at) {
                continue;
            }
            let (node, upstream) = (request.node, word.upstream.as_str());
            match word.said {
                Said::Leaves => {
                    told.entry((node, upstream)).or_insert(word.at);
                }
                Said::Rest(rest) => {
                    let of_pair = comings.get(&(node, upstream.to_owned()));
                    let of_pair = of_pair.map_or(&[][..], Vec::as_slice);
                    self.judge_rest(node, upstream, word.at, rest, of_pair);
                }
            }
        }
        for ((node, upstream), at) in told {
            let of_pair = comings.get(&(node, upstream.to_owned()));
            for coming in of_pair.into_iter().flatten() {
                self.judge_leaving(node, upstream, at, coming);
            }
        }
    }

    /// Whether an answer of that time may not have come to its router, the way to some upstream
    /// being harmed.
    fn may_be_lost(&self, at: Time) -> bool {
        self.disturbed(at - ON_ITS_WAY, at + ON_ITS_WAY, |whom| {
            whom == Disturbed::Upstream
        })
    }

    /// Requests by router and upstream.
    fn comings(&self) -> BTreeMap<(usize, String), Vec<Coming>> {
        let mut comings: BTreeMap<(usize, String), Vec<Coming>> = BTreeMap::new();
        for (id, request) in &self.requests {
            let Some(asked) = request.asked else { continue };
            for (at, upstream) in &request.arrived {
                let of_pair = comings.entry((request.node, upstream.clone()));
                of_pair.or_default().push(Coming {
                    id: id.clone(),
                    asked,
                    at: *at,
                });
            }
        }
        comings
    }

    /// A restart or a freeze of the router since the answer excuses it.
    fn judge_leaving(&mut self, node: usize, upstream: &str, told: Time, coming: &Coming) {
        if coming.asked <= told || self.is_interrupted(node, told, coming.at) {
            return;
        }
        let late = coming.asked.since(told);
        self.verdict
            .test(Promise::Drain, late <= DRAIN, coming.at, || {
                let (id, late) = (&coming.id, late.as_millis());
                format!("{upstream} gets {id} {late} ms after it told router {node} that it leaves")
            });
    }

    fn judge_rest(
        &mut self,
        node: usize,
        upstream: &str,
        at: Time,
        rest: Duration,
        comings: &[Coming],
    ) {
        let counts = |coming: &&Coming| {
            let since = coming.at.since(at);
            coming.at > at && since > UNDER_WAY && since < rest
        };
        let late: Vec<&Coming> = comings.iter().filter(counts).collect();
        let last = late.iter().map(|coming| coming.at).max().unwrap_or(at);
        if self.is_interrupted(node, at, last) {
            return;
        }
        let count = late.len();
        self.verdict
            .test(Promise::Rest, count <= ALLOWED, last, || {
                let rest = rest.as_millis();
                format!("{upstream} asked router {node} for {rest} ms of rest and got {count}")
            });
    }

    /// Whether a router was killed, stopped, stood still or was cut off in that time.
    fn is_interrupted(&self, node: usize, from: Time, until: Time) -> bool {
        let mut stops = self.history.stops.iter();
        let stopped = stops.any(|stop| stop.node == node && stop.at <= until && from <= stop.until);
        stopped || self.disturbed(from, until, |whom| whom == Disturbed::Router(node))
    }
}

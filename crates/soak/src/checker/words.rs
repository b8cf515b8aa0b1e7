//! Checks that routers follow the announcements in upstream responses: draining and pauses.

use super::{AnnouncementKind, Checker, Disturbed, Promise};
use crate::config::DRAIN;
use beamtray_types::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long after a requested pause begins requests already in flight may arrive.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);
/// How long a response may be in transit.
const RESPONSE_TRANSIT: Duration = Duration::from_secs(1);
/// Requests allowed during the remaining pause.
const ALLOWED: usize = 2;

/// The arrival of a request at an upstream.
struct ArrivedRequest {
    id: String,
    asked: Time,
    at: Time,
}

impl Checker<'_> {
    pub(super) fn check_announcements(&mut self) {
        let announcements = std::mem::take(&mut self.announcements);
        let arrivals = self.arrivals_by_router();
        let mut told: BTreeMap<(usize, &str), Time> = BTreeMap::new();
        for word in &announcements {
            let Some(request) = self.requests.get(&word.request) else {
                continue;
            };
            if self.may_be_lost(word.at) {
                continue;
            }
            let (node, upstream) = (request.node, word.upstream.as_str());
            match word.kind {
                AnnouncementKind::Leaves => {
                    told.entry((node, upstream)).or_insert(word.at);
                }
                AnnouncementKind::Rest(rest) => {
                    let of_pair = arrivals.get(&(node, upstream.to_owned()));
                    let of_pair = of_pair.map_or(&[][..], Vec::as_slice);
                    self.check_requested_pause(node, upstream, word.at, rest, of_pair);
                }
            }
        }
        for ((node, upstream), at) in told {
            let of_pair = arrivals.get(&(node, upstream.to_owned()));
            for arrival in of_pair.into_iter().flatten() {
                self.check_drain_after_announcement(node, upstream, at, arrival);
            }
        }
    }

    /// Whether a response sent at this time may have been lost to a fault on a link to an
    /// upstream.
    fn may_be_lost(&self, at: Time) -> bool {
        self.disturbed(at - RESPONSE_TRANSIT, at + RESPONSE_TRANSIT, |whom| {
            whom == Disturbed::Upstream
        })
    }

    /// Arrivals by router and upstream.
    fn arrivals_by_router(&self) -> BTreeMap<(usize, String), Vec<ArrivedRequest>> {
        let mut arrivals: BTreeMap<(usize, String), Vec<ArrivedRequest>> = BTreeMap::new();
        for (id, request) in &self.requests {
            let Some(asked) = request.asked else { continue };
            for (at, upstream) in &request.arrived {
                let of_pair = arrivals.entry((request.node, upstream.clone()));
                of_pair.or_default().push(ArrivedRequest {
                    id: id.clone(),
                    asked,
                    at: *at,
                });
            }
        }
        arrivals
    }

    /// Exempts routers that were restarted or suspended since the response.
    fn check_drain_after_announcement(
        &mut self,
        node: usize,
        upstream: &str,
        told: Time,
        arrival: &ArrivedRequest,
    ) {
        if arrival.asked <= told || self.is_interrupted(node, told, arrival.at) {
            return;
        }
        let late = arrival.asked.since(told);
        self.verdict
            .test(Promise::Drain, late <= DRAIN, arrival.at, || {
                let (id, late) = (&arrival.id, late.as_millis());
                format!("{upstream} received {id} {late} ms after it announced draining to router {node}")
            });
    }

    fn check_requested_pause(
        &mut self,
        node: usize,
        upstream: &str,
        at: Time,
        rest: Duration,
        arrivals: &[ArrivedRequest],
    ) {
        let counts = |arrival: &&ArrivedRequest| {
            let since = arrival.at.since(at);
            arrival.at > at && since > IN_FLIGHT_TIME && since < rest
        };
        let late: Vec<&ArrivedRequest> = arrivals.iter().filter(counts).collect();
        let last = late.iter().map(|arrival| arrival.at).max().unwrap_or(at);
        if self.is_interrupted(node, at, last) {
            return;
        }
        let count = late.len();
        self.verdict
            .test(Promise::Rest, count <= ALLOWED, last, || {
                let rest = rest.as_millis();
                format!("{upstream} asked router {node} for a pause of {rest} ms and received {count} requests")
            });
    }

    /// Whether a router was killed, stopped, suspended or cut off in this interval.
    fn is_interrupted(&self, node: usize, from: Time, until: Time) -> bool {
        let mut stops = self.history.stops.iter();
        let stopped = stops.any(|stop| stop.node == node && stop.at <= until && from <= stop.until);
        stopped || self.disturbed(from, until, |whom| whom == Disturbed::Router(node))
    }
}

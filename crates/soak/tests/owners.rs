//! The ownership checks report violations in bad histories only.

use beamtray_soak::{
    DelayedDelivery, FaultEnd, History, Observation, Promise, Report, UpstreamEnd, check,
};
use beamtray_types::Time;

const LEASE_MS: u64 = 3_000;
const KEY: u16 = 7;

fn at(millis: u64) -> Time {
    Time(100_000_000 + millis * 1_000)
}

#[derive(Default)]
struct HistoryBuilder(History);

impl HistoryBuilder {
    fn report(mut self, millis: u64, from: &str, observation: Observation) -> Self {
        self.0.reports.push(Report {
            at: at(millis),
            from: from.to_owned(),
            observation,
        });
        self
    }

    /// An upstream accepts a grant of the first hundred keys.
    fn takes(self, millis: u64, upstream: &str, token: u64) -> Self {
        let (first, last) = (0, 99);
        let taken = Observation::GrantAccepted { first, last, token };
        let held = Observation::KeysHeld {
            first,
            last,
            since: at(millis),
            ends: at(millis + LEASE_MS),
        };
        self.report(millis, upstream, taken)
            .report(millis, upstream, held)
    }

    fn gives_back(self, millis: u64, upstream: &str) -> Self {
        let (first, last) = (0, 99);
        self.report(millis, upstream, Observation::KeysReleased { first, last })
    }

    /// An upstream starts to execute a request that a caller sent.
    fn begins(self, millis: u64, upstream: &str, held_since: u64) -> Self {
        let id = format!("{upstream}-{millis}");
        let path = "/read/7/5".to_owned();
        let asked = Observation::RequestSent {
            id: id.clone(),
            node: 0,
            path: path.clone(),
            repeatable: true,
        };
        let begun = Observation::WorkStarted {
            id: id.clone(),
            path,
            key: Some(KEY),
            held_since: at(held_since),
        };
        self.report(millis, "caller", asked)
            .report(millis, upstream, Observation::RequestArrived { id })
            .report(millis, upstream, begun)
    }

    fn finishes(self, millis: u64, upstream: &str, begun: u64) -> Self {
        let id = format!("{upstream}-{begun}");
        self.report(millis, upstream, Observation::WorkFinished { id })
    }

    fn healed(mut self, millis: u64, upstream: Option<&str>) -> Self {
        let upstream = upstream.map(str::to_owned);
        let at = at(millis);
        self.0.fault_ends.push(FaultEnd { upstream, at });
        self
    }

    fn delayed_delivery(mut self, millis: u64, upstream: &str) -> Self {
        let upstream = upstream.to_owned();
        let at = at(millis);
        self.0
            .delayed_deliveries
            .push(DelayedDelivery { upstream, at });
        self
    }

    fn ended(mut self, millis: u64, upstream: &str) -> Self {
        let upstream = upstream.to_owned();
        let at = at(millis);
        self.0.upstream_ends.push(UpstreamEnd { upstream, at });
        self
    }

    /// Number of ownership violations.
    fn violations(mut self) -> usize {
        self.0.recovered = at(1_000_000);
        let findings = check(&self.0).findings.into_iter();
        let owners = findings.filter(|finding| finding.promise == Promise::Owner);
        owners.count()
    }
}

/// One upstream held the keys and released them, and another one holds them.
fn handed_over() -> HistoryBuilder {
    HistoryBuilder::default()
        .takes(0, "a", 5)
        .gives_back(1_000, "a")
        .takes(1_100, "b", 6)
}

#[test]
fn keys_that_are_handed_over_break_nothing() {
    let story = handed_over()
        .gives_back(2_000, "b")
        .takes(2_100, "a", 7)
        .takes(2_900, "a", 7);
    assert_eq!(story.violations(), 0);
}

#[test]
fn an_old_token_is_objected_to() {
    let story = || handed_over().gives_back(5_000, "b").takes(6_000, "a", 5);
    assert_eq!(story().violations(), 1);
    let equal = handed_over().gives_back(5_000, "b").takes(6_000, "a", 6);
    assert_eq!(equal.violations(), 1);
    // Delayed grants count; those right after the end of a fault are exempt.
    assert_eq!(story().delayed_delivery(5_999, "a").violations(), 1);
    assert_eq!(story().healed(5_800, Some("a")).violations(), 0);
    assert_eq!(story().healed(5_800, None).violations(), 0);
    assert_eq!(story().healed(5_600, Some("a")).violations(), 1);
    assert_eq!(story().healed(5_800, Some("b")).violations(), 1);
}

#[test]
fn two_that_hold_the_same_keys_for_long_are_objected_to() {
    let story = || {
        HistoryBuilder::default()
            .takes(0, "a", 5)
            .takes(1_000, "b", 6)
            .gives_back(1_800, "a")
    };
    assert_eq!(story().violations(), 1);
    assert_eq!(story().delayed_delivery(0, "a").violations(), 0);
    assert_eq!(story().delayed_delivery(999, "b").violations(), 0);
    assert_eq!(story().ended(1_400, "a").violations(), 0);
}

#[test]
fn two_that_work_on_a_key_are_objected_to() {
    // They hold it together for less than half a second.
    let story = || {
        HistoryBuilder::default()
            .takes(0, "a", 5)
            .takes(1_000, "b", 6)
            .begins(1_100, "b", 1_000)
            .finishes(1_105, "b", 1_100)
            .begins(1_200, "a", 0)
            .finishes(1_205, "a", 1_200)
            .gives_back(1_400, "a")
    };
    assert_eq!(story().violations(), 1);
    assert_eq!(story().healed(900, Some("b")).violations(), 0);
}

#[test]
fn keys_on_which_their_last_holder_works_are_objected_to() {
    let story = |finishes, taken| {
        HistoryBuilder::default()
            .takes(0, "a", 5)
            .begins(900, "a", 0)
            .gives_back(1_000, "a")
            .finishes(finishes, "a", 900)
            .takes(taken, "b", 6)
    };
    assert_eq!(story(1_500, 1_600).violations(), 0);
    assert_eq!(story(1_500, 1_400).violations(), 1);
    assert_eq!(
        story(1_500, 1_400)
            .delayed_delivery(1_399, "b")
            .violations(),
        0
    );
    assert_eq!(story(1_500, 1_400).delayed_delivery(0, "a").violations(), 0);
    // The lease has expired.
    assert_eq!(story(3_500, 3_100).violations(), 0);
    let ended = HistoryBuilder::default()
        .takes(0, "a", 5)
        .begins(900, "a", 0)
        .ended(1_000, "a")
        .takes(1_400, "b", 6);
    assert_eq!(ended.violations(), 0);
}

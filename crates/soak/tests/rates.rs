//! The check of announced rate limits reports violations in bad histories only.

use beamtray_soak::{Disturbance, Disturbed, History, Observation, Promise, Report, check};
use beamtray_types::Time;

fn at(millis: u64) -> Time {
    Time(100_000_000 + millis * 1_000)
}

/// An upstream announces four requests per second from 2 s to 12 s: 29 are allowed in four
/// seconds.
struct HistoryBuilder {
    history: History,
    next: usize,
}

impl HistoryBuilder {
    fn new() -> Self {
        let mut story = Self {
            history: History::default(),
            next: 0,
        };
        let named = |rate_milli| Observation::RateAnnounced { rate_milli };
        story.report(2_000, "pool-1", named(Some(4_000)));
        story.report(12_000, "pool-1", named(None));
        story.history.recovered = at(60_000);
        story
    }

    fn report(&mut self, millis: u64, from: &str, observation: Observation) {
        self.history.reports.push(Report {
            at: at(millis),
            from: from.to_owned(),
            observation,
        });
    }

    /// Requests of a router at regular intervals.
    fn requests(mut self, node: usize, from: u64, until: u64, every: usize) -> Self {
        for millis in (from..until).step_by(every) {
            self.next += 1;
            let id = format!("request-{}", self.next);
            let asked = Observation::RequestSent {
                id: id.clone(),
                node,
                path: "/order/5".to_owned(),
                repeatable: true,
            };
            self.report(millis, "caller", asked);
            self.report(
                millis,
                "pool-1",
                Observation::RequestArrived { id: id.clone() },
            );
            self.report(millis + 5, "pool-1", Observation::WorkFinished { id });
        }
        self
    }

    fn disturbed(mut self, whom: Disturbed) -> Self {
        let (from, until) = (at(6_000), at(7_000));
        let disturbance = Disturbance { whom, from, until };
        self.history.disturbances.push(disturbance);
        self
    }

    fn violations(&self) -> usize {
        let findings = check(&self.history).findings.into_iter();
        let limits = findings.filter(|finding| finding.promise == Promise::Limit);
        limits.count()
    }
}

#[test]
fn who_gets_more_than_half_beyond_it_is_objected_to() {
    let within = HistoryBuilder::new().requests(0, 0, 12_000, 145);
    assert_eq!(within.violations(), 0);
    let beyond = HistoryBuilder::new().requests(0, 0, 12_000, 125);
    assert_eq!(beyond.violations(), 1);
    let together = HistoryBuilder::new()
        .requests(0, 0, 12_000, 250)
        .requests(1, 0, 12_000, 250);
    assert_eq!(together.violations(), 1);
}

#[test]
fn what_comes_before_and_after_is_not() {
    let before = HistoryBuilder::new().requests(0, 0, 4_900, 50);
    assert_eq!(before.violations(), 0);
    let after = HistoryBuilder::new().requests(0, 12_001, 20_000, 50);
    assert_eq!(after.violations(), 0);
}

/// Guards against a false violation at the start of a run: callers that started together sent
/// more requests in the half second before the limit was announced than are allowed in four
/// seconds, and three in the next three seconds.
#[test]
fn a_burst_before_the_rate_was_named_is_nobodys_fault() {
    let burst = |every| {
        HistoryBuilder::new()
            .requests(0, 1_500, 2_000, every)
            .requests(0, 2_001, 2_002, 1)
            .requests(0, 2_600, 5_200, 500)
    };
    // 32 and 28 requests arrive before the announcement, seven after it.
    assert_eq!(burst(16).violations(), 0);
    assert_eq!(burst(18).violations(), 1);
}

#[test]
fn routers_that_had_no_such_answer_or_were_disturbed_are_excused() {
    let untold = HistoryBuilder::new()
        .requests(0, 2_500, 4_500, 100)
        .requests(1, 11_000, 11_490, 10);
    assert_eq!(untold.violations(), 0);
    let story = || HistoryBuilder::new().requests(0, 7_000, 9_000, 60);
    assert_eq!(story().violations(), 1);
    assert_eq!(story().disturbed(Disturbed::Router(0)).violations(), 0);
    assert_eq!(story().disturbed(Disturbed::Router(1)).violations(), 1);
    assert_eq!(story().disturbed(Disturbed::Store).violations(), 1);
}

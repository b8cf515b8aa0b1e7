//! The checks of announcements in upstream responses: draining and pauses.

use beamtray_soak::{
    CallerEnd, Disturbance, Disturbed, History, Observation, Promise, Report, check,
};
use beamtray_types::Time;

fn at(millis: u64) -> Time {
    Time(100_000_000 + millis * 1_000)
}

#[derive(Default)]
struct HistoryBuilder {
    history: History,
    requests: usize,
}

impl HistoryBuilder {
    fn report(&mut self, millis: u64, from: &str, observation: Observation) {
        self.history.reports.push(Report {
            at: at(millis),
            from: from.to_owned(),
            observation,
        });
    }

    /// A router's request arrives at the upstream, which may announce something in its response.
    fn request(
        mut self,
        node: usize,
        millis: u64,
        said: Option<fn(String) -> Observation>,
    ) -> Self {
        self.requests += 1;
        let id = format!("r{}", self.requests);
        let asked = Observation::RequestSent {
            id: id.clone(),
            node,
            path: "/order/20".to_owned(),
            repeatable: false,
        };
        self.report(millis, "caller", asked);
        self.report(
            millis,
            "pool-1",
            Observation::RequestArrived { id: id.clone() },
        );
        if let Some(said) = said {
            self.report(millis + 1, "pool-1", said(id.clone()));
        }
        let end = CallerEnd::TimedOut;
        self.report(millis + 5, "caller", Observation::RequestEnded { id, end });
        self
    }

    fn disturbed(mut self, whom: Disturbed, from: u64, until: u64) -> Self {
        self.history.disturbances.push(Disturbance {
            whom,
            from: at(from),
            until: at(until),
        });
        self
    }

    fn broken(&self, promise: Promise) -> usize {
        let verdict = check(&self.history);
        verdict.counts.get(&promise).map_or(0, |count| count.broken)
    }
}

fn leaves(id: String) -> Observation {
    Observation::LeaveAnnounced { id }
}

fn rests(id: String) -> Observation {
    Observation::PauseRequested { id, rest_ms: 3_000 }
}

#[test]
fn a_request_long_after_the_word_of_leaving_is_an_objection() {
    let told = || HistoryBuilder::default().request(0, 10_000, Some(leaves));
    assert_eq!(told().request(0, 11_900, None).broken(Promise::Drain), 0);
    assert_eq!(told().request(0, 12_100, None).broken(Promise::Drain), 1);
    let other = told().request(1, 12_100, None);
    assert_eq!(other.broken(Promise::Drain), 0, "that router was not told");
}

#[test]
fn a_restart_since_the_word_excuses_the_router_and_a_lost_answer_counts_for_nothing() {
    let told = || HistoryBuilder::default().request(0, 10_000, Some(leaves));
    let late = |story: HistoryBuilder| story.request(0, 12_100, None);
    let restarted = told().disturbed(Disturbed::Router(0), 11_000, 11_500);
    assert_eq!(late(restarted).broken(Promise::Drain), 0);
    let other = told().disturbed(Disturbed::Router(1), 11_000, 11_500);
    assert_eq!(late(other).broken(Promise::Drain), 1);
    let before = told().disturbed(Disturbed::Router(0), 5_000, 6_000);
    assert_eq!(late(before).broken(Promise::Drain), 1);
    let lost = told().disturbed(Disturbed::Upstream, 9_900, 10_100);
    assert_eq!(late(lost).broken(Promise::Drain), 0);
}

#[test]
fn three_requests_in_a_rest_are_an_objection() {
    let asked = || HistoryBuilder::default().request(0, 10_000, Some(rests));
    let two = || {
        asked()
            .request(0, 11_000, None)
            .request(0, 11_500, None)
            .request(0, 10_400, None)
            .request(0, 13_100, None)
    };
    assert_eq!(two().broken(Promise::Rest), 0);
    assert_eq!(two().request(0, 12_900, None).broken(Promise::Rest), 1);
    assert_eq!(two().request(1, 12_900, None).broken(Promise::Rest), 0);
    let cut = two()
        .request(0, 12_900, None)
        .disturbed(Disturbed::Router(0), 11_900, 12_000);
    assert_eq!(cut.broken(Promise::Rest), 0);
}

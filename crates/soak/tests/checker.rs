//! Each check reports a violation in a history that violates its guarantee, and none in one
//! that keeps it.

use beamtray_soak::{
    CallerEnd, Disturbance, Disturbed, History, Identity, Observation, PlannedStop, Promise,
    Report, UpstreamEnd, check,
};
use beamtray_types::Time;

const SECOND: u64 = 1_000;

fn at(millis: u64) -> Time {
    Time(100_000_000 + millis * 1_000)
}

#[derive(Default)]
struct HistoryBuilder {
    history: History,
}

impl HistoryBuilder {
    fn report(mut self, millis: u64, from: &str, observation: Observation) -> Self {
        self.history.reports.push(Report {
            at: at(millis),
            from: from.to_owned(),
            observation,
        });
        self
    }

    fn asked(self, millis: u64, id: &str, path: &str) -> Self {
        let asked = Observation::RequestSent {
            id: id.to_owned(),
            node: 0,
            path: path.to_owned(),
            repeatable: !path.starts_with("/order/"),
        };
        self.report(millis, "caller", asked)
    }

    fn begun(self, millis: u64, upstream: &str, id: &str, path: &str) -> Self {
        self.keyed(millis, upstream, id, path, None, 0)
    }

    fn keyed(
        self,
        millis: u64,
        upstream: &str,
        id: &str,
        path: &str,
        key: Option<u16>,
        since: u64,
    ) -> Self {
        let id = id.to_owned();
        let arrived = Observation::RequestArrived { id: id.clone() };
        let begun = Observation::WorkStarted {
            id,
            path: path.to_owned(),
            key,
            held_since: at(since),
        };
        self.report(millis, upstream, arrived)
            .report(millis, upstream, begun)
    }

    fn finished(self, millis: u64, upstream: &str, id: &str) -> Self {
        let id = id.to_owned();
        self.report(millis, upstream, Observation::WorkFinished { id })
    }

    fn ended(self, millis: u64, id: &str, end: CallerEnd) -> Self {
        let id = id.to_owned();
        self.report(millis, "caller", Observation::RequestEnded { id, end })
    }

    fn answered(self, millis: u64, id: &str, status: u16) -> Self {
        let end = CallerEnd::Answered {
            status,
            signed: status == 200,
            sound: status == 200,
        };
        self.ended(millis, id, end)
    }

    fn held(self, millis: u64, upstream: &str, since: u64, ends: u64) -> Self {
        let held = Observation::KeysHeld {
            first: 0,
            last: 99,
            since: at(since),
            ends: at(ends),
        };
        self.report(millis, upstream, held)
    }

    fn disturbed(mut self, whom: Disturbed, from: u64, until: u64) -> Self {
        self.history.disturbances.push(Disturbance {
            whom,
            from: at(from),
            until: at(until),
        });
        self
    }

    fn stopped(mut self, from: u64, until: u64) -> Self {
        self.history.stops.push(PlannedStop {
            node: 0,
            at: at(from),
            until: at(until),
        });
        self
    }

    fn sent_as(self, millis: u64, id: &str, identity: Identity) -> Self {
        let id = id.to_owned();
        self.report(millis, "caller", Observation::SentAs { id, identity })
    }

    fn told(self, id: &str, tenant: Option<&str>, has_key: bool) -> Self {
        let told = Observation::SenderTold {
            id: id.to_owned(),
            tenant: tenant.map(str::to_owned),
            has_key,
        };
        self.report(5, "pool-1", told)
    }

    fn violations(mut self) -> Vec<Promise> {
        if self.history.recovered == Time::ZERO {
            self.history.recovered = at(1_000 * SECOND);
        }
        let verdict = check(&self.history);
        let mut violations: Vec<Promise> = verdict
            .findings
            .iter()
            .map(|finding| finding.promise)
            .collect();
        violations.dedup();
        violations
    }
}

fn served() -> HistoryBuilder {
    HistoryBuilder::default()
        .asked(0, "a", "/order/20")
        .begun(5, "pool-1", "a", "/order/20")
        .finished(25, "pool-1", "a")
        .answered(30, "a", 200)
}

#[test]
fn a_request_that_is_served_breaks_nothing() {
    assert!(served().violations().is_empty());
}

#[test]
fn an_answer_that_is_cut_short_is_mixed() {
    let end = CallerEnd::Answered {
        status: 200,
        signed: true,
        sound: false,
    };
    let story = HistoryBuilder::default()
        .asked(0, "a", "/order/20")
        .begun(5, "pool-1", "a", "/order/20")
        .ended(30, "a", end);
    assert_eq!(story.violations(), [Promise::Mixed]);
}

#[test]
fn a_run_that_nobody_asked_for_is_unasked() {
    let story = HistoryBuilder::default().begun(5, "pool-1", "a", "/order/20");
    assert_eq!(story.violations(), [Promise::Unasked]);
    let changed =
        HistoryBuilder::default()
            .asked(0, "a", "/order/20")
            .begun(5, "pool-1", "a", "/order/21");
    assert_eq!(changed.violations(), [Promise::Unasked]);
}

#[test]
fn what_may_not_be_repeated_and_runs_again_is_twice() {
    let story = served().begun(40, "pool-2", "a", "/order/20");
    assert_eq!(story.violations(), [Promise::Twice]);
    let read = HistoryBuilder::default()
        .asked(0, "a", "/read/1/5")
        .begun(5, "keyed-1", "a", "/read/1/5")
        .begun(9, "keyed-2", "a", "/read/1/5");
    assert!(read.violations().is_empty());
}

#[test]
fn a_refusal_of_what_has_run_is_refused() {
    let story = HistoryBuilder::default()
        .asked(0, "a", "/order/20")
        .begun(5, "pool-1", "a", "/order/20")
        .answered(30, "a", 503);
    assert_eq!(story.violations(), [Promise::Refused]);
    let later = HistoryBuilder::default()
        .asked(0, "a", "/order/20")
        .answered(3, "a", 503)
        .begun(500, "pool-1", "a", "/order/20");
    assert_eq!(later.violations(), [Promise::Refused]);
}

#[test]
fn a_request_at_a_foreign_service_is_route() {
    let story =
        HistoryBuilder::default()
            .asked(0, "a", "/order/20")
            .begun(5, "keyed-1", "a", "/order/20");
    assert_eq!(story.violations(), [Promise::Route]);
}

#[test]
fn two_that_work_on_a_key_are_owner() {
    let story = |ends| {
        HistoryBuilder::default()
            .asked(0, "a", "/read/7/5")
            .asked(0, "b", "/read/7/5")
            .held(0, "keyed-1", 0, ends)
            .held(300, "keyed-2", 300, 9_000)
            .keyed(310, "keyed-1", "a", "/read/7/5", Some(7), 0)
            .keyed(320, "keyed-2", "b", "/read/7/5", Some(7), 300)
    };
    assert_eq!(story(600).violations(), [Promise::Owner]);
    assert!(story(315).violations().is_empty());
    let idle = HistoryBuilder::default()
        .held(0, "keyed-1", 0, 2_000)
        .held(300, "keyed-2", 300, 9_000);
    assert_eq!(idle.violations(), [Promise::Owner]);
}

#[test]
fn a_release_ends_a_holding() {
    let released = Observation::KeysReleased { first: 0, last: 99 };
    let story = HistoryBuilder::default()
        .held(0, "keyed-1", 0, 8_000)
        .report(200, "keyed-1", released)
        .held(300, "keyed-2", 300, 9_000);
    assert!(story.violations().is_empty());
}

#[test]
fn an_upstream_that_has_ended_holds_nothing() {
    let mut story = HistoryBuilder::default()
        .held(0, "keyed-1", 0, 8_000)
        .held(300, "keyed-2", 300, 9_000);
    story.history.upstream_ends.push(UpstreamEnd {
        upstream: "keyed-1".to_owned(),
        at: at(250),
    });
    assert!(story.violations().is_empty());
}

#[test]
fn a_request_long_after_the_upstream_left_is_drain() {
    let left = Observation::UpstreamLeft {
        upstream: "pool-1".to_owned(),
    };
    let story = |millis| {
        HistoryBuilder::default()
            .report(0, "store", left.clone())
            .asked(millis, "a", "/order/20")
            .begun(millis, "pool-1", "a", "/order/20")
    };
    assert!(story(1_900).violations().is_empty());
    assert_eq!(story(2_100).violations(), [Promise::Drain]);
    let cut_off = story(2_100).disturbed(Disturbed::Router(0), 500, 700);
    assert!(cut_off.violations().is_empty());
}

#[test]
fn a_request_cut_at_a_planned_stop_is_lost() {
    let story = || {
        HistoryBuilder::default()
            .asked(4_000, "a", "/order/900")
            .begun(4_005, "pool-1", "a", "/order/900")
            .ended(4_500, "a", CallerEnd::Disconnected)
    };
    let before = story().disturbed(Disturbed::Upstream, 3_900, 4_400);
    assert!(before.violations().is_empty());
    assert_eq!(story().stopped(4_100, 5_000).violations(), [Promise::Lost]);
    let harmed = story()
        .stopped(4_100, 5_000)
        .disturbed(Disturbed::Upstream, 3_900, 4_400);
    assert!(harmed.violations().is_empty());
}

#[test]
fn a_request_cut_while_nothing_is_disturbed_is_lost() {
    let story = |end| {
        HistoryBuilder::default()
            .asked(4_000, "a", "/order/900")
            .begun(4_005, "pool-1", "a", "/order/900")
            .ended(4_500, "a", end)
    };
    let cut = || story(CallerEnd::Disconnected);
    assert_eq!(cut().violations(), [Promise::Lost]);
    assert!(story(CallerEnd::Cancelled).violations().is_empty());
    for whom in [Disturbed::Router(0), Disturbed::Store, Disturbed::Upstream] {
        let harmed = cut().disturbed(whom, 3_000, 3_500);
        assert!(harmed.violations().is_empty(), "{whom:?}");
    }
    assert_eq!(
        cut()
            .disturbed(Disturbed::Router(1), 3_000, 3_500)
            .violations(),
        [Promise::Lost]
    );
    // A request that was not forwarded may have been sent as the router closed the connection.
    let not_passed_on = HistoryBuilder::default()
        .asked(4_000, "a", "/order/900")
        .ended(4_010, "a", CallerEnd::Disconnected);
    assert!(not_passed_on.violations().is_empty());
}

#[test]
fn an_old_configuration_in_force_is_config() {
    let configured = |version| Observation::ConfigurationAccepted { version };
    let story = |path: &str, status| {
        HistoryBuilder::default()
            .report(0, "store", configured(3))
            .report(10_000, "store", configured(4))
            .asked(13_000, "a", path)
            .answered(13_010, "a", status)
    };
    assert_eq!(story("/probe/4/5", 404).violations(), [Promise::Config]);
    assert!(story("/probe/4/5", 503).violations().is_empty());
    assert_eq!(story("/probe/3/5", 503).violations(), [Promise::Config]);
    assert!(story("/probe/3/5", 404).violations().is_empty());
    let cut = story("/probe/4/5", 404).disturbed(Disturbed::Store, 9_000, 11_000);
    assert!(cut.violations().is_empty());
}

#[test]
fn repeats_beyond_their_share_are_budget() {
    let story = |repeats: u64| {
        (0..repeats).fold(HistoryBuilder::default(), |story, index| {
            let id = format!("r{index}");
            let path = "/read/1/5";
            story
                .asked(index, &id, path)
                .begun(index + 1, "keyed-1", &id, path)
                .begun(index + 2, "keyed-2", &id, path)
        })
    };
    assert!(story(30).violations().is_empty());
    assert_eq!(story(60).violations(), [Promise::Budget]);
}

#[test]
fn work_that_goes_on_without_its_caller_is_gone() {
    let story = |finished: u64| {
        (0..8).fold(HistoryBuilder::default(), |story, index| {
            let id = format!("l{index}");
            let path = "/read/1/1200";
            story
                .asked(0, &id, path)
                .begun(5, "keyed-1", &id, path)
                .ended(60, &id, CallerEnd::Cancelled)
                .finished(finished, "keyed-1", &id)
        })
    };
    assert!(story(90).violations().is_empty());
    assert_eq!(story(1_200).violations(), [Promise::Gone]);
}

#[test]
fn too_few_served_after_the_troubles_is_recover() {
    let mut story = served()
        .asked(50_000, "b", "/order/20")
        .answered(50_010, "b", 503);
    story.history.recovered = at(40_000);
    assert_eq!(story.violations(), [Promise::Recover]);
}

// A service that alone is not served hides behind others that are served well.
#[test]
fn a_service_that_alone_is_not_served_is_recover() {
    const REQUESTS: u64 = 60;
    let story = |read_status| {
        let mut story = served();
        story.history.recovered = at(40_000);
        for number in 0..REQUESTS {
            let (order, read) = (format!("order-{number}"), format!("read-{number}"));
            let asked = 50_000 + number;
            story = story
                .asked(asked, &order, "/order/20")
                .begun(asked + 5, "pool-1", &order, "/order/20")
                .finished(asked + 25, "pool-1", &order)
                .answered(asked + 30, &order, 200)
                .asked(asked, &read, "/read/7/20")
                .begun(asked + 5, "keyed-1", &read, "/read/7/20")
                .finished(asked + 25, "keyed-1", &read)
                .answered(asked + 30, &read, read_status);
        }
        story.violations()
    };
    assert!(story(200).is_empty());
    assert_eq!(story(502), [Promise::Recover]);
}

#[test]
fn a_request_for_another_tenant_or_with_its_key_is_tenant() {
    let story = |tenant, has_key| {
        let served = served().sent_as(0, "a", Identity::Steady);
        served.told("a", tenant, has_key).violations()
    };
    assert!(story(Some("steady"), false).is_empty());
    assert_eq!(story(Some("steady"), true), [Promise::Tenant]);
    assert_eq!(story(Some("somebody-else"), false), [Promise::Tenant]);
    assert_eq!(story(None, false), [Promise::Tenant]);
    let anonymous = served().told("a", Some("somebody-else"), false);
    assert_eq!(anonymous.violations(), [Promise::Tenant]);
}

#[test]
fn a_key_that_is_taken_away_and_accepted_is_key() {
    let configured = |version| Observation::ConfigurationAccepted { version };
    let story = |identity, asked: u64, status| {
        HistoryBuilder::default()
            .report(0, "store", configured(3))
            .report(10 * SECOND, "store", configured(4))
            .asked(asked, "a", "/order/20")
            .sent_as(asked, "a", identity)
            .answered(asked + 30, "a", status)
            .violations()
    };
    assert_eq!(
        story(Identity::Fleeting(3), 13 * SECOND, 504),
        [Promise::Key]
    );
    assert_eq!(
        story(Identity::Fleeting(4), 13 * SECOND, 401),
        [Promise::Key]
    );
    assert!(story(Identity::Fleeting(3), 13 * SECOND, 401).is_empty());
    assert!(story(Identity::Fleeting(4), 13 * SECOND, 504).is_empty());
    // While the configuration changes, either may be in force.
    assert!(story(Identity::Fleeting(3), 11 * SECOND, 504).is_empty());
    assert_eq!(story(Identity::Stranger, 11 * SECOND, 504), [Promise::Key]);
    assert_eq!(story(Identity::Steady, 11 * SECOND, 401), [Promise::Key]);
}

#[test]
fn more_requests_of_a_tenant_than_its_quota_are_quota() {
    let story = |count: u64| {
        let mut story = HistoryBuilder::default();
        for number in 0..count {
            let (id, millis) = (format!("r{number}"), number * 600);
            story = story
                .asked(millis, &id, "/order/20")
                .sent_as(millis, &id, Identity::Limited)
                .begun(millis + 5, "pool-1", &id, "/order/20")
                .answered(millis + 30, &id, 200);
        }
        story.violations()
    };
    assert!(story(7).is_empty());
    assert_eq!(story(20), [Promise::Quota]);
}

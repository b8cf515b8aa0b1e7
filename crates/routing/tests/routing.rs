//! Routing: slots, queues, retries, deadlines and what callers are told.

use beamtray_ownership::{Command, CommandBatch, ControlState, NodeRecord};
use beamtray_routing::{
    Answer, CallId, CallerRequest, Forward, GateMap, NotRunReason, RequestId, Router, RouterConfig,
    RouterOutput, RoutingView, RunState, UpstreamAnswer, UpstreamOutcome,
};
use beamtray_settings::{Declaration, DeclarationChange};
use beamtray_types::{
    Fence, Generation, Incarnation, LogIndex, Member, NodeId, OperationId, Revision, ServerName,
    Term, Time, Zone,
};

const DECLARATION: &str = r#"
[[service]]
name = "accounts"
slices_per_server = 1
deadline_millis = 1000
queue = 3
retry_share = 0.5
[[service.server]]
name = "a1"
address = "10.0.0.1:80"
zone = "z1"
slots = 2

[[service]]
name = "pool"
division = "pool"
deadline_millis = 1000
[[service.server]]
name = "p1"
address = "10.0.1.1:80"
zone = "z1"
[[service.server]]
name = "p2"
address = "10.0.1.2:80"
zone = "z1"
"#;

const ME: Member = Member {
    node: NodeId(1),
    incarnation: Incarnation(1),
};

fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

/// One node that is ingress and gate, and a state that owns everything.
struct Bench {
    router: Router,
    state: ControlState,
    gates: GateMap,
    fresh: bool,
    index: u64,
}

impl Bench {
    fn new() -> Self {
        let config = RouterConfig {
            seed: 1,
            track_unknown_outcomes: true,
            drop_duplicate_attempts: true,
        };
        let mut bench = Self {
            router: Router::new(config),
            state: ControlState::default(),
            gates: GateMap::default(),
            fresh: true,
            index: 0,
        };
        let declaration = Declaration::parse("test", DECLARATION).expect("valid");
        bench.apply(Command::Configure {
            operation: OperationId(1),
            revision: Revision(1),
            base: Revision(0),
            changes: vec![DeclarationChange::Replace(declaration)],
        });
        let record = NodeRecord {
            incarnation: ME.incarnation,
            zone: Zone::from("z1"),
        };
        bench.apply(Command::SetNode {
            node: ME.node,
            record: Some(record),
        });
        bench.assign("a1");
        bench
    }

    fn apply(&mut self, command: Command) {
        self.index += 1;
        let fence = Fence::new(Generation(1), Term(1), LogIndex(self.index));
        let commands = vec![command];
        self.state.apply(fence, &CommandBatch { commands });
        self.gates = GateMap::from_state(&self.state);
    }

    fn owner_fence(&self) -> Option<Fence> {
        self.state.services[&"accounts".into()]
            .get(0)?
            .ownership
            .fence()
    }

    fn assign(&mut self, server: &str) {
        let expected = self.owner_fence();
        self.apply(Command::Assign {
            service: "accounts".into(),
            first: 0,
            expected,
            to: ServerName::from(server),
        });
    }

    fn revoke(&mut self) {
        let expected = self.owner_fence().expect("owned");
        self.apply(Command::Revoke {
            service: "accounts".into(),
            first: 0,
            expected,
            to: None,
        });
    }

    fn with<T>(&mut self, step: impl FnOnce(&mut Router, &RoutingView) -> T) -> T {
        let view = RoutingView {
            me: ME,
            state: &self.state,
            gates: &self.gates,
            fresh: self.fresh,
        };
        step(&mut self.router, &view)
    }

    fn request(&mut self, now: Time, id: u64, request: CallerRequest) -> Vec<RouterOutput> {
        self.with(|router, view| router.on_request(now, view, RequestId(id), request))
    }

    fn result(&mut self, now: Time, call: CallId, outcome: UpstreamOutcome) -> Vec<RouterOutput> {
        self.with(|router, view| router.on_call_result(now, view, call, outcome))
    }

    fn tick(&mut self, now: Time) -> Vec<RouterOutput> {
        self.with(|router, view| router.tick(now, view))
    }
}

fn request(service: &str, method: &str) -> CallerRequest {
    CallerRequest {
        service: service.into(),
        key: Some("key".to_owned()),
        method: method.to_owned(),
        path: String::new(),
        target: String::new(),
        headers: Vec::new(),
        body: Vec::new(),
        deadline_micros: None,
        idempotency_key: None,
    }
}

fn calls(outputs: &[RouterOutput]) -> Vec<(CallId, Forward)> {
    let calls = outputs.iter().filter_map(|output| match output {
        RouterOutput::Call { call, forward, .. } => Some((*call, forward.clone())),
        _ => None,
    });
    calls.collect()
}

fn answers(outputs: &[RouterOutput]) -> Vec<&Answer> {
    let answers = outputs.iter().filter_map(|output| match output {
        RouterOutput::Answer { answer, .. } => Some(answer),
        _ => None,
    });
    answers.collect()
}

fn answered() -> UpstreamOutcome {
    UpstreamOutcome::Answered(UpstreamAnswer {
        status: 200,
        headers: Vec::new(),
        body: b"body".to_vec(),
    })
}

fn lost() -> UpstreamOutcome {
    UpstreamOutcome::Lost {
        cause: "reset".to_owned(),
    }
}

fn not_run(reason: NotRunReason) -> UpstreamOutcome {
    UpstreamOutcome::NotRun {
        reason,
        retry_after_micros: None,
    }
}

#[test]
fn slots_hold_and_the_queue_is_bounded() {
    let mut bench = Bench::new();
    let mut sent = Vec::new();
    let mut refused = Vec::new();
    for id in 0..8 {
        let outputs = bench.request(at(0), id, request("accounts", "GET"));
        sent.extend(calls(&outputs));
        refused.extend(answers(&outputs).into_iter().cloned());
    }
    assert_eq!(sent.len(), 2, "two slots");
    assert_eq!(refused.len(), 3, "three wait");
    for answer in &refused {
        assert_eq!(answer.run_state, RunState::NotRun);
        assert!(answer.retry_after.is_some());
    }
    let outputs = bench.result(at(5), sent[0].0, answered());
    assert_eq!(answers(&outputs).len(), 1);
    assert_eq!(calls(&outputs).len(), 1, "the next in the queue");
}

#[test]
fn a_lost_read_is_tried_again_and_a_lost_transfer_is_unknown() {
    let mut bench = Bench::new();
    let (call, _) = calls(&bench.request(at(0), 1, request("accounts", "GET")))[0].clone();
    assert_eq!(calls(&bench.result(at(5), call, lost())).len(), 1);

    let (call, _) = calls(&bench.request(at(10), 2, request("accounts", "POST")))[0].clone();
    let outputs = bench.result(at(15), call, lost());
    assert!(calls(&outputs).is_empty());
    let answer = answers(&outputs)[0];
    assert_eq!(answer.run_state, RunState::Unknown);
    assert_eq!(answer.retry_after, None, "nothing invites a repetition");
}

#[test]
fn retries_end_with_the_budget() {
    let mut bench = Bench::new();
    let mut sent = calls(&bench.request(at(0), 1, request("accounts", "GET")));
    let mut tries = 0;
    while let Some((call, _)) = sent.pop() {
        tries += 1;
        assert!(tries < 50, "retries never end");
        let outputs = bench.result(at(tries), call, lost());
        sent = calls(&outputs);
    }
    assert!(tries > 1);
}

#[test]
fn a_transfer_refused_by_its_owner_waits_for_the_next_one() {
    let mut bench = Bench::new();
    let (call, first) = calls(&bench.request(at(0), 1, request("accounts", "POST")))[0].clone();
    bench.revoke();
    let outputs = bench.result(at(5), call, not_run(NotRunReason::NotOwner));
    assert!(calls(&outputs).is_empty() && answers(&outputs).is_empty());
    bench.assign("a1");
    let again = calls(&bench.tick(at(10)));
    assert_eq!(again.len(), 1);
    assert!(again[0].1.fence > first.fence);
}

#[test]
fn an_owner_that_was_replaced_is_given_up_on() {
    let mut bench = Bench::new();
    bench.request(at(0), 1, request("accounts", "POST"));
    bench.revoke();
    bench.assign("a1");
    assert!(
        answers(&bench.tick(at(10))).is_empty(),
        "its answer may be on the way"
    );
    let outputs = bench.tick(at(400));
    assert_eq!(answers(&outputs)[0].run_state, RunState::Unknown);
}

#[test]
fn a_late_answer_is_nobodys() {
    let mut bench = Bench::new();
    let (call, _) = calls(&bench.request(at(0), 1, request("accounts", "POST")))[0].clone();
    let outputs = bench.tick(at(1_000));
    assert_eq!(answers(&outputs)[0].run_state, RunState::Unknown);
    let late = bench.result(at(1_005), call, answered());
    assert!(answers(&late).is_empty());
    assert!(bench.router.is_idle());
}

#[test]
fn a_request_that_never_left_is_not_run_at_its_deadline() {
    let mut bench = Bench::new();
    bench.revoke();
    bench.request(at(0), 1, request("accounts", "POST"));
    let outputs = bench.tick(at(1_000));
    assert_eq!(answers(&outputs)[0].run_state, RunState::NotRun);
}

#[test]
fn deadlines_are_passed_on_reduced() {
    let mut bench = Bench::new();
    let mut short = request("accounts", "GET");
    short.deadline_micros = Some(300_000);
    let sent = calls(&bench.request(at(0), 1, short));
    assert_eq!(sent[0].1.remaining_micros, 300_000);
}

#[test]
fn a_caller_that_goes_leaves_the_queue() {
    let mut bench = Bench::new();
    for id in 0..3 {
        bench.request(at(0), id, request("accounts", "GET"));
    }
    assert_eq!(bench.router.queued(), 1);
    bench.with(|router, view| router.on_caller_disconnected(at(1), view, RequestId(2)));
    assert_eq!(bench.router.queued(), 0);
}

#[test]
fn a_try_that_comes_twice_runs_once() {
    let mut bench = Bench::new();
    let (_, forward) = calls(&bench.request(at(0), 1, request("accounts", "POST")))[0].clone();
    let again = bench.with(|router, view| router.on_forward(at(1), view, ME, forward));
    assert!(again.is_empty());
}

#[test]
fn a_node_out_of_touch_admits_and_sends_nothing() {
    let mut bench = Bench::new();
    bench.revoke();
    bench.request(at(0), 1, request("accounts", "GET"));
    bench.assign("a1");
    bench.fresh = false;
    assert!(calls(&bench.tick(at(50))).is_empty());
    let outputs = bench.request(at(60), 2, request("accounts", "GET"));
    assert_eq!(answers(&outputs)[0].status, 503);
    assert_eq!(answers(&outputs)[0].run_state, RunState::NotRun);
}

#[test]
fn a_stopping_node_refuses_new_requests_and_ends_the_old() {
    let mut bench = Bench::new();
    let (call, _) = calls(&bench.request(at(0), 1, request("accounts", "GET")))[0].clone();
    bench.router.stop();
    let refused = bench.request(at(1), 2, request("accounts", "GET"));
    assert_eq!(answers(&refused)[0].run_state, RunState::NotRun);
    let outputs = bench.result(at(5), call, answered());
    assert_eq!(answers(&outputs)[0].run_state, RunState::Complete);
    assert!(bench.router.is_idle());
}

#[test]
fn a_draining_back_end_gets_nothing_more() {
    let mut bench = Bench::new();
    let mut next = bench.state.declaration.clone();
    next.services[1].servers[0].drain = true;
    bench.apply(Command::Configure {
        operation: OperationId(2),
        revision: Revision(2),
        base: Revision(1),
        changes: vec![DeclarationChange::Replace(next)],
    });
    for id in 0..10 {
        for (call, forward) in calls(&bench.request(at(id), id, request("pool", "GET"))) {
            assert_eq!(forward.server.as_str(), "p2");
            bench.result(at(id), call, answered());
        }
    }
}

#[test]
fn a_failing_back_end_is_left_out_for_a_while() {
    let mut bench = Bench::new();
    let mut after_failures = [0, 0];
    for id in 0..200u64 {
        let now = at(id * 4);
        let Some((call, forward)) = calls(&bench.request(now, id, request("pool", "POST"))).pop()
        else {
            continue;
        };
        let fails = forward.server.as_str() == "p1";
        if id >= 100 {
            after_failures[usize::from(!fails)] += 1;
        }
        bench.result(now, call, if fails { lost() } else { answered() });
    }
    assert!(
        after_failures[0] * 4 < after_failures[1],
        "{after_failures:?}"
    );
}

#[test]
fn nodes_with_one_view_agree_on_gates() {
    let bench = Bench::new();
    let one = GateMap::from_state(&bench.state).get(&ServerName::from("a1"));
    let other = GateMap::from_state(&bench.state.clone()).get(&ServerName::from("a1"));
    assert_eq!(one, other);
    assert_eq!(one, Some(ME.node));
}

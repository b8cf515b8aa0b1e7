//! Tests of slots, queues, retries, deadlines and final answers.

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

/// A single node that is both ingress and gate, with a control state in which
/// every slice has an owner.
struct Harness {
    router: Router,
    state: ControlState,
    gates: GateMap,
    fresh: bool,
    index: u64,
}

impl Harness {
    fn new() -> Self {
        let config = RouterConfig {
            seed: 1,
            track_unknown_outcomes: true,
            drop_duplicate_attempts: true,
        };
        let mut harness = Self {
            router: Router::new(config),
            state: ControlState::default(),
            gates: GateMap::default(),
            fresh: true,
            index: 0,
        };
        let declaration = Declaration::parse("test", DECLARATION).expect("valid");
        harness.apply(Command::Configure {
            operation: OperationId(1),
            revision: Revision(1),
            base: Revision(0),
            changes: vec![DeclarationChange::Replace(declaration)],
        });
        let record = NodeRecord {
            incarnation: ME.incarnation,
            zone: Zone::from("z1"),
        };
        harness.apply(Command::SetNode {
            node: ME.node,
            record: Some(record),
        });
        harness.assign("a1");
        harness
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
fn slots_and_queue_length_are_limited() {
    let mut harness = Harness::new();
    let mut sent = Vec::new();
    let mut refused = Vec::new();
    for id in 0..8 {
        let outputs = harness.request(at(0), id, request("accounts", "GET"));
        sent.extend(calls(&outputs));
        refused.extend(answers(&outputs).into_iter().cloned());
    }
    assert_eq!(sent.len(), 2, "one request per slot is sent");
    assert_eq!(
        refused.len(),
        3,
        "requests beyond slots and queue are refused"
    );
    for answer in &refused {
        assert_eq!(answer.run_state, RunState::NotRun);
        assert!(answer.retry_after.is_some());
    }
    let outputs = harness.result(at(5), sent[0].0, answered());
    assert_eq!(answers(&outputs).len(), 1);
    assert_eq!(
        calls(&outputs).len(),
        1,
        "the freed slot takes the next queued request"
    );
}

#[test]
fn lost_get_is_retried_and_lost_post_is_unknown() {
    let mut harness = Harness::new();
    let (call, _) = calls(&harness.request(at(0), 1, request("accounts", "GET")))[0].clone();
    assert_eq!(calls(&harness.result(at(5), call, lost())).len(), 1);

    let (call, _) = calls(&harness.request(at(10), 2, request("accounts", "POST")))[0].clone();
    let outputs = harness.result(at(15), call, lost());
    assert!(calls(&outputs).is_empty());
    let answer = answers(&outputs)[0];
    assert_eq!(answer.run_state, RunState::Unknown);
    assert_eq!(
        answer.retry_after, None,
        "a non-repeatable request must not get a retry delay"
    );
}

#[test]
fn retries_stop_when_the_budget_is_spent() {
    let mut harness = Harness::new();
    let mut sent = calls(&harness.request(at(0), 1, request("accounts", "GET")));
    let mut attempts = 0;
    while let Some((call, _)) = sent.pop() {
        attempts += 1;
        assert!(attempts < 50, "retries never end");
        let outputs = harness.result(at(attempts), call, lost());
        sent = calls(&outputs);
    }
    assert!(attempts > 1);
}

#[test]
fn post_refused_by_former_owner_is_sent_to_the_next_owner() {
    let mut harness = Harness::new();
    let (call, first) = calls(&harness.request(at(0), 1, request("accounts", "POST")))[0].clone();
    harness.revoke();
    let outputs = harness.result(at(5), call, not_run(NotRunReason::NotOwner));
    assert!(calls(&outputs).is_empty() && answers(&outputs).is_empty());
    harness.assign("a1");
    let again = calls(&harness.tick(at(10)));
    assert_eq!(again.len(), 1);
    assert!(again[0].1.fence > first.fence);
}

#[test]
fn attempt_at_replaced_owner_is_abandoned_after_a_grace_period() {
    let mut harness = Harness::new();
    harness.request(at(0), 1, request("accounts", "POST"));
    harness.revoke();
    harness.assign("a1");
    assert!(
        answers(&harness.tick(at(10))).is_empty(),
        "the answer may still arrive during the grace period"
    );
    let outputs = harness.tick(at(400));
    assert_eq!(answers(&outputs)[0].run_state, RunState::Unknown);
}

#[test]
fn late_answer_is_dropped() {
    let mut harness = Harness::new();
    let (call, _) = calls(&harness.request(at(0), 1, request("accounts", "POST")))[0].clone();
    let outputs = harness.tick(at(1_000));
    assert_eq!(answers(&outputs)[0].run_state, RunState::Unknown);
    let late = harness.result(at(1_005), call, answered());
    assert!(answers(&late).is_empty());
    assert!(harness.router.is_idle());
}

#[test]
fn request_never_sent_is_not_run_at_its_deadline() {
    let mut harness = Harness::new();
    harness.revoke();
    harness.request(at(0), 1, request("accounts", "POST"));
    let outputs = harness.tick(at(1_000));
    assert_eq!(answers(&outputs)[0].run_state, RunState::NotRun);
}

#[test]
fn remaining_time_is_forwarded() {
    let mut harness = Harness::new();
    let mut short = request("accounts", "GET");
    short.deadline_micros = Some(300_000);
    let sent = calls(&harness.request(at(0), 1, short));
    assert_eq!(sent[0].1.remaining_micros, 300_000);
}

#[test]
fn request_of_disconnected_caller_leaves_the_queue() {
    let mut harness = Harness::new();
    for id in 0..3 {
        harness.request(at(0), id, request("accounts", "GET"));
    }
    assert_eq!(harness.router.queued(), 1);
    harness.with(|router, view| router.on_caller_disconnected(at(1), view, RequestId(2)));
    assert_eq!(harness.router.queued(), 0);
}

#[test]
fn duplicate_forward_is_dropped() {
    let mut harness = Harness::new();
    let (_, forward) = calls(&harness.request(at(0), 1, request("accounts", "POST")))[0].clone();
    let again = harness.with(|router, view| router.on_forward(at(1), view, ME, forward));
    assert!(again.is_empty());
}

#[test]
fn node_with_stale_state_admits_and_sends_nothing() {
    let mut harness = Harness::new();
    harness.revoke();
    harness.request(at(0), 1, request("accounts", "GET"));
    harness.assign("a1");
    harness.fresh = false;
    assert!(calls(&harness.tick(at(50))).is_empty());
    let outputs = harness.request(at(60), 2, request("accounts", "GET"));
    assert_eq!(answers(&outputs)[0].status, 503);
    assert_eq!(answers(&outputs)[0].run_state, RunState::NotRun);
}

#[test]
fn stopping_node_refuses_new_requests_and_completes_pending_ones() {
    let mut harness = Harness::new();
    let (call, _) = calls(&harness.request(at(0), 1, request("accounts", "GET")))[0].clone();
    harness.router.stop();
    let refused = harness.request(at(1), 2, request("accounts", "GET"));
    assert_eq!(answers(&refused)[0].run_state, RunState::NotRun);
    let outputs = harness.result(at(5), call, answered());
    assert_eq!(answers(&outputs)[0].run_state, RunState::Complete);
    assert!(harness.router.is_idle());
}

#[test]
fn draining_backend_receives_no_requests() {
    let mut harness = Harness::new();
    let mut next = harness.state.declaration.clone();
    next.services[1].servers[0].drain = true;
    harness.apply(Command::Configure {
        operation: OperationId(2),
        revision: Revision(2),
        base: Revision(1),
        changes: vec![DeclarationChange::Replace(next)],
    });
    for id in 0..10 {
        for (call, forward) in calls(&harness.request(at(id), id, request("pool", "GET"))) {
            assert_eq!(forward.server.as_str(), "p2");
            harness.result(at(id), call, answered());
        }
    }
}

#[test]
fn failing_backend_is_ejected() {
    let mut harness = Harness::new();
    let mut after_failures = [0, 0];
    for id in 0..200u64 {
        let now = at(id * 4);
        let Some((call, forward)) = calls(&harness.request(now, id, request("pool", "POST"))).pop()
        else {
            continue;
        };
        let fails = forward.server.as_str() == "p1";
        if id >= 100 {
            after_failures[usize::from(!fails)] += 1;
        }
        harness.result(now, call, if fails { lost() } else { answered() });
    }
    assert!(
        after_failures[0] * 4 < after_failures[1],
        "{after_failures:?}"
    );
}

#[test]
fn nodes_with_the_same_state_select_the_same_gates() {
    let harness = Harness::new();
    let one = GateMap::from_state(&harness.state).get(&ServerName::from("a1"));
    let other = GateMap::from_state(&harness.state.clone()).get(&ServerName::from("a1"));
    assert_eq!(one, other);
    assert_eq!(one, Some(ME.node));
}

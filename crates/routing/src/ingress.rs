//! The ingress role: takes a caller's request to its single final answer.
//!
//! Invariant: a request is retried only if the previous attempt provably did
//! not run or the request is repeatable. A final answer is `not-run` only if
//! every attempt provably did not run.

use crate::budget::RetryBudget;
use crate::message::{Answer, AttemptId, CallerRequest, Forward, RequestId, RunState};
use crate::pending::{Attempt, Pending, Stage};
use crate::pool::Pool;
use crate::router::{RouterConfig, RouterOutput, RoutingView};
use beamtray_settings::{Division, ServiceDeclaration};
use beamtray_types::{Fence, NodeId, ServerName, ServiceName, Time};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::Duration;

/// Delay before a retry after an attempt was refused with a wrong owner or
/// gate. A new view ends it early.
pub(crate) const REROUTE_DELAY: Duration = Duration::from_millis(20);
/// How long to wait for the answer of an attempt after its slice was assigned
/// to another owner. A planned move waits for requests in flight, so their
/// answers are about to arrive; a failed owner will not answer.
const SUPERSEDED_OWNER_GRACE: Duration = Duration::from_millis(300);
/// Retry delay told to callers while ownership is moving or this node's state
/// is stale.
const RETRY_AFTER_UNAVAILABLE: Duration = Duration::from_millis(1_000);
/// Retry delay told to callers of a stopping node: short, because another node
/// can serve the retry immediately.
const RETRY_AFTER_STOP: Duration = Duration::from_millis(100);

/// Callers' requests that have no final answer yet.
#[derive(Debug)]
pub(crate) struct Ingress {
    pub(crate) pending: BTreeMap<RequestId, Pending>,
    pub(crate) attempts: BTreeMap<u64, RequestId>,
    next_attempt: u64,
    pub(crate) waiting: BTreeMap<ServiceName, usize>,
    pub(crate) budgets: BTreeMap<ServiceName, RetryBudget>,
    pub(crate) pools: BTreeMap<ServiceName, Pool>,
    rng: ChaCha8Rng,
    stopping: bool,
    pub(crate) track_unknown_outcomes: bool,
}

impl Ingress {
    pub(crate) fn new(config: RouterConfig) -> Self {
        Self {
            pending: BTreeMap::new(),
            attempts: BTreeMap::new(),
            next_attempt: 0,
            waiting: BTreeMap::new(),
            budgets: BTreeMap::new(),
            pools: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            stopping: false,
            track_unknown_outcomes: config.track_unknown_outcomes,
        }
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    pub(crate) fn pending(&self) -> usize {
        self.pending.len()
    }

    pub(crate) fn stop(&mut self) {
        self.stopping = true;
    }

    pub(crate) fn on_request(
        &mut self,
        now: Time,
        view: &RoutingView,
        id: RequestId,
        request: CallerRequest,
        outputs: &mut Vec<RouterOutput>,
    ) {
        let refuse = |status, reason: &str, after| RouterOutput::Answer {
            request: id,
            answer: Answer::failure(status, RunState::NotRun, reason, after),
        };
        if self.stopping {
            let output = refuse(503, "this node is stopping", Some(RETRY_AFTER_STOP));
            return outputs.push(output);
        }
        if !view.fresh {
            let reason = "this node is out of touch with its control group";
            return outputs.push(refuse(503, reason, Some(RETRY_AFTER_UNAVAILABLE)));
        }
        let Some(service) = view.state.declaration.service(&request.service) else {
            return outputs.push(refuse(404, "no such service", None));
        };
        if service.division == Division::Keyed && request.key.is_none() {
            return outputs.push(refuse(
                400,
                "the service is keyed and the path has no key",
                None,
            ));
        }
        let max_deadline = Duration::from_millis(service.deadline_millis);
        let requested = request.deadline_micros.map(Duration::from_micros);
        let deadline =
            now + requested.map_or(max_deadline, |requested| requested.min(max_deadline));
        self.budgets
            .entry(service.name.clone())
            .or_insert_with(|| RetryBudget::new(service.retry_share))
            .deposit();
        let keyed = service.division == Division::Keyed;
        let path = request.rule_path(keyed);
        let repeatable = service.is_repeatable(&request.method, &path);
        let pending = Pending {
            request,
            repeatable,
            deadline,
            may_have_run: false,
            reroutes: 0,
            stage: Stage::Waiting {
                until: now,
                view: 0,
            },
        };
        *self.waiting.entry(service.name.clone()).or_default() += 1;
        self.pending.insert(id, pending);
        self.route(now, view, id, outputs);
    }

    pub(crate) fn on_caller_disconnected(
        &mut self,
        _now: Time,
        id: RequestId,
        outputs: &mut Vec<RouterOutput>,
    ) {
        let Some(pending) = self.remove(id) else {
            return;
        };
        if let Stage::Sent(attempt) = pending.stage {
            self.attempts.remove(&attempt.id.number);
            outputs.push(attempt.cancellation());
        }
    }

    /// Sends a waiting request to its upstream's gate, or keeps it waiting if
    /// it cannot be routed.
    pub(crate) fn route(
        &mut self,
        now: Time,
        view: &RoutingView,
        id: RequestId,
        outputs: &mut Vec<RouterOutput>,
    ) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let Some(service) = view.state.declaration.service(&pending.request.service) else {
            return self.fail(id, 404, "the service is no longer declared", None, outputs);
        };
        if !view.fresh {
            // Stale state may name a server that has since been drained or
            // replaced.
            return self.wait_for_route(now, view, service, id, REROUTE_DELAY, outputs);
        }
        let Some((server, fence)) = self.select_upstream(now, view, service, id) else {
            return self.wait_for_route(now, view, service, id, REROUTE_DELAY, outputs);
        };
        let Some(gate) = view.gates.get(&server) else {
            return self.wait_for_route(now, view, service, id, REROUTE_DELAY, outputs);
        };
        let number = self.next_attempt;
        self.next_attempt += 1;
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        let attempt = AttemptId {
            ingress: view.me,
            number,
        };
        let forward = Forward {
            attempt,
            server: server.clone(),
            fence,
            remaining_micros: pending.deadline.since(now).as_micros() as u64,
            repeatable: pending.repeatable,
            request: pending.request.clone(),
        };
        pending.stage = Stage::Sent(Attempt {
            id: attempt,
            gate,
            server: server.clone(),
            fence,
            superseded_since: None,
        });
        self.decrement_waiting(&service.name);
        self.attempts.insert(number, id);
        if let Some(pool) = self.pools.get_mut(&service.name) {
            pool.record_start(&server);
        }
        outputs.push(RouterOutput::Forward { to: gate, forward });
    }

    /// Selects the upstream of a request and returns the fence of its
    /// ownership.
    ///
    /// The key is hashed only for keyed services.
    fn select_upstream(
        &mut self,
        now: Time,
        view: &RoutingView,
        service: &ServiceDeclaration,
        id: RequestId,
    ) -> Option<(ServerName, Option<Fence>)> {
        if service.division == Division::Keyed {
            let hash = self.pending.get(&id)?.request.hash()?;
            let (_, slice) = view.state.services.get(&service.name)?.find(hash)?;
            let owner = slice.ownership.owner()?;
            return Some((owner.clone(), slice.ownership.fence()));
        }
        let candidates: Vec<ServerName> = service
            .servers
            .iter()
            .filter(|server| !view.state.is_leaving(&server.name))
            .map(|server| server.name.clone())
            .collect();
        let pool = self.pools.entry(service.name.clone()).or_default();
        let chosen = pool.choose(now, &candidates, &mut self.rng)?;
        Some((chosen, None))
    }

    /// Keeps a request waiting until a new view arrives or `delay` ends, or
    /// refuses it if too many requests of the service wait.
    pub(crate) fn wait_for_route(
        &mut self,
        now: Time,
        view: &RoutingView,
        service: &ServiceDeclaration,
        id: RequestId,
        delay: Duration,
        outputs: &mut Vec<RouterOutput>,
    ) {
        let waiting = self.waiting.get(&service.name).copied().unwrap_or(0);
        if waiting > service.queue as usize {
            let reason = "too many requests wait for an owner";
            return self.fail(id, 503, reason, Some(RETRY_AFTER_UNAVAILABLE), outputs);
        }
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.stage = Stage::Waiting {
                until: now + delay,
                view: view.state.applied.0,
            };
        }
    }

    pub(crate) fn on_node_disconnected(
        &mut self,
        now: Time,
        view: &RoutingView,
        node: NodeId,
        outputs: &mut Vec<RouterOutput>,
    ) {
        let lost: Vec<(RequestId, u64)> = self
            .pending
            .iter()
            .filter_map(|(id, pending)| match &pending.stage {
                Stage::Sent(attempt) if attempt.gate == node => Some((*id, attempt.id.number)),
                _ => None,
            })
            .collect();
        for (id, number) in lost {
            self.attempts.remove(&number);
            self.on_lost(
                now,
                view,
                id,
                "the connection to the gate was lost",
                outputs,
            );
        }
    }

    /// Fails requests past their deadline, routes waiting requests whose delay
    /// ended or for which a new view arrived, and abandons attempts at replaced
    /// owners.
    pub(crate) fn tick(&mut self, now: Time, view: &RoutingView, outputs: &mut Vec<RouterOutput>) {
        let ids: Vec<RequestId> = self.pending.keys().copied().collect();
        for id in ids {
            self.tick_request(now, view, id, outputs);
        }
    }

    fn tick_request(
        &mut self,
        now: Time,
        view: &RoutingView,
        id: RequestId,
        outputs: &mut Vec<RouterOutput>,
    ) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        if now >= pending.deadline {
            if let Stage::Sent(attempt) = &pending.stage {
                outputs.push(attempt.cancellation());
            }
            let reason = "the deadline passed";
            return self.fail(id, 504, reason, Some(RETRY_AFTER_UNAVAILABLE), outputs);
        }
        match &mut pending.stage {
            Stage::Waiting { until, view: seen } => {
                if now >= *until || view.state.applied.0 > *seen {
                    self.route(now, view, id, outputs);
                }
            }
            Stage::Sent(attempt) => {
                let hash = pending.request.hash();
                let table = view.state.services.get(&pending.request.service);
                let owned = hash.and_then(|hash| table?.find(hash));
                let replaced = owned.is_some_and(|(_, slice)| {
                    slice.ownership.owner().is_some() && slice.ownership.fence() != attempt.fence
                });
                if attempt.fence.is_none() || !replaced {
                    attempt.superseded_since = None;
                    return;
                }
                let since = *attempt.superseded_since.get_or_insert(now);
                if now.since(since) >= SUPERSEDED_OWNER_GRACE {
                    let attempt = attempt.clone();
                    self.attempts.remove(&attempt.id.number);
                    outputs.push(attempt.cancellation());
                    self.on_lost(now, view, id, "the owner was replaced", outputs);
                }
            }
        }
    }

    pub(crate) fn remove(&mut self, id: RequestId) -> Option<Pending> {
        let pending = self.pending.remove(&id)?;
        if matches!(pending.stage, Stage::Waiting { .. }) {
            let name = pending.request.service.clone();
            self.decrement_waiting(&name);
        }
        Some(pending)
    }

    fn decrement_waiting(&mut self, service: &ServiceName) {
        if let Some(waiting) = self.waiting.get_mut(service) {
            *waiting = waiting.saturating_sub(1);
        }
    }
}

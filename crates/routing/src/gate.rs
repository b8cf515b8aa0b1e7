//! The gate role: the one node per upstream that counts its slots and keeps its
//! queue.

use crate::load::LoadCounter;
use crate::message::{AttemptId, CallId, Forward, NotRunReason, UpstreamOutcome};
use crate::router::{RouterOutput, RoutingView};
use beamtray_ownership::Ownership;
use beamtray_settings::Division;
use beamtray_types::{Incarnation, Member, NodeId, ServerName, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Weight of a new sample in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

#[derive(Clone, Debug)]
struct QueuedAttempt {
    origin: Member,
    forward: Forward,
    expires_at: Time,
}

#[derive(Clone, Debug)]
struct RunningCall {
    origin: Member,
    attempt: AttemptId,
    server: ServerName,
    started_at: Time,
}

/// Maximum number of attempts remembered per ingress to detect duplicates.
const MAX_SEEN_ATTEMPTS: usize = 16_384;

/// The attempts received from one run of an ingress. Attempt numbers increase,
/// so numbers below the remembered ones count as seen.
#[derive(Clone, Debug, Default)]
struct SeenAttempts {
    floor: u64,
    numbers: BTreeSet<u64>,
}

impl SeenAttempts {
    /// Records `number` and returns whether it is new.
    fn insert(&mut self, number: u64) -> bool {
        if number < self.floor || !self.numbers.insert(number) {
            return false;
        }
        if self.numbers.len() > MAX_SEEN_ATTEMPTS {
            self.floor = self
                .numbers
                .pop_first()
                .map_or(self.floor, |first| first + 1);
        }
        true
    }
}

#[derive(Clone, Debug, Default)]
struct Upstream {
    running: u32,
    queue: VecDeque<QueuedAttempt>,
    mean_service_seconds: f64,
}

/// Queues and running calls of the upstreams whose gate is this node.
#[derive(Clone, Debug, Default)]
pub(crate) struct Gate {
    upstreams: BTreeMap<ServerName, Upstream>,
    running: BTreeMap<CallId, RunningCall>,
    cancelled: BTreeSet<AttemptId>,
    seen: BTreeMap<NodeId, (Incarnation, SeenAttempts)>,
    drop_duplicate_attempts: bool,
    next_call: u64,
    pub(crate) load: LoadCounter,
}

impl Gate {
    pub(crate) fn new(drop_duplicate_attempts: bool) -> Self {
        Self {
            drop_duplicate_attempts,
            ..Self::default()
        }
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.running.is_empty() && self.upstreams.values().all(|up| up.queue.is_empty())
    }

    pub(crate) fn queued(&self) -> usize {
        self.upstreams.values().map(|up| up.queue.len()).sum()
    }

    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }

    /// Sends or queues an attempt, or refuses it with a reason.
    pub(crate) fn on_forward(
        &mut self,
        now: Time,
        view: &RoutingView,
        origin: Member,
        forward: Forward,
        outputs: &mut Vec<RouterOutput>,
    ) {
        let refuse = |reason, after: Option<Duration>| RouterOutput::Result {
            to: origin,
            attempt: forward.attempt,
            outcome: UpstreamOutcome::NotRun {
                reason,
                retry_after_micros: after.map(|after| after.as_micros() as u64),
            },
        };
        if self.drop_duplicate_attempts && !self.is_new(forward.attempt) {
            // Only the first copy is answered: the ingress could take a refusal
            // of the duplicate for the outcome of the attempt.
            return;
        }
        let declared = view.state.declaration.server(&forward.server);
        let is_gate = view.gates.get(&forward.server) == Some(view.me.node);
        let Some((service, server)) = declared.filter(|_| is_gate) else {
            return outputs.push(refuse(NotRunReason::NotGate, None));
        };
        let upstream = self.upstreams.entry(forward.server.clone()).or_default();
        let limit = service.queue as usize;
        if upstream.running >= server.slots && upstream.queue.len() >= limit {
            let wait = upstream.expected_wait(server.slots);
            return outputs.push(refuse(NotRunReason::QueueFull, Some(wait)));
        }
        if let Some(hash) = forward.request.hash() {
            self.load.record(view.state, &service.name, hash);
        }
        let expires_at = now + Duration::from_micros(forward.remaining_micros);
        let name = forward.server.clone();
        upstream.queue.push_back(QueuedAttempt {
            origin,
            forward,
            expires_at,
        });
        self.dispatch(now, view, &name, outputs);
    }

    /// Records an attempt and returns whether it is new. Attempts from an
    /// earlier run of a node count as seen once a later run is known, because
    /// nothing waits for their outcome.
    fn is_new(&mut self, attempt: AttemptId) -> bool {
        let Member { node, incarnation } = attempt.ingress;
        let (known, seen) = self.seen.entry(node).or_default();
        if incarnation < *known {
            return false;
        }
        if incarnation > *known {
            *known = incarnation;
            *seen = SeenAttempts::default();
        }
        seen.insert(attempt.number)
    }

    /// Sends queued attempts to `server` while it has free slots.
    fn dispatch(
        &mut self,
        now: Time,
        view: &RoutingView,
        server: &ServerName,
        outputs: &mut Vec<RouterOutput>,
    ) {
        if !view.fresh {
            // The server may have been drained since this state was received,
            // so attempts stay in the queue.
            return;
        }
        let is_gate = view.gates.get(server) == Some(view.me.node);
        let declared = view.state.declaration.server(server);
        // A leaving pool backend receives no queued attempts either, since any
        // other backend can serve them. Attempts for a keyed server stay until
        // its slices have moved.
        let declared = declared.filter(|(service, declared)| {
            let keyed = service.division == Division::Keyed;
            is_gate && (keyed || !view.state.is_leaving(&declared.name))
        });
        let slots = declared.map_or(0, |(_, declared)| declared.slots);
        let Some(upstream) = self.upstreams.get_mut(server) else {
            return;
        };
        while declared.is_none() || upstream.running < slots {
            let Some(queued) = upstream.queue.pop_front() else {
                return;
            };
            let attempt = queued.forward.attempt;
            if self.cancelled.remove(&attempt) {
                continue;
            }
            let reason = match declared {
                None => Some(NotRunReason::NotGate),
                Some(_) if now >= queued.expires_at => Some(NotRunReason::Expired),
                Some(_) if has_stale_fence(view, &queued.forward) => Some(NotRunReason::NotOwner),
                Some(_) => None,
            };
            if let Some(reason) = reason {
                outputs.push(RouterOutput::Result {
                    to: queued.origin,
                    attempt,
                    outcome: UpstreamOutcome::NotRun {
                        reason,
                        retry_after_micros: None,
                    },
                });
                continue;
            }
            let Some((_, declared)) = declared else {
                return;
            };
            let call = CallId(self.next_call);
            self.next_call += 1;
            upstream.running += 1;
            self.running.insert(
                call,
                RunningCall {
                    origin: queued.origin,
                    attempt,
                    server: server.clone(),
                    started_at: now,
                },
            );
            let mut forward = queued.forward;
            let timeout = Duration::from_micros(queued.expires_at.since(now).as_micros() as u64);
            forward.remaining_micros = timeout.as_micros() as u64;
            outputs.push(RouterOutput::Call {
                call,
                address: declared.address,
                forward,
                timeout,
            });
        }
    }

    /// Frees the slot of a finished call and sends its outcome to the ingress.
    pub(crate) fn on_call_result(
        &mut self,
        now: Time,
        view: &RoutingView,
        call: CallId,
        outcome: UpstreamOutcome,
        outputs: &mut Vec<RouterOutput>,
    ) {
        let Some(running) = self.running.remove(&call) else {
            return;
        };
        if let Some(upstream) = self.upstreams.get_mut(&running.server) {
            upstream.running = upstream.running.saturating_sub(1);
            upstream.record_service_time(now.since(running.started_at));
        }
        if !self.cancelled.remove(&running.attempt) {
            outputs.push(RouterOutput::Result {
                to: running.origin,
                attempt: running.attempt,
                outcome,
            });
        }
        self.dispatch(now, view, &running.server, outputs);
    }

    /// Removes a cancelled attempt from the queue, or marks its running call so
    /// that the outcome is dropped. A request that was already sent cannot be
    /// recalled.
    pub(crate) fn cancel(&mut self, attempt: AttemptId) {
        let mut found = false;
        for upstream in self.upstreams.values_mut() {
            let before = upstream.queue.len();
            upstream
                .queue
                .retain(|queued| queued.forward.attempt != attempt);
            found |= upstream.queue.len() < before;
        }
        if !found && self.running.values().any(|run| run.attempt == attempt) {
            self.cancelled.insert(attempt);
        }
    }

    /// Refuses expired attempts in the queues and sends those that can be sent.
    pub(crate) fn tick(&mut self, now: Time, view: &RoutingView, outputs: &mut Vec<RouterOutput>) {
        let mut waiting: Vec<ServerName> = Vec::new();
        for (name, upstream) in &mut self.upstreams {
            if upstream.queue.is_empty() {
                continue;
            }
            waiting.push(name.clone());
            upstream.queue.retain(|queued| {
                let expired = now >= queued.expires_at;
                if expired {
                    outputs.push(RouterOutput::Result {
                        to: queued.origin,
                        attempt: queued.forward.attempt,
                        outcome: UpstreamOutcome::NotRun {
                            reason: NotRunReason::Expired,
                            retry_after_micros: None,
                        },
                    });
                }
                !expired
            });
        }
        for name in waiting {
            self.dispatch(now, view, &name, outputs);
        }
    }
}

/// Returns whether the slice of an attempt has been revoked or reassigned since
/// its ingress looked it up. If this gate has the older view, the attempt is
/// sent.
fn has_stale_fence(view: &RoutingView, forward: &Forward) -> bool {
    let (Some(hash), Some(fence)) = (forward.request.hash(), forward.fence) else {
        return false;
    };
    let table = view.state.services.get(&forward.request.service);
    let Some((_, slice)) = table.and_then(|table| table.find(hash)) else {
        return false;
    };
    let newer = slice.ownership.fence().is_some_and(|known| known > fence);
    let revoked = matches!(&slice.ownership, Ownership::Revoking { fence: known, .. }
        if *known == fence);
    newer || revoked
}

impl Upstream {
    fn record_service_time(&mut self, service_time: Duration) {
        let seconds = service_time.as_secs_f64();
        self.mean_service_seconds += SERVICE_TIME_WEIGHT * (seconds - self.mean_service_seconds);
    }

    /// Estimates the time until the queue is empty.
    fn expected_wait(&self, slots: u32) -> Duration {
        let rounds = self.queue.len() as f64 / f64::from(slots.max(1));
        Duration::from_secs_f64((rounds * self.mean_service_seconds).clamp(0.05, 30.0))
    }
}

//! Log lines and metrics of the events in the process.

mod decisions;
mod limits;
mod names;
mod ownership;
mod paths;
mod quarantine;
mod rate_limits;
mod startup;

use crate::core::{OrderTask, StandbyState, StoreTask, ViewNotice};
use crate::shell::attempt::ClientRequest;
use crate::shell::connections::CallProgress;
use crate::shell::log_rate::{LineKind, LogRateLimiter};
use crate::shell::metrics::{
    AttemptLabels, Metrics, OrderLabels, OrderName, RefusalLabels, RequestLabels, RouteLabel,
    StoreLabels,
};
use crate::shell::sendings::Sending;
use beamtray_catalog::{Credential, DirectoryChange, TenantName, UpstreamId};
use beamtray_dispatch::{
    AdmissionError, AssignmentNumber, AttemptOutcome, ConcludedRequest, Conclusion, Fingerprints,
    Forward, NotExecuted, RefusalReason, UnknownCause,
};
use beamtray_metastore::{StoreEra, StoreOutcome};
use beamtray_sharding::{GrantReply, OrderKind, ShardKey};
use decisions::DecisionReview;
pub(crate) use decisions::Wakeup;
pub(crate) use limits::Limit;
use names::{attempt_outcome, grant_reply, store_outcome, store_task};
use rate_limits::LimitFields;
use slog::{Logger, Record, debug, info, warn};
use std::cell::Cell;
use std::hash::RandomState;
use std::net::SocketAddr;
use std::time::Duration;

/// Writes log lines and updates metrics.
pub(crate) struct Observer {
    pub log: Logger,
    pub metrics: Metrics,
    rate_limiter: LogRateLimiter,
    key_salt: RandomState,
    decision_review: DecisionReview,
    /// Attempts without a connection since they were last told.
    unconnected: Cell<u64>,
}

/// Log fields of the key and the assignment that a decision was based on.
struct KeyFields {
    key: Option<ShardKey>,
    assignment: Option<AssignmentNumber>,
}

impl slog::KV for KeyFields {
    fn serialize(&self, _: &Record, serializer: &mut dyn slog::Serializer) -> slog::Result {
        if let Some(key) = self.key {
            serializer.emit_u16("key", key.0)?;
        }
        if let Some(assignment) = self.assignment {
            serializer.emit_u64("epoch", assignment.epoch)?;
            serializer.emit_u64("sequence", assignment.sequence)?;
        }
        Ok(())
    }
}

/// Log fields of a request's fingerprints, for requests during which an upstream may have
/// crashed.
struct FingerprintFields(Option<Fingerprints>);

impl slog::KV for FingerprintFields {
    fn serialize(&self, _: &Record, serializer: &mut dyn slog::Serializer) -> slog::Result {
        let Some(fingerprints) = self.0 else {
            return Ok(());
        };
        serializer.emit_arguments("content", &format_args!("{}", fingerprints.content))?;
        let from_caller = fingerprints.from_caller;
        serializer.emit_arguments("from_caller", &format_args!("{from_caller}"))
    }
}

/// Log field of the node through which a request is sent.
struct GatewayField(Option<SocketAddr>);

impl slog::KV for GatewayField {
    fn serialize(&self, _: &Record, serializer: &mut dyn slog::Serializer) -> slog::Result {
        let Some(gateway) = self.0 else {
            return Ok(());
        };
        serializer.emit_arguments("gateway", &format_args!("{gateway}"))
    }
}

/// Log fields of the connection that a request was sent on.
struct SendingFields(Sending);

impl slog::KV for SendingFields {
    fn serialize(&self, _: &Record, serializer: &mut dyn slog::Serializer) -> slog::Result {
        serializer.emit_str("connection", self.0.connection_kind())?;
        if let Some(connection) = self.0.connection {
            serializer.emit_u64("number", connection.0)?;
        }
        serializer.emit_bool("written", self.0.written)
    }
}

/// Log field of the tenant that sent a request.
struct TenantField<'a>(Option<&'a TenantName>);

impl slog::KV for TenantField<'_> {
    fn serialize(&self, _: &Record, serializer: &mut dyn slog::Serializer) -> slog::Result {
        let Some(tenant) = self.0 else {
            return Ok(());
        };
        serializer.emit_str("tenant", &tenant.0)
    }
}

/// Log field of the digest of a request's API key.
struct KeyDigest(Option<u32>);

impl slog::KV for KeyDigest {
    fn serialize(&self, _: &Record, serializer: &mut dyn slog::Serializer) -> slog::Result {
        let Some(digest) = self.0 else {
            return Ok(());
        };
        serializer.emit_u32("key_digest", digest)
    }
}

/// Log field with the number of lines of the same kind suppressed before this one.
struct SuppressedLines(u64);

impl slog::KV for SuppressedLines {
    fn serialize(&self, _: &Record, serializer: &mut dyn slog::Serializer) -> slog::Result {
        if self.0 > 0 {
            serializer.emit_u64("left_out", self.0)?;
        }
        Ok(())
    }
}

impl Observer {
    pub fn new(log: Logger) -> Self {
        Self {
            log,
            metrics: Metrics::new(),
            rate_limiter: LogRateLimiter::default(),
            key_salt: RandomState::new(),
            decision_review: DecisionReview::new(),
            unconnected: Cell::default(),
        }
    }

    /// Whether the rate limit admits a line of this kind.
    fn admit(&self, kind: LineKind) -> Option<SuppressedLines> {
        let suppressed = self.rate_limiter.admit(kind);
        if suppressed.is_none() {
            self.metrics.count_suppressed_line();
        }
        suppressed.map(SuppressedLines)
    }

    /// The node's view of the system changed.
    pub fn view_changed(&self, notice: &ViewNotice) {
        let log = &self.log;
        match notice {
            ViewNotice::Configured { version, routes } => {
                info!(log, "configuration_in_force"; "version" => version, "routes" => routes);
            }
            ViewNotice::Unreadable { key, cause } => {
                if let Some(suppressed) = self.admit(LineKind::StoreEntry) {
                    warn!(log, "value_unreadable"; "key" => key, "cause" => cause, suppressed);
                }
            }
            ViewNotice::UnknownService { key, service } => {
                if let Some(suppressed) = self.admit(LineKind::StoreEntry) {
                    warn!(log, "service_unknown"; "key" => key, "service" => %service, suppressed);
                }
            }
            ViewNotice::Directory(change) => self.directory_changed(change),
            ViewNotice::Assigned {
                service,
                epoch,
                sequence,
            } => {
                info!(log, "assignment"; "service" => %service, "epoch" => epoch, "sequence" => sequence);
            }
            ViewNotice::Granter { node, epoch } => {
                let node = node.as_deref().unwrap_or("-");
                info!(log, "granter_seen"; "node" => node, "epoch" => epoch);
            }
            ViewNotice::WatchRestarted { prefix, cause } => {
                info!(log, "watch_restarted"; "prefix" => prefix, "cause" => ?cause);
            }
            ViewNotice::FollowsStore { directly, as_relay } => {
                info!(log, "follows"; "store" => directly, "as_relay" => as_relay);
            }
            ViewNotice::StoreReachable {
                prefix,
                reachable: true,
            } => {
                info!(log, "store_regained"; "prefix" => prefix);
            }
            ViewNotice::StoreReachable {
                prefix,
                reachable: false,
            } => {
                warn!(log, "store_lost"; "prefix" => prefix);
            }
        }
    }

    fn directory_changed(&self, change: &DirectoryChange) {
        let log = &self.log;
        match change {
            DirectoryChange::Registered(id, state) => {
                info!(log, "upstream_registered"; "upstream" => %id, "state" => ?state);
            }
            DirectoryChange::Removed(id) => {
                info!(log, "upstream_removed"; "upstream" => %id);
            }
            DirectoryChange::Unconfirmed(id) => {
                info!(log, "upstream_unconfirmed"; "upstream" => %id);
            }
            DirectoryChange::Leaving(id) => {
                info!(log, "upstream_leaves"; "upstream" => %id);
            }
            DirectoryChange::Evacuated(zone) => {
                info!(log, "zone_evacuated"; "zone" => %zone);
            }
            DirectoryChange::Readmitted(zone) => {
                info!(log, "zone_readmitted"; "zone" => %zone);
            }
            DirectoryChange::Restarted { earlier, later, .. } => {
                info!(log, "upstream_restarted"; "upstream" => %earlier, "later" => %later);
            }
        }
    }

    /// This node became the granter, or ceased to be.
    pub fn granter_changed(&self, epoch: Option<u64>) {
        match epoch {
            Some(epoch) => info!(self.log, "granter_here"; "epoch" => epoch),
            None => info!(self.log, "granter_ended"),
        }
    }

    /// What this node does as a standby changed.
    pub fn standby_changed(&self, state: StandbyState) {
        info!(self.log, "standby"; "state" => ?state);
    }

    /// Another node did not return its copies of views.
    pub fn peer_unanswered(&self, peer: SocketAddr, error: &str) {
        if let Some(suppressed) = self.admit(LineKind::Dependency) {
            info!(self.log, "peer_unanswered"; "peer" => %peer, "error" => error, suppressed);
        }
    }

    /// A call to the store ended.
    pub fn store_call_ended(&self, task: &StoreTask, outcome: &StoreOutcome) {
        let name = store_outcome(outcome);
        let labels = StoreLabels {
            task: store_task(task).to_owned(),
            outcome: name.to_owned(),
        };
        self.metrics.store_calls.get_or_create(&labels).inc();
        let failed = matches!(
            outcome,
            StoreOutcome::Refused
                | StoreOutcome::Unknown
                | StoreOutcome::Conflict { .. }
                | StoreOutcome::Compacted
        );
        if !failed {
            return;
        }
        if let Some(suppressed) = self.admit(LineKind::Dependency) {
            info!(self.log, "store_call"; "task" => ?task, "outcome" => name, suppressed);
        }
    }

    /// An order ended, `took` after it was decided on.
    pub fn order_ended(&self, task: &OrderTask, reply: &GrantReply, took: Duration) {
        let order = &task.order;
        let kind = match order.kind {
            OrderKind::Grant { .. } => OrderName::Grant,
            OrderKind::Release => OrderName::Release,
        };
        let labels = OrderLabels {
            kind,
            reply: grant_reply(reply).to_owned(),
        };
        self.metrics.orders.get_or_create(&labels).inc();
        let histogram = self.metrics.order_latency.get_or_create(&labels);
        histogram.observe(took.as_secs_f64());
        let took_ms = took.as_millis() as u64;
        let log = &self.log;
        if matches!(reply, GrantReply::Granted) {
            debug!(log, "order"; "kind" => ?kind, "service" => %task.service,
                "holder" => %order.holder, "range" => %order.range, "token" => %order.token,
                "reply" => ?reply, "took_ms" => took_ms);
            return;
        }
        if let Some(suppressed) = self.admit(LineKind::Dependency) {
            info!(log, "order"; "kind" => ?kind, "service" => %task.service,
                "holder" => %order.holder, "range" => %order.range, "token" => %order.token,
                "reply" => ?reply, "took_ms" => took_ms, suppressed);
        }
    }

    /// A request is sent to an upstream.
    pub fn attempt_sent(&self, id: &str, forward: &Forward, left: Duration) {
        let Some(suppressed) = self.admit(LineKind::RequestStep) else {
            return;
        };
        let fields = KeyFields {
            key: forward.key,
            assignment: forward.assignment,
        };
        info!(self.log, "sent"; "request" => id, "route" => &forward.route.name,
            "service" => %forward.service, "upstream" => %forward.upstream,
            "attempt" => forward.attempt, "occupied" => forward.occupied,
            "waited_ms" => forward.waited.as_millis() as u64,
            "left_ms" => left.as_millis() as u64,
            GatewayField(forward.gateway), fields, suppressed);
    }

    /// The store has a new era. Unless it is the first one seen by this process, the store has
    /// been restored from an older copy.
    pub fn store_era(&self, before: Option<StoreEra>, era: StoreEra) {
        self.metrics.store_era(era);
        match before {
            Some(before) => {
                warn!(self.log, "store_went_back"; "era" => era.0, "before" => before.0);
            }
            None => info!(self.log, "store_era"; "era" => era.0),
        }
    }

    /// An answer of the store has an unreadable era.
    pub fn era_unreadable(&self, text: &str) {
        const LONGEST: usize = 40;
        if let Some(suppressed) = self.admit(LineKind::StoreEntry) {
            let shown: String = text.chars().take(LONGEST).collect();
            warn!(self.log, "store_era_unreadable"; "value" => shown, suppressed);
        }
    }

    /// A header of an upstream's response is unreadable.
    pub fn header_unreadable(&self, upstream: &UpstreamId, subject: &str) {
        if let Some(suppressed) = self.admit(LineKind::UpstreamReport) {
            warn!(self.log, "word_unreadable"; "upstream" => %upstream, "subject" => subject,
                suppressed);
        }
    }

    /// An upstream rejected a request and asked this node to send it nothing for a while.
    pub fn backoff_requested(&self, upstream: &UpstreamId, backoff: Duration) {
        if let Some(suppressed) = self.admit(LineKind::UpstreamReport) {
            info!(self.log, "rest_asked"; "upstream" => %upstream,
                "rest_ms" => backoff.as_millis() as u64, suppressed);
        }
    }

    /// An attempt ended.
    pub fn attempt_ended(
        &self,
        request: &ClientRequest,
        forward: &Forward,
        progress: &CallProgress,
        outcome: AttemptOutcome,
        took: Duration,
    ) {
        let name = attempt_outcome(outcome);
        let sending = Sending::of_call(forward.attempt, progress, name);
        request.sendings.record(sending);
        let labels = AttemptLabels {
            service: forward.service.0.clone(),
            outcome: name.to_owned(),
            connection: sending.connection_kind(),
        };
        self.metrics.attempts.get_or_create(&labels).inc();
        if outcome == AttemptOutcome::NotExecuted(NotExecuted::Unconnected) {
            self.unconnected.set(self.unconnected.get() + 1);
        }
        let kind = match outcome {
            AttemptOutcome::Answered { .. } => {
                self.metrics.observe_attempt(&forward.upstream.name.0, took);
                LineKind::RequestStep
            }
            _ => LineKind::Failure,
        };
        if let Some(suppressed) = self.admit(kind) {
            let is_broken_off = outcome == AttemptOutcome::Unknown(UnknownCause::BrokenOff);
            let fingerprints = is_broken_off.then_some(request.fingerprints);
            info!(self.log, "attempt_ended"; "request" => &request.id,
                "upstream" => %forward.upstream, "attempt" => forward.attempt,
                "outcome" => name, "took_ms" => took.as_millis() as u64,
                SendingFields(sending), FingerprintFields(fingerprints), suppressed);
        }
    }

    /// A request was answered with an upstream's response.
    pub fn request_answered(&self, route: &str, took: Duration) {
        self.count_request(route, "answered", took);
    }

    fn count_request(&self, route: &str, outcome: &str, took: Duration) {
        let labels = RequestLabels {
            route: route.to_owned(),
            outcome: outcome.to_owned(),
        };
        self.metrics.requests.get_or_create(&labels).inc();
        let label = RouteLabel {
            route: route.to_owned(),
        };
        let histogram = self.metrics.route_latency.get_or_create(&label);
        histogram.observe(took.as_secs_f64());
    }

    /// A short hash of a request's API key, which tells keys of this process apart.
    pub fn key_digest(&self, credential: &Credential) -> Option<u32> {
        credential.digest(&self.key_salt)
    }

    /// A request was not admitted.
    pub fn request_denied(&self, request: &ClientRequest, admission: AdmissionError) {
        let labels = RequestLabels {
            route: String::new(),
            outcome: format!("denied {admission:?}"),
        };
        self.metrics.requests.get_or_create(&labels).inc();
        if let Some(suppressed) = self.admit(LineKind::Failure) {
            info!(self.log, "denied"; "request" => &request.id, "reason" => ?admission,
                KeyDigest(request.key_digest), suppressed);
        }
    }

    /// A request was answered by the router itself.
    pub fn request_concluded(&self, request: &ClientRequest, ending: &ConcludedRequest) {
        let (outcome, reason, retry_after) = match ending.conclusion {
            Conclusion::Refused {
                reason,
                retry_after,
            } => {
                self.observe_refusal_latency(ending, reason);
                ("refused", format!("{reason:?}"), retry_after)
            }
            Conclusion::Unknown(cause) => ("unknown", format!("{cause:?}"), Duration::ZERO),
        };
        self.count_request(&ending.route, &format!("{outcome} {reason}"), ending.age);
        let Some(suppressed) = self.admit(LineKind::Failure) else {
            return;
        };
        let fields = KeyFields {
            key: ending.key,
            assignment: ending.assignment,
        };
        let is_quarantined = matches!(
            ending.conclusion,
            Conclusion::Refused {
                reason: RefusalReason::Quarantined,
                ..
            }
        );
        let fingerprints = FingerprintFields(is_quarantined.then_some(request.fingerprints));
        let limit = LimitFields(ending.limited_by);
        info!(self.log, "concluded"; "request" => &request.id, "route" => &ending.route,
            "service" => %ending.service, "outcome" => outcome, "reason" => reason,
            "arrivals" => ending.arrivals, "age_ms" => ending.age.as_millis() as u64,
            "left_ms" => ending.left.as_millis() as u64,
            "retry_after_ms" => retry_after.as_millis() as u64,
            "sendings" => %request.sendings, fields, fingerprints, limit,
            TenantField(ending.tenant.as_ref()), suppressed);
    }

    /// A request was rejected before it was whole: nothing was sent.
    pub fn request_rejected(&self, id: &str, status: u16) {
        if let Some(suppressed) = self.admit(LineKind::Failure) {
            info!(self.log, "rejected"; "request" => id, "status" => status, suppressed);
        }
    }

    /// The task of a request ended without a final response of the core.
    pub fn request_abandoned(&self, request: &ClientRequest, status: u16) {
        if let Some(suppressed) = self.admit(LineKind::Failure) {
            warn!(self.log, "abandoned"; "request" => &request.id, "status" => status,
                "sendings" => %request.sendings, suppressed);
        }
    }

    fn observe_refusal_latency(&self, ending: &ConcludedRequest, reason: RefusalReason) {
        let labels = RefusalLabels {
            route: ending.route.clone(),
            reason: format!("{reason:?}"),
            arrived: if ending.arrivals > 0 { "yes" } else { "no" },
        };
        let histogram = self.metrics.refusal_latency.get_or_create(&labels);
        histogram.observe(ending.age.as_secs_f64());
    }

    /// A client disconnected before its response.
    pub fn client_disconnected(&self, id: &str, under_way: bool) {
        let labels = RequestLabels {
            route: String::new(),
            outcome: "client left".to_owned(),
        };
        self.metrics.requests.get_or_create(&labels).inc();
        if let Some(suppressed) = self.admit(LineKind::Failure) {
            info!(self.log, "client_left"; "request" => id, "under_way" => under_way, suppressed);
        }
    }
}

//! Tells what the process did and believed: a line and a count for each.

mod names;
mod ownership;
mod quarantine;
mod rate_limits;

use crate::core::{OrderTask, StandbyState, StoreTask, ViewNotice};
use crate::shell::attempt::ClientRequest;
use crate::shell::metrics::{
    AttemptLabels, Metrics, OrderLabels, OrderName, RefusalLabels, RequestLabels, RouteLabel,
    StoreLabels,
};
use crate::shell::rate::{LineKind, LineRate};
use beamtray_catalog::{DirectoryChange, UpstreamId};
use beamtray_dispatch::{
    Admission, AssignmentNumber, AttemptOutcome, Conclusion, Ending, Fingerprints, Forward,
    RefusalReason, UnknownCause,
};
use beamtray_metastore::{StoreEra, StoreOutcome};
use beamtray_sharding::{GrantReply, OrderKind, ShardKey};
use names::{attempt_outcome, grant_reply, store_outcome, store_task};
use rate_limits::LimitFields;
use slog::{Logger, Record, debug, info, warn};
use std::net::SocketAddr;
use std::time::Duration;

/// Writes lines and counts.
pub(crate) struct Observer {
    pub log: Logger,
    pub metrics: Metrics,
    rate: LineRate,
}

/// The key and the assignment that a decision was made by.
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

/// What the request says, in short, where an upstream may have ended under it.
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

/// How many lines of the same kind were left out before this one.
struct LeftOut(u64);

impl slog::KV for LeftOut {
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
            rate: LineRate::default(),
        }
    }

    /// Whether a line of that kind may be written.
    fn admit(&self, kind: LineKind) -> Option<LeftOut> {
        let left_out = self.rate.admit(kind);
        if left_out.is_none() {
            self.metrics.left_out();
        }
        left_out.map(LeftOut)
    }

    /// A belief changed.
    pub fn notice(&self, notice: &ViewNotice) {
        let log = &self.log;
        match notice {
            ViewNotice::Configured { version, routes } => {
                info!(log, "configuration_in_force"; "version" => version, "routes" => routes);
            }
            ViewNotice::Unreadable { key, cause } => {
                if let Some(left_out) = self.admit(LineKind::Entry) {
                    warn!(log, "value_unreadable"; "key" => key, "cause" => cause, left_out);
                }
            }
            ViewNotice::UnknownService { key, service } => {
                if let Some(left_out) = self.admit(LineKind::Entry) {
                    warn!(log, "service_unknown"; "key" => key, "service" => %service, left_out);
                }
            }
            ViewNotice::Directory(change) => self.directory(change),
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
            ViewNotice::Restarted { prefix } => {
                info!(log, "watch_restarted"; "prefix" => prefix);
            }
            ViewNotice::Follows { itself, as_relay } => {
                info!(log, "follows"; "store" => itself, "as_relay" => as_relay);
            }
            ViewNotice::Followed {
                prefix,
                sound: true,
            } => {
                info!(log, "store_regained"; "prefix" => prefix);
            }
            ViewNotice::Followed {
                prefix,
                sound: false,
            } => {
                warn!(log, "store_lost"; "prefix" => prefix);
            }
        }
    }

    fn directory(&self, change: &DirectoryChange) {
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
    pub fn granter(&self, epoch: Option<u64>) {
        match epoch {
            Some(epoch) => info!(self.log, "granter_here"; "epoch" => epoch),
            None => info!(self.log, "granter_ended"),
        }
    }

    /// What this node does as a standby changed.
    pub fn standby(&self, state: StandbyState) {
        info!(self.log, "standby"; "state" => ?state);
    }

    /// Another node did not give its copies.
    pub fn peer_unanswered(&self, peer: SocketAddr, error: &str) {
        if let Some(left_out) = self.admit(LineKind::Dependency) {
            info!(self.log, "peer_unanswered"; "peer" => %peer, "error" => error, left_out);
        }
    }

    /// A call to the store ended.
    pub fn store(&self, task: &StoreTask, outcome: &StoreOutcome) {
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
        if let Some(left_out) = self.admit(LineKind::Dependency) {
            info!(self.log, "store_call"; "task" => ?task, "outcome" => name, left_out);
        }
    }

    /// An order ended, that long after it was decided on.
    pub fn order(&self, task: &OrderTask, reply: &GrantReply, took: Duration) {
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
        if let Some(left_out) = self.admit(LineKind::Dependency) {
            info!(log, "order"; "kind" => ?kind, "service" => %task.service,
                "holder" => %order.holder, "range" => %order.range, "token" => %order.token,
                "reply" => ?reply, "took_ms" => took_ms, left_out);
        }
    }

    /// A request is sent to an upstream.
    pub fn sent(&self, id: &str, forward: &Forward, left: Duration) {
        let Some(left_out) = self.admit(LineKind::Step) else {
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
            "left_ms" => left.as_millis() as u64, fields, left_out);
    }

    /// The store has begun another era: it came back from an older copy, unless it is the first
    /// one that this process sees.
    pub fn store_era(&self, before: Option<StoreEra>, era: StoreEra) {
        self.metrics.store_era(era);
        match before {
            Some(before) => {
                warn!(self.log, "store_went_back"; "era" => era.0, "before" => before.0);
            }
            None => info!(self.log, "store_era"; "era" => era.0),
        }
    }

    /// An answer of the store names an era that can't be read.
    pub fn era_unreadable(&self, text: &str) {
        const LONGEST: usize = 40;
        if let Some(left_out) = self.admit(LineKind::Entry) {
            let shown: String = text.chars().take(LONGEST).collect();
            warn!(self.log, "store_era_unreadable"; "value" => shown, left_out);
        }
    }

    /// An upstream's answer says something of itself that can't be read.
    pub fn word_unreadable(&self, upstream: &UpstreamId, subject: &str) {
        if let Some(left_out) = self.admit(LineKind::Word) {
            warn!(self.log, "word_unreadable"; "upstream" => %upstream, "subject" => subject,
                left_out);
        }
    }

    /// An upstream turned a request away and asked this node for rest.
    pub fn rest_asked(&self, upstream: &UpstreamId, rest: Duration) {
        if let Some(left_out) = self.admit(LineKind::Word) {
            info!(self.log, "rest_asked"; "upstream" => %upstream,
                "rest_ms" => rest.as_millis() as u64, left_out);
        }
    }

    /// An attempt ended.
    pub fn ended(
        &self,
        request: &ClientRequest,
        forward: &Forward,
        outcome: AttemptOutcome,
        took: Duration,
    ) {
        let name = attempt_outcome(outcome);
        let labels = AttemptLabels {
            service: forward.service.0.clone(),
            outcome: name.to_owned(),
        };
        self.metrics.attempts.get_or_create(&labels).inc();
        let kind = match outcome {
            AttemptOutcome::Answered { .. } => {
                self.metrics.answered(&forward.upstream.name.0, took);
                LineKind::Step
            }
            _ => LineKind::Failure,
        };
        if let Some(left_out) = self.admit(kind) {
            let is_broken_off = outcome == AttemptOutcome::Unknown(UnknownCause::BrokenOff);
            let fingerprints = is_broken_off.then_some(request.fingerprints);
            info!(self.log, "attempt_ended"; "request" => &request.id,
                "upstream" => %forward.upstream, "attempt" => forward.attempt,
                "outcome" => name, "took_ms" => took.as_millis() as u64,
                FingerprintFields(fingerprints), left_out);
        }
    }

    /// A request got an upstream's answer.
    pub fn answered(&self, route: &str, took: Duration) {
        self.finished(route, "answered", took);
    }

    fn finished(&self, route: &str, outcome: &str, took: Duration) {
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

    /// A request is not admitted.
    pub fn denied(&self, id: &str, admission: Admission) {
        let labels = RequestLabels {
            route: String::new(),
            outcome: format!("denied {admission:?}"),
        };
        self.metrics.requests.get_or_create(&labels).inc();
        if let Some(left_out) = self.admit(LineKind::Failure) {
            info!(self.log, "denied"; "request" => id, "reason" => ?admission, left_out);
        }
    }

    /// A request got its final answer without one of an upstream.
    pub fn concluded(&self, id: &str, fingerprints: Fingerprints, ending: &Ending) {
        let (outcome, reason, retry_after) = match ending.conclusion {
            Conclusion::Refused {
                reason,
                retry_after,
            } => {
                self.refused(ending, reason);
                ("refused", format!("{reason:?}"), retry_after)
            }
            Conclusion::Unknown(cause) => ("unknown", format!("{cause:?}"), Duration::ZERO),
        };
        self.finished(&ending.route, &format!("{outcome} {reason}"), ending.age);
        let Some(left_out) = self.admit(LineKind::Failure) else {
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
        let fingerprints = FingerprintFields(is_quarantined.then_some(fingerprints));
        let limit = LimitFields(ending.limited_by);
        info!(self.log, "concluded"; "request" => id, "route" => &ending.route,
            "service" => %ending.service, "outcome" => outcome, "reason" => reason,
            "arrivals" => ending.arrivals, "age_ms" => ending.age.as_millis() as u64,
            "left_ms" => ending.left.as_millis() as u64,
            "retry_after_ms" => retry_after.as_millis() as u64, fields, fingerprints, limit,
            left_out);
    }

    fn refused(&self, ending: &Ending, reason: RefusalReason) {
        let labels = RefusalLabels {
            route: ending.route.clone(),
            reason: format!("{reason:?}"),
            arrived: if ending.arrivals > 0 { "yes" } else { "no" },
        };
        let histogram = self.metrics.refusal_latency.get_or_create(&labels);
        histogram.observe(ending.age.as_secs_f64());
    }

    /// A client left before its answer.
    pub fn cancelled(&self, id: &str, under_way: bool) {
        let labels = RequestLabels {
            route: String::new(),
            outcome: "client left".to_owned(),
        };
        self.metrics.requests.get_or_create(&labels).inc();
        if let Some(left_out) = self.admit(LineKind::Failure) {
            info!(self.log, "client_left"; "request" => id, "under_way" => under_way, left_out);
        }
    }
}

//! Labels of the metrics.

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};

/// How a request ended.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct RequestLabels {
    pub route: String,
    pub outcome: String,
}

/// Why a request was refused.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct RefusalLabels {
    pub route: String,
    pub reason: String,
    /// "yes" if it reached an upstream, which rejected it.
    pub arrived: &'static str,
}

/// Purpose of a call to the store and its outcome.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct StoreLabels {
    pub task: String,
    pub outcome: String,
}

/// Kind of an order and its reply.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct OrderLabels {
    pub kind: OrderName,
    pub reply: String,
}

/// Kinds of orders.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, EncodeLabelValue)]
pub(crate) enum OrderName {
    Grant,
    Release,
}

/// How an attempt at an upstream ended.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct AttemptLabels {
    pub service: String,
    pub outcome: String,
    /// "new", "reused" or "none".
    pub connection: &'static str,
}

/// A route.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct RouteLabel {
    pub route: String,
}

/// Why keys had no owner.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct UnownedLabel {
    pub cause: String,
}

/// An upstream.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct UpstreamLabel {
    pub upstream: String,
}

/// Outcome of requests for slots.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct SlotLabel {
    pub outcome: &'static str,
}

/// State, according to other nodes, of a holder that has not answered a grant.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct UnansweredLabel {
    pub holder: &'static str,
}

/// State of requests during which upstreams crashed.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct SuspectLabel {
    pub state: &'static str,
}

/// Outcome of a trial of a request during which upstreams had crashed.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct TrialLabel {
    pub outcome: &'static str,
}

/// A service.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct ServiceLabel {
    pub service: String,
}

/// A view.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct ViewLabel {
    pub view: String,
}

/// Prefix of unusable store entries, and why they are unusable.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct EntryLabel {
    pub prefix: String,
    pub cause: &'static str,
}

/// Use of permits for upstreams that announce a rate limit.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct PermitLabel {
    pub outcome: &'static str,
}

/// Outcome of another node's request for a connection to an upstream.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct TunnelLabel {
    pub outcome: &'static str,
}

/// A limit on what the process takes.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct LimitLabel {
    pub limit: &'static str,
}

/// What memory is held for, or which connections are open.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct UseLabel {
    pub purpose: &'static str,
}

/// What woke the core.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct WakeupLabel {
    pub cause: &'static str,
}

/// Kind of work that decisions take.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct WorkLabel {
    pub what: &'static str,
}

/// What is known of the upstreams behind paths that failed.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct PathLabel {
    pub upstream: &'static str,
}

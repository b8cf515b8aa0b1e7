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
    /// "yes" if it arrived at an upstream, which turned it away.
    pub arrived: &'static str,
}

/// What a call to the store was for, and how it ended.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct StoreLabels {
    pub task: String,
    pub outcome: String,
}

/// What was ordered, and the reply.
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

/// How questions for slots ended.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct SlotLabel {
    pub outcome: &'static str,
}

/// What other nodes knew of a holder that left a grant unanswered.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct UnansweredLabel {
    pub holder: &'static str,
}

/// What is known of requests under which upstreams ended.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct SuspectLabel {
    pub state: &'static str,
}

/// How a trial of a request ended under which upstreams had ended.
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

/// Entries below a prefix of the store, and what is wrong with them.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct EntryLabel {
    pub prefix: String,
    pub cause: &'static str,
}

/// What became of a permit for an upstream that names a rate.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct PermitLabel {
    pub outcome: &'static str,
}

//! Metrics in the Prometheus text format.

use beamtray_control::NodeCore;
use beamtray_routing::RunState;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use std::time::Duration;

const FIRST_BUCKET_SECONDS: f64 = 0.000_5;
const BUCKETS: u16 = 15;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AnswerLabels {
    status: u16,
    run_state: String,
}

/// Metrics of a node.
pub(crate) struct Metrics {
    registry: Registry,
    answers: Family<AnswerLabels, Counter>,
    answer_seconds: Histogram,
    pub(crate) peer_messages_sent: Counter,
    pub(crate) peer_bytes_sent: Counter,
    pub(crate) peer_messages_received: Counter,
    pub(crate) peer_bytes_received: Counter,
    pub(crate) grants_sent: Counter,
    pending: Gauge,
    queued: Gauge,
    running: Gauge,
    leader: Gauge,
    voter: Gauge,
    admits: Gauge,
    gates: Gauge,
    revision: Gauge,
    generation: Gauge,
    applied: Gauge,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("beamtray");
        let answers = Family::<AnswerLabels, Counter>::default();
        registry.register("answers", "Final answers to callers", answers.clone());
        let buckets = exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKETS);
        let answer_seconds = Histogram::new(buckets);
        let help = "Seconds from a caller's request to its final answer";
        registry.register("answer_seconds", help, answer_seconds.clone());
        let mut counter = |name: &str, help: &str| {
            let counter = Counter::default();
            registry.register(name, help, counter.clone());
            counter
        };
        let peer_messages_sent = counter("peer_messages_sent", "Messages to other nodes");
        let peer_bytes_sent = counter("peer_bytes_sent", "Bytes to other nodes");
        let peer_messages_received = counter("peer_messages_received", "Messages of other nodes");
        let peer_bytes_received = counter("peer_bytes_received", "Bytes of other nodes");
        let grants_sent = counter("grants_sent", "Grants sent to servers");
        let mut gauge = |name: &str, help: &str| {
            let gauge: Gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        Self {
            answers,
            answer_seconds,
            peer_messages_sent,
            peer_bytes_sent,
            peer_messages_received,
            peer_bytes_received,
            grants_sent,
            pending: gauge("requests_pending", "Callers' requests without an answer"),
            queued: gauge("tries_queued", "Tries that wait in this node's gates"),
            running: gauge(
                "tries_running",
                "Calls that this node's gates have under way",
            ),
            leader: gauge("leader", "1 when this node leads its group"),
            voter: gauge("voter", "1 when this node votes"),
            admits: gauge("admits", "1 when this node admits requests"),
            gates: gauge("gates", "Upstreams whose gate this node is"),
            revision: gauge("revision", "Revision of the configuration in force"),
            generation: gauge("generation", "Generation of the group"),
            applied: gauge("applied_index", "Last entry applied"),
            registry,
        }
    }

    pub(crate) fn record_answer(&self, status: u16, run_state: RunState, elapsed: Duration) {
        let labels = AnswerLabels {
            status,
            run_state: run_state.as_str().to_owned(),
        };
        self.answers.get_or_create(&labels).inc();
        self.answer_seconds.observe(elapsed.as_secs_f64());
    }

    /// Updates the gauges from `core` and encodes all metrics as text.
    pub(crate) fn encode(&self, core: &NodeCore) -> String {
        self.pending.set(core.router().pending() as i64);
        self.queued.set(core.router().queued() as i64);
        self.running.set(core.router().running() as i64);
        self.leader.set(i64::from(core.is_leader()));
        self.voter.set(i64::from(core.is_voter()));
        self.admits.set(i64::from(core.admits()));
        self.gates.set(core.gate_count() as i64);
        self.revision.set(core.state().revision.0 as i64);
        self.generation.set(core.generation().0 as i64);
        self.applied.set(core.state().applied.0 as i64);
        let mut text = String::new();
        // Writing to a `String` cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

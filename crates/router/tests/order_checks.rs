//! How often a granter checks which orders are due, and how many slices it examines for that.
//!
//! After a loss of power of 79 nodes each granter in turn used up its tenth of a core for these
//! checks, and lost its lease before it had granted the keys: they never had an owner again.

use beamtray_catalog::UpstreamId;
use beamtray_dialect::Dialect;
use beamtray_emulator::{StoreEmulator, StoreReply};
use beamtray_metastore::Epoch;
use beamtray_router::core::{Input, NodeCore, OrderCheckWork, Output, RouterKeys};
use beamtray_routersim::{SimDialect, World, default_settings};
use beamtray_sharding::{
    AssignmentRecord, CallId, FencingToken, GrantOrder, GrantReply, KeyRange, OrderKind, Part,
    SliceRecord, SliceState,
};
use beamtray_types::{ServiceName, Time};
use std::rc::Rc;
use std::time::Duration;

/// Slices of each part.
const SLICES_A_PART: u32 = 16;
/// Time after which the node is the granter.
const GRANTER_AT_MS: u64 = 1_500;
/// Interval of checks that is prompt enough for keys that move.
const PROMPT_MS: u64 = 10;
/// Slices that a granter with a tenth of a core may examine in a second: a fifth of its
/// processor time, at a microsecond for each.
const MAX_SLICES_A_SECOND: u64 = 20_000;

fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

fn store(dialect: &SimDialect) -> StoreEmulator {
    let mut store = StoreEmulator::new(Duration::from_secs(20));
    let configuration = dialect.encode_configuration(World::default_configuration());
    store.put(at(0), dialect.keys().configuration, configuration);
    let service: ServiceName = "keyed".into();
    let ranges = Part::all().flat_map(|part| part.range().divide(SLICES_A_PART));
    let slices = ranges.map(|range| SliceRecord {
        range,
        state: SliceState::Free,
    });
    let record = AssignmentRecord {
        epoch: Epoch(1),
        sequence: 1,
        standbys: Vec::new(),
        unfenced: Vec::new(),
        doubted: Vec::new(),
        slices: slices.collect(),
    };
    let head = borsh::to_vec(&record.head()).expect("in memory");
    store.put(at(0), &RouterKeys::assignment_head(&service), head);
    for part in record.parts() {
        let key = RouterKeys::assignment_part(&service, part.part);
        store.put(at(0), &key, borsh::to_vec(&part).expect("in memory"));
    }
    store
}

/// A node with that share of a core that has become the granter, with its store.
struct Cluster {
    core: NodeCore,
    store: StoreEmulator,
    inputs: Vec<Input>,
}

impl Cluster {
    fn new(processor_share: f64) -> Self {
        let dialect = Rc::new(SimDialect::default());
        let store = store(&dialect);
        let mut settings = default_settings(0);
        settings.limits.processor_share = processor_share;
        let core = NodeCore::new(settings.core_config(3), dialect);
        let mut cluster = Self {
            core,
            store,
            inputs: Vec::new(),
        };
        for millis in 0..GRANTER_AT_MS {
            cluster.step(millis);
        }
        let is_granter = cluster.core.inspect().1.is_granter(at(GRANTER_AT_MS));
        assert!(is_granter);
        cluster
    }

    /// Passes a tick and the answers of the store to the node.
    fn step(&mut self, millis: u64) {
        self.store.advance(at(millis));
        self.inputs.push(Input::Tick);
        for input in std::mem::take(&mut self.inputs) {
            for output in self.core.handle(at(millis), input) {
                if let Output::Store(task, call) = output
                    && let StoreReply::Done(outcome) = self.store.call(at(millis), &call)
                {
                    self.inputs.push(Input::Store { task, outcome });
                }
            }
        }
    }

    fn work(&self) -> OrderCheckWork {
        self.core.inspect().1.order_check_work()
    }

    /// The reply to a release, as the fencing of a term gets from each upstream.
    fn reply(&self, call: u64) -> Input {
        let order = GrantOrder {
            call: CallId(call),
            holder: UpstreamId::from("one".to_owned()),
            range: KeyRange::ALL,
            token: FencingToken(5),
            kind: OrderKind::Release,
        };
        Input::Order {
            service: "keyed".into(),
            order,
            epoch: self.core.inspect().1.epoch().expect("it is the granter"),
            reply: GrantReply::Released(None),
        }
    }
}

// Guards against a granter that checks all slices after each reply, so that a term that begins
// with a release to each upstream costs the more the larger the deployment is, squared.
#[test]
fn replies_do_not_each_cause_a_check() {
    const REPLIES: u64 = 200;
    let mut cluster = Cluster::new(1.0);
    let before = cluster.work();
    for reply in 0..REPLIES {
        let input = cluster.reply(1_000_000 + reply);
        cluster.inputs.push(input);
        cluster.step(GRANTER_AT_MS + reply);
    }
    let checks = cluster.work().checks - before.checks;
    let allowed = REPLIES / PROMPT_MS * 2;
    assert!(checks <= allowed, "{checks} checks in {REPLIES} ms");
}

// Guards against checks that take all of the processor time of a granter with a tenth of a core,
// so that it renews its lease too late and its successor begins anew.
#[test]
fn checks_leave_a_slow_granter_its_processor_time() {
    const SECONDS: u64 = 2;
    let mut cluster = Cluster::new(0.1);
    let before = cluster.work();
    for millis in 0..SECONDS * 1_000 {
        cluster.step(GRANTER_AT_MS + millis);
    }
    let slices = cluster.work().slices - before.slices;
    assert!(
        slices <= SECONDS * MAX_SLICES_A_SECOND,
        "{slices} slices in {SECONDS} s"
    );
}

// Guards against a granter of few slices that is as slow to move them as one of many.
#[test]
fn checks_of_a_fast_granter_are_prompt() {
    let mut cluster = Cluster::new(1.0);
    let before = cluster.work();
    for millis in 0..1_000 {
        cluster.step(GRANTER_AT_MS + millis);
    }
    let checks = cluster.work().checks - before.checks;
    assert!(checks >= 1_000 / PROMPT_MS * 9 / 10, "{checks} checks");
}

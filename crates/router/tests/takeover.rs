//! What a new granter reports of the assignments that it took over.

use beamtray_catalog::UpstreamId;
use beamtray_dialect::Dialect;
use beamtray_emulator::{StoreEmulator, StoreReply};
use beamtray_metastore::Epoch;
use beamtray_router::core::{
    Input, NodeCore, Output, RouterKeys, StoreTask, ViewName, ViewRequest, WantedView,
};
use beamtray_routersim::{SimDialect, World, default_settings};
use beamtray_sharding::{AssignmentRecord, FencingToken, Part, SliceRecord, SliceState};
use beamtray_types::{ServiceName, Time};
use std::rc::Rc;
use std::time::Duration;

fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

/// A store with a configuration and an assignment whose first part was written last.
fn store(dialect: &SimDialect, state: &SliceState) -> StoreEmulator {
    let mut store = StoreEmulator::new(Duration::from_secs(20));
    let configuration = dialect.encode_configuration(World::default_configuration());
    store.put(at(0), dialect.keys().configuration, configuration);
    write_parts(&mut store, &"keyed".into(), state);
    store
}

fn write_parts(store: &mut StoreEmulator, service: &ServiceName, state: &SliceState) {
    let slices = Part::all().map(|part| SliceRecord {
        range: part.range(),
        state: state.clone(),
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
    store.put(at(0), &RouterKeys::assignment_head(service), head);
    for part in record.parts().into_iter().rev() {
        let key = RouterKeys::assignment_part(service, part.part);
        store.put(at(0), &key, borsh::to_vec(&part).expect("in memory"));
    }
}

/// Runs a node for 1.5 s, leaving its calls for the tasks in `silent` unanswered, and counts
/// its orders.
fn run(core: &mut NodeCore, mut store: StoreEmulator, silent: &[StoreTask]) -> usize {
    let is_silent = |task: &StoreTask| match task {
        StoreTask::View(view, _) => silent.contains(&StoreTask::View(*view, 0)),
        task => silent.contains(task),
    };
    let mut orders = 0;
    let mut inputs = vec![Input::Tick];
    for millis in 0..1_500 {
        store.advance(at(millis));
        for input in std::mem::take(&mut inputs) {
            for output in core.handle(at(millis), input) {
                match output {
                    Output::Order(..) => orders += 1,
                    Output::Store(task, call) if !is_silent(&task) => {
                        if let StoreReply::Done(outcome) = store.call(at(millis), &call) {
                            inputs.push(Input::Store { task, outcome });
                        }
                    }
                    _ => {}
                }
            }
        }
        inputs.push(Input::Tick);
    }
    assert!(core.inspect().1.is_granter(at(1_500)));
    orders
}

/// Guards against an incomplete copy at a new granter that has not read the view of the
/// assignments yet. It recorded each part that it read for its term as the newest change,
/// dropped those that were older than one before, and reported its copy as complete.
#[test]
fn a_granter_that_had_read_no_assignment_sends_all_parts_that_it_took_over() {
    let dialect = Rc::new(SimDialect::default());
    let store = store(&dialect, &SliceState::Free);
    let mut core = NodeCore::new(default_settings(0).core_config(3), dialect);
    let record = StoreTask::Record("keyed".into());
    run(
        &mut core,
        store,
        &[StoreTask::View(ViewName::State, 0), record],
    );
    let wanted = WantedView {
        view: ViewName::State,
        at: None,
    };
    let answer = core.answer(&ViewRequest {
        wanted: vec![wanted],
    });
    let head = RouterKeys::assignment_head(&"keyed".into());
    let items = answer.iter().flat_map(|snapshot| &snapshot.items);
    let parts = items.filter(|item| item.key != head);
    assert_eq!(parts.count(), Part::all().count());
}

/// Guards against revoking all keys after a restart. After 295 machines had lost power, the
/// new granter took its role 0.3 s before it had read the registrations. It assumed that all
/// holders had left and revoked all keys, three quarters of which had no holder from then on.
#[test]
fn a_granter_that_has_not_read_the_upstreams_revokes_nothing() {
    let dialect = Rc::new(SimDialect::default());
    let held = SliceState::Held {
        holder: UpstreamId::from("one".to_owned()),
        token: FencingToken(5),
    };
    let store = store(&dialect, &held);
    let mut core = NodeCore::new(default_settings(0).core_config(3), dialect);
    let upstreams = StoreTask::View(ViewName::Upstreams, 0);
    let orders = run(&mut core, store, &[upstreams]);
    assert_eq!(orders, 0);
    let assignment = &core.inspect().0.assignments[&ServiceName::from("keyed")];
    assert!(assignment.slices().all(|slice| slice.state == held));
}

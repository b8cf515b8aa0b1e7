//! What a new granter tells of the assignments that it took over.

use beamtray_dialect::Dialect;
use beamtray_emulator::{StoreEmulator, StoreReply};
use beamtray_metastore::Epoch;
use beamtray_router::core::{
    Input, NodeCore, Output, OwnKeys, StoreTask, ViewName, ViewRequest, WantedView,
};
use beamtray_routersim::{SimDialect, World, usual_settings};
use beamtray_sharding::{AssignmentRecord, Part, SliceRecord, SliceState};
use beamtray_types::{ServiceName, Time};
use std::rc::Rc;
use std::time::Duration;

fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

/// Writes the parts of an assignment, the first one last.
fn write_parts(store: &mut StoreEmulator, service: &ServiceName) {
    let slices = Part::all().map(|part| SliceRecord {
        range: part.range(),
        state: SliceState::Free,
    });
    let record = AssignmentRecord {
        epoch: Epoch(1),
        sequence: 1,
        standbys: Vec::new(),
        slices: slices.collect(),
    };
    let head = borsh::to_vec(&record.head()).expect("in memory");
    store.put(at(0), &OwnKeys::assignment_head(service), head);
    for part in record.parts().into_iter().rev() {
        let key = OwnKeys::assignment_part(service, part.part);
        store.put(at(0), &key, borsh::to_vec(&part).expect("in memory"));
    }
}

/// A new granter may not have read the view of the assignments yet. It took the parts that
/// it read for its term as if each were the newest change, so that it dropped those that
/// were older than one before, and told all nodes that its copy was whole.
#[test]
fn a_granter_that_knew_no_assignment_tells_all_that_it_took_over() {
    let dialect = Rc::new(SimDialect::default());
    let mut store = StoreEmulator::new(Duration::from_secs(20));
    let configuration = dialect.encode_configuration(World::usual_configuration());
    store.put(at(0), dialect.keys().configuration, configuration);
    write_parts(&mut store, &"keyed".into());
    let mut core = NodeCore::new(usual_settings(0).core_config(3), dialect);
    let mut inputs = vec![Input::Tick];
    for millis in 0..1_500 {
        store.advance(at(millis));
        for input in std::mem::take(&mut inputs) {
            for output in core.handle(at(millis), input) {
                let Output::Store(task, call) = output else {
                    continue;
                };
                // The view of the assignments hears nothing, and no record is written.
                let is_view = matches!(task, StoreTask::View(ViewName::State, _));
                if is_view || matches!(task, StoreTask::Record(_)) {
                    continue;
                }
                if let StoreReply::Done(outcome) = store.call(at(millis), &call) {
                    inputs.push(Input::Store { task, outcome });
                }
            }
        }
        inputs.push(Input::Tick);
    }
    assert!(core.inspect().1.is_granter(at(1_500)));
    let wanted = WantedView {
        view: ViewName::State,
        at: None,
    };
    let answer = core.answer(&ViewRequest {
        wanted: vec![wanted],
    });
    let head = OwnKeys::assignment_head(&"keyed".into());
    let items = answer.iter().flat_map(|snapshot| &snapshot.items);
    let parts = items.filter(|item| item.key != head);
    assert_eq!(parts.count(), Part::all().count());
}

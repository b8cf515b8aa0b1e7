//! Which release an answer belongs to.

use beamtray_catalog::UpstreamId;
use beamtray_sharding::{
    CallId, FencingToken, GrantOrder, Handover, KeyRange, OrderKind, ReleaseAnswers, ShardKey,
};

fn release(first: u16, token: u64) -> GrantOrder {
    GrantOrder {
        call: CallId(token),
        holder: UpstreamId::from("holder".to_owned()),
        range: KeyRange {
            first: ShardKey(first),
            last: ShardKey(first + 9),
        },
        token: FencingToken(token),
        kind: OrderKind::Release,
    }
}

fn handover(text: &str) -> Handover {
    Handover(text.to_owned())
}

/// Guards against the answer to one release being taken for that to another: its keys went on while
/// requests on them ran.
#[test]
fn a_handover_that_answered_another_release_answers_none() {
    let mut answers = ReleaseAnswers::default();
    assert!(answers.belongs(&release(0, 5), &handover("a")));
    assert!(!answers.belongs(&release(10, 6), &handover("a")));
    assert!(answers.belongs(&release(10, 6), &handover("b")));
}

/// Guards against a release that is repeated never being answered.
#[test]
fn a_release_of_the_same_keys_may_be_answered_with_the_same_handover() {
    let mut answers = ReleaseAnswers::default();
    assert!(answers.belongs(&release(0, 5), &handover("a")));
    assert!(answers.belongs(&release(0, 8), &handover("a")));
}

/// Guards against the handovers of one upstream holding up those of another.
#[test]
fn another_upstream_may_answer_with_the_same_handover() {
    let mut answers = ReleaseAnswers::default();
    assert!(answers.belongs(&release(0, 5), &handover("a")));
    let mut of_other = release(10, 6);
    of_other.holder = UpstreamId::from("other".to_owned());
    assert!(answers.belongs(&of_other, &handover("a")));
}

/// Guards against answers being remembered without end.
#[test]
fn old_answers_are_forgotten() {
    let mut answers = ReleaseAnswers::default();
    assert!(answers.belongs(&release(0, 5), &handover("a")));
    for number in 0..1_000 {
        assert!(answers.belongs(&release(0, 6), &handover(&number.to_string())));
    }
    assert!(answers.belongs(&release(10, 7), &handover("a")));
}

//! What proves that a sending of a request did not run.

use beamtray_dispatch::{
    AttemptOutcome, NamedRequest, NotExecuted, Rejection, Sending, UnknownCause,
};
use quickcheck::quickcheck;

const REQUEST: &str = "9c41d07be2a35f68";

fn first_sending() -> Sending {
    Sending {
        is_written: true,
        was_rejected_there: false,
    }
}

/// Guards against a promise that rests on the answer to an earlier sending of the request.
#[test]
fn a_rejection_where_the_request_was_rejected_before_proves_nothing() {
    let second = Sending {
        was_rejected_there: true,
        ..first_sending()
    };
    assert_eq!(
        second.rejected(Rejection::Full, NamedRequest::Same),
        AttemptOutcome::Unknown(UnknownCause::UnprovenRejection)
    );
}

/// Guards against a retry that is lost although the upstream rejected this sending.
#[test]
fn the_first_rejection_on_a_connection_that_names_the_request_is_proof() {
    assert_eq!(
        first_sending().rejected(Rejection::Full, NamedRequest::Same),
        AttemptOutcome::NotExecuted(NotExecuted::Full)
    );
    assert_eq!(
        first_sending().rejected(Rejection::Misdirected, NamedRequest::Same),
        AttemptOutcome::NotExecuted(NotExecuted::Misdirected)
    );
}

/// Guards against a rejection of one request being taken for that of another.
#[test]
fn a_rejection_that_names_another_request_proves_nothing() {
    assert_eq!(
        first_sending().rejected(Rejection::Full, NamedRequest::Other),
        AttemptOutcome::Unknown(UnknownCause::WrongAnswer)
    );
}

/// Guards against a rejection of whatever request being taken for that of this one.
#[test]
fn a_rejection_that_names_no_request_proves_nothing() {
    assert_eq!(
        first_sending().rejected(Rejection::Full, NamedRequest::Unnamed),
        AttemptOutcome::Unknown(UnknownCause::UnprovenRejection)
    );
}

/// Guards against a request without an id being named by an empty header.
#[test]
fn a_request_without_an_id_is_named_by_no_answer() {
    assert_eq!(NamedRequest::of(Some(""), ""), NamedRequest::Other);
    assert_eq!(NamedRequest::of(None, ""), NamedRequest::Unnamed);
    assert_eq!(NamedRequest::of(Some(REQUEST), REQUEST), NamedRequest::Same);
}

quickcheck! {
    /// Guards against any reason counting as proof for a sending that may have been written.
    fn a_written_sending_is_never_proven_unrun_by_being_given_up(reason: u8) -> bool {
        let reasons = [
            NotExecuted::Unconnected,
            NotExecuted::ConnectionRefused,
            NotExecuted::Unsent,
        ];
        let reason = reasons[usize::from(reason) % reasons.len()];
        let written = first_sending().given_up(reason);
        let unwritten = Sending { is_written: false, ..first_sending() }.given_up(reason);
        written == AttemptOutcome::Unknown(UnknownCause::BrokenOff)
            && unwritten == AttemptOutcome::NotExecuted(reason)
    }
}

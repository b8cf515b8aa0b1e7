//! Names of outcomes in log lines and metric labels.

use crate::core::StoreTask;
use beamtray_dispatch::{AttemptOutcome, GatewayFailure, NotExecuted, UnknownCause};
use beamtray_metastore::StoreOutcome;
use beamtray_sharding::{GrantReply, LossCause};

pub(super) fn store_task(task: &StoreTask) -> &'static str {
    match task {
        StoreTask::View(..) => "view",
        StoreTask::Election => "election",
        StoreTask::Registration => "registration",
        StoreTask::TakeOver => "take_over",
        StoreTask::Speeds => "speeds",
        StoreTask::Suspicions => "suspicions",
        StoreTask::Record(_) => "record",
        StoreTask::Farewell => "farewell",
    }
}

pub(super) fn loss_cause(cause: LossCause) -> &'static str {
    match cause {
        LossCause::Silent => "silent",
        LossCause::Terminated => "ended",
        LossCause::Left => "left",
        LossCause::Balance => "balance",
    }
}

pub(super) fn store_outcome(outcome: &StoreOutcome) -> &'static str {
    match outcome {
        StoreOutcome::Refused => "refused",
        StoreOutcome::Unknown => "unanswered",
        StoreOutcome::Conflict { .. } => "conflict",
        StoreOutcome::Compacted => "history_lost",
        StoreOutcome::Absent => "absent",
        _ => "done",
    }
}

pub(super) fn grant_reply(reply: &GrantReply) -> &'static str {
    match reply {
        GrantReply::Granted => "granted",
        GrantReply::Outdated => "outdated",
        GrantReply::Released(_) => "released",
        GrantReply::Replaced => "replaced",
        GrantReply::Rejected => "rejected",
        GrantReply::Undelivered => "undelivered",
        GrantReply::Refused => "refused",
        GrantReply::NoAddress => "no_address",
        GrantReply::Unanswered => "unanswered",
        GrantReply::InDoubt => "in_doubt",
        GrantReply::BrokenOff => "broken_off",
    }
}

pub(super) fn attempt_outcome(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Answered { success: true } => "answered",
        AttemptOutcome::Answered { success: false } => "answered_failure",
        AttemptOutcome::NotExecuted(proof) => match proof {
            NotExecuted::Unconnected => "unconnected",
            NotExecuted::ConnectionRefused => "connection_refused",
            NotExecuted::Unsent => "unsent",
            NotExecuted::Full => "full",
            NotExecuted::Misdirected => "misdirected",
            NotExecuted::GatewayFailed(GatewayFailure::Declined) => "gateway_declined",
            NotExecuted::GatewayFailed(GatewayFailure::Unreachable) => "gateway_unreachable",
            NotExecuted::GatewayFailed(GatewayFailure::Refused) => "gateway_refused",
        },
        AttemptOutcome::Unknown(cause) => match cause {
            UnknownCause::BrokenOff => "broken_off",
            UnknownCause::WrongAnswer => "wrong_answer",
            UnknownCause::UnprovenRejection => "unproven_rejection",
            UnknownCause::TimedOut => "timed_out",
        },
    }
}

//! Which release an answer belongs to.
//!
//! Invariant: the answer to one release is not taken for that to another. Answers to orders name no
//! order, and a faulty upstream sends one twice, where the answer to the next order is due. Keys
//! whose release looked answered went to another upstream while requests on them ran.

use crate::order::{GrantOrder, Handover};
use crate::range::KeyRange;
use beamtray_catalog::UpstreamId;
use std::collections::VecDeque;

/// Answers that are remembered. A copy of an answer comes before the next few on its connection.
const MAX_REMEMBERED: usize = 256;

/// The answer to a release. An upstream may give the same handover for the same keys again.
#[derive(Clone, Debug)]
struct ReleaseAnswer {
    holder: UpstreamId,
    handover: Handover,
    range: KeyRange,
}

/// The last answers to releases.
#[derive(Clone, Debug, Default)]
pub struct ReleaseAnswers {
    answers: VecDeque<ReleaseAnswer>,
}

impl ReleaseAnswers {
    /// Whether an answer with that handover belongs to the order: its upstream answered no release
    /// of other keys with it.
    pub fn belongs(&mut self, order: &GrantOrder, handover: &Handover) -> bool {
        let mut known = self.answers.iter();
        let known = known.find(|known| known.holder == order.holder && known.handover == *handover);
        if let Some(known) = known {
            return known.range == order.range;
        }
        if self.answers.len() == MAX_REMEMBERED {
            self.answers.pop_front();
        }
        self.answers.push_back(ReleaseAnswer {
            holder: order.holder.clone(),
            handover: handover.clone(),
            range: order.range,
        });
        true
    }
}

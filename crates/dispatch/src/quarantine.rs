//! Requests that end the upstreams which run them are kept off.
//!
//! An upstream that ends takes all requests with it that it runs, so each of them is
//! suspected and none is blamed. From the first such end on a request is tried by one run at
//! a time among all nodes, as in a circuit breaker that is half open: [`lender`] says by
//! whom. One that was merely beside the cause is cleared by its next success. One whose
//! trials end upstreams too is taken for the cause: it is refused for a while, by every
//! node, and an upstream is risked for it again only after that.
//!
//! What is known of a fingerprint is a set of runs, each with its upstream and marked as
//! cleared or not. Sets of different nodes are joined: the order in which nodes hear of
//! things, or hear them twice, makes no difference.

mod lender;
mod suspect;
mod trials;

use crate::fingerprint::{Fingerprint, Fingerprints};
use crate::report::{NodeHash, UpstreamHash};
use beamtray_types::Time;
use borsh::{BorshDeserialize, BorshSerialize};
use lender::Lender;
pub use lender::{TrialOutcome, TrialReply, TrialReport, TrialRequest};
use std::collections::HashMap;
use std::time::Duration;
use suspect::{Learned, Suspect};
pub use suspect::{RunHash, Suspicion, UPSTREAMS_ENDED};
pub(crate) use trials::TrialStep;
use trials::{OwnTrials, USE_WITHIN};

/// Most fingerprints that are remembered, some 300 bytes each. The least suspected ones
/// give way.
const MOST_SUSPECTS: usize = 4_096;
/// Suspects that are kept in the store have ended with their upstreams so often. What one
/// end tells is lost with the processes that saw it, and most of what it tells is of
/// bystanders.
const RECORDED_FROM: usize = 2;
/// Most suspects in the store's record.
const MOST_RECORDED: usize = 256;
/// How long it may take to learn whether an upstream ended when a connection to it broke
/// off: the time after which its registration lapses at the latest.
const PROOF_WAIT: Duration = Duration::from_secs(10);
/// How long requests that say the same as one whose connection broke off wait to learn
/// whether its upstream ended. Where somebody listens the answer is there in a way or two.
const DOUBT_WAIT: Duration = Duration::from_millis(100);

/// Suspicions as they outlive the processes that found them.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct SuspicionRecord {
    /// Sorted.
    pub suspicions: Vec<Suspicion>,
}

/// What became known of a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineNotice {
    /// An upstream ended under the request.
    Suspected {
        /// The request.
        fingerprint: Fingerprint,
        /// The upstream, by its short name.
        upstream: UpstreamHash,
        /// Its runs that ended with their upstreams so far.
        ended: usize,
        /// Whether this one was a trial.
        is_trial: bool,
    },
    /// The request is kept off.
    KeptOff {
        /// The request.
        fingerprint: Fingerprint,
        /// Its runs that ended with their upstreams so far.
        ended: usize,
        /// For how long.
        lasts: Duration,
    },
    /// The request was answered, so it is not the cause.
    Cleared {
        /// The request.
        fingerprint: Fingerprint,
    },
}

/// What a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// It is sent as any other.
    Free,
    /// A connection of one that says the same broke off; whether its upstream ended will
    /// be known soon.
    Doubted,
    /// It needs a permit for this fingerprint.
    OnTrial(Fingerprint),
    /// It is refused for that long.
    KeptOff(Duration),
}

/// One attempt, as far as it matters here.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunOfRequest {
    pub upstream: UpstreamHash,
    pub run: RunHash,
    pub fingerprints: Fingerprints,
    /// The fingerprint of whose permit it was sent.
    pub permit: Option<Fingerprint>,
}

impl RunOfRequest {
    /// Whether no other run of that fingerprint was under way. One that is alone with its
    /// content is alone with its caller, too.
    fn is_trial_of(&self, fingerprint: Fingerprint) -> bool {
        let permit = self.permit;
        permit == Some(fingerprint) || permit == Some(self.fingerprints.content)
    }
}

/// A connection broke off; whether its upstream ended is not known yet.
#[derive(Clone, Copy, Debug)]
struct Unproved {
    run: RunOfRequest,
    /// Until when requests that say the same wait for the proof.
    awaited_until: Time,
    at: Time,
}

/// What one node knows of requests that end upstreams.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
    /// The oldest first.
    unproved: Vec<Unproved>,
    trials: OwnTrials,
    lender: Lender,
    untold: Vec<Suspicion>,
    /// All that was news here, whoever found it.
    news: Vec<Suspicion>,
    notices: Vec<QuarantineNotice>,
}

impl Quarantine {
    /// A quarantine that knows nothing. Questions of different processes of one node are
    /// told apart by numbers that go on from different ones.
    pub(crate) fn numbered_from(number: u32) -> Self {
        let mut quarantine = Self::default();
        quarantine.trials.begin_after(number);
        quarantine
    }

    /// The connection of a request to an upstream broke off.
    pub(crate) fn broke_off(&mut self, now: Time, run: RunOfRequest) {
        self.doubt(now, run, now + DOUBT_WAIT);
    }

    /// The connection of a request to an upstream fell silent. Mostly the upstream is only
    /// full, so nothing waits for the proof.
    pub(crate) fn fell_silent(&mut self, now: Time, run: RunOfRequest) {
        self.doubt(now, run, now);
    }

    fn doubt(&mut self, now: Time, run: RunOfRequest, awaited_until: Time) {
        if self.unproved.len() >= MOST_SUSPECTS {
            self.unproved.remove(0);
        }
        self.unproved.push(Unproved {
            run,
            awaited_until,
            at: now,
        });
    }

    /// An upstream has ended. Requests whose connections to it broke off are suspected.
    pub fn upstream_ended(&mut self, now: Time, upstream: UpstreamHash) {
        for run in self.take_unproved(upstream) {
            for fingerprint in run.fingerprints.both() {
                let suspicion = Suspicion {
                    fingerprint,
                    upstream,
                    run: run.run,
                    is_trial: run.is_trial_of(fingerprint),
                    is_cleared: false,
                };
                if self.learn(now, suspicion) {
                    self.untold.push(suspicion);
                }
            }
            self.end_trial(run.permit, TrialOutcome::Ended);
        }
    }

    /// An upstream lives: connections to it broke off for another reason.
    pub fn upstream_lives(&mut self, upstream: UpstreamHash) {
        for run in self.take_unproved(upstream) {
            self.end_trial(run.permit, TrialOutcome::Unknown);
        }
    }

    fn take_unproved(&mut self, upstream: UpstreamHash) -> Vec<RunOfRequest> {
        let is_meant = |unproved: &mut Unproved| unproved.run.upstream == upstream;
        let taken = self.unproved.extract_if(.., is_meant);
        taken.map(|unproved| unproved.run).collect()
    }

    /// An upstream ran a request to a good end: it is no cause of ends.
    pub(crate) fn succeeded(&mut self, now: Time, fingerprints: Fingerprints) {
        for fingerprint in fingerprints.both() {
            self.clear(now, fingerprint);
        }
    }

    fn clear(&mut self, now: Time, fingerprint: Fingerprint) {
        for suspicion in self.known_of(fingerprint) {
            let cleared = Suspicion {
                is_cleared: true,
                ..suspicion
            };
            if self.learn(now, cleared) {
                self.untold.push(cleared);
            }
        }
    }

    /// Joins what another node, or the store, tells; whether it was news.
    pub fn learn(&mut self, now: Time, suspicion: Suspicion) -> bool {
        let fingerprint = suspicion.fingerprint;
        if !self.suspects.contains_key(&fingerprint) {
            self.make_room();
        }
        let suspect = self.suspects.entry(fingerprint).or_default();
        let learned = suspect.learn(now, &suspicion);
        let notice = match learned {
            Learned::Nothing => return false,
            Learned::Ended => Some(suspect.notice(&suspicion)),
            Learned::Cleared { is_wholly } => {
                is_wholly.then_some(QuarantineNotice::Cleared { fingerprint })
            }
        };
        self.notices.extend(notice);
        self.news.push(suspicion);
        true
    }

    /// Forgets the least suspected one, of these the one known longest, when there are too
    /// many.
    fn make_room(&mut self) {
        if self.suspects.len() < MOST_SUSPECTS {
            return;
        }
        let suspects = self.suspects.iter();
        let least = suspects.min_by_key(|(_, suspect)| (suspect.runs(), suspect.since));
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }

    /// For how much longer a request is kept off; none if it is not.
    pub fn remaining(&self, now: Time, fingerprints: Fingerprints) -> Option<Duration> {
        if self.suspects.is_empty() {
            return None;
        }
        let suspects = fingerprints.both().into_iter();
        let suspects = suspects.filter_map(|fingerprint| self.suspects.get(&fingerprint));
        suspects.filter_map(|suspect| suspect.remaining(now)).max()
    }

    /// What a request may do now.
    pub(crate) fn standing(&self, now: Time, fingerprints: Fingerprints) -> Standing {
        if let Some(remaining) = self.remaining(now, fingerprints) {
            return Standing::KeptOff(remaining);
        }
        if self.is_doubted(now, fingerprints) {
            return Standing::Doubted;
        }
        let is_suspected = |fingerprint: &Fingerprint| {
            let suspect = self.suspects.get(fingerprint);
            suspect.is_some_and(|suspect| suspect.runs() > 0)
        };
        let suspected = fingerprints.both().into_iter().find(is_suspected);
        suspected.map_or(Standing::Free, Standing::OnTrial)
    }

    fn is_doubted(&self, now: Time, fingerprints: Fingerprints) -> bool {
        let newest = self.unproved.iter().rev();
        let mut recent = newest.take_while(|unproved| now.since(unproved.at) < DOUBT_WAIT);
        recent.any(|unproved| {
            let says_the_same = unproved.run.fingerprints.content == fingerprints.content;
            says_the_same && now < unproved.awaited_until
        })
    }

    /// What a request that is on trial has to do now.
    pub(crate) fn trial_step(&mut self, now: Time, fingerprint: Fingerprint) -> TrialStep {
        self.trials.step(now, fingerprint)
    }

    /// The question to the lender. The request takes no longer than `lasts` from when it is
    /// sent.
    pub(crate) fn trial_request(
        &self,
        fingerprint: Fingerprint,
        node: NodeHash,
        number: u32,
        lasts: Duration,
    ) -> TrialRequest {
        TrialRequest {
            fingerprint,
            node,
            number,
            lasts_ms: (lasts + USE_WITHIN).as_millis() as u32,
            known: self.known_of(fingerprint),
        }
    }

    /// As the lender: answers a question.
    pub fn lend(&mut self, now: Time, request: &TrialRequest) -> TrialReply {
        let fingerprint = request.fingerprint;
        for suspicion in &request.known {
            self.learn(now, *suspicion);
        }
        let suspect = self.suspects.get(&fingerprint);
        let is_on_trial =
            suspect.is_some_and(|suspect| suspect.runs() > 0 && suspect.remaining(now).is_none());
        TrialReply {
            fingerprint,
            number: request.number,
            is_lent: is_on_trial && self.lender.lend(now, request),
            known: self.known_of(fingerprint),
        }
    }

    /// Takes the lender's answer.
    pub fn trial_answered(&mut self, now: Time, reply: &TrialReply) {
        for suspicion in &reply.known {
            self.learn(now, *suspicion);
        }
        let TrialReply {
            fingerprint,
            number,
            is_lent,
            ..
        } = *reply;
        self.trials.answered(now, fingerprint, number, is_lent);
    }

    /// A request is sent by a permit; it has its end by that time.
    pub(crate) fn begin_trial(&mut self, permit: Fingerprint, ends: Time) {
        self.trials.begin(permit, ends);
    }

    /// A trial ended, if an attempt was one.
    pub(crate) fn end_trial(&mut self, permit: Option<Fingerprint>, outcome: TrialOutcome) {
        if let Some(permit) = permit {
            self.trials.end(permit, outcome);
        }
    }

    /// Reports to the lender since the last call, of this node.
    pub fn take_trial_reports(&mut self, node: &str) -> Vec<TrialReport> {
        let ended = self.trials.take_ended().into_iter();
        ended
            .map(|ended| TrialReport {
                fingerprint: ended.fingerprint,
                node: NodeHash::of(node),
                number: ended.number,
                outcome: ended.outcome,
                known: self.known_of(ended.fingerprint),
            })
            .collect()
    }

    /// As the lender: takes the outcome of a trial.
    pub fn take_trial_report(&mut self, now: Time, report: &TrialReport) {
        for suspicion in &report.known {
            self.learn(now, *suspicion);
        }
        if self.lender.take(now, report) {
            self.clear(now, report.fingerprint);
        }
    }

    /// All that is known of a fingerprint.
    pub fn known_of(&self, fingerprint: Fingerprint) -> Vec<Suspicion> {
        let suspect = self.suspects.get(&fingerprint).into_iter();
        suspect
            .flat_map(|suspect| suspect.suspicions(fingerprint))
            .collect()
    }

    /// What this node found since the last call.
    pub fn take_untold(&mut self) -> Vec<Suspicion> {
        std::mem::take(&mut self.untold)
    }

    /// What was news here since the last call, whoever found it.
    pub fn take_news(&mut self) -> Vec<Suspicion> {
        std::mem::take(&mut self.news)
    }

    /// What became known since the last call.
    pub fn take_notices(&mut self) -> Vec<QuarantineNotice> {
        std::mem::take(&mut self.notices)
    }

    /// Forgets what is too old.
    pub(crate) fn expire(&mut self, now: Time) {
        self.unproved
            .retain(|unproved| now.since(unproved.at) < PROOF_WAIT);
        self.suspects
            .retain(|_, suspect| !suspect.is_forgotten(now));
        self.trials.expire(now);
        self.lender.expire(now);
    }

    /// Joins the store's record.
    pub fn adopt(&mut self, now: Time, record: &SuspicionRecord) {
        for suspicion in &record.suspicions {
            self.learn(now, *suspicion);
        }
    }

    /// What is worth keeping in the store: the most suspected.
    pub fn record(&self) -> SuspicionRecord {
        let suspects = self.suspects.iter();
        let mut worth: Vec<(usize, Fingerprint)> = suspects
            .map(|(fingerprint, suspect)| (suspect.runs(), *fingerprint))
            .filter(|(ended, _)| *ended >= RECORDED_FROM)
            .collect();
        worth.sort_by_key(|(ended, fingerprint)| (std::cmp::Reverse(*ended), *fingerprint));
        worth.truncate(MOST_RECORDED);
        let suspicions = worth
            .into_iter()
            .flat_map(|(_, fingerprint)| self.known_of(fingerprint));
        let mut suspicions: Vec<Suspicion> = suspicions.collect();
        suspicions.sort();
        SuspicionRecord { suspicions }
    }

    /// Fingerprints that are suspected, and those that are kept off.
    pub fn counts(&self, now: Time) -> (usize, usize) {
        let suspects = self.suspects.values();
        let suspected = suspects.clone().filter(|suspect| suspect.runs() > 0);
        let kept_off = suspects.filter(|suspect| suspect.remaining(now).is_some());
        (suspected.count(), kept_off.count())
    }
}

//! Confirmation of declarations.
//!
//! A confirmation is a compare-and-swap in the key-value service against the
//! revision that the plan is based on, followed by a log entry. It is reported
//! as accepted only when the entry is committed. A write whose reply is lost is
//! retried with the same expected version: if the first write took effect, the
//! retry conflicts, and reading the key back shows which operation wrote it.

use crate::core::{LeaderPurpose, NodeCore, Purpose};
use crate::event::{Event, Level};
use crate::founding::configuration_key;
use crate::operator::OperatorAnswer;
use crate::plan::describe_changes;
use beamtray_keyvalue::{KeyValueRequest, KeyValueResult};
use beamtray_ownership::{Command, ConfigureOutcome};
use beamtray_settings::{Declaration, DeclarationChange};
use beamtray_types::{Member, OperationId, Revision, Time};
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval between a leader's reads of the stored configuration.
const READ_INTERVAL: Duration = Duration::from_millis(2_500);
/// Delay before retrying a failed call.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Time after which an operator is answered that the outcome is unknown.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(6_000);

/// The configuration as stored in the key-value service. Its revision is the
/// version of the key.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct StoredConfiguration {
    /// The operation that wrote it.
    pub operation: OperationId,
    /// The declaration.
    pub declaration: Declaration,
}

/// Recipient of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OperatorReply {
    Local(crate::io::OperatorCall),
    Remote(Member, u64),
}

#[derive(Clone, Debug)]
struct Confirmation {
    base: Revision,
    declaration: Declaration,
    replies: Vec<OperatorReply>,
    expires: Time,
    /// Time of the next write; `None` while a call or log entry is pending.
    write_due: Option<Time>,
}

/// A leader's pending configuration changes.
#[derive(Clone, Debug)]
pub(crate) struct ConfigurationChanges {
    read_due: Time,
    confirmations: BTreeMap<OperationId, Confirmation>,
    /// Highest revision proposed to the log.
    proposed: Revision,
}

impl ConfigurationChanges {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            read_due: now,
            confirmations: BTreeMap::new(),
            proposed: Revision(0),
        }
    }

    pub(crate) fn into_pending_replies(self) -> Vec<(OperationId, OperatorReply)> {
        let confirmations = self.confirmations.into_iter();
        confirmations
            .flat_map(|(operation, confirmation)| {
                let replies = confirmation.replies.into_iter();
                replies.map(move |reply| (operation, reply))
            })
            .collect()
    }
}

impl NodeCore {
    /// Starts a confirmation, or joins a pending one for the same operation.
    pub(crate) fn confirm(
        &mut self,
        reply: OperatorReply,
        operation: OperationId,
        base: Revision,
        declaration: Declaration,
    ) {
        if let Some(outcome) = self.state.operation(operation) {
            let answer = self.outcome_answer(outcome);
            return self.reply_to_operator(reply, answer);
        }
        if let Err(error) = declaration.check("declaration", "") {
            let reason = error.to_string();
            return self.reply_to_operator(reply, OperatorAnswer::Invalid { reason });
        }
        if base != self.state.revision {
            let answer = self.conflict_answer(&declaration);
            return self.reply_to_operator(reply, answer);
        }
        let now = self.now;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let confirmations = &mut leadership.configuration_changes.confirmations;
        let confirmation = confirmations.entry(operation).or_insert(Confirmation {
            base,
            declaration,
            replies: Vec::new(),
            expires: now + CONFIRM_TIMEOUT,
            write_due: Some(now),
        });
        confirmation.replies.push(reply);
        self.tick_configuration();
    }

    pub(crate) fn tick_configuration(&mut self) {
        let now = self.now;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let configuration_changes = &mut leadership.configuration_changes;
        let mut writes = Vec::new();
        let mut expired = Vec::new();
        for (operation, confirmation) in &mut configuration_changes.confirmations {
            if now >= confirmation.expires {
                expired.push(*operation);
            } else if confirmation.write_due.is_some_and(|due| now >= due) {
                confirmation.write_due = None;
                writes.push((
                    *operation,
                    confirmation.base,
                    confirmation.declaration.clone(),
                ));
            }
        }
        let read = now >= configuration_changes.read_due;
        if read {
            configuration_changes.read_due = now + READ_INTERVAL;
        }
        let key = configuration_key(self.config.group);
        for (operation, base, declaration) in writes {
            let stored = StoredConfiguration {
                operation,
                declaration,
            };
            let purpose = Purpose::Leader(LeaderPurpose::WriteConfiguration(operation));
            let request = KeyValueRequest::Put {
                key: key.clone(),
                expected: base.0,
                value: borsh::to_vec(&stored).unwrap_or_default(),
            };
            self.call_key_value(purpose, request);
        }
        for operation in expired {
            self.finish_confirmation(operation, OperatorAnswer::Unknown { operation });
        }
        if read {
            let purpose = Purpose::Leader(LeaderPurpose::ReadConfiguration);
            self.call_key_value(purpose, KeyValueRequest::Get { key });
        }
    }

    /// Lets a new leader discover a configuration that a previous leader stored
    /// but did not propose to the log.
    pub(crate) fn on_configuration_read(&mut self, result: KeyValueResult) {
        if let KeyValueResult::Value { version, value } = result
            && let Ok(stored) = borsh::from_slice::<StoredConfiguration>(&value)
        {
            self.propose_configuration(Revision(version), stored);
        }
    }

    fn propose_configuration(&mut self, revision: Revision, stored: StoredConfiguration) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let known = self
            .state
            .revision
            .max(leadership.configuration_changes.proposed);
        if revision <= known {
            return;
        }
        // Incremental changes apply to the active revision; while another
        // revision is pending, the whole declaration is sent instead.
        let has_pending = leadership.configuration_changes.proposed > self.state.revision;
        let changes = if has_pending {
            vec![DeclarationChange::Replace(stored.declaration)]
        } else {
            self.state.declaration.diff(&stored.declaration)
        };
        leadership.configuration_changes.proposed = revision;
        self.propose(vec![Command::Configure {
            operation: stored.operation,
            revision,
            base: self.state.revision,
            changes,
        }]);
    }

    pub(crate) fn on_configuration_written(
        &mut self,
        operation: OperationId,
        result: KeyValueResult,
    ) {
        let now = self.now;
        let reads_back = self.config.guards.reads_back;
        let Some(confirmation) = self.confirmation(operation) else {
            return;
        };
        match result {
            KeyValueResult::Stored { version } => {
                let stored = StoredConfiguration {
                    operation,
                    declaration: confirmation.declaration.clone(),
                };
                self.propose_configuration(Revision(version), stored);
                if !self.config.guards.accepts_committed {
                    let revision = Revision(version);
                    self.finish_confirmation(operation, OperatorAnswer::InForce { revision });
                }
            }
            KeyValueResult::Conflict { .. } => {
                let key = configuration_key(self.config.group);
                let purpose = Purpose::Leader(LeaderPurpose::ReadBack(operation));
                self.call_key_value(purpose, KeyValueRequest::Get { key });
            }
            KeyValueResult::RateLimited { retry_after } => {
                confirmation.write_due = Some(now + retry_after);
            }
            _ if reads_back => confirmation.write_due = Some(now + RETRY_INTERVAL),
            _ => {
                let declaration = confirmation.declaration.clone();
                let answer = self.conflict_answer(&declaration);
                self.finish_confirmation(operation, answer);
            }
        }
    }

    pub(crate) fn on_read_back(&mut self, operation: OperationId, result: KeyValueResult) {
        let now = self.now;
        let Some(confirmation) = self.confirmation(operation) else {
            return;
        };
        let KeyValueResult::Value { version, value } = result else {
            confirmation.write_due = Some(now + RETRY_INTERVAL);
            return;
        };
        let Ok(stored) = borsh::from_slice::<StoredConfiguration>(&value) else {
            return;
        };
        let is_own_write = stored.operation == operation;
        let declaration = confirmation.declaration.clone();
        self.propose_configuration(Revision(version), stored);
        if !is_own_write {
            let answer = self.conflict_answer(&declaration);
            self.finish_confirmation(operation, answer);
        }
    }

    /// Answers confirmations whose entry has been applied.
    pub(crate) fn answer_applied_confirmations(&mut self) {
        let Some(leadership) = &self.leadership else {
            return;
        };
        let confirmations = leadership.configuration_changes.confirmations.keys();
        let settled: Vec<(OperationId, ConfigureOutcome)> = confirmations
            .filter_map(|operation| Some((*operation, self.state.operation(*operation)?)))
            .collect();
        for (operation, outcome) in settled {
            let answer = self.outcome_answer(outcome);
            self.finish_confirmation(operation, answer);
        }
    }

    fn confirmation(&mut self, operation: OperationId) -> Option<&mut Confirmation> {
        let leadership = self.leadership.as_mut()?;
        leadership
            .configuration_changes
            .confirmations
            .get_mut(&operation)
    }

    fn finish_confirmation(&mut self, operation: OperationId, answer: OperatorAnswer) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let Some(confirmation) = leadership
            .configuration_changes
            .confirmations
            .remove(&operation)
        else {
            return;
        };
        let event = Event::new(Level::Info, "confirmation")
            .with("operation", operation)
            .with("base", confirmation.base)
            .with("outcome", outcome_label(&answer));
        self.log(event);
        for reply in confirmation.replies {
            self.reply_to_operator(reply, answer.clone());
        }
    }

    pub(crate) fn outcome_answer(&self, outcome: ConfigureOutcome) -> OperatorAnswer {
        match outcome {
            ConfigureOutcome::InForce(revision) => OperatorAnswer::InForce { revision },
            ConfigureOutcome::Superseded(revision) => OperatorAnswer::Conflict {
                revision,
                changed: Vec::new(),
            },
        }
    }

    fn conflict_answer(&self, declaration: &Declaration) -> OperatorAnswer {
        OperatorAnswer::Conflict {
            revision: self.state.revision,
            changed: describe_changes(declaration, &self.state.declaration),
        }
    }
}

fn outcome_label(answer: &OperatorAnswer) -> &'static str {
    match answer {
        OperatorAnswer::InForce { .. } => "in_force",
        OperatorAnswer::Conflict { .. } => "conflict",
        _ => "unknown",
    }
}

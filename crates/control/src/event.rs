//! Structured log events.

/// Severity of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Details for debugging the protocol.
    Debug,
    /// Information for operators.
    Info,
    /// A condition that an operator should investigate.
    Warning,
}

/// One event: a name and key=value pairs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its severity.
    pub level: Level,
    /// Name of the event.
    pub name: &'static str,
    /// Key-value pairs with details.
    pub fields: Vec<(&'static str, String)>,
}

impl Event {
    /// Creates an event without fields.
    pub fn new(level: Level, name: &'static str) -> Self {
        Self {
            level,
            name,
            fields: Vec::new(),
        }
    }

    /// Adds a field.
    pub fn with(mut self, key: &'static str, value: impl ToString) -> Self {
        self.fields.push((key, value.to_string()));
        self
    }
}

//! Events for the log, as data.

/// How much an event matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// For whoever follows the protocol.
    Debug,
    /// What an operator may want to know.
    Info,
    /// What an operator should look at.
    Warning,
}

/// One event: a name and key=value pairs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// How much it matters.
    pub level: Level,
    /// What happened.
    pub name: &'static str,
    /// Details.
    pub fields: Vec<(&'static str, String)>,
}

impl Event {
    /// An event without details.
    pub fn new(level: Level, name: &'static str) -> Self {
        Self {
            level,
            name,
            fields: Vec::new(),
        }
    }

    /// Adds a detail.
    pub fn with(mut self, key: &'static str, value: impl ToString) -> Self {
        self.fields.push((key, value.to_string()));
        self
    }
}

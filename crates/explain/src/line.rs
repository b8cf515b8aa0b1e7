//! Parser of log lines in key=value format.

use std::collections::BTreeMap;

const TIME: &str = "time";
const EVENT: &str = "msg";
const NODE: &str = "node";

/// A parsed log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// Milliseconds since 1970 (Unix time) on the clock of the node that wrote the line.
    pub time_ms: u64,
    /// Name of the node, or of the source if the line names no node.
    pub node: String,
    /// Name of the event.
    pub event: String,
    /// The remaining fields.
    pub fields: BTreeMap<String, String>,
}

impl Line {
    /// Parses a line. Text before the time is a log collector's prefix, whose last
    /// word is the node; without a prefix, `source` names the node.
    pub fn parse(source: &str, text: &str) -> Option<Self> {
        let begin = find_time(text)?;
        let (before, pairs) = text.split_at(begin);
        let node = before.split_whitespace().last().unwrap_or(source);
        let mut fields = parse_pairs(pairs);
        let time_ms = fields.remove(TIME)?.parse().ok()?;
        let event = fields.remove(EVENT)?;
        fields.remove("level");
        Some(Self {
            time_ms,
            node: node.to_owned(),
            event,
            fields,
        })
    }

    /// Returns the value of a field.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }

    /// Returns the value of a field as a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.parse().ok()
    }

    /// Formats the fields as text, without the node's name.
    pub fn details(&self) -> String {
        let pairs = self.fields.iter().filter(|(name, _)| *name != NODE);
        let texts: Vec<String> = pairs
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        texts.join(" ")
    }
}

fn find_time(text: &str) -> Option<usize> {
    let positions = text.match_indices("time=").map(|(index, _)| index);
    positions
        .into_iter()
        .find(|index| *index == 0 || text.as_bytes()[index - 1].is_ascii_whitespace())
}

/// Splits key=value pairs at spaces outside quotes.
fn parse_pairs(text: &str) -> BTreeMap<String, String> {
    let mut pairs = BTreeMap::new();
    let mut rest = text.trim();
    while let Some((name, after)) = rest.split_once('=') {
        let (value, next) = match after.strip_prefix('"') {
            Some(quoted) => quoted_value(quoted),
            None => match after.split_once(' ') {
                Some((value, next)) => (value.to_owned(), next),
                None => (after.to_owned(), ""),
            },
        };
        pairs.insert(name.trim().to_owned(), value);
        rest = next.trim_start();
    }
    pairs
}

/// Returns the unescaped value up to its closing quote, and the rest of the text.
fn quoted_value(text: &str) -> (String, &str) {
    let mut value = String::new();
    let mut characters = text.char_indices();
    while let Some((index, character)) = characters.next() {
        match character {
            '"' => return (value, &text[index + 1..]),
            '\\' => value.extend(characters.next().map(|(_, escaped)| escaped)),
            other => value.push(other),
        }
    }
    (value, "")
}

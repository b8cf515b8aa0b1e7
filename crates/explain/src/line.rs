//! One line of key=value pairs.

use std::collections::BTreeMap;

const TIME: &str = "time";
const EVENT: &str = "msg";
const NODE: &str = "node";

/// One parsed line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// Milliseconds since 1970 on the clock of the node that wrote it.
    pub time_ms: u64,
    /// The node, as far as known.
    pub node: String,
    /// What happened.
    pub event: String,
    /// The other pairs.
    pub fields: BTreeMap<String, String>,
}

impl Line {
    /// Parses a line. What stands before the time is taken from a collector,
    /// with the node as its last word; otherwise `source` names the node.
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

    /// The value of a pair.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }

    /// The value of a pair as a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.parse().ok()
    }

    /// The pairs as text, without the node's own name.
    pub fn details(&self) -> String {
        let pairs = self.fields.iter().filter(|(name, _)| *name != NODE);
        let texts: Vec<String> = pairs
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        texts.join(" ")
    }
}

fn find_time(text: &str) -> Option<usize> {
    let marks = text.match_indices("time=").map(|(index, _)| index);
    marks
        .into_iter()
        .find(|index| *index == 0 || text.as_bytes()[index - 1].is_ascii_whitespace())
}

/// Splits pairs at blanks outside quotes.
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

/// A value up to its closing quote, and what follows.
fn quoted_value(text: &str) -> (String, &str) {
    let mut value = String::new();
    let mut signs = text.char_indices();
    while let Some((index, sign)) = signs.next() {
        match sign {
            '"' => return (value, &text[index + 1..]),
            '\\' => value.extend(signs.next().map(|(_, escaped)| escaped)),
            other => value.push(other),
        }
    }
    (value, "")
}

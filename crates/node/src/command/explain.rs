//! `explain`: reconstructs the timeline of a request or a key from log lines.

use super::{ExplainArguments, Outcome};
use beamtray_explain::{Line, TimelineEntry, key_timeline, request_timeline};
use eyre::{Result, WrapErr};
use std::fs::File;
use std::io::{BufRead, BufReader, stdin};

pub(super) fn run(arguments: &ExplainArguments) -> Result<Outcome> {
    let (request, key) = (&arguments.request, arguments.key);
    if request.is_some() == key.is_some() {
        eprintln!("specify exactly one of --request and --key");
        return Ok(Outcome::Invalid);
    }
    let lines = read(&arguments.files)?;
    let timeline = match (request, key) {
        (Some(request), _) => request_timeline(&lines, request),
        (None, Some(key)) => key_timeline(&lines, arguments.service.as_deref(), key),
        (None, None) => Vec::new(),
    };
    Ok(print(&timeline, lines.len()))
}

fn print(timeline: &[TimelineEntry], lines: usize) -> Outcome {
    if timeline.is_empty() {
        eprintln!("no matching entry in {lines} log lines");
        return Outcome::Failed;
    }
    for entry in timeline {
        print!("{entry}");
    }
    Outcome::Done
}

fn read(files: &[String]) -> Result<Vec<Line>> {
    let mut lines = Vec::new();
    if files.is_empty() {
        collect("-", stdin().lock(), &mut lines)?;
    }
    for file in files {
        let open = File::open(file).wrap_err_with(|| format!("read {file}"))?;
        collect(file, BufReader::new(open), &mut lines)?;
    }
    Ok(lines)
}

fn collect(source: &str, reader: impl BufRead, lines: &mut Vec<Line>) -> Result<()> {
    for text in reader.lines() {
        let text = text.wrap_err_with(|| format!("read {source}"))?;
        lines.extend(Line::parse(source, &text));
    }
    Ok(())
}

//! Runs one case of the review: `review-case CASE FOLDER TEMPORARY PROGRAM`.
//!
//! Exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run. With the
//! variable `TROUBLE=0` the disruption is left out.

mod client;
mod departed_clients;
mod gate;
mod http;
mod late_grant;
mod lost_watch_answers;
mod paused_readers;
mod record;
mod repeated_rejection;
mod routers;
mod stop_while_reading;
mod store;
mod upstream;

use record::Record;
use std::path::PathBuf;
use std::process::ExitCode;

/// What every case is given.
pub struct Setting {
    pub record: Record,
    /// Folder for settings and logs.
    pub temporary: PathBuf,
    /// The router's program.
    pub program: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    /// The case could not run, for this reason.
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, temporary, program] = arguments.as_slice() else {
        eprintln!("review-case CASE FOLDER TEMPORARY PROGRAM");
        return ExitCode::from(2);
    };
    let record = match Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record: {error}");
            return ExitCode::from(2);
        }
    };
    let setting = Setting {
        record: record.clone(),
        temporary: temporary.into(),
        program: program.into(),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let run = match case.as_str() {
        "repeated-rejection" => repeated_rejection::run,
        "stop-while-reading" => stop_while_reading::run,
        "late-grant" => late_grant::run,
        "lost-watch-answers" => lost_watch_answers::run,
        "paused-readers" => paused_readers::run,
        "departed-clients" => departed_clients::run,
        _ => {
            eprintln!("no case {case}");
            return ExitCode::from(2);
        }
    };
    match run(&setting) {
        Ok(Verdict::Held) => {
            record.say("verdict: held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.say("verdict: broken");
            ExitCode::from(1)
        }
        Ok(Verdict::NotRun(reason)) => {
            record.say(format!("verdict: not run: {reason}"));
            ExitCode::from(2)
        }
        Err(error) => {
            record.say(format!("verdict: not run: {error}"));
            ExitCode::from(2)
        }
    }
}

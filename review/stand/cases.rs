//! The cases that are scripts.

mod odd;
mod releases;
mod streams;

use std::{path::Path, process::ExitCode};

use self::streams::Scenario;
use crate::{fleet, record::Record};

/// The result of a case.
pub enum Verdict {
    Held,
    Broken,
    CannotRun(String),
}

/// Plays a case. The exit code is 0 if the rule held, 1 if it was broken, and 2 if the case could
/// not run.
pub fn play(name: &str, folder: &Path) -> ExitCode {
    let Ok(record) = Record::create(folder) else {
        eprintln!("cannot write record.txt");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!("case {name}, with the disruption: {trouble}"));
    let verdict = if !fleet::is_built() {
        Verdict::CannotRun("target/release/fuchsiausher is missing".into())
    } else {
        match name {
            "gone" => streams::play(Scenario::Gone, &record, trouble),
            "odd" => odd::play(&record, trouble),
            "releases" => releases::play(&record, trouble),
            "reborn" => streams::play(Scenario::Reborn, &record, trouble),
            _ => Verdict::CannotRun(format!("no case {name}")),
        }
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::CannotRun(why) => (format!("the case could not run: {why}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}

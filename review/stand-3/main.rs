//! The cases of the third review, and the stand-ins that they start. `case-3 CASE RECORD` exits with 1
//! if the rule was broken, 0 if it held and 2 if the case could not run.

mod departure;
mod keys;
mod leaving;
mod rig;
mod server;
mod slow;
mod standin;

use std::process::exit;

use rig::Record;

/// The result of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().is_some_and(|a| a == "server") {
        server::run(&args[1..]);
        return;
    }
    let [case, path] = args.as_slice() else {
        eprintln!("case-3 leaving|departure|keys|slow RECORD");
        exit(2);
    };
    let record = Record::create(path);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record
        .line(&format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let verdict = match case.as_str() {
        "leaving" => leaving::run(&record, trouble),
        "departure" => departure::run(&record, trouble),
        "keys" => keys::run(&record, trouble),
        "slow" => slow::run(&record, trouble),
        _ => Verdict::NotRun,
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("THE RULE IS BROKEN", 1),
        Verdict::NotRun => ("the case could not run", 2),
    };
    record.line(text);
    exit(code);
}

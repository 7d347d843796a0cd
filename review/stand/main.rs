//! Stand-ins and drivers of the cases of the review. It uses the standard library only.
//!
//! `stand case NAME FOLDER` plays a case and writes `record.txt` into the folder. `stand server ...`
//! is a backend server, which the driver starts as a process of its own.

mod cases;
mod client;
mod fleet;
mod http;
mod pool;
mod proxy;
mod record;
mod server;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match args.as_slice() {
        ["server", rest @ ..] => {
            server::run(rest);
            ExitCode::SUCCESS
        }
        ["case", name, folder] => cases::play(name, std::path::Path::new(folder)),
        _ => {
            eprintln!("usage: stand case NAME FOLDER");
            ExitCode::from(2)
        }
    }
}

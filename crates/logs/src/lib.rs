//! Structured logging to standard output, one JSON object per line.
//!
//! A [`Sink`] formats each record and puts it into a bounded queue, which a thread of its own
//! writes out. Logging therefore never blocks: while standard output is not read fast enough, lines
//! are dropped and counted, and the next batch that is written ends with a line that reports the
//! count.
//!
//! # Examples
//!
//! ```
//! let sink = logs::Sink::new(std::io::sink());
//! let logger = spdlog::Logger::builder().sink(sink).build().unwrap();
//! spdlog::info!(logger: logger, "request admitted", kv: { id = "9c41", plan = 7 });
//! ```

mod repeats;
mod sink;

use std::sync::Arc;

pub use crate::{repeats::Repeats, sink::Sink};

/// Makes a logger that writes to standard output the default logger of this process.
///
/// # Errors
///
/// Returns an error if the logger cannot be built.
pub fn start() -> Result<(), spdlog::Error> {
    let sink = Sink::new(std::io::stdout());
    let logger = spdlog::Logger::builder().sink(sink).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

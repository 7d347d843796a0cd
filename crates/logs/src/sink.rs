//! A log sink with a bounded queue, and the thread that writes the queue out.

use std::{
    fmt::Write as _,
    io::Write,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
};

use spdlog::{
    Record, StringBuf,
    formatter::{FormatterContext, JsonFormatter},
    sink::{GetSinkProp, SinkProp},
};

/// Capacity of the queue in lines: about one second of the log output of the busiest VM.
const QUEUE_LINES: usize = 4_096;
/// Maximum number of queued lines that are added to the first line of a batch. A batch is written
/// in one call.
const MAX_BATCH: usize = 256;

/// A sink that formats records as JSON lines and queues them for its writer thread.
///
/// A line that does not fit into the queue is dropped and counted.
pub struct Sink {
    prop: SinkProp,
    lines: SyncSender<String>,
    dropped: Arc<AtomicU64>,
}

impl Sink {
    /// Creates a sink that writes to `writer` from a thread of its own.
    #[must_use]
    pub fn new(writer: impl Write + Send + 'static) -> Arc<Self> {
        let (lines, queue) = sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let prop = SinkProp::default();
        prop.set_formatter(JsonFormatter::new());
        let thread_dropped = Arc::clone(&dropped);
        // If the thread cannot be started, the queue has no receiver and every line is dropped,
        // which the counter shows.
        let _ = thread::Builder::new()
            .name("logs".into())
            .spawn(move || write_all(&queue, &thread_dropped, writer));
        Arc::new(Self { prop, lines, dropped })
    }

    /// Returns the number of dropped lines that no log line has reported yet.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

impl GetSinkProp for Sink {
    fn prop(&self) -> &SinkProp {
        &self.prop
    }
}

impl spdlog::sink::Sink for Sink {
    fn log(&self, record: &Record<'_>) -> spdlog::Result<()> {
        let mut line = StringBuf::new();
        self.prop.formatter().format(record, &mut line, &mut FormatterContext::new())?;
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }
}

/// Writes queued lines in batches until the sink is dropped, and reports how many were dropped.
fn write_all(queue: &Receiver<String>, dropped: &AtomicU64, mut writer: impl Write) {
    while let Ok(first) = queue.recv() {
        let mut batch = first;
        for line in queue.try_iter().take(MAX_BATCH) {
            batch.push_str(&line);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let level = "warn";
            // Writing to a string cannot fail.
            let _ = writeln!(
                batch,
                r#"{{"level":"{level}","payload":"log lines dropped","kv":{{"lines":{lost}}}}}"#
            );
        }
        // A write error cannot be reported: standard output is the log itself.
        let _ = writer.write_all(batch.as_bytes()).and_then(|()| writer.flush());
    }
}

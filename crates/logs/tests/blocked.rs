//! Guards against logging that blocks: while nothing reads the log output, the code that logs must
//! not be delayed, and every dropped line must be counted and reported afterwards.

use std::{
    io::Write,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

/// Lines logged while the writer is blocked: several times the capacity of the queue.
const LINES: usize = 20_000;
/// Maximum average time of one log call, far below the duration of any request.
const MAX_PER_LINE: Duration = Duration::from_micros(200);

/// A writer that blocks until it is unblocked, and collects what is written.
#[derive(Clone, Default)]
struct BlockedWriter {
    unblocked: Arc<(Mutex<bool>, Condvar)>,
    text: Arc<Mutex<Vec<u8>>>,
}

impl BlockedWriter {
    fn unblock(&self) {
        *self.unblocked.0.lock().unwrap() = true;
        self.unblocked.1.notify_all();
    }
}

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let unblocked = self.unblocked.0.lock().unwrap();
        drop(self.unblocked.1.wait_while(unblocked, |unblocked| !*unblocked).unwrap());
        self.text.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn blocked_writer_does_not_delay_logging() {
    let writer = BlockedWriter::default();
    let sink = logs::Sink::new(writer.clone());
    let logger = spdlog::Logger::builder().sink(sink.clone()).build().unwrap();
    let start = Instant::now();
    for n in 0..LINES {
        spdlog::info!(logger: logger, "request admitted", kv: { n = n });
    }
    assert!(start.elapsed() < MAX_PER_LINE * u32::try_from(LINES).unwrap());
    let dropped = sink.dropped();
    assert!(dropped > 0, "the queue is bounded");
    writer.unblock();
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        let text = String::from_utf8(writer.text.lock().unwrap().clone()).unwrap();
        let lines = text.lines().filter(|l| l.contains("request admitted")).count();
        if text.contains(&format!("\"lines\":{dropped}"))
            && lines == LINES - usize::try_from(dropped).unwrap()
        {
            break;
        }
        assert!(Instant::now() < deadline, "{lines} lines were written, {dropped} dropped");
        std::thread::sleep(Duration::from_millis(10));
    }
}

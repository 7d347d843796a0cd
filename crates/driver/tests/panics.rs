//! Panics of the threads on which a VM depends.

use std::{convert::Infallible, sync::mpsc, time::Duration};

use driver::{Disk, LogWrite};
use raft::WriteBatch;

const WAIT_LIMIT: Duration = Duration::from_secs(10);

struct BrokenDisk;

impl Disk for BrokenDisk {
    type Error = Infallible;

    fn write(&mut self, _: u64, _: &[WriteBatch]) -> Result<(), Infallible> {
        panic!("the file of the log is damaged")
    }
}

/// Guards against a VM that goes on without its disk thread, so that it never confirms a write again.
#[test]
fn a_panic_while_the_log_is_written_is_reported_as_a_failure() {
    let (sender, failures) = mpsc::channel();
    let failed = move |why: String| sender.send(why).unwrap();
    let writes = driver::spawn_disk_writer(BrokenDisk, |_| {}, failed).unwrap();
    writes.send(LogWrite { id: 1, cluster: 1, batch: WriteBatch::default() }).unwrap();
    let why = failures.recv_timeout(WAIT_LIMIT);
    assert_eq!(why.as_deref(), Ok("the disk thread panicked"));
}

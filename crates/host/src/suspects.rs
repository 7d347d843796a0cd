//! Parts of requests under which servers ended, on disk for the next process of a control VM.
//!
//! They help entry VMs that start to know such parts at once. A file that cannot be read is left
//! out, and a write that fails is repeated until a later state takes its place.

use std::{io, path::Path, sync::mpsc, thread, time::Duration};

use model::Span;
use poison::Suspect;
use serde::{Deserialize, Serialize};
use store::ValueFile;

const FILE_NAME: &str = "suspects";
/// Delay before a write that failed is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Suspects as they were known at some time.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Kept {
    /// Time of day, in milliseconds since the Unix epoch.
    at: u64,
    suspects: Vec<Suspect>,
}

impl Kept {
    pub(crate) fn now(suspects: Vec<Suspect>) -> Self {
        Self { at: clock::wall_ms(), suspects }
    }

    /// Returns the suspects with their present ages. If the time of day was set back meanwhile, they
    /// are too small.
    fn into_suspects(self) -> Vec<Suspect> {
        let age = Span::from_millis(clock::wall_ms().saturating_sub(self.at));
        self.suspects.iter().map(|suspect| suspect.after(age)).collect()
    }
}

/// Reads what the last process kept.
pub(crate) fn load(folder: &Path) -> Vec<Suspect> {
    match ValueFile::new(folder, FILE_NAME).read::<Kept>() {
        Ok(kept) => kept.map(Kept::into_suspects).unwrap_or_default(),
        Err(error) => {
            let error = format!("{error:?}");
            spdlog::warn!("parts that end servers cannot be read", kv: { error });
            Vec::new()
        }
    }
}

/// Starts the thread that writes what is sent to it, at least the latest.
///
/// # Errors
///
/// Returns the error of the operating system if the thread cannot be created.
pub(crate) fn start_writer(folder: &Path) -> io::Result<mpsc::Sender<Kept>> {
    let (sender, receiver) = mpsc::channel();
    let file = ValueFile::new(folder, FILE_NAME);
    thread::Builder::new().name("suspects".into()).spawn(move || write(&file, &receiver))?;
    Ok(sender)
}

fn write(file: &ValueFile, receiver: &mpsc::Receiver<Kept>) {
    while let Ok(mut kept) = receiver.recv() {
        loop {
            while let Ok(later) = receiver.try_recv() {
                kept = later;
            }
            let Err(error) = file.write(&kept) else { break };
            let error = format!("{error:?}");
            spdlog::error!("parts that end servers cannot be written; trying again", kv: { error });
            thread::sleep(RETRY_INTERVAL);
        }
    }
}

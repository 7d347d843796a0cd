//! Opening of database files.

use std::{
    fs::{File, OpenOptions},
    io::{self, Read},
    path::Path,
};

use error_stack::{Report, ResultExt};
use redb::{Builder, Database, DatabaseError, StorageBackend, backends::FileBackend};

use crate::error::{Error, ErrorKind};

/// First bytes of a database file.
const MAGIC: [u8; 9] = *b"redb\x1a\n\xa9\r\n";

/// Opens a database, which is created if the file does not exist or if its creation was interrupted.
///
/// # Errors
///
/// If the file cannot be opened, is in use, or holds something other than a database.
pub(crate) fn open(path: &Path) -> Result<Database, Report<Error>> {
    let failed = || Error::from(ErrorKind::Open(path.display().to_string()));
    let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path);
    let file = file.change_context_lazy(failed)?;
    // The lock is taken before the content is read, because another process may be writing it.
    let locked = file.try_clone().change_context_lazy(failed)?;
    let backend = FileBackend::new(locked).change_context_lazy(failed)?;
    let start = read_start(&file).change_context_lazy(failed)?;
    if is_unfinished(&start) {
        let bytes = file.metadata().change_context_lazy(failed)?.len();
        if bytes > 0 {
            let path = path.display().to_string();
            spdlog::warn!("creation of a database was interrupted; creating it again", kv: { path, bytes });
            file.set_len(0).change_context_lazy(failed)?;
        }
    } else if start != MAGIC {
        let path = path.display().to_string();
        return Err(Error::from(ErrorKind::NotDatabase { path, start }).into());
    }
    with_backend(backend).change_context_lazy(failed)
}

/// Opens or creates a database in a storage.
pub(crate) fn with_backend(backend: impl StorageBackend) -> Result<Database, DatabaseError> {
    Builder::new().create_with_backend(SyncedGrowth(backend))
}

/// A storage whose growth is synced before anything else is written.
///
/// The header of a database names its length. If power is lost when the header has reached the disk
/// and the new length has not, the database cannot be opened any more.
#[derive(Debug)]
struct SyncedGrowth<B>(B);

impl<B: StorageBackend> StorageBackend for SyncedGrowth<B> {
    fn len(&self) -> io::Result<u64> {
        self.0.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.0.read(offset, out)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let grows = len > self.0.len()?;
        self.0.set_len(len)?;
        if grows { self.0.sync_data() } else { Ok(()) }
    }

    fn sync_data(&self) -> io::Result<()> {
        self.0.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.0.write(offset, data)
    }

    fn close(&self) -> io::Result<()> {
        self.0.close()
    }
}

/// Reads the first bytes of a file, as many as [`MAGIC`] has or fewer if the file is shorter.
fn read_start(file: &File) -> io::Result<Vec<u8>> {
    let mut start = Vec::new();
    file.take(MAGIC.len() as u64).read_to_end(&mut start)?;
    Ok(start)
}

/// Returns whether a file that starts with these bytes was never a whole database.
///
/// While a file is created, its magic number is written last, after everything else is synced. Until
/// then the bytes in its place do not exist or are zero, or some of them are written if power is
/// lost. Such a file has never been opened, so it holds no records.
fn is_unfinished(start: &[u8]) -> bool {
    start != MAGIC && start.iter().zip(MAGIC).all(|(&byte, magic)| byte == 0 || byte == magic)
}

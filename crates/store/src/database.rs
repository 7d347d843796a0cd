//! Opening of database files.

use std::{fs::OpenOptions, io, path::Path};

use error_stack::{Report, ResultExt};
use redb::{Builder, Database, StorageBackend, backends::FileBackend};

use crate::error::{Error, ErrorKind};

/// First bytes of a database file.
const MAGIC: [u8; 9] = *b"redb\x1a\n\xa9\r\n";

/// Opens a database in a file, which is created if it does not exist.
///
/// # Errors
///
/// If the file cannot be opened, is in use, or holds something other than a database.
pub(crate) fn open(path: &Path) -> Result<Database, Report<Error>> {
    let name = path.display().to_string();
    let failed = || Error::from(ErrorKind::Open(name.clone()));
    let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path);
    let file = file.change_context_lazy(failed)?;
    // The backend locks the file, so that no other process is writing it when its start is read.
    with_backend(FileBackend::new(file).change_context_lazy(failed)?, &name)
}

/// Opens a database in a storage with this name. It is created if the storage is empty or if its
/// creation was interrupted.
///
/// # Errors
///
/// If the storage cannot be read or written, or holds something other than a database.
pub(crate) fn with_backend(
    backend: impl StorageBackend,
    name: &str,
) -> Result<Database, Report<Error>> {
    let failed = || Error::from(ErrorKind::Open(name.to_owned()));
    let bytes = backend.len().change_context_lazy(failed)?;
    let start = read_start(&backend, bytes).change_context_lazy(failed)?;
    if is_unfinished(&start) {
        if bytes > 0 {
            spdlog::warn!("creation of a database was interrupted; creating it again", kv: { name, bytes });
            backend.set_len(0).change_context_lazy(failed)?;
        }
    } else if start != MAGIC {
        return Err(Error::from(ErrorKind::NotDatabase { name: name.to_owned(), start }).into());
    }
    Builder::new().create_with_backend(SyncedGrowth(backend)).change_context_lazy(failed)
}

/// Reads the first bytes of a storage, as many as [`MAGIC`] has or fewer if it is shorter.
fn read_start(backend: &impl StorageBackend, bytes: u64) -> io::Result<Vec<u8>> {
    let len = usize::try_from(bytes).map_or(MAGIC.len(), |bytes| bytes.min(MAGIC.len()));
    let mut start = vec![0; len];
    backend.read(0, &mut start)?;
    Ok(start)
}

/// Returns whether a storage that starts with these bytes was never a whole database.
///
/// While a database is created, its magic number is written last, after everything else is synced.
/// Until then the bytes in its place do not exist or are zero, or some of them are written if power is
/// lost. Such a database has never been opened, so it holds no records.
fn is_unfinished(start: &[u8]) -> bool {
    start != MAGIC && start.iter().zip(MAGIC).all(|(&byte, magic)| byte == 0 || byte == magic)
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

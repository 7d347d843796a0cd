//! Opening of database files.

use std::{fs::OpenOptions, io, path::Path};

use error_stack::{Report, ResultExt};
use redb::{Builder, Database, StorageBackend, backends::FileBackend};

use crate::error::{Error, ErrorKind};

/// First bytes of a database file.
const MAGIC: [u8; 9] = *b"redb\x1a\n\xa9\r\n";
/// Length of the header of a database, in bytes.
const HEADER_BYTES: u64 = 320;
/// Number of bytes that are read at a time.
const PART_BYTES: usize = 64 << 10;

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
    let mut start = vec![0; usize::try_from(bytes).map_or(MAGIC.len(), |b| b.min(MAGIC.len()))];
    backend.read(0, &mut start).change_context_lazy(failed)?;
    if start != MAGIC && bytes > 0 {
        if !is_unfinished(&backend, &start, bytes).change_context_lazy(failed)? {
            return Err(Error::from(ErrorKind::NotDatabase { name: name.to_owned(), start }).into());
        }
        spdlog::warn!("creation of a database was interrupted; creating it again", kv: { name, bytes });
        backend.set_len(0).change_context_lazy(failed)?;
    }
    Builder::new().create_with_backend(SyncedGrowth(backend)).change_context_lazy(failed)
}

/// Returns whether a storage of this length, which starts with these bytes, was never a whole
/// database.
///
/// A database is created by writing a header, without its magic number, to a storage that is zero
/// otherwise. The magic number follows when that is synced, so if power is lost then, a part of it may
/// be written. Nothing was stored by then.
fn is_unfinished(backend: &impl StorageBackend, start: &[u8], bytes: u64) -> io::Result<bool> {
    if start.iter().zip(MAGIC).any(|(&byte, magic)| byte != 0 && byte != magic) {
        return Ok(false);
    }
    let mut at = HEADER_BYTES;
    let mut part = vec![0; PART_BYTES];
    while at < bytes {
        let len = usize::try_from(bytes - at).map_or(PART_BYTES, |left| left.min(PART_BYTES));
        backend.read(at, &mut part[..len])?;
        if part[..len].iter().any(|&byte| byte != 0) {
            return Ok(false);
        }
        at += len as u64;
    }
    Ok(true)
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

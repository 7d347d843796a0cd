//! A value in a file of its own, which each write replaces.

use std::{
    fs::{self, File},
    io::{ErrorKind as IoErrorKind, Write},
    path::{Path, PathBuf},
};

use error_stack::{Report, ResultExt};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    error::{Error, ErrorKind},
    record::{decode, encode},
};

type Result<T> = std::result::Result<T, Report<Error>>;

/// A value in a file. After a crash the file holds the value before or after a write, never a mix.
///
/// # Examples
///
/// ```
/// use store::ValueFile;
///
/// let folder = std::env::temp_dir().join(format!("value-doc-{}", std::process::id()));
/// std::fs::create_dir_all(&folder).unwrap();
/// let file = ValueFile::new(&folder, "limits");
/// assert_eq!(file.read::<Vec<u32>>()?, None);
/// file.write(&vec![7, 8])?;
/// assert_eq!(ValueFile::new(&folder, "limits").read()?, Some(vec![7, 8]));
/// # std::fs::remove_dir_all(folder).unwrap();
/// # Ok::<(), error_stack::Report<store::Error>>(())
/// ```
#[derive(Clone, Debug)]
pub struct ValueFile {
    folder: PathBuf,
    path: PathBuf,
}

impl ValueFile {
    /// Returns the file with this name in an existing folder. It need not exist.
    #[must_use]
    pub fn new(folder: &Path, name: &str) -> Self {
        Self { folder: folder.to_owned(), path: folder.join(name) }
    }

    /// Returns the value that was last written, or `None` if the file does not exist.
    ///
    /// # Errors
    ///
    /// If the file cannot be read, is corrupt, or holds a value of another type.
    pub fn read<T: DeserializeOwned>(&self) -> Result<Option<T>> {
        let path = || self.path.display().to_string();
        let record = match fs::read(&self.path) {
            Ok(record) => record,
            Err(error) if error.kind() == IoErrorKind::NotFound => return Ok(None),
            Err(error) => {
                return Err(Report::new(error).change_context(ErrorKind::Open(path()).into()));
            }
        };
        let value = decode(&record).ok_or_else(|| Error::from(ErrorKind::CorruptFile(path())))?;
        Ok(Some(value))
    }

    /// Writes and syncs a value in place of the one before.
    ///
    /// # Errors
    ///
    /// If the value cannot be encoded, or the file cannot be written and synced. The file then holds
    /// the value before or this one.
    pub fn write<T: Serialize>(&self, value: &T) -> Result<()> {
        let failed = || Error::from(ErrorKind::WriteFile(self.path.display().to_string()));
        let record = encode(value).ok_or_else(failed)?;
        let new = self.path.with_extension("new");
        let mut file = File::create(&new).change_context_lazy(failed)?;
        file.write_all(&record).and_then(|()| file.sync_all()).change_context_lazy(failed)?;
        fs::rename(&new, &self.path).change_context_lazy(failed)?;
        // Syncs the folder, because its directory entry for the file must survive a crash too.
        File::open(&self.folder).and_then(|f| f.sync_all()).change_context_lazy(failed)
    }
}

//! The catalogue: who may use what, in which class, within which limits.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, ErrorKind},
    hash::digest,
    names::{AccountName, EditId, ServiceName},
    tier::Tier,
};

/// Digest of a bearer credential; the credential itself is never kept.
///
/// # Examples
///
/// ```
/// use model::Credential;
///
/// assert_eq!(Credential::from_secret("secret"), Credential::from_secret("secret"));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Credential(Arc<str>);

impl Credential {
    /// The digest of a bearer credential.
    #[must_use]
    pub fn from_secret(secret: &str) -> Self {
        Self(Arc::from(digest(secret.as_bytes())))
    }
}

impl TryFrom<&str> for Credential {
    type Error = Error;

    fn try_from(raw: &str) -> Result<Self, Error> {
        let valid = raw.len() == 64 && raw.bytes().all(|b| b.is_ascii_hexdigit());
        if !valid {
            return Err(ErrorKind::Limit {
                key: "credential",
                why: "must be a SHA-256 digest of 64 hexadecimal digits",
            }
            .into());
        }
        Ok(Self(Arc::from(raw.to_ascii_lowercase())))
    }
}

/// Limits of one client account over the whole region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Limits {
    /// Requests per second.
    pub rate: u32,
    /// Requests in progress at once.
    pub concurrent: u32,
    /// Estimated tokens per second.
    pub tokens: u32,
}

/// A catalogue entry as received.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawEntry {
    /// The client account that owns the entry.
    pub account: String,
    /// Highest tier that the account may ask for, 0 (highest) to 4.
    pub tier: u8,
    /// Services that the account may use.
    pub services: Vec<String>,
    /// Requests per second.
    pub rate: u32,
    /// Requests in progress at once.
    pub concurrent: u32,
    /// Estimated tokens per second.
    pub tokens: u32,
    /// SHA-256 digest of the bearer credential in hexadecimal digits.
    pub credential: String,
}

/// A checked catalogue entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The client account that owns the entry.
    pub account: AccountName,
    /// Highest tier that the account may ask for.
    pub tier: Tier,
    /// Services that the account may use.
    pub services: BTreeSet<ServiceName>,
    /// Limits over the region.
    pub limits: Limits,
    /// Digest of the bearer credential.
    pub credential: Credential,
}

impl TryFrom<RawEntry> for Entry {
    type Error = Error;

    fn try_from(raw: RawEntry) -> Result<Self, Error> {
        for (key, value) in
            [("rate", raw.rate), ("concurrent", raw.concurrent), ("tokens", raw.tokens)]
        {
            if value == 0 {
                return Err(ErrorKind::Limit { key, why: "must be at least 1" }.into());
            }
        }
        if raw.services.is_empty() {
            return Err(ErrorKind::Empty("services").into());
        }
        Ok(Self {
            account: AccountName::try_from(raw.account)?,
            tier: Tier::from_class(raw.tier)?,
            services: raw
                .services
                .into_iter()
                .map(ServiceName::try_from)
                .collect::<Result<_, _>>()?,
            limits: Limits { rate: raw.rate, concurrent: raw.concurrent, tokens: raw.tokens },
            credential: Credential::try_from(raw.credential.as_str())?,
        })
    }
}

impl From<&Entry> for RawEntry {
    fn from(entry: &Entry) -> Self {
        Self {
            account: entry.account.to_string(),
            tier: entry.tier.into(),
            services: entry.services.iter().map(ToString::to_string).collect(),
            rate: entry.limits.rate,
            concurrent: entry.limits.concurrent,
            tokens: entry.limits.tokens,
            credential: entry.credential.0.to_string(),
        }
    }
}

/// A requested change of the catalogue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Chosen by the operator; a resend carries the same id.
    pub id: EditId,
    /// Revision that the edit is based on.
    pub base: u64,
    /// Entries to add or replace.
    pub put: Vec<Entry>,
    /// Accounts to remove.
    pub remove: Vec<AccountName>,
}

/// What became of an edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EditOutcome {
    /// The edit made this revision.
    Accepted {
        /// Revision made by the edit.
        revision: u64,
    },
    /// Another edit on the same base won.
    Conflict {
        /// Revision in force.
        revision: u64,
        /// The edit that made the revision after the given base, if it is still known.
        winner: Option<EditId>,
    },
    /// The edit cannot be applied to its base.
    Invalid {
        /// Why.
        why: String,
    },
}

/// The catalogue at one revision.
///
/// # Examples
///
/// ```
/// use model::Catalogue;
///
/// let empty = Catalogue::default();
/// assert_eq!(empty.revision(), 0);
/// assert!(empty.entries().next().is_none());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Catalogue {
    revision: u64,
    entries: BTreeMap<AccountName, Arc<Entry>>,
    credentials: HashMap<Credential, AccountName>,
}

impl Catalogue {
    /// A catalogue of these entries.
    ///
    /// # Errors
    ///
    /// If two entries share an account or a credential.
    pub fn new(revision: u64, entries: Vec<Entry>) -> Result<Self, Error> {
        let mut catalogue = Self { revision, ..Self::default() };
        for entry in entries {
            let name = entry.account.clone();
            let duplicate =
                |what| Error::from(ErrorKind::Duplicate { what, name: name.to_string() });
            if catalogue.credentials.insert(entry.credential.clone(), name.clone()).is_some() {
                return Err(duplicate("credential of account"));
            }
            if catalogue.entries.insert(name.clone(), Arc::new(entry)).is_some() {
                return Err(duplicate("account"));
            }
        }
        Ok(catalogue)
    }

    /// This catalogue with an edit applied, at the next revision.
    ///
    /// # Errors
    ///
    /// If the result has a credential twice, or an account to remove does not exist.
    pub fn edited(&self, edit: &Edit) -> Result<Self, Error> {
        let mut next = self.clone();
        next.revision += 1;
        for account in &edit.remove {
            let Some(old) = next.entries.remove(account) else {
                return Err(ErrorKind::Unknown(account.to_string()).into());
            };
            next.credentials.remove(&old.credential);
        }
        for entry in &edit.put {
            if let Some(old) = next.entries.insert(entry.account.clone(), Arc::new(entry.clone())) {
                next.credentials.remove(&old.credential);
            }
        }
        for entry in &edit.put {
            let holder = next.credentials.insert(entry.credential.clone(), entry.account.clone());
            if let Some(holder) = holder.filter(|h| *h != entry.account) {
                let name = holder.to_string();
                return Err(ErrorKind::Duplicate { what: "credential of account", name }.into());
            }
        }
        Ok(next)
    }

    /// The revision, from 0 for the empty catalogue.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// All entries by account.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<Entry>> {
        self.entries.values()
    }

    /// The entry of an account.
    #[must_use]
    pub fn entry(&self, account: &AccountName) -> Option<&Arc<Entry>> {
        self.entries.get(account)
    }

    /// The entry that a bearer credential names.
    #[must_use]
    pub fn authenticate(&self, credential: &Credential) -> Option<&Arc<Entry>> {
        self.entries.get(self.credentials.get(credential)?)
    }
}

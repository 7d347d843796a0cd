//! The catalogue of client accounts: the services that each account may use, its tier, its limits
//! and its credential.
//!
//! Operators change the catalogue by edits, each of which makes a new revision. Entries arrive as
//! [`RawEntry`] and are validated by conversion to [`Entry`].

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

/// The SHA-256 digest of a bearer credential. The credential itself is never stored.
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
    /// Creates the digest of a bearer credential.
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

/// The limits of one client account, across all VMs of the region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum number of requests per second.
    pub rate: u32,
    /// Maximum number of requests in progress at the same time.
    pub concurrent: u32,
    /// Maximum number of estimated tokens per second, of prompts and answers together.
    pub tokens: u32,
}

/// A catalogue entry as received, before validation.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawEntry {
    /// The client account that owns the entry.
    pub account: String,
    /// Class of service of the account, 0 (highest) to 4: the highest tier that its requests may
    /// ask for.
    pub tier: u8,
    /// Services that the account may use, at least one.
    pub services: Vec<String>,
    /// Maximum number of requests per second, at least 1.
    pub rate: u32,
    /// Maximum number of requests in progress at the same time, at least 1.
    pub concurrent: u32,
    /// Maximum number of estimated tokens per second, at least 1.
    pub tokens: u32,
    /// SHA-256 digest of the bearer credential, as 64 hexadecimal digits.
    pub credential: String,
}

/// A valid catalogue entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The client account that owns the entry.
    pub account: AccountName,
    /// Highest tier that requests of the account may ask for, and the tier of requests that ask for
    /// none.
    pub tier: Tier,
    /// Services that the account may use.
    pub services: BTreeSet<ServiceName>,
    /// Limits of the account across the region.
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

/// A change of the catalogue that an operator requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Id chosen by the operator. A retry carries the same id.
    pub id: EditId,
    /// Revision that the edit is based on; an edit is applied only if this revision is in force.
    pub base: u64,
    /// Entries to add or replace.
    pub put: Vec<Entry>,
    /// Accounts to remove.
    pub remove: Vec<AccountName>,
}

/// The result of an edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EditOutcome {
    /// The edit was applied and made a new revision.
    Accepted {
        /// Revision that the edit made.
        revision: u64,
    },
    /// Another edit was applied to the same base first.
    Conflict {
        /// Revision in force.
        revision: u64,
        /// Id of the edit that made the revision after the base, or `None` if it is no longer
        /// known.
        winner: Option<EditId>,
    },
    /// The edit cannot be applied to its base.
    Invalid {
        /// Message that says why it cannot.
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
    /// Creates a catalogue from its entries.
    ///
    /// # Errors
    ///
    /// Returns an error if two entries have the same account or the same credential.
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

    /// Returns the catalogue that results from an edit, at the next revision.
    ///
    /// The base of the edit is not compared with the revision of this catalogue.
    ///
    /// # Errors
    ///
    /// Returns an error if two entries of the result have the same credential, if the edit puts an
    /// account twice, or if an account to remove does not exist.
    pub fn edited(&self, edit: &Edit) -> Result<Self, Error> {
        let mut accounts = BTreeSet::new();
        if let Some(twice) = edit.put.iter().find(|entry| !accounts.insert(&entry.account)) {
            let name = twice.account.to_string();
            return Err(ErrorKind::Duplicate { what: "account", name }.into());
        }
        let mut next = self.clone();
        next.revision += 1;
        for account in &edit.remove {
            let Some(removed) = next.entries.remove(account) else {
                return Err(ErrorKind::Unknown(account.to_string()).into());
            };
            next.credentials.remove(&removed.credential);
        }
        for entry in &edit.put {
            if let Some(replaced) =
                next.entries.insert(entry.account.clone(), Arc::new(entry.clone()))
            {
                next.credentials.remove(&replaced.credential);
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

    /// Returns the revision, which is 0 for the empty catalogue.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns all entries in the order of their account names.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<Entry>> {
        self.entries.values()
    }

    /// Returns the entry of an account, or `None` if there is no such account.
    #[must_use]
    pub fn entry(&self, account: &AccountName) -> Option<&Arc<Entry>> {
        self.entries.get(account)
    }

    /// Returns the entry to which a bearer credential belongs, or `None` if no entry has it.
    #[must_use]
    pub fn authenticate(&self, credential: &Credential) -> Option<&Arc<Entry>> {
        self.entries.get(self.credentials.get(credential)?)
    }
}

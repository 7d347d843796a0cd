//! The serving side: the latest documents of a control VM, and the patches that lead to the newest.
//!
//! Each patch is made once and shared by all entry VMs that hold the same version. One patch is made
//! at a time, outside this crate's caller's thread, from a [`Job`].

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use model::{Span, Time, ZoneName};
use serde::{Deserialize, Serialize};

use crate::{
    document::{Base, Digest, Document},
    patch::Patch,
};

/// Number of versions that are kept. An entry VM with an older one gets the whole document.
const MAX_VERSIONS: usize = 16;
/// Memory of the versions that are kept besides the newest, in bytes: 4% of a control VM's memory.
const MAX_OLD_BYTES: usize = 10 << 20;
/// Assumed ratio of a document to its compressed form while that is not made yet. A plan of 386 KB
/// was compressed to 29 KB.
const COMPRESSION: u64 = 8;

/// The part of an entry VM's poll that concerns the content of the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Version that the control VM has told the entry VM of, or that the entry VM has. The poll is
    /// answered once the control VM has a newer one.
    pub known: u64,
    /// Whether the entry VM asks for the content of the newest plan, to be answered at once.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub fetch: bool,
    /// The document that the entry VM has. `None` if it has none, or to get a whole one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<Base>,
}

/// What a control VM says of a plan that is newer than that of the polling entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Digest of the plan's document.
    pub digest: Digest,
    /// Size of the content that would be sent to the entry VM, in bytes; an estimate if it is not
    /// made yet.
    pub bytes: u64,
    /// Time since the plan came into force at the control VM.
    pub age: Span,
    /// Availability zone of the control VM.
    pub zone: ZoneName,
}

/// A patch to be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    base: Option<Document>,
    target: Document,
}

impl Job {
    /// Makes the patch, which takes processor time proportional to the size of the document.
    #[must_use]
    pub fn run(&self) -> Patch {
        Patch::new(self.base.as_ref(), &self.target)
    }
}

/// The answer to a request for content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Served {
    /// The content.
    Ready(Arc<Patch>),
    /// The patch is to be made; the request is repeated after [`PatchCache::insert`].
    Wait,
    /// There is nothing newer than what the entry VM has.
    Nothing,
}

/// The latest versions of a control VM, and the patches to the newest of them.
///
/// # Examples
///
/// ```
/// use edition::{Served, PatchCache};
/// use model::Time;
///
/// let mut patch_cache = PatchCache::default();
/// patch_cache.push(Time::default(), 7, b"routes".to_vec().into());
/// assert_eq!(patch_cache.request(None), Served::Wait);
/// let job = patch_cache.next_job().unwrap();
/// patch_cache.insert(job.run().into());
/// let Served::Ready(patch) = patch_cache.request(None) else { panic!() };
/// assert_eq!(patch.apply(None).unwrap().version(), 7);
/// ```
#[derive(Debug, Default)]
pub struct PatchCache {
    /// From the oldest to the newest.
    documents: VecDeque<Document>,
    /// When the newest was added.
    pushed: Time,
    /// Patches to the newest document, by the version that they apply to; 0 stands for whole ones.
    patches: BTreeMap<u64, Arc<Patch>>,
    /// Versions to which requested patches apply, in the order in which they are made.
    wanted: VecDeque<u64>,
    /// Whether a job is being run.
    is_busy: bool,
}

impl PatchCache {
    /// Adds a version, if it is newer than those before.
    pub fn push(&mut self, now: Time, version: u64, content: Arc<Vec<u8>>) {
        let newest = self.documents.back();
        if version <= newest.map_or(0, Document::version) {
            return;
        }
        self.pushed = now;
        self.patches.clear();
        self.wanted.clear();
        // Most entry VMs have the version before.
        self.wanted.extend(newest.map(Document::version));
        self.documents.push_back(Document::new(version, content));
        let old_bytes = |documents: &VecDeque<Document>| -> usize {
            documents.iter().rev().skip(1).map(|d| d.content().len()).sum()
        };
        while self.documents.len() > MAX_VERSIONS || old_bytes(&self.documents) > MAX_OLD_BYTES {
            self.documents.pop_front();
        }
    }

    /// Returns the version of the newest document; 0 if there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.documents.back().map_or(0, Document::version)
    }

    /// Answers an entry VM that has the document `base`.
    pub fn request(&mut self, base: Option<Base>) -> Served {
        if base.map_or(0, |b| b.version) >= self.version() {
            return Served::Nothing;
        }
        let held = base.filter(|base| self.find(base.version).is_some_and(|d| d.base() == *base));
        let from = held.map_or(0, |b| b.version);
        if let Some(patch) = self.patches.get(&from) {
            return Served::Ready(Arc::clone(patch));
        }
        if !self.wanted.contains(&from) {
            self.wanted.push_back(from);
        }
        Served::Wait
    }

    /// Returns what an entry VM with this version is told of the newest one; `None` if it has that.
    #[must_use]
    pub fn offer(&self, now: Time, version: u64, zone: &ZoneName) -> Option<Offer> {
        let newest = self.documents.back().filter(|d| d.version() > version)?;
        let from = self.find(version).map_or(0, Document::version);
        let made = self.patches.get(&from).map(|p| p.content.len() as u64);
        let bytes = made.unwrap_or(newest.content().len() as u64 / COMPRESSION);
        let (digest, age) = (newest.base().digest, now - self.pushed);
        Some(Offer { digest, bytes, age, zone: zone.clone() })
    }

    /// Returns the next patch to be made, unless one is being made.
    pub fn next_job(&mut self) -> Option<Job> {
        if self.is_busy {
            return None;
        }
        let target = self.documents.back()?.clone();
        let from = self.wanted.pop_front()?;
        self.is_busy = true;
        Some(Job { base: self.find(from).cloned(), target })
    }

    /// Adds the patch that a [`Job`] made. It is dropped if there is a newer document meanwhile.
    pub fn insert(&mut self, patch: Arc<Patch>) {
        self.is_busy = false;
        if self.documents.back().is_some_and(|d| d.base() == patch.target) {
            self.patches.insert(patch.base.map_or(0, |b| b.version), patch);
        }
    }

    fn find(&self, version: u64) -> Option<&Document> {
        self.documents.iter().find(|d| d.version() == version)
    }
}

//! Tracks which prompt prefixes a backend server probably has in its cache.
//!
//! A server does not report what its cache holds, so this is inferred from the requests that this
//! broker granted it.

use std::collections::{BTreeMap, HashMap};

/// The most recently used prefix hashes of one server, up to a limit.
#[derive(Debug)]
pub(crate) struct PrefixMap {
    max: usize,
    clock: u64,
    by_hash: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
}

impl PrefixMap {
    pub(crate) fn new(max: usize) -> Self {
        Self { max, clock: 0, by_hash: HashMap::new(), by_use: BTreeMap::new() }
    }

    /// Returns whether the server probably has the prefix cached. The hash 0 stands for no prefix.
    pub(crate) fn holds(&self, hash: u64) -> bool {
        hash != 0 && self.by_hash.contains_key(&hash)
    }

    /// Records a request with this prefix, which puts the prefix into the server's cache.
    pub(crate) fn touch(&mut self, hash: u64) {
        if hash == 0 {
            return;
        }
        self.clock += 1;
        if let Some(old) = self.by_hash.insert(hash, self.clock) {
            self.by_use.remove(&old);
        }
        self.by_use.insert(self.clock, hash);
        if self.by_hash.len() > self.max
            && let Some((_, oldest)) = self.by_use.pop_first()
        {
            self.by_hash.remove(&oldest);
        }
    }
}

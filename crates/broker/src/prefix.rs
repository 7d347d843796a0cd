//! Which prompt prefixes a backend server probably holds.

use std::collections::{BTreeMap, HashMap};

/// The most recently used prefixes of one server, learnt from our own routing.
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

    /// Whether the server probably holds the prefix; 0 means no prefix.
    pub(crate) fn holds(&self, hash: u64) -> bool {
        hash != 0 && self.by_hash.contains_key(&hash)
    }

    /// Notes that the server is about to hold the prefix.
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

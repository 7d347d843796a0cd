//! Distribution of the routing plan's document from control VMs to entry VMs.
//!
//! A control VM keeps the latest versions in a [`PatchCache`] and answers a request with a [`Patch`],
//! which leads from the version that the entry VM holds to the newest one, or holds the whole
//! document. An entry VM decides with a [`Fetcher`] which control VM to ask and when to ask another
//! one. The crate performs no input or output and reads no clock.
//!
//! # Examples
//!
//! ```
//! use edition::{Document, Patch};
//!
//! let old = Document::new(7, b"a route, and another route".to_vec().into());
//! let new = Document::new(8, b"a route, and another route, and one more".to_vec().into());
//! let patch = Patch::new(Some(&old), &new);
//! assert_eq!(patch.apply(Some(&old)).unwrap(), new);
//! assert!(patch.apply(None).is_err(), "it applies to the version that it names only");
//! assert_eq!(Patch::new(None, &new).apply(None).unwrap(), new);
//! ```

mod document;
mod fetcher;
mod patch;
mod patch_cache;

pub use crate::{
    document::{Base, Digest, Document},
    fetcher::{Failure, Fetch, Fetcher, Heard, Step},
    patch::{Error, Patch},
    patch_cache::{Job, Offer, PatchCache, Request, Served},
};

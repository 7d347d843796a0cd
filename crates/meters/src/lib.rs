//! Counters of one entry VM, in Prometheus' text form.
//!
//! # Examples
//!
//! ```
//! use meters::Meters;
//! use model::RefusalReason;
//!
//! let meters = Meters::new("vm-1")?;
//! meters.count_refusal(RefusalReason::Shed);
//! assert!(meters.text()?.contains(r#"reason="shed""#));
//! assert_eq!(meters.refusals()[&RefusalReason::Shed], 1);
//! # Ok::<(), error_stack::Report<meters::Error>>(())
//! ```

mod count;

pub use crate::count::{Error, Meters, Operation};

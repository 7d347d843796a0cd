//! Metrics of one VM, exported in the Prometheus text format.
//!
//! [`Meters`] holds the counters, the gauges and the histogram of a process. The other crates
//! update it, and Prometheus is served its [`Meters::text`]. Every metric carries the name of the
//! VM as the label `vm`.
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

mod metrics;

pub use crate::metrics::{Error, Meters, Operation};

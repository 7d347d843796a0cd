//! The routing plan that an operator puts in force: which service serves a request, for which
//! client account, within which limits. It performs no input or output.
//!
//! # Examples
//!
//! ```
//! use routing::{Plan, RawAccount, RawPlan, RawRoute, RawService, RetryMode};
//!
//! let raw = RawPlan {
//!     version: 1,
//!     routes: vec![RawRoute {
//!         name: "orders".into(),
//!         host: "shop.example".into(),
//!         prefix: "/orders/".into(),
//!         retry: RetryMode::Never,
//!         timeout_ms: 3_000,
//!         split: vec![("order-desk".into(), 1)],
//!         ..RawRoute::default()
//!     }],
//!     services: vec![RawService { name: "order-desk".into(), ..RawService::default() }],
//!     ..RawPlan::default()
//! };
//! let plan = Plan::try_from(raw.clone()).unwrap();
//! let route = plan.route("shop.example", "/orders/7").unwrap();
//! assert_eq!(route.service("request-1").as_str(), "order-desk");
//! assert!(plan.route("shop.example", "/other/").is_none());
//!
//! let doubled = RawPlan { routes: [raw.routes.clone(), raw.routes].concat(), ..raw };
//! let fault = Plan::try_from(doubled).unwrap_err();
//! assert_eq!(fault.to_string(), "two routes share host \"shop.example\" and prefix \"/orders/\"");
//! ```

mod error;
mod plan;
mod raw;

pub use crate::{
    error::Error,
    plan::{Account, CallerLimits, Plan, Quota, Route, Service},
    raw::{RawAccount, RawLimits, RawPlan, RawRoute, RawService, RetryMode, Unit},
};

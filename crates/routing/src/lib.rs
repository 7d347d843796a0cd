//! The routing plan that an operator puts in force. It determines the service, the tier and the
//! client account of a request, and the limits that apply. This crate performs no input or output.
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
//! let duplicated = RawPlan { routes: [raw.routes.clone(), raw.routes].concat(), ..raw };
//! let error = Plan::try_from(duplicated).unwrap_err();
//! assert_eq!(error.to_string(), "two routes share host \"shop.example\" and prefix \"/orders/\"");
//! ```

mod error;
mod plan;
mod raw;

pub use crate::{
    error::Error,
    plan::{Account, CallerLimits, DEFAULT_HEALTH_PATH, Plan, Quota, Route, Service},
    raw::{RawAccount, RawLimits, RawPlan, RawRoute, RawService, RetryMode, Unit},
};

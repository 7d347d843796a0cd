//! HTTP towards callers, operators and backend servers, built on gotham.
//!
//! [`App`] holds what the handlers share. [`caller_router()`] and [`admin_router()`] are the two routers, and
//! [`serve()`] runs one of them on a listener, with header timeouts and a graceful end.

mod admin;
mod app;
mod body;
mod callers;
mod case;
mod chat;
mod dispatch;
mod estimate;
mod fail;
mod headers;
mod key;
mod listen;
mod plain;
mod recent;
mod records;

pub use crate::{
    admin::admin_router,
    app::{App, AppConfig, Peers},
    callers::caller_router,
    fail::ErrorBody,
    listen::serve,
};

//! The HTTP endpoints of an entry VM for callers, operators and backend servers, built on gotham.
//!
//! [`App`] is the state that all handlers share. [`caller_router()`] routes the requests of
//! callers, which are forwarded to backend servers. [`admin_router()`] routes the calls of
//! operators and the announcements of backend servers. [`serve()`] runs a router on a listener,
//! with a timeout for request heads and a graceful shutdown.

mod admin;
mod app;
mod body;
mod callers;
mod chat;
mod context;
mod dispatch;
mod error;
mod estimate;
mod headers;
mod key;
mod plain;
mod recent;
mod records;
mod serve;
mod suspicion;

pub use crate::{
    admin::admin_router,
    app::{App, AppConfig, Peers},
    callers::caller_router,
    error::ErrorBody,
    serve::serve,
};

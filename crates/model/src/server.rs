//! The announcements of backend servers, and operators' declarations about the servers.
//!
//! A backend server announces itself periodically; an announcement that is not renewed expires.
//! Announcements arrive as [`RawAnnouncement`] and are validated by conversion to
//! [`Announcement`].

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, ErrorKind},
    names::{ServerId, ServiceName, ZoneName},
    time::Span,
};

/// Minimum and maximum time to live of an announcement, in milliseconds.
const TTL_RANGE_MS: (u64, u64) = (200, 60_000);
/// Maximum number of concurrent requests that a backend server may announce.
const MAX_SLOTS: u64 = 4_096;

/// The kind of software that a backend server runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model engine, which serves chat completions, streams tokens and supports cancellation.
    Model,
    /// A plain service, to which any HTTP call is passed through.
    Plain,
}

/// Whether a backend server rejects orders with an outdated fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// The server compares fencing numbers and rejects outdated ones.
    Checks,
    /// The server ignores fencing numbers, or did not announce that it checks them.
    #[default]
    Ignores,
}

/// An announcement as received, before validation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RawAnnouncement {
    /// Id of the backend server.
    pub id: String,
    /// Name of the service that it offers.
    pub service: String,
    /// Kind of software that it runs.
    pub kind: Kind,
    /// IP address and port on which it listens, such as `127.0.0.1:8080`.
    pub address: String,
    /// Number of requests that it can process at the same time, 1 to 4096.
    pub slots: u64,
    /// Generation of its hardware; a higher number is newer. Defaults to 0.
    #[serde(default)]
    pub generation: u8,
    /// Whether it checks fencing numbers. Defaults to [`Fencing::Ignores`].
    #[serde(default)]
    pub fencing: Fencing,
    /// Time until the announcement expires, in milliseconds, 200 to 60000.
    pub ttl_ms: u64,
    /// Number of requests in progress when the announcement was made. Defaults to 0.
    #[serde(default)]
    pub load: u64,
    /// Number of prompt prefixes that its cache can hold, or `None` if it does not announce one.
    #[serde(default)]
    pub prefixes: Option<u32>,
}

/// An announcement that was validated by conversion from a [`RawAnnouncement`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Id of the backend server.
    pub id: ServerId,
    /// Name of the service that it offers.
    pub service: ServiceName,
    /// Kind of software that it runs.
    pub kind: Kind,
    /// IP address and port on which it listens.
    pub address: SocketAddr,
    /// Number of requests that it can process at the same time, at least 1.
    pub slots: u32,
    /// Generation of its hardware; a higher number is newer.
    pub generation: u8,
    /// Whether it checks fencing numbers.
    pub fencing: Fencing,
    /// Time until the announcement expires.
    pub ttl: Span,
    /// Number of requests in progress when the announcement was made.
    pub load: u32,
    /// Number of prompt prefixes that its cache can hold, or `None` if it does not announce one.
    pub prefixes: Option<u32>,
}

impl TryFrom<RawAnnouncement> for Announcement {
    type Error = Error;

    fn try_from(raw: RawAnnouncement) -> Result<Self, Error> {
        let address = raw.address.parse().map_err(|_| ErrorKind::Address(raw.address.clone()))?;
        let slots = check_range("slots", raw.slots, 1, MAX_SLOTS)?;
        let ttl = check_range("ttl_ms", raw.ttl_ms, TTL_RANGE_MS.0, TTL_RANGE_MS.1)?;
        Ok(Self {
            id: ServerId::try_from(raw.id)?,
            service: ServiceName::try_from(raw.service)?,
            kind: raw.kind,
            address,
            slots,
            generation: raw.generation,
            fencing: raw.fencing,
            ttl: Span::from_millis(u64::from(ttl)),
            load: u32::try_from(raw.load).unwrap_or(u32::MAX),
            prefixes: raw.prefixes,
        })
    }
}

fn check_range(key: &'static str, raw: u64, min: u64, max: u64) -> Result<u32, Error> {
    if raw < min || raw > max {
        return Err(ErrorKind::Range { key, min, max }.into());
    }
    u32::try_from(raw).map_err(|_| ErrorKind::Range { key, min, max }.into())
}

/// The operational state that operators assign to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Duty {
    /// The server is given new requests. This is the state of a server that has no mark.
    Serving,
    /// The server is given no new requests for now, and is expected back.
    Maintenance,
    /// The server is given no new requests any more, and will not return.
    Leaving,
}

/// An operator's declaration about one backend server.
///
/// Of two marks for the same server, the one with the higher `version` is in force. Ties are broken
/// by the duty, so that all VMs agree.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Mark {
    /// Lamport timestamp of the declaration.
    pub version: u64,
    /// The state that the operator assigned.
    pub duty: Duty,
    /// The server's availability zone, or `None` if the VM that took the declaration did not know
    /// it.
    pub zone: Option<ZoneName>,
}

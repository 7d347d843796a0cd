//! Backend servers as they announce themselves.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, ErrorKind},
    names::{ServerId, ServiceName, ZoneName},
    time::Span,
};

/// Shortest and longest accepted time to live of an announcement, in milliseconds.
const TTL_RANGE_MS: (u64, u64) = (200, 60_000);
/// Most concurrent requests that a backend server may announce.
const MAX_SLOTS: u64 = 4_096;

/// What a backend server runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model engine: chat completions, streams, cancellation.
    Model,
    /// A plain service: any HTTP call, passed through.
    Plain,
}

/// Whether a backend server refuses orders with an old fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// It compares fencing numbers and refuses old ones.
    Checks,
    /// It ignores them, or has not said.
    #[default]
    Ignores,
}

/// An announcement as received.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RawAnnouncement {
    /// Id of the backend server.
    pub id: String,
    /// Service offered.
    pub service: String,
    /// What it runs.
    pub kind: Kind,
    /// Address such as `127.0.0.1:8080`.
    pub address: String,
    /// Requests that it can work on at once.
    pub slots: u64,
    /// Hardware generation, higher is newer.
    #[serde(default)]
    pub generation: u8,
    /// Whether it checks fencing numbers.
    #[serde(default)]
    pub fencing: Fencing,
    /// Milliseconds until the announcement lapses.
    pub ttl_ms: u64,
    /// Requests in progress when the report was made.
    #[serde(default)]
    pub load: u64,
    /// Prompt prefixes that its cache holds, if it says so.
    #[serde(default)]
    pub prefixes: Option<u32>,
}

/// A checked announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Id of the backend server.
    pub id: ServerId,
    /// Service offered.
    pub service: ServiceName,
    /// What it runs.
    pub kind: Kind,
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests that it can work on at once, at least 1.
    pub slots: u32,
    /// Hardware generation, higher is newer.
    pub generation: u8,
    /// Whether it checks fencing numbers.
    pub fencing: Fencing,
    /// Time until the announcement lapses.
    pub ttl: Span,
    /// Requests in progress when the report was made.
    pub load: u32,
    /// Prompt prefixes that its cache holds, if it says so.
    pub prefixes: Option<u32>,
}

impl TryFrom<RawAnnouncement> for Announcement {
    type Error = Error;

    fn try_from(raw: RawAnnouncement) -> Result<Self, Error> {
        let address = raw.address.parse().map_err(|_| ErrorKind::Address(raw.address.clone()))?;
        let slots = in_range("slots", raw.slots, 1, MAX_SLOTS)?;
        let ttl = in_range("ttl_ms", raw.ttl_ms, TTL_RANGE_MS.0, TTL_RANGE_MS.1)?;
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

fn in_range(key: &'static str, raw: u64, min: u64, max: u64) -> Result<u32, Error> {
    if raw < min || raw > max {
        return Err(ErrorKind::Range { key, min, max }.into());
    }
    u32::try_from(raw).map_err(|_| ErrorKind::Range { key, min, max }.into())
}

/// What operators want of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Duty {
    /// It takes new work.
    Serving,
    /// It takes no new work and will return.
    Maintenance,
    /// It takes no new work and will not return.
    Leaving,
}

/// An operator's declaration about one backend server.
///
/// Of two marks for one server the one with the higher `version` holds; the duty decides between
/// equal versions, so that all VMs agree.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Mark {
    /// Lamport number of the declaration.
    pub version: u64,
    /// What operators want.
    pub duty: Duty,
    /// The server's availability zone, if the declaring VM knew it.
    pub zone: Option<ZoneName>,
}

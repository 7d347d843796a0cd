//! Headers that callers send and receive.

use std::time::Duration;

use http::{HeaderMap, HeaderName, header};
use model::{Credential, Tier};

/// Id of the request, in every answer.
pub(crate) const REQUEST_ID: HeaderName = backend::REQUEST_ID;
/// Tier asked for; the account's own if it is absent or higher.
const TIER: HeaderName = HeaderName::from_static("x-tier");
/// Milliseconds until the first byte of the answer is worthless.
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Key of a non-idempotent call.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Set on an answer that was given before.
pub(crate) const REPLAYED: HeaderName = HeaderName::from_static("x-replayed");
/// Longest accepted deadline.
const MAX_DEADLINE: Duration = Duration::from_hours(1);

/// The digest of the bearer credential, if there is one.
pub(crate) fn credential(headers: &HeaderMap) -> Option<Credential> {
    bearer(headers).map(Credential::from_secret)
}

/// The bearer credential, if there is one.
pub(crate) fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(str::trim)
}

/// The tier to serve: the one asked for, but never above the account's own.
pub(crate) fn tier(headers: &HeaderMap, own: Tier) -> Result<Tier, String> {
    let Some(value) = headers.get(TIER) else {
        return Ok(own);
    };
    let text = value.to_str().map_err(|_| "x-tier is not text".to_owned())?;
    let number: u8 = text.parse().map_err(|_| format!("x-tier {text:?} is not a number"))?;
    let asked = Tier::from_class(number).map_err(|e| e.to_string())?;
    Ok(asked.max(own))
}

/// The deadline asked for.
pub(crate) fn deadline(headers: &HeaderMap, default: Duration) -> Result<Duration, String> {
    let Some(value) = headers.get(DEADLINE) else {
        return Ok(default);
    };
    let text = value.to_str().map_err(|_| "x-deadline-ms is not text".to_owned())?;
    let ms: u64 =
        text.parse().map_err(|_| format!("x-deadline-ms {text:?} is not a whole number"))?;
    if ms == 0 {
        return Err("x-deadline-ms must be above 0".into());
    }
    Ok(Duration::from_millis(ms).min(MAX_DEADLINE))
}

/// Whether a header belongs to one connection and is not passed on.
pub(crate) fn is_hop(name: &HeaderName) -> bool {
    const HOP: [HeaderName; 9] = [
        header::CONNECTION,
        header::HOST,
        header::TRANSFER_ENCODING,
        header::CONTENT_LENGTH,
        header::TE,
        header::TRAILER,
        header::UPGRADE,
        header::PROXY_AUTHORIZATION,
        // The credential is between the caller and the system.
        header::AUTHORIZATION,
    ];
    HOP.contains(name) || name.as_str() == "keep-alive" || *name == REQUEST_ID
}

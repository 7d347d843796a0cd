//! Headers that callers send and receive.
//!
//! Parses the credential, the tier and the deadline of a request, and decides which headers are not
//! forwarded. Error texts are sent to the caller.

use std::time::Duration;

use http::{HeaderMap, HeaderName, header};
use model::{Credential, Tier};

/// Id of the request, set on responses to callers.
pub(crate) const REQUEST_ID: HeaderName = backend::REQUEST_ID;
/// Requested tier. The account's own tier applies if the header is absent or asks for a higher one.
const TIER: HeaderName = HeaderName::from_static("x-tier");
/// Time in milliseconds after which the first byte of the response is worthless to the caller.
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Idempotency key, which a call with a non-idempotent method must have.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Set on the stored response of an earlier call with the same idempotency key.
pub(crate) const REPLAYED: HeaderName = HeaderName::from_static("x-replayed");
/// Maximum deadline; longer ones are reduced to it.
const MAX_DEADLINE: Duration = Duration::from_hours(1);

/// Returns the digest of the bearer credential.
pub(crate) fn credential(headers: &HeaderMap) -> Option<Credential> {
    bearer(headers).map(Credential::from_secret)
}

/// Returns the bearer credential, or `None` if the header is absent or has another scheme.
pub(crate) fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(str::trim)
}

/// Returns the tier of a request: the requested one, but never above the account's own.
pub(crate) fn tier(headers: &HeaderMap, own: Tier) -> Result<Tier, String> {
    let Some(value) = headers.get(TIER) else {
        return Ok(own);
    };
    let text = value.to_str().map_err(|_| "x-tier is not text".to_owned())?;
    let number: u8 = text.parse().map_err(|_| format!("x-tier {text:?} is not a number"))?;
    let requested = Tier::from_class(number).map_err(|e| e.to_string())?;
    Ok(requested.max(own))
}

/// Returns the requested time until the deadline, or the default if the header is absent.
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

/// Returns whether a header applies to one connection only and is not forwarded.
///
/// This includes the caller's credential and the request id, which is set anew in both directions.
pub(crate) fn is_hop_by_hop(name: &HeaderName) -> bool {
    const HOP_BY_HOP: [HeaderName; 9] = [
        header::CONNECTION,
        header::HOST,
        header::TRANSFER_ENCODING,
        header::CONTENT_LENGTH,
        header::TE,
        header::TRAILER,
        header::UPGRADE,
        header::PROXY_AUTHORIZATION,
        // The credential is for this system, not for backend servers.
        header::AUTHORIZATION,
    ];
    HOP_BY_HOP.contains(name) || name.as_str() == "keep-alive" || *name == REQUEST_ID
}

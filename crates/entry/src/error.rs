//! The JSON body and the HTTP status of failed requests.
//!
//! Failures of callers' requests have this form. In an event stream that has already begun, the
//! body is sent as an event.

use gotham::helpers::http::Body;
use http::{HeaderValue, Response, StatusCode, header};
use model::{RefusalReason, RequestId, Span, Verdict};
use serde::{Deserialize, Serialize};

use crate::{
    body::{full, handler_response},
    headers::REQUEST_ID,
};

/// The JSON body of a failed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Details of the failure.
    pub error: ErrorDetail,
}

/// Details of a failure.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// The reason for the failure, which also determines the HTTP status.
    pub reason: RefusalReason,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Id of the failed request, also sent in the header `x-request-id`.
    pub request_id: RequestId,
    /// Delay in milliseconds, at least 1, after which a retry may succeed. Absent if none is known.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
    /// Description for people. Programs should match `reason` instead.
    pub message: String,
}

impl ErrorBody {
    pub(crate) fn new(
        reason: RefusalReason,
        verdict: Verdict,
        request_id: RequestId,
        retry_after: Option<Span>,
        message: String,
    ) -> Self {
        let retry_after_ms = retry_after.map(|r| r.as_millis().max(1));
        Self { error: ErrorDetail { reason, verdict, request_id, retry_after_ms, message } }
    }

    /// Returns the body as JSON.
    pub(crate) fn json(&self) -> String {
        serde_json::to_string(self).unwrap_or_else(|_| "{}".into())
    }

    /// Returns the body as a server-sent event, for a stream that has already begun.
    pub(crate) fn event(&self) -> String {
        format!("event: error\ndata: {}\n\n", self.json())
    }

    /// Returns the body as an HTTP response. The header `retry-after` is rounded up to seconds.
    pub(crate) fn response(&self, status: StatusCode) -> Response<Body> {
        let mut response = handler_response(full(self.json()));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Ok(id) = HeaderValue::from_str(&self.error.request_id.to_string()) {
            headers.insert(REQUEST_ID, id);
        }
        if let Some(ms) = self.error.retry_after_ms {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(ms.div_ceil(1_000)));
        }
        response
    }
}

/// Returns the HTTP status for a reason.
pub(crate) fn status_of(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::BadRoute | RefusalReason::UnknownService => StatusCode::NOT_FOUND,
        // A caller that left never receives its status.
        RefusalReason::BadRequest | RefusalReason::CallerLeft => StatusCode::BAD_REQUEST,
        RefusalReason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalReason::UnknownAccount => StatusCode::UNAUTHORIZED,
        RefusalReason::RateLimit | RefusalReason::ConcurrencyLimit | RefusalReason::TokenLimit => {
            StatusCode::TOO_MANY_REQUESTS
        }
        RefusalReason::NoServer
        | RefusalReason::Shed
        | RefusalReason::Preempted
        | RefusalReason::Stopping
        | RefusalReason::NoQuorum
        | RefusalReason::NoPlan
        | RefusalReason::StalePlan
        | RefusalReason::BlockedPart
        | RefusalReason::RetryBudget
        | RefusalReason::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
        RefusalReason::Deadline | RefusalReason::Timeout => StatusCode::GATEWAY_TIMEOUT,
        RefusalReason::ServerFailed | RefusalReason::Broken => StatusCode::BAD_GATEWAY,
        RefusalReason::KeyUsed | RefusalReason::KeyExpired => StatusCode::CONFLICT,
    }
}

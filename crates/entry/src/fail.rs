//! The one shape of every failed answer.

use gotham::helpers::http::Body;
use http::{HeaderValue, Response, StatusCode, header};
use model::{RefusalReason, RequestId, Span, Verdict};
use serde::{Deserialize, Serialize};

use crate::{
    body::{full, handled},
    headers::REQUEST_ID,
};

/// A failed answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What failed.
    pub error: ErrorDetail,
}

/// What failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Why.
    pub reason: RefusalReason,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// The request.
    pub request_id: RequestId,
    /// Milliseconds after which trying again may help.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
    /// For people.
    pub message: String,
}

impl ErrorBody {
    pub(crate) fn new(
        reason: RefusalReason,
        verdict: Verdict,
        request_id: RequestId,
        retry: Option<Span>,
        message: String,
    ) -> Self {
        let retry_after_ms = retry.map(|r| r.as_millis().max(1));
        Self { error: ErrorDetail { reason, verdict, request_id, retry_after_ms, message } }
    }

    /// The failure as JSON.
    pub(crate) fn json(&self) -> String {
        serde_json::to_string(self).unwrap_or_else(|_| "{}".into())
    }

    /// The failure as an event of a stream that has already begun.
    pub(crate) fn event(&self) -> String {
        format!("event: error\ndata: {}\n\n", self.json())
    }

    /// The failure as an answer.
    pub(crate) fn response(&self, status: StatusCode) -> Response<Body> {
        let mut response = handled(full(self.json()));
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

/// The HTTP status of a reason.
pub(crate) fn status_of(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::BadRoute | RefusalReason::UnknownService => StatusCode::NOT_FOUND,
        // A caller that left reads no status.
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
        | RefusalReason::RetryBudget => StatusCode::SERVICE_UNAVAILABLE,
        RefusalReason::Deadline | RefusalReason::Timeout => StatusCode::GATEWAY_TIMEOUT,
        RefusalReason::ServerFailed | RefusalReason::Broken => StatusCode::BAD_GATEWAY,
        RefusalReason::KeyUsed | RefusalReason::KeyExpired => StatusCode::CONFLICT,
    }
}

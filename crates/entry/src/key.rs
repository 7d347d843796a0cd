//! Idempotency keys of calls with non-idempotent methods.
//!
//! Such a call may run only after its key was claimed in the replicated state. The claim is
//! released if the call certainly did not run. Otherwise it stays, and a complete response is
//! stored with it and replayed to later calls with the same key.

use std::sync::Arc;

use control::{Answer, Input};
use http::HeaderMap;
use model::{AccountName, RefusalReason, RequestId, Verdict};
use state::{Answer as FirstResponse, Claim, ClaimKey, ClaimOutcome, Command};

use crate::{app::App, headers::IDEMPOTENCY_KEY};

/// Maximum length of a key, in bytes.
const MAX_KEY_BYTES: usize = 200;

/// Parses the idempotency key of a call. It consists of the time of issue in seconds since the Unix
/// epoch, a hyphen and any text.
pub(crate) fn parse(headers: &HeaderMap, account: &AccountName) -> Result<ClaimKey, String> {
    let value = headers.get(IDEMPOTENCY_KEY).ok_or(
        "a call that may not be repeated needs the header idempotency-key: \
         <seconds since 1970 when the key was issued>-<any text>",
    )?;
    let text = value.to_str().map_err(|_| "idempotency-key is not text")?;
    if text.len() > MAX_KEY_BYTES {
        return Err(format!("idempotency-key is longer than {MAX_KEY_BYTES} bytes"));
    }
    let (issued, rest) =
        text.split_once('-').ok_or("idempotency-key must be <seconds since 1970>-<any text>")?;
    let issued: u64 = issued
        .parse()
        .map_err(|_| "idempotency-key must begin with the seconds since 1970 of its issue")?;
    if rest.is_empty() {
        return Err("idempotency-key has no text after its time of issue".into());
    }
    let issued = issued.saturating_mul(1_000);
    Ok(ClaimKey { issued, account: account.clone(), text: Arc::from(text) })
}

/// How to proceed with a call after the attempt to claim its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ClaimDecision {
    /// The key was claimed, so the call may be dispatched.
    Run,
    /// An earlier call with the key has this response, which is sent again.
    Replay(FirstResponse),
    /// The call must not be dispatched.
    Refuse(RefusalReason, Verdict, String),
}

/// Claims a key for a request. Only [`ClaimDecision::Run`] allows the request to be dispatched.
pub(crate) async fn claim(app: &App, key: &ClaimKey, request: RequestId) -> ClaimDecision {
    let command = Command::Claim { key: key.clone(), request, owner: app.config.vm.clone() };
    let answer = app.config.handle.call(|call| Input::Propose { call, command }).await;
    match answer {
        Answer::Claim(ClaimOutcome::Granted) => ClaimDecision::Run,
        Answer::Claim(ClaimOutcome::Taken(claim)) => decide_taken(claim),
        Answer::Claim(ClaimOutcome::Expired) => ClaimDecision::Refuse(
            RefusalReason::KeyExpired,
            Verdict::MayHaveRun,
            "the idempotency key is older than its outcome is kept".into(),
        ),
        Answer::Claim(ClaimOutcome::Ahead) => ClaimDecision::Refuse(
            RefusalReason::BadRequest,
            Verdict::NotRun,
            "the idempotency key's time of issue lies in the future".into(),
        ),
        other => {
            if other == Answer::Unknown {
                // The claim may still be appended to the log. It is released so that it does not
                // block a retry of the caller.
                release(app, key.clone(), request);
            }
            let why = "the call cannot be claimed without a quorum of the system's VMs";
            ClaimDecision::Refuse(RefusalReason::NoQuorum, Verdict::NotRun, why.into())
        }
    }
}

/// Decides about a call whose key is held by another request.
fn decide_taken(claim: Claim) -> ClaimDecision {
    match claim.answer {
        Some(answer) if answer.body.is_some() => ClaimDecision::Replay(answer),
        Some(answer) => ClaimDecision::Refuse(
            RefusalReason::KeyUsed,
            Verdict::Ran,
            format!("request {} ran with status {}", claim.request, answer.status),
        ),
        None => ClaimDecision::Refuse(
            RefusalReason::KeyUsed,
            Verdict::MayHaveRun,
            format!("request {} holds the key and may have run", claim.request),
        ),
    }
}

/// Releases the claim of a request that certainly did not run.
pub(crate) fn release(app: &App, key: ClaimKey, request: RequestId) {
    spawn_proposal(app, Command::Release { key, request });
}

/// Stores the response with the claim, for later calls with the same key.
pub(crate) fn settle(app: &App, key: ClaimKey, request: RequestId, answer: FirstResponse) {
    spawn_proposal(app, Command::Settle { key, request, answer });
}

/// Spawns a task that proposes a command until it is applied, or [`MAX_ATTEMPTS`] times.
fn spawn_proposal(app: &App, command: Command) {
    let app = app.clone();
    tokio::spawn(async move {
        for _ in 0..MAX_ATTEMPTS {
            let command = command.clone();
            let answer = app.config.handle.call(|call| Input::Propose { call, command }).await;
            if answer == Answer::Done {
                return;
            }
        }
    });
}

/// Maximum number of proposals of a command that no request waits for. Each takes seconds.
const MAX_ATTEMPTS: usize = 20;

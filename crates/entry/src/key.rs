//! Idempotency keys of non-idempotent calls.

use std::sync::Arc;

use control::{Answer, Input};
use http::HeaderMap;
use model::{AccountName, RefusalReason, RequestId, Verdict};
use state::{Answer as FirstAnswer, Claim, ClaimKey, ClaimOutcome, Command};

use crate::{app::App, headers::IDEMPOTENCY_KEY};

/// Longest accepted key.
const MAX_KEY_BYTES: usize = 200;

/// Reads the key: seconds since the Unix epoch when it was issued, a hyphen, and any text.
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

/// What to do with a call after its key was claimed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Claimed {
    /// Run it.
    Run,
    /// Give the first answer again.
    Replay(FirstAnswer),
    /// Refuse it.
    Refuse(RefusalReason, Verdict, String),
}

/// Claims a key for a request; only [`Claimed::Run`] allows it to be dispatched.
pub(crate) async fn claim(app: &App, key: &ClaimKey, request: RequestId) -> Claimed {
    let command = Command::Claim { key: key.clone(), request, owner: app.config.vm.clone() };
    let answer = app.config.handle.call(|call| Input::Propose { call, command }).await;
    match answer {
        Answer::Claim(ClaimOutcome::Granted) => Claimed::Run,
        Answer::Claim(ClaimOutcome::Taken(claim)) => taken(claim),
        Answer::Claim(ClaimOutcome::Expired) => Claimed::Refuse(
            RefusalReason::KeyExpired,
            Verdict::MayHaveRun,
            "the idempotency key is older than its outcome is kept".into(),
        ),
        Answer::Claim(ClaimOutcome::Ahead) => Claimed::Refuse(
            RefusalReason::BadRequest,
            Verdict::NotRun,
            "the idempotency key's time of issue lies in the future".into(),
        ),
        other => {
            if other == Answer::Unknown {
                // The claim may still be appended; given back, it does not block a resend.
                release(app, key.clone(), request);
            }
            let why = "the call cannot be claimed without a quorum of the system's VMs";
            Claimed::Refuse(RefusalReason::NoQuorum, Verdict::NotRun, why.into())
        }
    }
}

fn taken(claim: Claim) -> Claimed {
    match claim.answer {
        Some(answer) if answer.body.is_some() => Claimed::Replay(answer),
        Some(answer) => Claimed::Refuse(
            RefusalReason::KeyUsed,
            Verdict::Ran,
            format!("request {} ran with status {}", claim.request, answer.status),
        ),
        None => Claimed::Refuse(
            RefusalReason::KeyUsed,
            Verdict::MayHaveRun,
            format!("request {} holds the key and may have run", claim.request),
        ),
    }
}

/// Gives a claim back: the request certainly did not run.
pub(crate) fn release(app: &App, key: ClaimKey, request: RequestId) {
    propose(app, Command::Release { key, request });
}

/// Keeps the answer for resends.
pub(crate) fn settle(app: &App, key: ClaimKey, request: RequestId, answer: FirstAnswer) {
    propose(app, Command::Settle { key, request, answer });
}

/// Proposes a command until it is applied or this VM stops.
fn propose(app: &App, command: Command) {
    let app = app.clone();
    tokio::spawn(async move {
        for _ in 0..MAX_TRIES {
            let command = command.clone();
            let answer = app.config.handle.call(|call| Input::Propose { call, command }).await;
            if answer == Answer::Done {
                return;
            }
        }
    });
}

/// Tries of a command that nobody waits for; each takes seconds.
const MAX_TRIES: usize = 20;

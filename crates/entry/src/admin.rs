//! The router for operators and backend servers.
//!
//! Operators read and edit the catalogue, query the status, refusals and requests, set duties of
//! backend servers, and change placements and voters. Backend servers announce themselves. All of
//! these calls require a bearer credential; the health checks and metrics don't.
//!
//! The names of types that are read from request bodies appear in responses, as part of parse
//! errors.

use std::time::Duration;

use control::{Answer, Input};
use gotham::{
    handler::HandlerResult,
    helpers::http::Body,
    middleware::state::StateMiddleware,
    pipeline::{single_middleware, single_pipeline},
    prelude::*,
    router::{Router, build_router},
    state::State,
};
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use model::{
    AccountName, Announcement, Duty, Edit, EditId, EditOutcome, Entry, RawAnnouncement, RawEntry,
    RequestId, ServerId, VmName, ZoneName,
};
use peer::{Question, Reply};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use state::{Command, Placement};

use crate::{
    app::App,
    body,
    callers::{live, ready, text_response},
    headers,
    records::sequence_gaps,
};

/// Maximum size of the body of an administrative call, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Timeout for reading the body of an administrative call.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// An edit of the catalogue as received, before its names are validated.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawEdit {
    id: String,
    base: u64,
    #[serde(default)]
    put: Vec<RawEntry>,
    #[serde(default)]
    remove: Vec<String>,
}

impl TryFrom<RawEdit> for Edit {
    type Error = String;

    fn try_from(raw: RawEdit) -> Result<Self, String> {
        let mut put = Vec::with_capacity(raw.put.len());
        for entry in raw.put {
            let account = entry.account.clone();
            put.push(Entry::try_from(entry).map_err(|e| format!("entry {account:?}: {e}"))?);
        }
        let remove = raw.remove.into_iter().map(AccountName::try_from);
        Ok(Self {
            id: EditId::try_from(raw.id).map_err(|e| e.to_string())?,
            base: raw.base,
            put,
            remove: remove.collect::<Result<_, _>>().map_err(|e| e.to_string())?,
        })
    }
}

/// A change of a backend server's duty as received.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawDuty {
    duty: Duty,
    #[serde(default)]
    force: bool,
}

/// The replacement of a voter as received.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawReplace {
    #[serde(default)]
    old: Option<String>,
    #[serde(default)]
    new: Option<String>,
}

/// The announcement of a backend server as received, with the server's availability zone.
#[derive(Debug, Deserialize)]
struct Announced {
    #[serde(flatten)]
    announcement: RawAnnouncement,
    #[serde(default)]
    zone: Option<String>,
}

/// The id in the path of a call.
#[derive(Deserialize, StateData, StaticResponseExtender)]
struct IdPath {
    id: String,
}

/// The query string of a search for refusals. `since` is in microseconds since the Unix epoch.
#[derive(Deserialize, StateData, StaticResponseExtender)]
struct RefusalsQuery {
    account: Option<String>,
    since: Option<u64>,
}

/// A placement as received. `base` is the version that the change is based on. An absent placement
/// removes the server's placement.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawPlacement {
    base: u64,
    #[serde(default)]
    placement: Option<Placement>,
}

/// The HTTP status and message of a failed administrative call.
struct AdminError(StatusCode, String);

impl AdminError {
    /// Creates the error for an invalid call.
    #[expect(clippy::needless_pass_by_value, reason = "passed to map_err")]
    fn bad_request(why: impl ToString) -> Self {
        Self(StatusCode::BAD_REQUEST, why.to_string())
    }
}

/// The response to an administrative call.
type AdminResult = Result<Response<Body>, AdminError>;

/// Returns the router for the administration listener.
#[must_use]
pub fn admin_router(app: &App) -> Router {
    let middleware = StateMiddleware::new(app.clone());
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, |route| {
        route.get("/health/live").to(live);
        route.get("/health/ready").to(ready);
        route.get("/metrics").to(metrics);
        route.post("/announce").to_async(announce);
        route.get("/catalogue").to_async(catalogue);
        route.get("/catalogue/history").to_async(history);
        route.post("/catalogue/edits").to_async(edit);
        route.get("/status").to_async(status);
        route.post("/servers/:id/duty").with_path_extractor::<IdPath>().to_async(duty);
        route.get("/refusals").with_query_string_extractor::<RefusalsQuery>().to_async(refusals);
        route.get("/requests/:id").with_path_extractor::<IdPath>().to_async(request);
        route.post("/voters/replace").to_async(replace_voter);
        route.get("/placements").to_async(placements);
        route.post("/placements/:id").with_path_extractor::<IdPath>().to_async(place);
    })
}

fn metrics(state: State) -> (State, Response<Body>) {
    let text = App::borrow_from(&state).config.meters.text();
    let response = match text {
        Ok(text) => {
            let mut response = body::handler_response(body::full(text));
            let kind = HeaderValue::from_static("text/plain; version=0.0.4");
            response.headers_mut().insert(header::CONTENT_TYPE, kind);
            response
        }
        Err(_) => metrics_error(),
    };
    (state, response)
}

fn metrics_error() -> Response<Body> {
    text_response(StatusCode::INTERNAL_SERVER_ERROR, "metrics cannot be exported")
}

/// Defines the gotham handler `$name`, which calls `$answer` if the request presents `$secret`.
macro_rules! handler {
    ($name:ident, $secret:ident, $answer:path) => {
        async fn $name(mut state: State) -> HandlerResult {
            let app = App::borrow_from(&state).clone();
            let allowed =
                check_secret(HeaderMap::borrow_from(&state), &app.config.$secret);
            let result = match allowed {
                Ok(()) => $answer(&app, &mut state).await,
                Err(error) => Err(error),
            };
            let response = result.unwrap_or_else(|AdminError(status, why)| {
                json_response(status, &json!({ "error": why }))
            });
            Ok((state, response))
        }
    };
}

handler!(announce, announce_secret, post_announcement);
handler!(catalogue, admin_secret, get_catalogue);
handler!(history, admin_secret, get_history);
handler!(edit, admin_secret, post_edit);
handler!(status, admin_secret, get_status);
handler!(duty, admin_secret, post_duty);
handler!(refusals, admin_secret, get_refusals);
handler!(request, admin_secret, get_request);
handler!(replace_voter, admin_secret, post_replacement);
handler!(placements, admin_secret, get_placements);
handler!(place, admin_secret, post_placement);

/// Checks the bearer credential. The time does not depend on where the secrets differ, because
/// their digests are compared.
fn check_secret(headers: &HeaderMap, secret: &str) -> Result<(), AdminError> {
    let presented = headers::bearer(headers).map(|s| model::digest(s.as_bytes()));
    if presented == Some(model::digest(secret.as_bytes())) {
        return Ok(());
    }
    Err(AdminError(StatusCode::UNAUTHORIZED, "wrong or missing bearer credential".into()))
}

fn json_response(status: StatusCode, value: &Value) -> Response<Body> {
    let mut response = body::handler_response(body::full(value.to_string()));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

fn ok(value: &Value) -> Response<Body> {
    json_response(StatusCode::OK, value)
}

/// Reads and parses the JSON body of a call.
async fn read_json<T: serde::de::DeserializeOwned>(state: &mut State) -> Result<T, AdminError> {
    let content = Body::take_from(state);
    let bytes = body::read(content, MAX_BODY_BYTES, BODY_TIMEOUT).await;
    let bytes = bytes.map_err(|e| AdminError::bad_request(format!("body: {e:?}")))?;
    serde_json::from_slice(&bytes).map_err(|e| AdminError::bad_request(format!("body: {e}")))
}

async fn post_announcement(app: &App, state: &mut State) -> AdminResult {
    let raw: Announced = read_json(state).await?;
    let zone = raw.zone.map(ZoneName::try_from).transpose().map_err(AdminError::bad_request)?;
    let announcement = Announcement::try_from(raw.announcement).map_err(AdminError::bad_request)?;
    app.config.handle.input(Input::Announce { announcement, zone });
    Ok(ok(&json!({})))
}

async fn get_catalogue(app: &App, _: &mut State) -> AdminResult {
    let answer = app.config.handle.call(|call| Input::Read { call }).await;
    let catalogue = app.config.handle.published().catalogue.clone();
    let entries: Vec<RawEntry> = catalogue.entries().map(|e| RawEntry::from(&**e)).collect();
    // Without a quorum, the catalogue in force on this VM is returned and marked as not current.
    let current =
        matches!(answer, Answer::Current { revision, .. } if revision <= catalogue.revision());
    Ok(ok(&json!({ "revision": catalogue.revision(), "current": current, "entries": entries })))
}

async fn get_history(app: &App, _: &mut State) -> AdminResult {
    match app.config.handle.call(|call| Input::Read { call }).await {
        Answer::Current { revision, history } => {
            Ok(ok(&json!({ "revision": revision, "history": history })))
        }
        _ => Err(no_quorum()),
    }
}

fn no_quorum() -> AdminError {
    let why = "no quorum of the system's VMs can be reached; nothing was changed";
    AdminError(StatusCode::SERVICE_UNAVAILABLE, why.into())
}

async fn post_edit(app: &App, state: &mut State) -> AdminResult {
    let raw: RawEdit = read_json(state).await?;
    let edit = Edit::try_from(raw).map_err(AdminError::bad_request)?;
    let command = Command::Edit(edit);
    match app.config.handle.call(|call| Input::Propose { call, command }).await {
        Answer::Edit { outcome, confirmed, unconfirmed } => {
            let status = match outcome {
                EditOutcome::Accepted { .. } => StatusCode::OK,
                EditOutcome::Conflict { .. } => StatusCode::CONFLICT,
                EditOutcome::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
            };
            let value = json!({
                "outcome": outcome,
                "confirmed": confirmed,
                "unconfirmed": unconfirmed,
            });
            Ok(json_response(status, &value))
        }
        Answer::Unknown => Err(AdminError(
            StatusCode::GATEWAY_TIMEOUT,
            "it is unknown whether the edit was accepted; send it again with the same id".into(),
        )),
        _ => Err(no_quorum()),
    }
}

async fn get_status(app: &App, _: &mut State) -> AdminResult {
    match app.config.handle.call(|call| Input::Status { call }).await {
        Answer::Status(status) => {
            let broken: serde_json::Map<String, Value> = model::Invariant::ALL
                .iter()
                .map(|i| (i.code().to_owned(), Value::from(i.violations())))
                .collect();
            let mut value = serde_json::to_value(status).unwrap_or_default();
            value["invariants_broken"] = Value::Object(broken);
            Ok(ok(&value))
        }
        _ => Err(AdminError(StatusCode::SERVICE_UNAVAILABLE, "this VM is stopping".into())),
    }
}

async fn post_duty(app: &App, state: &mut State) -> AdminResult {
    let raw: RawDuty = read_json(state).await?;
    let server =
        ServerId::try_from(IdPath::take_from(state).id).map_err(AdminError::bad_request)?;
    let RawDuty { duty, force } = raw;
    let answer = app.config.handle.call(|call| Input::Mark { call, server, duty, force }).await;
    match answer {
        Answer::Marked { mark, held, missing, kept } => {
            let value =
                json!({ "duty": mark.duty, "held": held, "missing": missing, "kept": kept });
            let status = if missing.is_empty() { StatusCode::OK } else { StatusCode::ACCEPTED };
            Ok(json_response(status, &value))
        }
        Answer::Refused { why } => Err(AdminError(StatusCode::CONFLICT, why)),
        _ => Err(AdminError(StatusCode::SERVICE_UNAVAILABLE, "this VM is stopping".into())),
    }
}

async fn get_refusals(app: &App, state: &mut State) -> AdminResult {
    let RefusalsQuery { account, since } = RefusalsQuery::take_from(state);
    let account =
        account.map(AccountName::try_from).transpose().map_err(AdminError::bad_request)?;
    let all = account.is_none();
    let mut found = app
        .all_refusals(account, since.unwrap_or(0))
        .await
        .map_err(|why| AdminError(StatusCode::INTERNAL_SERVER_ERROR, why))?;
    if all {
        // Adds the records of every account. Gaps can be detected only in all records together.
        let catalogue = app.config.handle.published().catalogue.clone();
        for entry in catalogue.entries() {
            let more = app.all_refusals(Some(entry.account.clone()), since.unwrap_or(0)).await;
            let more = more.map_err(|why| AdminError(StatusCode::INTERNAL_SERVER_ERROR, why))?;
            found.refusals.extend(more.refusals);
        }
        found.refusals.sort_by(|a, b| (a.at, &a.key).cmp(&(b.at, &b.key)));
    }
    let gaps = if all { sequence_gaps(found.refusals.iter()) } else { Vec::new() };
    Ok(ok(&json!({
        "refusals": found.refusals,
        "unreachable": found.unreachable,
        "holes": gaps,
    })))
}

async fn get_request(app: &App, state: &mut State) -> AdminResult {
    let id = IdPath::take_from(state).id;
    let request = RequestId::try_from(id.as_str()).map_err(AdminError::bad_request)?;
    if let Some(state) = app.find(request).await {
        return Ok(ok(&json!({ "request": request, "vm": app.config.vm, "state": state })));
    }
    for vm in app.config.peers.vms() {
        let reply = app.config.peers.ask(&vm, Question::Find { request }).await;
        if let Some(Reply::Found(Some(state))) = reply {
            return Ok(ok(&json!({ "request": request, "vm": vm, "state": state })));
        }
    }
    Err(AdminError(StatusCode::NOT_FOUND, "no reachable VM knows this request".into()))
}

async fn post_replacement(app: &App, state: &mut State) -> AdminResult {
    let raw: RawReplace = read_json(state).await?;
    let name =
        |n: Option<String>| n.map(VmName::try_from).transpose().map_err(AdminError::bad_request);
    let (old, new) = (name(raw.old)?, name(raw.new)?);
    match app.config.handle.call(|call| Input::ReplaceVoter { call, old, new }).await {
        Answer::Done => Ok(ok(&json!({ "replaced": true }))),
        Answer::Refused { why } => Err(AdminError(StatusCode::CONFLICT, why)),
        _ => Err(no_quorum()),
    }
}

async fn get_placements(app: &App, _: &mut State) -> AdminResult {
    match app.config.handle.call(|call| Input::Placements { call }).await {
        Answer::Placements(placements) => Ok(ok(&json!({ "placements": placements }))),
        _ => Err(AdminError(StatusCode::SERVICE_UNAVAILABLE, "this VM is stopping".into())),
    }
}

async fn post_placement(app: &App, state: &mut State) -> AdminResult {
    let RawPlacement { base, placement } = read_json(state).await?;
    let server =
        ServerId::try_from(IdPath::take_from(state).id).map_err(AdminError::bad_request)?;
    let command = Command::Place { server, placement, base };
    match app.config.handle.call(|call| Input::Propose { call, command }).await {
        Answer::Placed { version } => Ok(ok(&json!({ "version": version }))),
        Answer::Refused { why } => Err(AdminError(StatusCode::CONFLICT, why)),
        Answer::Unknown => Err(AdminError(
            StatusCode::GATEWAY_TIMEOUT,
            "it is unknown whether the placement was accepted; look before trying again".into(),
        )),
        _ => Err(no_quorum()),
    }
}

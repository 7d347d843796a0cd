//! The router of operators and backend servers.

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
    callers::{live, ready, text},
    headers,
    records::holes,
};

/// Longest accepted body of an administrative call, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Longest wait for such a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// A catalogue edit as received.
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

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawDuty {
    duty: Duty,
    #[serde(default)]
    force: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawReplace {
    #[serde(default)]
    old: Option<String>,
    #[serde(default)]
    new: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Announced {
    #[serde(flatten)]
    announcement: RawAnnouncement,
    #[serde(default)]
    zone: Option<String>,
}

#[derive(Deserialize, StateData, StaticResponseExtender)]
struct IdPath {
    id: String,
}

#[derive(Deserialize, StateData, StaticResponseExtender)]
struct RefusalsQuery {
    account: Option<String>,
    since: Option<u64>,
}

/// A placement as received; without a model, the server is forgotten.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawPlacement {
    base: u64,
    #[serde(default)]
    placement: Option<Placement>,
}

/// A refused administrative call.
struct Refused(StatusCode, String);

impl Refused {
    #[expect(clippy::needless_pass_by_value, reason = "passed to map_err")]
    fn bad(why: impl ToString) -> Self {
        Self(StatusCode::BAD_REQUEST, why.to_string())
    }
}

type Answered = Result<Response<Body>, Refused>;

/// The router of the administration listener.
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
            let mut response = body::handled(body::full(text));
            let kind = HeaderValue::from_static("text/plain; version=0.0.4");
            response.headers_mut().insert(header::CONTENT_TYPE, kind);
            response
        }
        Err(_) => text_error(),
    };
    (state, response)
}

fn text_error() -> Response<Body> {
    text(StatusCode::INTERNAL_SERVER_ERROR, "metrics cannot be exported")
}

macro_rules! handler {
    ($name:ident, $secret:ident, $answer:path) => {
        async fn $name(mut state: State) -> HandlerResult {
            let app = App::borrow_from(&state).clone();
            let allowed =
                check_secret(HeaderMap::borrow_from(&state), &app.config.$secret);
            let answered = match allowed {
                Ok(()) => $answer(&app, &mut state).await,
                Err(refused) => Err(refused),
            };
            let response = answered.unwrap_or_else(|Refused(status, why)| {
                json_response(status, &json!({ "error": why }))
            });
            Ok((state, response))
        }
    };
}

handler!(announce, announce_secret, take_announcement);
handler!(catalogue, admin_secret, get_catalogue);
handler!(history, admin_secret, get_history);
handler!(edit, admin_secret, take_edit);
handler!(status, admin_secret, get_status);
handler!(duty, admin_secret, take_duty);
handler!(refusals, admin_secret, get_refusals);
handler!(request, admin_secret, get_request);
handler!(replace_voter, admin_secret, take_replacement);
handler!(placements, admin_secret, get_placements);
handler!(place, admin_secret, take_placement);

/// Compares in time that does not depend on where the secrets differ.
fn check_secret(headers: &HeaderMap, secret: &str) -> Result<(), Refused> {
    let given = headers::bearer(headers).map(|s| model::digest(s.as_bytes()));
    if given == Some(model::digest(secret.as_bytes())) {
        return Ok(());
    }
    Err(Refused(StatusCode::UNAUTHORIZED, "wrong or missing bearer credential".into()))
}

fn json_response(status: StatusCode, value: &Value) -> Response<Body> {
    let mut response = body::handled(body::full(value.to_string()));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

fn ok(value: &Value) -> Response<Body> {
    json_response(StatusCode::OK, value)
}

async fn read<T: serde::de::DeserializeOwned>(state: &mut State) -> Result<T, Refused> {
    let content = Body::take_from(state);
    let bytes = body::read(content, MAX_BODY_BYTES, BODY_TIMEOUT).await;
    let bytes = bytes.map_err(|e| Refused::bad(format!("body: {e:?}")))?;
    serde_json::from_slice(&bytes).map_err(|e| Refused::bad(format!("body: {e}")))
}

async fn take_announcement(app: &App, state: &mut State) -> Answered {
    let raw: Announced = read(state).await?;
    let zone = raw.zone.map(ZoneName::try_from).transpose().map_err(Refused::bad)?;
    let announcement = Announcement::try_from(raw.announcement).map_err(Refused::bad)?;
    app.config.handle.input(Input::Announce { announcement, zone });
    Ok(ok(&json!({})))
}

async fn get_catalogue(app: &App, _: &mut State) -> Answered {
    let answer = app.config.handle.call(|call| Input::Read { call }).await;
    let catalogue = app.config.handle.published().catalogue.clone();
    let entries: Vec<RawEntry> = catalogue.entries().map(|e| RawEntry::from(&**e)).collect();
    // Without a quorum the catalogue in force here is still worth reading, marked as such.
    let current =
        matches!(answer, Answer::Current { revision, .. } if revision <= catalogue.revision());
    Ok(ok(&json!({ "revision": catalogue.revision(), "current": current, "entries": entries })))
}

async fn get_history(app: &App, _: &mut State) -> Answered {
    match app.config.handle.call(|call| Input::Read { call }).await {
        Answer::Current { revision, history } => {
            Ok(ok(&json!({ "revision": revision, "history": history })))
        }
        _ => Err(no_quorum()),
    }
}

fn no_quorum() -> Refused {
    let why = "no quorum of the system's VMs can be reached; nothing was changed";
    Refused(StatusCode::SERVICE_UNAVAILABLE, why.into())
}

async fn take_edit(app: &App, state: &mut State) -> Answered {
    let raw: RawEdit = read(state).await?;
    let edit = Edit::try_from(raw).map_err(Refused::bad)?;
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
        Answer::Unknown => Err(Refused(
            StatusCode::GATEWAY_TIMEOUT,
            "it is unknown whether the edit was accepted; send it again with the same id".into(),
        )),
        _ => Err(no_quorum()),
    }
}

async fn get_status(app: &App, _: &mut State) -> Answered {
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
        _ => Err(Refused(StatusCode::SERVICE_UNAVAILABLE, "this VM is stopping".into())),
    }
}

async fn take_duty(app: &App, state: &mut State) -> Answered {
    let raw: RawDuty = read(state).await?;
    let server = ServerId::try_from(IdPath::take_from(state).id).map_err(Refused::bad)?;
    let RawDuty { duty, force } = raw;
    let answer = app.config.handle.call(|call| Input::Mark { call, server, duty, force }).await;
    match answer {
        Answer::Marked { mark, held, missing, kept } => {
            let value =
                json!({ "duty": mark.duty, "held": held, "missing": missing, "kept": kept });
            let status = if missing.is_empty() { StatusCode::OK } else { StatusCode::ACCEPTED };
            Ok(json_response(status, &value))
        }
        Answer::Refused { why } => Err(Refused(StatusCode::CONFLICT, why)),
        _ => Err(Refused(StatusCode::SERVICE_UNAVAILABLE, "this VM is stopping".into())),
    }
}

async fn get_refusals(app: &App, state: &mut State) -> Answered {
    let RefusalsQuery { account, since } = RefusalsQuery::take_from(state);
    let account = account.map(AccountName::try_from).transpose().map_err(Refused::bad)?;
    let all = account.is_none();
    let mut found = app
        .all_refusals(account, since.unwrap_or(0))
        .await
        .map_err(|why| Refused(StatusCode::INTERNAL_SERVER_ERROR, why))?;
    if all {
        // Every account's records, for which holes can be told.
        let catalogue = app.config.handle.published().catalogue.clone();
        for entry in catalogue.entries() {
            let more = app.all_refusals(Some(entry.account.clone()), since.unwrap_or(0)).await;
            let more = more.map_err(|why| Refused(StatusCode::INTERNAL_SERVER_ERROR, why))?;
            found.refusals.extend(more.refusals);
        }
        found.refusals.sort_by(|a, b| (a.at, &a.key).cmp(&(b.at, &b.key)));
    }
    let holes = if all { holes(found.refusals.iter()) } else { Vec::new() };
    Ok(ok(&json!({
        "refusals": found.refusals,
        "unreachable": found.unreachable,
        "holes": holes,
    })))
}

async fn get_request(app: &App, state: &mut State) -> Answered {
    let id = IdPath::take_from(state).id;
    let request = RequestId::try_from(id.as_str()).map_err(Refused::bad)?;
    if let Some(state) = app.find(request).await {
        return Ok(ok(&json!({ "request": request, "vm": app.config.vm, "state": state })));
    }
    for vm in app.config.peers.vms() {
        let reply = app.config.peers.ask(&vm, Question::Find { request }).await;
        if let Some(Reply::Found(Some(state))) = reply {
            return Ok(ok(&json!({ "request": request, "vm": vm, "state": state })));
        }
    }
    Err(Refused(StatusCode::NOT_FOUND, "no reachable VM knows this request".into()))
}

async fn take_replacement(app: &App, state: &mut State) -> Answered {
    let raw: RawReplace = read(state).await?;
    let name = |n: Option<String>| n.map(VmName::try_from).transpose().map_err(Refused::bad);
    let (old, new) = (name(raw.old)?, name(raw.new)?);
    match app.config.handle.call(|call| Input::ReplaceVoter { call, old, new }).await {
        Answer::Done => Ok(ok(&json!({ "replaced": true }))),
        Answer::Refused { why } => Err(Refused(StatusCode::CONFLICT, why)),
        _ => Err(no_quorum()),
    }
}

async fn get_placements(app: &App, _: &mut State) -> Answered {
    match app.config.handle.call(|call| Input::Placements { call }).await {
        Answer::Placements(placements) => Ok(ok(&json!({ "placements": placements }))),
        _ => Err(Refused(StatusCode::SERVICE_UNAVAILABLE, "this VM is stopping".into())),
    }
}

async fn take_placement(app: &App, state: &mut State) -> Answered {
    let RawPlacement { base, placement } = read(state).await?;
    let server = ServerId::try_from(IdPath::take_from(state).id).map_err(Refused::bad)?;
    let command = Command::Place { server, placement, base };
    match app.config.handle.call(|call| Input::Propose { call, command }).await {
        Answer::Placed { version } => Ok(ok(&json!({ "version": version }))),
        Answer::Refused { why } => Err(Refused(StatusCode::CONFLICT, why)),
        Answer::Unknown => Err(Refused(
            StatusCode::GATEWAY_TIMEOUT,
            "it is unknown whether the placement was accepted; look before trying again".into(),
        )),
        _ => Err(no_quorum()),
    }
}

//! The callers' router.

use gotham::{
    handler::HandlerResult,
    helpers::http::Body,
    middleware::state::StateMiddleware,
    pipeline::{single_middleware, single_pipeline},
    prelude::*,
    router::{Router, build_router},
    state::State,
};
use http::{HeaderMap, Method, Response, StatusCode, Uri};
use model::RefusalReason;
use serde::Deserialize;

use crate::{
    app::App,
    body::{self, BodyError},
    case::{Case, Failing},
    chat,
    plain::{self, Call},
};

/// Prefix of calls to plain services.
const SERVICES: &str = "/services/";

#[derive(Deserialize, StateData, StaticResponseExtender)]
struct ServicePath {
    service: String,
    #[serde(rename = "*")]
    _rest: Vec<String>,
}

#[derive(Deserialize, StateData, StaticResponseExtender)]
struct ServiceRoot {
    service: String,
}

/// The router of the callers' listener.
#[must_use]
pub fn caller_router(app: &App) -> Router {
    let middleware = StateMiddleware::new(app.clone());
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, |route| {
        let methods = vec![
            Method::GET,
            Method::HEAD,
            Method::POST,
            Method::PUT,
            Method::PATCH,
            Method::DELETE,
        ];
        route.get("/health/live").to(live);
        route.get("/health/ready").to(ready);
        route.post(chat::PATH).to_async(chat_completion);
        route
            .request(methods.clone(), "/services/:service")
            .with_path_extractor::<ServiceRoot>()
            .to_async(service_root);
        route
            .request(methods, "/services/:service/*")
            .with_path_extractor::<ServicePath>()
            .to_async(service_path);
    })
}

pub(crate) fn live(state: State) -> (State, Response<Body>) {
    (state, text(StatusCode::OK, "live"))
}

pub(crate) fn ready(state: State) -> (State, Response<Body>) {
    let ready = App::borrow_from(&state).is_ready();
    let response = if ready {
        text(StatusCode::OK, "ready")
    } else {
        text(StatusCode::SERVICE_UNAVAILABLE, "not ready")
    };
    (state, response)
}

pub(crate) fn text(status: StatusCode, content: &'static str) -> Response<Body> {
    let mut response = body::handled(body::full(content));
    *response.status_mut() = status;
    response
}

async fn chat_completion(mut state: State) -> HandlerResult {
    let (mut case, headers, body) = take(&mut state);
    let response = match read(&case, body).await {
        Ok(body) => chat::serve(case, headers, body).await,
        Err(failing) => case.refuse(failing).await,
    };
    Ok((state, response))
}

async fn service_root(mut state: State) -> HandlerResult {
    let service = ServiceRoot::take_from(&mut state).service;
    let response = service_call(&mut state, service).await;
    Ok((state, response))
}

async fn service_path(mut state: State) -> HandlerResult {
    let service = ServicePath::take_from(&mut state).service;
    let response = service_call(&mut state, service).await;
    Ok((state, response))
}

async fn service_call(state: &mut State, service: String) -> Response<Body> {
    let method = Method::borrow_from(state).clone();
    let path = rest_of(Uri::borrow_from(state), &service);
    let (mut case, headers, body) = take(state);
    match read(&case, body).await {
        Ok(body) => plain::serve(case, Call { service, method, path, headers, body }).await,
        Err(failing) => case.refuse(failing).await,
    }
}

/// The path and query behind the service's name, as they were written.
fn rest_of(uri: &Uri, service: &str) -> String {
    let whole = uri.path_and_query().map_or("/", |p| p.as_str());
    let rest = whole.strip_prefix(SERVICES).and_then(|r| r.strip_prefix(service));
    match rest {
        Some(rest) if rest.starts_with('/') => rest.to_owned(),
        Some(rest) => format!("/{rest}"),
        None => "/".into(),
    }
}

fn take(state: &mut State) -> (Case, HeaderMap, Body) {
    let case = Case::open(App::borrow_from(state));
    let headers = HeaderMap::take_from(state);
    let body = Body::take_from(state);
    (case, headers, body)
}

async fn read(case: &Case, content: Body) -> Result<bytes::Bytes, Failing> {
    let config = &case.app.config;
    body::read(content, config.max_body, config.body_timeout).await.map_err(|error| match error {
        BodyError::TooLarge => {
            let why = format!("the body is longer than {} bytes", config.max_body);
            Failing::not_run(RefusalReason::TooLarge, why)
        }
        BodyError::Incomplete => {
            Failing::not_run(RefusalReason::BadRequest, "the body did not arrive in time")
        }
    })
}

//! The router for requests of callers.
//!
//! It serves the health checks, chat completions of model services, and calls of plain services.
//! Its handlers read the whole request body and pass the request on to the `chat` or `plain`
//! module.

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
    chat,
    context::{RequestContext, RequestFailure},
    plain::{self, ServiceCall},
};

/// Path prefix of calls to plain services.
const SERVICES: &str = "/services/";

/// Path of a call with further segments after the service's name.
#[derive(Deserialize, StateData, StaticResponseExtender)]
struct ServicePath {
    service: String,
    #[serde(rename = "*")]
    _rest: Vec<String>,
}

/// Path of a call that ends with the service's name.
#[derive(Deserialize, StateData, StaticResponseExtender)]
struct ServiceRoot {
    service: String,
}

/// Returns the router for the listener of callers.
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

/// Answers the liveness check, which succeeds as long as the process handles requests.
pub(crate) fn live(state: State) -> (State, Response<Body>) {
    (state, text_response(StatusCode::OK, "live"))
}

/// Answers the readiness check with status 503 if [`App::is_ready`] is false.
pub(crate) fn ready(state: State) -> (State, Response<Body>) {
    let ready = App::borrow_from(&state).is_ready();
    let response = if ready {
        text_response(StatusCode::OK, "ready")
    } else {
        text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
    };
    (state, response)
}

pub(crate) fn text_response(status: StatusCode, body: &'static str) -> Response<Body> {
    let mut response = body::handler_response(body::full(body));
    *response.status_mut() = status;
    response
}

async fn chat_completion(mut state: State) -> HandlerResult {
    let (mut context, headers, body) = take_parts(&mut state);
    let response = match read_body(&context, body).await {
        Ok(body) => chat::serve(context, headers, body).await,
        Err(failure) => context.refuse(failure).await,
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
    let path = path_after_service(Uri::borrow_from(state), &service);
    let (mut context, headers, body) = take_parts(state);
    match read_body(&context, body).await {
        Ok(body) => {
            plain::serve(context, ServiceCall { service, method, path, headers, body }).await
        }
        Err(failure) => context.refuse(failure).await,
    }
}

/// Returns the path and query after the service's name, without decoding them.
fn path_after_service(uri: &Uri, service: &str) -> String {
    let full_path = uri.path_and_query().map_or("/", |p| p.as_str());
    let rest = full_path.strip_prefix(SERVICES).and_then(|r| r.strip_prefix(service));
    match rest {
        Some(rest) if rest.starts_with('/') => rest.to_owned(),
        Some(rest) => format!("/{rest}"),
        None => "/".into(),
    }
}

/// Starts the request and takes its headers and body out of gotham's state.
fn take_parts(state: &mut State) -> (RequestContext, HeaderMap, Body) {
    let context = RequestContext::open(App::borrow_from(state));
    let headers = HeaderMap::take_from(state);
    let body = Body::take_from(state);
    (context, headers, body)
}

/// Reads the whole body of a request.
async fn read_body(context: &RequestContext, body: Body) -> Result<bytes::Bytes, RequestFailure> {
    let config = &context.app.config;
    body::read(body, config.max_body, config.body_timeout).await.map_err(|error| match error {
        BodyError::TooLarge => {
            let why = format!("the body is longer than {} bytes", config.max_body);
            RequestFailure::not_run(RefusalReason::TooLarge, why)
        }
        BodyError::Incomplete => {
            RequestFailure::not_run(RefusalReason::BadRequest, "the body did not arrive in time")
        }
    })
}

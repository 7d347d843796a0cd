//! The HTTP server of a listener.
//!
//! [`serve()`] accepts connections until its `stop` future completes, and then shuts down
//! gracefully. Requests without a route get the same JSON error body as other failures.

use std::{
    convert::Infallible, future::Future, net::SocketAddr, panic::AssertUnwindSafe, sync::Arc,
    time::Duration,
};

use gotham::{helpers::http::Body, router::Router, service::call_handler, state::State};
use http::{Request, Response, StatusCode};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto::Builder, graceful::GracefulShutdown},
};
use model::RefusalReason;
use tokio::net::{TcpListener, TcpStream};

use crate::{
    app::App,
    body::HandlerResponse,
    context::{RequestContext, RequestFailure},
};

/// Delay after a failed accept, for example for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves a router on a listener until `stop` completes, then waits for requests in flight.
///
/// Connections that the kernel has already accepted are served too. An HTTP/1 connection is closed
/// if the head of a request takes longer than `header_timeout`. Returns whether all connections
/// were finished within `grace`.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    app: App,
    header_timeout: Duration,
    stop: impl Future<Output = ()>,
    grace: Duration,
) -> bool {
    let server = HttpServer { router: Arc::new(router), app, header_timeout };
    let graceful = GracefulShutdown::new();
    tokio::pin!(stop);
    loop {
        tokio::select! {
            accepted = listener.accept() => server.on_accept(accepted, &graceful).await,
            () = &mut stop => break,
        }
    }
    server.drain_backlog(&listener, &graceful).await;
    drop(listener);
    tokio::time::timeout(grace, graceful.shutdown()).await.is_ok()
}

/// The parameters of all connections of a listener.
struct HttpServer {
    router: Arc<Router>,
    app: App,
    header_timeout: Duration,
}

impl HttpServer {
    async fn on_accept(
        &self,
        accepted: std::io::Result<(TcpStream, SocketAddr)>,
        graceful: &GracefulShutdown,
    ) {
        match accepted {
            Ok((stream, from)) => self.spawn_connection(stream, from, graceful),
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }

    /// Serves the connections that wait in the accept queue of the listener.
    async fn drain_backlog(&self, listener: &TcpListener, graceful: &GracefulShutdown) {
        while let Ok(Ok((stream, from))) =
            tokio::time::timeout(Duration::ZERO, listener.accept()).await
        {
            self.spawn_connection(stream, from, graceful);
        }
    }

    /// Spawns a task that serves a connection.
    fn spawn_connection(&self, stream: TcpStream, from: SocketAddr, graceful: &GracefulShutdown) {
        // Otherwise small pieces of a stream would wait for the caller's acknowledgements.
        let _ = stream.set_nodelay(true);
        let (router, app) = (Arc::clone(&self.router), self.app.clone());
        let service = service_fn(move |request| handle(router.clone(), app.clone(), request, from));
        let mut builder = Builder::new(TokioExecutor::new());
        builder.http1().timer(TokioTimer::new()).header_read_timeout(self.header_timeout);
        builder.http2().timer(TokioTimer::new());
        let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            // If the caller disconnects, the context of its request is dropped, which records a
            // refusal.
            let _ = connection.await;
        });
    }
}

/// Handles one request. A request that no route matches is refused and recorded.
async fn handle(
    router: Arc<Router>,
    app: App,
    request: Request<Incoming>,
    from: SocketAddr,
) -> Result<Response<Body>, Infallible> {
    let path = request.uri().path().to_owned();
    let state = State::from_request(request, from);
    let response = call_handler(router, AssertUnwindSafe(state)).await;
    Ok(match response {
        Ok(response) if is_unrouted(&response) => {
            let status = response.status();
            let why = format!("{path}: {status}");
            let failure = RequestFailure::not_run(RefusalReason::BadRoute, why);
            let mut refused = RequestContext::open(&app).refuse(failure).await;
            *refused.status_mut() = status;
            refused
        }
        Ok(response) => response,
        Err(_) => {
            let mut response = Response::new(Body::default());
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    })
}

/// Returns whether the router itself made the response because no route matches.
fn is_unrouted(response: &Response<Body>) -> bool {
    let status = response.status();
    let unrouted = status == StatusCode::NOT_FOUND || status == StatusCode::METHOD_NOT_ALLOWED;
    unrouted && response.extensions().get::<HandlerResponse>().is_none()
}

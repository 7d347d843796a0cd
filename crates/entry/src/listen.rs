//! The accept loop.

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
    body::Handled,
    case::{Case, Failing},
};

/// Wait after a failed accept, such as one for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves a router on a listener until `stop` ends, then finishes what is in flight.
///
/// Connections that the kernel has already accepted are served too. Returns whether everything
/// was finished within `grace`.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    app: App,
    header_timeout: Duration,
    stop: impl Future<Output = ()>,
    grace: Duration,
) -> bool {
    let server = Server { router: Arc::new(router), app, header_timeout };
    let graceful = GracefulShutdown::new();
    tokio::pin!(stop);
    loop {
        tokio::select! {
            accepted = listener.accept() => server.accepted(accepted, &graceful).await,
            () = &mut stop => break,
        }
    }
    server.drain_backlog(&listener, &graceful).await;
    drop(listener);
    tokio::time::timeout(grace, graceful.shutdown()).await.is_ok()
}

struct Server {
    router: Arc<Router>,
    app: App,
    header_timeout: Duration,
}

impl Server {
    async fn accepted(
        &self,
        accepted: std::io::Result<(TcpStream, SocketAddr)>,
        graceful: &GracefulShutdown,
    ) {
        match accepted {
            Ok((stream, from)) => self.serve(stream, from, graceful),
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }

    /// Serves connections that were made before the listener closed.
    async fn drain_backlog(&self, listener: &TcpListener, graceful: &GracefulShutdown) {
        while let Ok(Ok((stream, from))) =
            tokio::time::timeout(Duration::ZERO, listener.accept()).await
        {
            self.serve(stream, from, graceful);
        }
    }

    fn serve(&self, stream: TcpStream, from: SocketAddr, graceful: &GracefulShutdown) {
        // Without this, small pieces of a stream wait for the caller's acknowledgements.
        let _ = stream.set_nodelay(true);
        let (router, app) = (Arc::clone(&self.router), self.app.clone());
        let service = service_fn(move |request| handle(router.clone(), app.clone(), request, from));
        let mut builder = Builder::new(TokioExecutor::new());
        builder.http1().timer(TokioTimer::new()).header_read_timeout(self.header_timeout);
        builder.http2().timer(TokioTimer::new());
        let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            // A caller that goes away is noticed by its request.
            let _ = connection.await;
        });
    }
}

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
        Ok(response) if is_no_route(&response) => {
            let status = response.status();
            let why = format!("{path}: {status}");
            let failing = Failing::not_run(RefusalReason::BadRoute, why);
            let mut refused = Case::open(&app).refuse(failing).await;
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

/// Whether the router itself answered, because no route fits.
fn is_no_route(response: &Response<Body>) -> bool {
    let status = response.status();
    let unrouted = status == StatusCode::NOT_FOUND || status == StatusCode::METHOD_NOT_ALLOWED;
    unrouted && response.extensions().get::<Handled>().is_none()
}

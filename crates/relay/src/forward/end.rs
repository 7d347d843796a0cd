//! The end of a response: the health call, and the wait for a departure, that show whether a response
//! that ends with its connection is complete.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use backend::{Exchange, Failure, Proof};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use meters::Operation;
use model::{ServerId, ServiceName};
use tokio::time::sleep;

use crate::{
    ending::{HealthReply, Sender},
    event_loop::Submission,
    frontend::Frontend,
};

/// Maximum time for which the end of a leaving server's response waits for the report that the server has
/// left, and the fraction of the time left for the request; the rest may be needed for another server.
/// Such a report is sent to the entry VMs at once when a majority of the control VMs stores it.
const DEPARTURE_TIMEOUT: Duration = Duration::from_millis(1_500);
const DEPARTURE_FRACTION: u32 = 2;
/// Interval at which the registry is checked in this time.
const DEPARTURE_INTERVAL: Duration = Duration::from_millis(50);

/// A response whose head has arrived, with the submission that it belongs to.
pub(crate) struct StartedResponse {
    pub(crate) exchange: Exchange,
    pub(crate) submission: Submission,
    pub(crate) sent: Instant,
    pub(crate) sender: Sender,
    pub(crate) address: SocketAddr,
    pub(crate) service: ServiceName,
    /// Slowness that the server reported with the response.
    pub(crate) slowness: Option<f64>,
}

impl StartedResponse {
    /// Returns the server and the slowness that it reported.
    pub(crate) fn observed(&self) -> (&ServerId, Option<f64>) {
        (&self.sender.server, self.slowness)
    }

    /// Checks that a response that ends with its connection is complete: its sender is alive after the
    /// end, or has left in an orderly way. It takes at most until `deadline`.
    ///
    /// Called when the end has arrived. A sender that had reported its departure before went on
    /// serving after the report, which then says nothing about the end.
    pub(crate) async fn confirm_end(
        &mut self,
        frontend: &Frontend,
        deadline: Instant,
    ) -> Result<(), Failure> {
        if !self.exchange.ends_with_connection() {
            return Ok(());
        }
        let had_departed = frontend.restraints().has_departed(&self.sender);
        let timeout = tokio::time::timeout_at(deadline.into(), self.prove_alive(frontend)).await;
        let why = match timeout {
            Ok(Ok(())) => return Ok(()),
            Ok(Err(why)) => why,
            Err(_) => "no reply in time after the response".into(),
        };
        if !had_departed && self.has_departed(frontend, deadline).await {
            return Ok(());
        }
        Err(Failure::Broken { why })
    }

    /// Makes a health call that shows whether the sender is alive.
    async fn prove_alive(&mut self, frontend: &Frontend) -> Result<(), String> {
        let path = frontend.health_path(&self.service);
        let (address, server) = (self.address, self.sender.server.clone());
        let health = || {
            frontend.meters.count(Operation::HealthCall);
            let mut request = Request::new(Full::new(Bytes::new()));
            *request.headers_mut() = frontend.dialect.health_headers(&server);
            if let Ok(host) = address.to_string().parse() {
                request.headers_mut().insert(http::header::HOST, host);
            }
            if let Ok(uri) = path.parse() {
                *request.uri_mut() = uri;
            }
            request
        };
        let proof = self.exchange.prove_end(health).await.map_err(|failure| failure.to_string())?;
        let Some(Proof { opened, status, headers }) = proof else { return Ok(()) };
        let reply = HealthReply {
            opened,
            server: frontend.dialect.responder(&headers),
            misdirected: status == StatusCode::MISDIRECTED_REQUEST,
        };
        let born = frontend.restraints().born(&self.sender.server);
        if self.sender.is_alive(&reply, born) {
            return Ok(());
        }
        Err(format!("the process that replies after the response is another one: {reply:?}"))
    }

    /// Returns whether the sender reported that it has left. If it is leaving, the report may still
    /// be on its way.
    async fn has_departed(&self, frontend: &Frontend, deadline: Instant) -> bool {
        let now = Instant::now();
        let left = deadline.saturating_duration_since(now) / DEPARTURE_FRACTION;
        let give_up = now + left.min(DEPARTURE_TIMEOUT);
        loop {
            let is_leaving = {
                let restraints = frontend.restraints();
                if restraints.has_departed(&self.sender) {
                    return true;
                }
                restraints.is_leaving(&self.sender.server)
            };
            if !is_leaving || Instant::now() >= give_up {
                return false;
            }
            sleep(DEPARTURE_INTERVAL).await;
        }
    }
}

//! Orders on their way to backend servers.

use backend::Client;
use control::{Input, Order};
use driver::Handle;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use model::RequestId;
use serde_json::json;
use tokio::sync::mpsc::UnboundedReceiver;

/// Where backend servers take orders.
const PATH: &str = "/orders";

/// Sends each order once, within its time, and reports whether it was taken.
pub(crate) async fn give_orders(
    handle: Handle,
    client: Client,
    mut orders: UnboundedReceiver<Order>,
) {
    while let Some(order) = orders.recv().await {
        let (handle, client) = (handle.clone(), client.clone());
        tokio::spawn(async move {
            // The connection is closed when the time is over, so that the order cannot be taken
            // after a later leader's first.
            let given = tokio::time::timeout(order.timeout.into(), give(&client, &order)).await;
            let taken = given.unwrap_or(false);
            let Order { server, fence, .. } = order;
            handle.input(Input::OrderEnded { server, fence, taken });
        });
    }
}

async fn give(client: &Client, order: &Order) -> bool {
    let body = json!({ "fence": order.fence, "placement": order.placement }).to_string();
    let request = Request::builder()
        .method(Method::POST)
        .uri(PATH)
        .header(header::HOST, order.address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body.into()));
    let Ok(request) = request else {
        return false;
    };
    let id = RequestId::from(u128::from(order.fence));
    let Ok(mut exchange) = client.send(order.address, &id.to_string(), request).await else {
        return false;
    };
    let accepted = matches!(exchange.status(), StatusCode::OK | StatusCode::ACCEPTED);
    exchange.finish().await;
    accepted
}

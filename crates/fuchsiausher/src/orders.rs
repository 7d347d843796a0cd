//! Delivery of placement orders to backend servers.
//!
//! The control thread of the leader issues an [`Order`] to change what a backend server runs. This
//! module posts it to the server and reports the outcome to the control thread.

use backend::Client;
use control::{Input, Order};
use driver::Handle;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use model::RequestId;
use serde_json::json;
use tokio::sync::mpsc::UnboundedReceiver;

/// Path at which backend servers accept orders.
const ORDERS_PATH: &str = "/orders";

/// Sends each order once, within its timeout, and reports whether the backend server accepted it.
pub(crate) async fn send_orders(
    handle: Handle,
    client: Client,
    mut orders: UnboundedReceiver<Order>,
) {
    while let Some(order) = orders.recv().await {
        let (handle, client) = (handle.clone(), client.clone());
        tokio::spawn(async move {
            // The timeout closes the connection, so that the server cannot accept this order after
            // the first order of a later leader.
            let sent =
                tokio::time::timeout(order.timeout.into(), send_order(&client, &order)).await;
            let taken = sent.unwrap_or(false);
            let Order { server, fence, .. } = order;
            handle.input(Input::OrderEnded { server, fence, taken });
        });
    }
}

async fn send_order(client: &Client, order: &Order) -> bool {
    let body = json!({ "fence": order.fence, "placement": order.placement }).to_string();
    let request = Request::builder()
        .method(Method::POST)
        .uri(ORDERS_PATH)
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

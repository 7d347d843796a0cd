//! Announcements of a stand-in.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde_json::json;

use crate::{
    call::call,
    server::{Role, Shared},
};

/// Time to live of an announcement, in milliseconds.
const TTL_MS: u64 = 1_500;
/// Interval of announcements.
const INTERVAL: Duration = Duration::from_millis(400);

/// Announces a stand-in to administration listeners, in turn.
#[derive(Clone, Debug)]
pub struct Announcer {
    /// Administration listeners of the zone's entry VMs.
    pub admin_addresses: Vec<SocketAddr>,
    /// Bearer credential of backend servers.
    pub secret: String,
}

impl Announcer {
    pub(crate) async fn run(self, shared: Arc<Shared>, address: SocketAddr) {
        let mut reported = 0;
        for admin in self.admin_addresses.iter().cycle() {
            let config = &shared.config;
            let kind = if config.role == Role::Engine { "model" } else { "plain" };
            // The load reported is one interval old, as real reports lag.
            let value = json!({
                "id": config.id,
                "service": config.service,
                "kind": kind,
                "address": address.to_string(),
                "slots": config.slots,
                "ttl_ms": TTL_MS,
                "load": reported,
                "zone": config.zone,
                "prefixes": config.cache,
                "fencing": if config.checks_fences { "checks" } else { "ignores" },
            });
            reported = shared.stats.running();
            let body = value.to_string().into_bytes();
            let headers = [("authorization", format!("Bearer {}", self.secret))];
            // An entry VM that cannot be reached is skipped until its next turn.
            let told = call(*admin, "POST", "/announce", &headers, body).await;
            if told.is_ok() {
                tokio::time::sleep(INTERVAL).await;
            } else {
                tokio::time::sleep(INTERVAL / 8).await;
            }
        }
    }
}

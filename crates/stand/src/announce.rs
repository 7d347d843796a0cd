//! Periodic announcements of a stand-in to entry VMs.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde_json::json;

use crate::{
    call::call,
    server::{Role, Shared},
};

/// Time to live that each announcement states, in milliseconds.
const TTL_MS: u64 = 1_500;
/// Interval between announcements. After a failed one it is an eighth of this.
const INTERVAL: Duration = Duration::from_millis(400);

/// Where and with which credential a stand-in announces itself.
///
/// Each announcement goes to one listener; the listeners are used in turn.
#[derive(Clone, Debug)]
pub struct Announcer {
    /// Addresses of the administration listeners of the entry VMs in the zone.
    pub admin_addresses: Vec<SocketAddr>,
    /// Bearer credential that entry VMs expect from backend servers.
    pub secret: String,
}

impl Announcer {
    /// Announces the stand-in at `address` until the task is aborted.
    pub(crate) async fn run(self, shared: Arc<Shared>, address: SocketAddr) {
        let mut reported_load = 0;
        for admin in self.admin_addresses.iter().cycle() {
            let config = &shared.config;
            let kind = if config.role == Role::Engine { "model" } else { "plain" };
            // The reported load is one interval old, because the reports of real servers lag.
            let value = json!({
                "id": config.id,
                "service": config.service,
                "kind": kind,
                "address": address.to_string(),
                "slots": config.slots,
                "ttl_ms": TTL_MS,
                "load": reported_load,
                "zone": config.zone,
                "prefixes": config.cache,
                "fencing": if config.checks_fences { "checks" } else { "ignores" },
            });
            reported_load = shared.stats.running();
            let body = value.to_string().into_bytes();
            let headers = [("authorization", format!("Bearer {}", self.secret))];
            // An entry VM that cannot be reached is skipped until the next round.
            let result = call(*admin, "POST", "/announce", &headers, body).await;
            if result.is_ok() {
                tokio::time::sleep(INTERVAL).await;
            } else {
                tokio::time::sleep(INTERVAL / 8).await;
            }
        }
    }
}

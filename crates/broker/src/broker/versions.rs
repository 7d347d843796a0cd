//! Versions of servers, and the orders that move the service from one to another.

use model::{ServerId, Time, VersionName};

use super::Broker;
use crate::{action::Action, pool::VersionRules};

impl Broker {
    /// Sets the rules about versions of servers.
    pub fn set_version_rules(&mut self, now: Time, rules: VersionRules, out: &mut Vec<Action>) {
        self.pool.set_version_rules(rules);
        self.grant_waiting(now, out);
    }

    /// Sets the version of a server, and whether it has just started and is slower than usual. To be
    /// called before the server is announced.
    pub fn set_version(&mut self, id: &ServerId, version: Option<VersionName>, is_cold: bool) {
        self.pool.set_version(id, version, is_cold);
    }

    /// Returns the number of requests granted since the latest order is known, and how many of them
    /// went to servers under trial. `None` if there is no order.
    #[must_use]
    pub fn exposure(&self) -> Option<(u64, u64)> {
        self.pool.exposure()
    }
}

//! Versions of servers, and the orders that move a service from one to another.

use broker::VersionRules;
use model::{ServerId, ServiceName, Time, VersionName};

use super::Region;

impl Region {
    /// Sets the version of a server, and whether it has just started and is slower than usual. To be
    /// called before [`update_server`](Self::update_server) adds the server.
    pub fn set_version(
        &mut self,
        service: &ServiceName,
        id: &ServerId,
        (version, is_cold): (Option<VersionName>, bool),
    ) {
        self.broker(service).set_version(id, version, is_cold);
    }

    /// Sets the rules about versions of a service's servers.
    pub fn set_version_rules(&mut self, now: Time, service: &ServiceName, rules: VersionRules) {
        let mut actions = Vec::new();
        self.broker(service).set_version_rules(now, rules, &mut actions);
        self.actions.append(&mut actions);
        self.handle_actions(now);
    }

    /// Returns whether this VM has selected itself as the home of a service.
    #[must_use]
    pub fn is_home(&self, service: &ServiceName) -> bool {
        *self.selector.home(service) == self.me
    }

    /// Returns the number of requests of a service that this VM has granted since it knows the latest
    /// order, and how many of them went to servers under trial.
    #[must_use]
    pub fn exposure(&self, service: &ServiceName) -> Option<(u64, u64)> {
        self.brokers.get(service)?.exposure()
    }
}

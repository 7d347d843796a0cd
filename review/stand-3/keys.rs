//! A configuration takes the keys of the last tenant away.

use std::{thread::sleep, time::Duration};

use crate::{
    Verdict,
    rig::{KEY, Record, Rig, TENANTS, call_control, configuration, exchange, request, wait_for},
    standin::StandIn,
};

/// `revoke-ms`.
const REVOKE: Duration = Duration::from_millis(5_000);
/// The last tenant keeps its name and loses its keys.
const TENANT_WITHOUT_KEYS: &str = "[{\"name\":\"hule930\",\"api-keys\":[],\"priority\":1}]";
/// The last tenant is taken away with its keys.
const NO_TENANT: &str = "[]";

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let Some(mut rig) = Rig::new(record.clone(), 2) else { return Verdict::NotRun };
    rig.start_all();
    let (controls, entries) = (rig.controls(), rig.entries());
    if call_control(&controls, "PUT", "/-/config", &configuration(1, TENANTS)).status != 200 {
        return Verdict::NotRun;
    }
    let server = StandIn::start(record, "i-1", rig.server_ip(1), &controls);
    let served = wait_for(Duration::from_secs(15), || {
        entries.iter().enumerate().all(|(n, entry)| {
            let text = request("/look/a", &format!("warm-{n}"), 1_500, Some(KEY));
            exchange(*entry, &text, Duration::from_secs(2)).status == 200
        })
    });
    let unknown = exchange(
        entries[0],
        &request("/order/a", "before", 1_500, Some("a-key-that-none-ever-held")),
        Duration::from_secs(2),
    );
    record.line(&format!("client: an unknown key is answered {}", unknown.status));
    if !served || unknown.status != 401 {
        return Verdict::NotRun;
    }
    let tenants = if trouble { NO_TENANT } else { TENANT_WITHOUT_KEYS };
    let acked = call_control(&controls, "PUT", "/-/config", &configuration(2, tenants));
    record.line(&format!(
        "operator: version 2 with \"tenants\":{tenants} is answered {}",
        acked.status
    ));
    if acked.status != 200 {
        return Verdict::NotRun;
    }
    sleep(REVOKE + Duration::from_millis(500));
    for (n, entry) in entries.iter().enumerate() {
        let keys =
            [("revoked", Some(KEY)), ("unheld", Some("a-key-that-none-ever-held")), ("none", None)];
        for (name, key) in keys {
            let id = format!("{name}-{n}");
            let answer =
                exchange(*entry, &request("/order/a", &id, 1_500, key), Duration::from_secs(2));
            record.line(&format!("client: {id} at {entry} is answered {}", answer.status));
        }
    }
    let ran = [server.said("runs revoked-"), server.said("runs unheld-")].concat();
    record.line(&format!("requests that ran with a key that no longer holds: {}", ran.len()));
    if ran.is_empty() { Verdict::Held } else { Verdict::Broken }
}

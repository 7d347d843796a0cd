//! Formatting of answers as text for people.

use serde_json::Value;

use crate::test_cluster::TestCluster;

/// Formats an answer with one line for each field, and one for each element of a list of objects
/// or of the list that the command asks for.
pub(crate) fn text(command: &str, answer: &Value) -> String {
    let list = match command {
        "refusals" => "refusals",
        "servers" => "servers",
        "catalogue" => "entries",
        _ => "",
    };
    let Some(fields) = answer.as_object() else {
        return answer.to_string();
    };
    let mut lines = Vec::new();
    for (key, value) in fields {
        match value {
            Value::Array(items) if key == list || items.iter().any(Value::is_object) => {
                lines.push(format!("{key}: {}", items.len()));
                lines.extend(items.iter().map(|item| format!("  {}", item_line(item))));
            }
            other => lines.push(format!("{key}: {}", value_text(other))),
        }
    }
    lines.join("\n")
}

fn item_line(item: &Value) -> String {
    let Some(fields) = item.as_object() else {
        return value_text(item);
    };
    let parts: Vec<String> = fields
        .iter()
        .filter(|(_, v)| !v.is_null())
        .map(|(k, v)| format!("{k}={}", value_text(v)))
        .collect();
    parts.join(" ")
}

fn value_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(value_text).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}

/// Returns shell commands that an operator can try while `demo --stay` runs.
pub(crate) fn example_calls(cluster: &TestCluster) -> String {
    let callers = cluster.caller_address(0);
    let settings = cluster.settings(0);
    let (admin, secret) = (settings.admin, &settings.secrets.admin);
    format!(
        "Four entry VMs are up; stop them with SIGINT. Calls to try:

curl -N http://{callers}/v1/chat/completions -H 'authorization: Bearer tier-0' \\
  -d '{{\"model\":\"loom-model\",\"stream\":true,\"max_tokens\":5,\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'
curl http://{callers}/services/order-desk/stock -H 'authorization: Bearer tier-1'
curl -X POST http://{callers}/services/order-desk/orders -H 'authorization: Bearer tier-1' \\
  -H \"idempotency-key: $(date +%s)-mine\" -d '{{}}'
export FUCHSIAUSHER_ADMIN_SECRET={secret}
fuchsiausher status --vm {admin}
fuchsiausher servers list --vm {admin}
fuchsiausher refusals --account tier-4 --since 15m --vm {admin}"
    )
}

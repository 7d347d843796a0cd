//! The command that starts rollouts and shows how far they have got, by calls to control VMs.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use model::{ServiceName, Span, VersionName};
use pico_args::Arguments;
use platform::{OperatorCall, RolloutState, refusal_reason, rollout_state};
use rollout::Order;
use serde_json::Value;
use stand::{HttpResponse, call};

use super::{
    CommandResult, Exit, Failure,
    args::{self, usage_error},
    show,
};

/// Address of the control VM that is called without `--control`.
const DEFAULT_CONTROL_ADDRESS: &str = "127.0.0.1:8229";
/// Time for which a call is repeated until a control VM answers it. It is that for which an order that
/// was accepted is acknowledged again.
const ANSWER_TIME: Duration = Duration::from_secs(5);
/// Delay before a call is repeated at the next control VM.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Interval at which `--watch` reads the state.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time for which `--watch` waits: the longest time limit of an order.
const MAX_WATCH: Duration = Duration::from_hours(24 * 7);

/// Calls control VMs, one after another until one gives a definite answer.
struct ControlVms(Vec<SocketAddr>);

impl ControlVms {
    async fn call(&self, operator_call: &OperatorCall) -> Result<Bytes, Failure> {
        let start = Instant::now();
        let mut vms = self.0.iter().copied().cycle();
        let mut next = vms.next();
        let mut last = "no control VM is named".to_owned();
        while let Some(address) = next
            && start.elapsed() < ANSWER_TIME
        {
            let OperatorCall { method, path, body } = operator_call;
            match call(address, method, path, &[], body.clone()).await {
                Ok(response) if response.status == 307 => {
                    next = leader(&response).or_else(|| vms.next());
                    continue;
                }
                Ok(response) if response.status == 503 => last = refusal_reason(&response.body),
                Ok(response) if response.status >= 400 => {
                    let status = response.status;
                    let message = format!("refused ({status}): {}", refusal_reason(&response.body));
                    return Err(Failure::new(Exit::Refused, message));
                }
                Ok(response) => return Ok(response.body),
                Err(error) => last = error.to_string(),
            }
            tokio::time::sleep(RETRY_DELAY).await;
            next = vms.next();
        }
        Err(Failure::new(Exit::Unreachable, format!("no control VM gives an answer: {last}")))
    }
}

/// Returns the address of the leader to which a response redirects.
fn leader(response: &HttpResponse) -> Option<SocketAddr> {
    let location = response.headers.get("location")?.to_str().ok()?;
    location.strip_prefix("http://")?.split('/').next()?.parse().ok()
}

/// Runs `rollout start`, `rollout status` or `rollout history`.
pub(super) async fn run(args: &mut Arguments) -> CommandResult {
    let parsed = |e: pico_args::Error| usage_error(&e.to_string());
    let json = args.contains("--json");
    let watch = args.contains("--watch");
    let mut vms: Vec<SocketAddr> = args.values_from_str("--control").map_err(parsed)?;
    if vms.is_empty() {
        vms.extend(DEFAULT_CONTROL_ADDRESS.parse::<SocketAddr>());
    }
    let vms = ControlVms(vms);
    let duration: Option<f64> = args.opt_value_from_str("--duration").map_err(parsed)?;
    let subcommand = args::free_argument(args, "start, status or history")?;
    let service = args::free_argument(args, "the service")?;
    let service = ServiceName::try_from(service).map_err(|e| usage_error(&e.to_string()))?;
    let operator_call = match subcommand.as_str() {
        "start" => {
            let to = args::free_argument(args, "the version")?;
            let to = VersionName::try_from(to).map_err(|e| usage_error(&e.to_string()))?;
            let duration = duration.filter(|seconds| seconds.is_finite() && *seconds > 0.0);
            let duration = duration.ok_or_else(|| usage_error("missing: --duration SECONDS"))?;
            let duration = Span::from_secs_f64(duration);
            OperatorCall::start_rollout(&Order { service: service.clone(), to, duration })
        }
        "status" => OperatorCall::rollout_state(&service),
        "history" => OperatorCall::rollout_history(&service),
        other => {
            return Err(usage_error(&format!("rollout {other:?}: use start, status or history")));
        }
    };
    args::finish(args)?;
    let mut answer = vms.call(&operator_call).await?;
    if subcommand == "start" {
        answer = vms.call(&OperatorCall::rollout_state(&service)).await?;
    }
    let start = Instant::now();
    while watch
        && rollout_state(&answer) == Some(RolloutState::Running)
        && start.elapsed() < MAX_WATCH
    {
        tokio::time::sleep(WATCH_INTERVAL).await;
        answer = vms.call(&OperatorCall::rollout_state(&service)).await?;
    }
    let shown: Value = serde_json::from_slice(&answer)
        .map_err(|e| Failure::new(Exit::Unreachable, format!("the answer cannot be read: {e}")))?;
    println!("{}", if json { shown.to_string() } else { show::text("rollout", &shown) });
    if watch && rollout_state(&answer) == Some(RolloutState::RolledBack) {
        return Err(Failure::new(Exit::Refused, "the rollout was rolled back; see its history"));
    }
    Ok(())
}

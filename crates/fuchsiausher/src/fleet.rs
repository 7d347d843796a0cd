//! A VM with a role in a deployment of entry VMs and control VMs.

use std::{path::Path, sync::Arc, time::Duration};

use error_stack::{Report, ResultExt};
use host::{Host, HostConfig};
use http::StatusCode;
use meters::Meters;
use platform::{CallerDialect, OperatorDialect};
use relay::{QuotaConfig, Relay, RelayConfig};
use settings::{File, Role, RoleSettings};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::error::{Error, ErrorKind};

/// Interval at which the settings file is looked at: it may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);

type Result<T> = std::result::Result<T, Report<Error>>;

enum Running {
    Entry(Relay),
    Control(Host),
}

/// Runs a VM with a role until it is told to stop. Returns whether everything in flight was
/// finished.
pub(crate) async fn run(path: &Path, fleet: RoleSettings) -> Result<bool> {
    logs::start().change_context(Error::from(ErrorKind::Logs))?;
    // A signal that comes while the VM starts must not end it before it has stopped as planned.
    let signals = Signals::new();
    let role = format!("{:?}", fleet.role);
    spdlog::info!(
        "started",
        kv: {
            name = fleet.name.as_str(),
            vm = fleet.vm.as_str(),
            zone = fleet.zone.as_str(),
            role = role.as_str(),
            founding = fleet.founding
        }
    );
    let meters = Meters::new(&fleet.name).change_context(Error::from(ErrorKind::Metrics))?;
    let meters = Arc::new(meters);
    let running = start(&fleet, &meters).await?;
    if let Some(address) = fleet.metrics {
        serve_metrics(address, meters).await;
    }
    follow_settings(path, &running, signals).await;
    spdlog::info!("stopping as planned", kv: { name = fleet.name.as_str() });
    let finished = match running {
        Running::Entry(relay) => relay.stop().await,
        Running::Control(host) => {
            host.stop().await;
            true
        }
    };
    spdlog::info!("stopped", kv: { name = fleet.name.as_str(), finished });
    Ok(finished)
}

async fn start(fleet: &RoleSettings, meters: &Arc<Meters>) -> Result<Running> {
    let failed = || Error::from(ErrorKind::Role);
    let meters = Arc::clone(meters);
    Ok(match fleet.role {
        Role::Entry => {
            let config = entry_config(fleet);
            let dialect = Arc::new(CallerDialect);
            Running::Entry(
                Relay::start(&config, dialect, meters).await.change_context_lazy(failed)?,
            )
        }
        Role::Control => {
            let config = control_config(fleet);
            let dialect = Arc::new(OperatorDialect);
            Running::Control(
                Host::start(&config, dialect, meters).await.change_context_lazy(failed)?,
            )
        }
    })
}

fn entry_config(fleet: &RoleSettings) -> RelayConfig {
    RelayConfig {
        vm: fleet.vm.clone(),
        zone: fleet.zone.clone(),
        callers: fleet.callers,
        ready: fleet.ready.unwrap_or(fleet.callers),
        control_port: fleet.internal_port,
        load_port: fleet.internal_port + 1,
        seeds: fleet.seeds.clone(),
        secret: fleet.secret.clone(),
        key_lease: fleet.bounds.key_lease,
        retry_ratio: fleet.bounds.retry_ratio,
        retry_slack: fleet.bounds.retry_slack,
        retry_window: fleet.bounds.retry_window,
        quotas: QuotaConfig {
            window: fleet.bounds.quota_window,
            overage: fleet.bounds.quota_overage,
            slack: fleet.bounds.quota_slack,
        },
        stop_time: fleet.bounds.stop_time,
    }
}

fn control_config(fleet: &RoleSettings) -> HostConfig {
    HostConfig {
        vm: fleet.vm.clone(),
        zone: fleet.zone.clone(),
        api_address: fleet.callers,
        peer_address: (fleet.callers.ip(), fleet.internal_port).into(),
        data_dir: fleet.data.clone().unwrap_or_default(),
        seeds: fleet.seeds.clone(),
        founding: fleet.founding,
        losses: fleet.losses,
        silence: fleet.bounds.silence,
        secret: fleet.secret.clone(),
    }
}

/// Serves metrics. A VM without them serves on, since what it is for matters more.
async fn serve_metrics(address: std::net::SocketAddr, meters: Arc<Meters>) {
    match tokio::net::TcpListener::bind(address).await {
        Ok(listener) => {
            tokio::spawn(relay::serve_probes(listener, move |_| match meters.text() {
                Ok(text) => (StatusCode::OK, text),
                Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
            }));
        }
        Err(error) => spdlog::error!(
            "metrics are not served",
            kv: { address = address.to_string(), error = error.to_string() }
        ),
    }
}

/// The signals that a VM acts on.
struct Signals {
    terminate: Option<Signal>,
    interrupt: Option<Signal>,
    hangup: Option<Signal>,
}

impl Signals {
    fn new() -> Self {
        Self {
            terminate: handler(SignalKind::terminate()),
            interrupt: handler(SignalKind::interrupt()),
            hangup: handler(SignalKind::hangup()),
        }
    }
}

/// Reads the settings again when they changed, until the process is told to stop.
async fn follow_settings(path: &Path, running: &Running, mut signals: Signals) {
    let mut held = std::fs::read_to_string(path).unwrap_or_default();
    loop {
        tokio::select! {
            () = received(&mut signals.terminate) => return,
            () = received(&mut signals.interrupt) => return,
            () = received(&mut signals.hangup) => spdlog::info!("told to read the settings again"),
            () = tokio::time::sleep(RELOAD_INTERVAL) => {}
        }
        match std::fs::read_to_string(path) {
            Ok(text) if text != held => {
                reload(&text, running);
                held = text;
            }
            Ok(_) => {}
            Err(error) => {
                spdlog::warn!("settings cannot be read", kv: { error = error.to_string() });
            }
        }
    }
}

fn reload(text: &str, running: &Running) {
    match settings::parse_file(text) {
        Ok(File::WithRole(fleet)) => {
            let seeds: Vec<&str> = fleet.seeds.iter().map(model::VmName::as_str).collect();
            spdlog::info!("settings changed", kv: { seeds = seeds.join(" ") });
            match running {
                Running::Entry(relay) => relay.add_seeds(fleet.seeds),
                Running::Control(host) => host.set_seeds(fleet.seeds),
            }
        }
        Ok(File::Standalone(_)) => {
            spdlog::error!("settings name no role any more; kept the old ones");
        }
        Err(faults) => {
            let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
            spdlog::error!("settings have faults; kept the old ones", kv: { faults = faults.join("; ") });
        }
    }
}

fn handler(kind: SignalKind) -> Option<Signal> {
    let handler = signal(kind);
    if let Err(error) = &handler {
        // Without a handler the signal ends the process, which is the system's default.
        spdlog::error!("a signal cannot be handled", kv: { error = error.to_string() });
    }
    handler.ok()
}

async fn received(signal: &mut Option<Signal>) {
    match signal {
        Some(signal) => {
            signal.recv().await;
        }
        None => std::future::pending().await,
    }
}

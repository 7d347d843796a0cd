//! A VM with a role in a deployment of separate entry VMs and control VMs.
//!
//! [`run`] starts the role that the settings name, serves metrics, and reads the settings file
//! again while the VM runs. Of changed settings only the seeds take effect without a restart.

use std::{path::Path, sync::Arc, time::Duration};

use budget::Resources;
use error_stack::{Report, ResultExt};
use host::{Host, HostConfig};
use http::StatusCode;
use meters::Meters;
use platform::{CallerDialect, OperatorDialect};
use relay::{QuotaConfig, Relay, RelayConfig};
use rollout::ExposureLimits;
use settings::{File, Role, RoleSettings};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::error::{Error, ErrorKind};

/// Interval at which the settings file is read again, since it may change without a SIGHUP.
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);

type Result<T> = std::result::Result<T, Report<Error>>;

enum Running {
    Entry(Relay),
    Control(Host),
}

/// Runs a VM with a role until SIGTERM or SIGINT. Returns whether all requests in flight were
/// finished.
pub(crate) async fn run(path: &Path, settings: RoleSettings) -> Result<bool> {
    logs::start().change_context(Error::from(ErrorKind::Logs))?;
    // The handlers are installed before the VM starts. A signal that arrives during the start would
    // otherwise end the process without a planned stop.
    let mut signals = Signals::new();
    let role = format!("{:?}", settings.role);
    spdlog::info!(
        "started",
        kv: {
            name = settings.name.as_str(),
            vm = settings.vm.as_str(),
            zone = settings.zone.as_str(),
            role = role.as_str(),
            founding = settings.founding
        }
    );
    let meters = Meters::new(&settings.name).change_context(Error::from(ErrorKind::Metrics))?;
    let meters = Arc::new(meters);
    let running = tokio::select! {
        running = start(&settings, &meters) => running?,
        () = signals.stop() => {
            spdlog::info!("stopping before the start is complete", kv: { name = settings.name.as_str() });
            return Ok(true);
        }
    };
    if let Some(address) = settings.metrics {
        serve_metrics(address, meters).await;
    }
    watch_settings(path, &running, signals).await;
    spdlog::info!("stopping as planned", kv: { name = settings.name.as_str() });
    let finished = match running {
        Running::Entry(relay) => relay.stop().await,
        Running::Control(host) => {
            host.stop().await;
            true
        }
    };
    spdlog::info!("stopped", kv: { name = settings.name.as_str(), finished });
    Ok(finished)
}

async fn start(settings: &RoleSettings, meters: &Arc<Meters>) -> Result<Running> {
    let failed = || Error::from(ErrorKind::Role);
    let meters = Arc::clone(meters);
    Ok(match settings.role {
        Role::Entry => {
            let config = entry_config(settings);
            let dialect = Arc::new(CallerDialect);
            Running::Entry(
                Relay::start(&config, dialect, meters).await.change_context_lazy(failed)?,
            )
        }
        Role::Control => {
            let config = control_config(settings);
            let dialect = Arc::new(OperatorDialect);
            Running::Control(
                Host::start(&config, dialect, meters).await.change_context_lazy(failed)?,
            )
        }
    })
}

fn entry_config(settings: &RoleSettings) -> RelayConfig {
    RelayConfig {
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
        callers: settings.callers,
        ready: settings.ready.unwrap_or(settings.callers),
        control_port: settings.internal_port,
        load_port: settings.internal_port + 1,
        seeds: settings.seeds.clone(),
        secret: settings.secret.clone(),
        key_lease: settings.bounds.key_lease,
        retry_ratio: settings.bounds.retry_ratio,
        retry_slack: settings.bounds.retry_slack,
        retry_window: settings.bounds.retry_window,
        hedge_share: settings.bounds.hedge_share,
        quotas: QuotaConfig {
            window: settings.bounds.quota_window,
            overage: settings.bounds.quota_overage,
            slack: settings.bounds.quota_slack,
        },
        stop_time: settings.bounds.stop_time,
        link_mbps: settings.link_mbps,
        resources: resources(settings),
        rollouts: settings.bounds.rollouts.map(|bounds| ExposureLimits {
            share: bounds.share,
            slack: bounds.slack,
            rollback: bounds.rollback,
        }),
    }
}

fn control_config(settings: &RoleSettings) -> HostConfig {
    HostConfig {
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
        api_address: settings.callers,
        peer_address: (settings.callers.ip(), settings.internal_port).into(),
        data_dir: settings.data.clone().unwrap_or_default(),
        seeds: settings.seeds.clone(),
        founding: settings.founding,
        losses: settings.losses,
        silence: settings.bounds.silence,
        secret: settings.secret.clone(),
        resources: resources(settings),
        takes_orders: settings.bounds.rollouts.is_some(),
    }
}

/// Returns the memory and the descriptors of the VM, or the defaults.
fn resources(settings: &RoleSettings) -> Resources {
    let defaults = Resources::default();
    Resources {
        memory: settings.memory.unwrap_or(defaults.memory),
        max_fds: settings.max_fds.unwrap_or(defaults.max_fds),
    }
}

/// Serves metrics. If the address cannot be bound, the VM runs without metrics, since serving
/// requests matters more.
async fn serve_metrics(address: std::net::SocketAddr, meters: Arc<Meters>) {
    match tokio::net::TcpListener::bind(address).await {
        Ok(listener) => {
            tokio::spawn(relay::serve_probes(listener, move |_| match meters.text() {
                Ok(text) => (StatusCode::OK, text),
                Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
            }));
        }
        Err(error) => spdlog::error!(
            "cannot listen for metrics calls; running without metrics",
            kv: { address = address.to_string(), error = error.to_string() }
        ),
    }
}

/// Handlers of the signals that a VM acts on. A field is `None` if its handler could not be
/// installed.
struct Signals {
    terminate: Option<Signal>,
    interrupt: Option<Signal>,
    hangup: Option<Signal>,
}

impl Signals {
    fn new() -> Self {
        Self {
            terminate: install_handler(SignalKind::terminate()),
            interrupt: install_handler(SignalKind::interrupt()),
            hangup: install_handler(SignalKind::hangup()),
        }
    }

    /// Waits for a signal that ends the VM.
    async fn stop(&mut self) {
        tokio::select! {
            () = signal_received(&mut self.terminate) => {}
            () = signal_received(&mut self.interrupt) => {}
        }
    }
}

/// Applies changes of the settings file, until SIGTERM or SIGINT.
async fn watch_settings(path: &Path, running: &Running, mut signals: Signals) {
    let mut current = std::fs::read_to_string(path).unwrap_or_default();
    loop {
        tokio::select! {
            () = signal_received(&mut signals.terminate) => return,
            () = signal_received(&mut signals.interrupt) => return,
            () = signal_received(&mut signals.hangup) => spdlog::info!("received SIGHUP; reading the settings again"),
            () = tokio::time::sleep(RELOAD_INTERVAL) => {}
        }
        match std::fs::read_to_string(path) {
            Ok(text) if text != current => {
                reload(&text, running);
                current = text;
            }
            Ok(_) => {}
            Err(error) => {
                spdlog::warn!("the settings file cannot be read", kv: { error = error.to_string() });
            }
        }
    }
}

fn reload(text: &str, running: &Running) {
    match settings::parse_file(text) {
        Ok(File::WithRole(settings)) => {
            let seeds: Vec<&str> = settings.seeds.iter().map(model::VmName::as_str).collect();
            spdlog::info!("settings changed", kv: { seeds = seeds.join(" ") });
            match running {
                Running::Entry(relay) => relay.add_seeds(settings.seeds),
                Running::Control(host) => host.set_seeds(settings.seeds),
            }
        }
        Ok(File::Standalone(_)) => {
            spdlog::error!("the changed settings name no role; keeping the previous settings");
        }
        Err(faults) => {
            let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
            spdlog::error!("the changed settings have faults; keeping the previous settings", kv: { faults = faults.join("; ") });
        }
    }
}

fn install_handler(kind: SignalKind) -> Option<Signal> {
    let handler = signal(kind);
    if let Err(error) = &handler {
        // Without a handler the signal ends the process, which is the system's default action.
        spdlog::error!("cannot install a signal handler", kv: { error = error.to_string() });
    }
    handler.ok()
}

async fn signal_received(signal: &mut Option<Signal>) {
    match signal {
        Some(signal) => {
            signal.recv().await;
        }
        None => std::future::pending().await,
    }
}

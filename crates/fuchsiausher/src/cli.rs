//! The command line: parsing, the commands, and their exit codes.
//!
//! `run`, `check` and `demo` work in this process; `rollout` calls control VMs, and the other commands call
//! the administration listener of an entry VM and print its answer.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use pico_args::Arguments;
use serde_json::{Value, json};
use settings::{File, Role};

use crate::{
    client::{AdminClient, AdminError},
    demo,
    node::Node,
    role,
    test_cluster::TestCluster,
};

mod args;
mod help;
mod rollouts;
mod show;

use args::{AdminOptions, usage_error};

/// The exit code of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The call was refused, the VM or the demo failed, or the demo found a broken promise.
    Refused = 1,
    /// The command line is invalid.
    Usage = 2,
    /// The VM cannot be reached, or its answer did not arrive whole.
    Unreachable = 3,
    /// The settings file or another input file cannot be read or has faults.
    Invalid = 4,
    /// A planned stop timed out before all requests were finished.
    Unfinished = 5,
}

/// Why a command failed: its exit code, and the message for standard error.
#[derive(Debug)]
pub(crate) struct Failure {
    pub(crate) exit: Exit,
    pub(crate) message: String,
}

impl Failure {
    pub(crate) fn new(exit: Exit, message: impl Into<String>) -> Self {
        Self { exit, message: message.into() }
    }
}

impl From<AdminError> for Failure {
    fn from(error: AdminError) -> Self {
        let exit = match &error {
            AdminError::Unreachable(_) => Exit::Unreachable,
            AdminError::Refused { .. } => Exit::Refused,
        };
        Self::new(exit, error.to_string())
    }
}

type CommandResult = Result<(), Failure>;

/// Runs the command that the process's arguments name, and returns its exit code.
#[must_use]
pub fn main() -> ExitCode {
    let mut args = Arguments::from_env();
    let result = run(&mut args);
    let exit = match result {
        Ok(()) => Exit::Done,
        Err(failure) => {
            eprintln!("{}", failure.message);
            failure.exit
        }
    };
    ExitCode::from(exit as u8)
}

fn run(args: &mut Arguments) -> CommandResult {
    let command = args.subcommand().map_err(|e| usage_error(&e.to_string()))?;
    let help = args.contains(["-h", "--help"]);
    let Some(command) = command else {
        if help {
            println!("{}", help::PROGRAM);
            return Ok(());
        }
        return Err(usage_error(help::PROGRAM));
    };
    if help {
        let text = help::command(&command).ok_or_else(|| usage_error(help::PROGRAM))?;
        println!("{text}");
        return Ok(());
    }
    match command.as_str() {
        "run" => run_vm(args),
        "check" => check(args),
        "demo" => run_demo(args),
        "catalogue" | "servers" | "placements" | "refusals" | "requests" | "status" | "voters" => {
            let options = AdminOptions::parse(args)?;
            block_on(run_admin_command(&command, args, options))
        }
        "rollout" => block_on_current_thread(rollouts::run(args)),
        other => Err(usage_error(&format!("unknown command {other:?}\n\n{}", help::PROGRAM))),
    }
}

fn block_on<T>(future: impl Future<Output = Result<T, Failure>>) -> Result<T, Failure> {
    let runtime = tokio::runtime::Runtime::new().map_err(|e| {
        Failure::new(Exit::Refused, format!("the runtime's threads cannot be started: {e}"))
    })?;
    runtime.block_on(future)
}

/// Runs a future on the current thread, without worker threads, since VMs with a role have less
/// than one processor.
fn block_on_current_thread<T>(
    future: impl Future<Output = Result<T, Failure>>,
) -> Result<T, Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Failure::new(Exit::Refused, format!("the runtime cannot be started: {e}")))?;
    runtime.block_on(future)
}

fn read_settings(args: &mut Arguments) -> Result<(PathBuf, File), Failure> {
    let path: PathBuf = args
        .free_from_str()
        .map_err(|_| usage_error("missing: the settings file, such as SETTINGS.toml"))?;
    args::finish(args)?;
    let text = std::fs::read_to_string(&path)
        .map_err(|e| Failure::new(Exit::Invalid, format!("{}: {e}", path.display())))?;
    let settings = settings::parse_file(&text).map_err(|faults| {
        let lines: Vec<String> =
            faults.iter().map(|f| format!("{}: {f}", path.display())).collect();
        Failure::new(Exit::Invalid, lines.join("\n"))
    })?;
    Ok((path, settings))
}

fn check(args: &mut Arguments) -> CommandResult {
    if args.contains("--example") {
        args::finish(args)?;
        print!("{}", settings::EXAMPLE);
        return Ok(());
    }
    let json = args.contains("--json");
    let (_, settings) = read_settings(args)?;
    let (role, vm, zone) = match settings {
        File::Standalone(settings) => ("entry", settings.vm, settings.zone),
        File::WithRole(settings) => {
            let role = if settings.role == Role::Entry { "entry" } else { "control" };
            (role, settings.vm, settings.zone)
        }
    };
    if json {
        println!("{}", json!({ "valid": true, "vm": vm, "zone": zone }));
    } else {
        println!("valid: {role} VM {vm} in {zone}");
    }
    Ok(())
}

fn run_vm(args: &mut Arguments) -> CommandResult {
    let failed =
        |e: error_stack::Report<crate::Error>| Failure::new(Exit::Refused, format!("{e:?}"));
    let unfinished = || Failure::new(Exit::Unfinished, "stopped before all requests were finished");
    let settings = match read_settings(args)? {
        (_, File::Standalone(settings)) => settings,
        (path, File::WithRole(settings)) => {
            let run = async { role::run(&path, *settings).await.map_err(failed) };
            return if block_on_current_thread(run)? { Ok(()) } else { Err(unfinished()) };
        }
    };
    block_on(async move {
        let node = Node::start(&settings).await.map_err(failed)?;
        stop_signal().await;
        spdlog::info!("stopping as planned");
        if node.stop().await {
            return Ok(());
        }
        Err(unfinished())
    })
}

async fn stop_signal() {
    use tokio::signal::unix::{SignalKind, signal};
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        // Without the handler the signal ends the process, which is the system's default action.
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}

fn run_demo(args: &mut Arguments) -> CommandResult {
    let stay = args.contains("--stay");
    let json = args.contains("--json");
    args::finish(args)?;
    spdlog::default_logger()
        .set_level_filter(spdlog::LevelFilter::MoreSevereEqual(spdlog::Level::Error));
    let failed =
        |e: error_stack::Report<crate::Error>| Failure::new(Exit::Refused, format!("{e:?}"));
    block_on(async move {
        let mut cluster = TestCluster::start(demo::config()).await.map_err(failed)?;
        if stay {
            println!("{}", show::example_calls(&cluster));
            stop_signal().await;
            cluster.stop().await;
            return Ok(());
        }
        let outcome = demo::run(&mut cluster).await.map_err(failed)?;
        let text = if json { outcome.json().to_string() } else { outcome.text() };
        println!("{text}");
        cluster.stop().await;
        if outcome.is_kept() {
            return Ok(());
        }
        Err(Failure::new(Exit::Refused, "a promise was broken"))
    })
}

async fn run_admin_command(
    command: &str,
    args: &mut Arguments,
    options: AdminOptions,
) -> CommandResult {
    let client = options.client()?;
    let answer = match command {
        "catalogue" => catalogue(args, &client).await?,
        "servers" => servers(args, &client).await?,
        "placements" => placements(args, &client).await?,
        "refusals" => refusals(args, &client).await?,
        "requests" => requests(args, &client).await?,
        "voters" => voters(args, &client).await?,
        _ => {
            args::finish(args)?;
            client.get("/status").await?
        }
    };
    println!("{}", if options.json { answer.to_string() } else { show::text(command, &answer) });
    Ok(())
}

async fn catalogue(args: &mut Arguments, client: &AdminClient) -> Result<Value, Failure> {
    match args::free_argument(args, "get, put or history")?.as_str() {
        "get" => {
            args::finish(args)?;
            Ok(client.get("/catalogue").await?)
        }
        "history" => {
            args::finish(args)?;
            Ok(client.get("/catalogue/history").await?)
        }
        "put" => {
            let edit = args::edit(args)?;
            Ok(client.post("/catalogue/edits", &edit).await?)
        }
        other => Err(usage_error(&format!("catalogue {other:?}: use get, put or history"))),
    }
}

async fn servers(args: &mut Arguments, client: &AdminClient) -> Result<Value, Failure> {
    let subcommand = args::free_argument(args, "list, leave, maintain or return")?;
    let duty = match subcommand.as_str() {
        "list" => {
            args::finish(args)?;
            let status = client.get("/status").await?;
            return Ok(json!({ "servers": status["servers"] }));
        }
        "leave" => "leaving",
        "maintain" => "maintenance",
        "return" => "serving",
        other => {
            return Err(usage_error(&format!(
                "servers {other:?}: use list, leave, maintain or return"
            )));
        }
    };
    let force = args.contains("--force");
    let server = args::free_argument(args, "the backend server's id")?;
    args::finish(args)?;
    let body = json!({ "duty": duty, "force": force });
    Ok(client.post(&format!("/servers/{server}/duty"), &body).await?)
}

async fn placements(args: &mut Arguments, client: &AdminClient) -> Result<Value, Failure> {
    let subcommand = args::free_argument(args, "list, set or forget")?;
    if subcommand == "list" {
        args::finish(args)?;
        return Ok(client.get("/placements").await?);
    }
    let base: u64 = args.value_from_str("--base").map_err(|e| usage_error(&e.to_string()))?;
    let placement = match subcommand.as_str() {
        "set" => args::placement(args)?,
        "forget" => Value::Null,
        other => {
            return Err(usage_error(&format!("placements {other:?}: use list, set or forget")));
        }
    };
    let server = args::free_argument(args, "the backend server's id")?;
    args::finish(args)?;
    let body = json!({ "base": base, "placement": placement });
    Ok(client.post(&format!("/placements/{server}"), &body).await?)
}

async fn refusals(args: &mut Arguments, client: &AdminClient) -> Result<Value, Failure> {
    let account: Option<String> =
        args.opt_value_from_str("--account").map_err(|e| usage_error(&e.to_string()))?;
    let since = args::since(args)?;
    args::finish(args)?;
    let account = account.map_or(String::new(), |a| format!("&account={a}"));
    Ok(client.get(&format!("/refusals?since={since}{account}")).await?)
}

async fn requests(args: &mut Arguments, client: &AdminClient) -> Result<Value, Failure> {
    let subcommand = args::free_argument(args, "show")?;
    if subcommand != "show" {
        return Err(usage_error(&format!("requests {subcommand:?}: use show")));
    }
    let id = args::free_argument(args, "the request's id")?;
    args::finish(args)?;
    Ok(client.get(&format!("/requests/{id}")).await?)
}

async fn voters(args: &mut Arguments, client: &AdminClient) -> Result<Value, Failure> {
    match args::free_argument(args, "list or replace")?.as_str() {
        "list" => {
            args::finish(args)?;
            let status = client.get("/status").await?;
            Ok(json!({ "voters": status["voters"], "leader": status["leader"] }))
        }
        "replace" => {
            let value = |args: &mut Arguments, key| {
                let value: Result<Option<String>, _> = args.opt_value_from_str(key);
                value.map_err(|e| usage_error(&e.to_string()))
            };
            let old = value(args, "--old")?;
            let new = value(args, "--new")?;
            args::finish(args)?;
            Ok(client.post("/voters/replace", &json!({ "old": old, "new": new })).await?)
        }
        other => Err(usage_error(&format!("voters {other:?}: use list or replace"))),
    }
}

/// Address of the administration listener that is called without `--vm`.
pub(crate) const DEFAULT_ADMIN_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 8081);
/// Longest span of `--since`. A longer one is cut to this.
pub(crate) const MAX_SINCE: Duration = Duration::from_hours(24 * 365);

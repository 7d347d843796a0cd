//! The command line.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use pico_args::Arguments;
use serde_json::{Value, json};
use settings::{File, Role};

use crate::{
    client::{AdminClient, AdminError},
    demo, fleet,
    node::Node,
    test_cluster::TestCluster,
};

mod args;
mod help;
mod show;

use args::{Globals, usage};

/// How a command ended, as its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// As asked.
    Done = 0,
    /// Refused, or a promise was broken.
    Refused = 1,
    /// The command line cannot be understood.
    Usage = 2,
    /// The entry VM cannot be reached.
    Unreachable = 3,
    /// Settings or another input file have faults.
    Invalid = 4,
    /// A planned stop ended before all requests were finished.
    Unfinished = 5,
}

/// A command that failed, with what to print.
#[derive(Debug)]
pub(crate) struct Failure {
    pub(crate) exit: Exit,
    pub(crate) why: String,
}

impl Failure {
    pub(crate) fn new(exit: Exit, why: impl Into<String>) -> Self {
        Self { exit, why: why.into() }
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

type Done = Result<(), Failure>;

/// Runs the command that the process was started with.
#[must_use]
pub fn main() -> ExitCode {
    let mut args = Arguments::from_env();
    let result = run(&mut args);
    let exit = match result {
        Ok(()) => Exit::Done,
        Err(failure) => {
            eprintln!("{}", failure.why);
            failure.exit
        }
    };
    ExitCode::from(exit as u8)
}

fn run(args: &mut Arguments) -> Done {
    let command = args.subcommand().map_err(|e| usage(&e.to_string()))?;
    let help = args.contains(["-h", "--help"]);
    let Some(command) = command else {
        if help {
            println!("{}", help::TOP);
            return Ok(());
        }
        return Err(usage(help::TOP));
    };
    if help {
        let text = help::of(&command).ok_or_else(|| usage(help::TOP))?;
        println!("{text}");
        return Ok(());
    }
    match command.as_str() {
        "run" => run_node(args),
        "check" => check(args),
        "demo" => run_demo(args),
        "catalogue" | "servers" | "placements" | "refusals" | "requests" | "status" | "voters" => {
            let globals = Globals::take(args)?;
            block_on(administer(&command, args, globals))
        }
        other => Err(usage(&format!("unknown command {other:?}\n\n{}", help::TOP))),
    }
}

fn block_on<T>(work: impl Future<Output = Result<T, Failure>>) -> Result<T, Failure> {
    let runtime = tokio::runtime::Runtime::new()
        .map_err(|e| Failure::new(Exit::Refused, format!("threads cannot be started: {e}")))?;
    runtime.block_on(work)
}

/// Runs on this thread alone: VMs with a role have a part of one processor.
fn block_on_one<T>(work: impl Future<Output = Result<T, Failure>>) -> Result<T, Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Failure::new(Exit::Refused, format!("the runtime cannot be started: {e}")))?;
    runtime.block_on(work)
}

fn read_settings(args: &mut Arguments) -> Result<(PathBuf, File), Failure> {
    let path: PathBuf =
        args.free_from_str().map_err(|_| usage("name the settings file, as in SETTINGS.toml"))?;
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

fn check(args: &mut Arguments) -> Done {
    if args.contains("--example") {
        args::finish(args)?;
        print!("{}", settings::EXAMPLE);
        return Ok(());
    }
    let json = args.contains("--json");
    let (_, settings) = read_settings(args)?;
    let (role, vm, zone) = match settings {
        File::Standalone(settings) => ("entry", settings.vm, settings.zone),
        File::WithRole(fleet) => {
            let role = if fleet.role == Role::Entry { "entry" } else { "control" };
            (role, fleet.vm, fleet.zone)
        }
    };
    if json {
        println!("{}", json!({ "valid": true, "vm": vm, "zone": zone }));
    } else {
        println!("valid: {role} VM {vm} in {zone}");
    }
    Ok(())
}

fn run_node(args: &mut Arguments) -> Done {
    let failed =
        |e: error_stack::Report<crate::Error>| Failure::new(Exit::Refused, format!("{e:?}"));
    let unfinished = || Failure::new(Exit::Unfinished, "stopped before all requests were finished");
    let settings = match read_settings(args)? {
        (_, File::Standalone(settings)) => settings,
        (path, File::WithRole(fleet)) => {
            let run = async { fleet::run(&path, *fleet).await.map_err(failed) };
            return if block_on_one(run)? { Ok(()) } else { Err(unfinished()) };
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
        // Without the handler the signal ends the process, which is the system's default.
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}

fn run_demo(args: &mut Arguments) -> Done {
    let stay = args.contains("--stay");
    let json = args.contains("--json");
    args::finish(args)?;
    spdlog::default_logger()
        .set_level_filter(spdlog::LevelFilter::MoreSevereEqual(spdlog::Level::Error));
    let failed =
        |e: error_stack::Report<crate::Error>| Failure::new(Exit::Refused, format!("{e:?}"));
    block_on(async move {
        let mut bed = TestCluster::start(demo::config()).await.map_err(failed)?;
        if stay {
            println!("{}", show::calls_to_try(&bed));
            stop_signal().await;
            bed.stop().await;
            return Ok(());
        }
        let outcome = demo::run(&mut bed).await.map_err(failed)?;
        let text = if json { outcome.json().to_string() } else { outcome.text() };
        println!("{text}");
        bed.stop().await;
        if outcome.is_kept() {
            return Ok(());
        }
        Err(Failure::new(Exit::Refused, "a promise was broken"))
    })
}

async fn administer(command: &str, args: &mut Arguments, globals: Globals) -> Done {
    let client = globals.client()?;
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
    println!("{}", if globals.json { answer.to_string() } else { show::text(command, &answer) });
    Ok(())
}

async fn catalogue(args: &mut Arguments, client: &AdminClient) -> Result<Value, Failure> {
    match args::word(args, "get, put or history")?.as_str() {
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
        other => Err(usage(&format!("catalogue {other:?}: use get, put or history"))),
    }
}

async fn servers(args: &mut Arguments, client: &AdminClient) -> Result<Value, Failure> {
    let word = args::word(args, "list, leave, maintain or return")?;
    let duty = match word.as_str() {
        "list" => {
            args::finish(args)?;
            let status = client.get("/status").await?;
            return Ok(json!({ "servers": status["servers"] }));
        }
        "leave" => "leaving",
        "maintain" => "maintenance",
        "return" => "serving",
        other => {
            return Err(usage(&format!("servers {other:?}: use list, leave, maintain or return")));
        }
    };
    let force = args.contains("--force");
    let server = args::word(args, "the backend server's id")?;
    args::finish(args)?;
    let body = json!({ "duty": duty, "force": force });
    Ok(client.post(&format!("/servers/{server}/duty"), &body).await?)
}

async fn placements(args: &mut Arguments, client: &AdminClient) -> Result<Value, Failure> {
    let word = args::word(args, "list, set or forget")?;
    if word == "list" {
        args::finish(args)?;
        return Ok(client.get("/placements").await?);
    }
    let base: u64 = args.value_from_str("--base").map_err(|e| usage(&e.to_string()))?;
    let placement = match word.as_str() {
        "set" => args::placement(args)?,
        "forget" => Value::Null,
        other => return Err(usage(&format!("placements {other:?}: use list, set or forget"))),
    };
    let server = args::word(args, "the backend server's id")?;
    args::finish(args)?;
    let body = json!({ "base": base, "placement": placement });
    Ok(client.post(&format!("/placements/{server}"), &body).await?)
}

async fn refusals(args: &mut Arguments, client: &AdminClient) -> Result<Value, Failure> {
    let account: Option<String> =
        args.opt_value_from_str("--account").map_err(|e| usage(&e.to_string()))?;
    let since = args::since(args)?;
    args::finish(args)?;
    let account = account.map_or(String::new(), |a| format!("&account={a}"));
    Ok(client.get(&format!("/refusals?since={since}{account}")).await?)
}

async fn requests(args: &mut Arguments, client: &AdminClient) -> Result<Value, Failure> {
    let word = args::word(args, "show")?;
    if word != "show" {
        return Err(usage(&format!("requests {word:?}: use show")));
    }
    let id = args::word(args, "the request's id")?;
    args::finish(args)?;
    Ok(client.get(&format!("/requests/{id}")).await?)
}

async fn voters(args: &mut Arguments, client: &AdminClient) -> Result<Value, Failure> {
    match args::word(args, "list or replace")?.as_str() {
        "list" => {
            args::finish(args)?;
            let status = client.get("/status").await?;
            Ok(json!({ "voters": status["voters"], "leader": status["leader"] }))
        }
        "replace" => {
            let value = |args: &mut Arguments, key| {
                let value: Result<Option<String>, _> = args.opt_value_from_str(key);
                value.map_err(|e| usage(&e.to_string()))
            };
            let old = value(args, "--old")?;
            let new = value(args, "--new")?;
            args::finish(args)?;
            Ok(client.post("/voters/replace", &json!({ "old": old, "new": new })).await?)
        }
        other => Err(usage(&format!("voters {other:?}: use list or replace"))),
    }
}

/// Address of the administration listener when none is named.
pub(crate) const DEFAULT_ADMIN: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 8081);
/// Longest span accepted by `--since`.
pub(crate) const MAX_SINCE: Duration = Duration::from_hours(24 * 365);

//! Help texts of the program and its commands.

/// Help text of the program.
pub(crate) const PROGRAM: &str = "\
fuchsiausher: a request scheduler between callers and backend servers

USAGE: fuchsiausher COMMAND [OPTIONS]

  run SETTINGS.toml      run this entry VM
  check SETTINGS.toml    check settings (--example prints a file to start from)
  demo                   four entry VMs and stand-in backend servers on loopback
  catalogue get|put|history
  servers list|leave|maintain|return
  placements list|set|forget
  refusals               records of refusals
  requests show ID       where a request is, or how it ended
  rollout start|status|history   moves a service to another version
  voters list|replace    voters of the replicated log
  status                 state of an entry VM

COMMAND --help tells more. Exit codes: 0 done, 1 refused or a promise was broken,
2 command line, 3 entry VM not reached, 4 faults in a file, 5 stop not finished in time.";

/// Part of the help text of every administrative command.
const ADMIN_OPTIONS: &str = "
OPTIONS of all administrative commands:
  --vm ADDRESS         administration listener (127.0.0.1:8081)
  --secret-file FILE   operators' secret; or FUCHSIAUSHER_ADMIN_SECRET
  --json               print JSON";

/// Returns the help text of a command, or `None` if it has none.
pub(crate) fn command(name: &str) -> Option<String> {
    let text = match name {
        "run" => {
            "\
fuchsiausher run SETTINGS.toml

Runs this entry VM until SIGTERM or SIGINT, then stops as planned: it hands over its
roles and finishes what is in flight."
        }
        "check" => {
            "\
fuchsiausher check SETTINGS.toml [--json]
fuchsiausher check --example

Reports every fault of a settings file with its key and line."
        }
        "demo" => {
            "\
fuchsiausher demo [--json]
fuchsiausher demo --stay

Runs four entry VMs in three availability zones with stand-in backend servers, a burst
past capacity, a server that leaves and an entry VM that stops; prints goodput by tier
and refusals, and checks the promises. --stay keeps it up and prints calls to try."
        }
        "catalogue" => {
            "\
fuchsiausher catalogue get
fuchsiausher catalogue history
fuchsiausher catalogue put FILE.toml --id ID --base REVISION

FILE.toml has [[put]] entries (account, tier, services, rate, concurrent, tokens,
credential) and a list remove. Sending the same id again returns the first outcome."
        }
        "servers" => {
            "\
fuchsiausher servers list
fuchsiausher servers leave|maintain|return ID [--force]

Accepted once every entry VM that may grant the server holds it; refused while one of
them cannot be told, unless forced."
        }
        "refusals" => {
            "\
fuchsiausher refusals [--account A] [--since T]

T: seconds since 1970, or a span before now such as 30s, 15m, 6h, 2d."
        }
        "requests" => "fuchsiausher requests show ID",
        "voters" => {
            "\
fuchsiausher voters list
fuchsiausher voters replace [--old VM] [--new VM]

Replaces a lost copy of the replicated log. Refused when it would risk the quorum."
        }
        "rollout" => {
            "\
fuchsiausher rollout start SERVICE VERSION --duration SECONDS [--watch]
fuchsiausher rollout status SERVICE [--watch]
fuchsiausher rollout history SERVICE

Moves a service to servers of another version, or back if their answers are bad.
--watch waits for the end; the exit code is 1 if the order was rolled back.

OPTIONS:
  --control ADDRESS    a control VM, may be given several times (127.0.0.1:8229)
  --json               print JSON"
        }
        "status" => "fuchsiausher status",
        _ => return None,
    };
    let administrative = !matches!(name, "run" | "check" | "demo" | "rollout");
    Some(if administrative { format!("{text}\n{ADMIN_OPTIONS}") } else { text.to_owned() })
}

//! Parsing of arguments that several commands share, and of longer argument lists.

use std::{
    net::SocketAddr,
    path::PathBuf,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use pico_args::Arguments;
use serde_json::{Value, json};

use super::{DEFAULT_ADMIN_ADDRESS, Exit, Failure, MAX_SINCE};
use crate::client::AdminClient;

/// Environment variable with the operators' secret, read when `--secret-file` is not given.
const SECRET_VARIABLE: &str = "FUCHSIAUSHER_ADMIN_SECRET";

/// Returns the failure for an invalid command line.
pub(crate) fn usage_error(message: &str) -> Failure {
    Failure::new(Exit::Usage, message)
}

/// Options that all administrative commands accept.
#[derive(Debug)]
pub(crate) struct AdminOptions {
    address: SocketAddr,
    secret: Option<String>,
    pub(crate) json: bool,
}

impl AdminOptions {
    pub(crate) fn parse(args: &mut Arguments) -> Result<Self, Failure> {
        let address = args.opt_value_from_str("--vm").map_err(|e| usage_error(&e.to_string()))?;
        let file: Option<PathBuf> =
            args.opt_value_from_str("--secret-file").map_err(|e| usage_error(&e.to_string()))?;
        let secret = match file {
            Some(path) => Some(
                std::fs::read_to_string(&path)
                    .map_err(|e| Failure::new(Exit::Invalid, format!("{}: {e}", path.display())))?
                    .trim()
                    .to_owned(),
            ),
            None => std::env::var(SECRET_VARIABLE).ok(),
        };
        let json = args.contains("--json");
        Ok(Self { address: address.unwrap_or(DEFAULT_ADMIN_ADDRESS), secret, json })
    }

    pub(crate) fn client(&self) -> Result<AdminClient, Failure> {
        let secret = self.secret.clone().ok_or_else(|| {
            usage_error(&format!(
                "missing: the operators' secret; use --secret-file or {SECRET_VARIABLE}"
            ))
        })?;
        Ok(AdminClient::new(self.address, secret))
    }
}

/// Returns the next argument that is not an option. `what` describes it in the error message.
pub(crate) fn free_argument(args: &mut Arguments, what: &str) -> Result<String, Failure> {
    args.free_from_str().map_err(|_| usage_error(&format!("missing: {what}")))
}

/// Returns an error if arguments are left that no option or command used.
pub(crate) fn finish(args: &mut Arguments) -> Result<(), Failure> {
    let rest = std::mem::replace(args, Arguments::from_vec(Vec::new())).finish();
    if rest.is_empty() {
        return Ok(());
    }
    let rest: Vec<_> = rest.iter().map(|a| a.to_string_lossy().into_owned()).collect();
    Err(usage_error(&format!("unexpected arguments: {}", rest.join(" "))))
}

/// Reads a catalogue edit from `--id`, `--base` and a TOML file with `[[put]]` entries and a
/// `remove` list.
pub(crate) fn edit(args: &mut Arguments) -> Result<Value, Failure> {
    let id: String = args.value_from_str("--id").map_err(|e| usage_error(&e.to_string()))?;
    let base: u64 = args.value_from_str("--base").map_err(|e| usage_error(&e.to_string()))?;
    let path: PathBuf =
        args.free_from_str().map_err(|_| usage_error("missing: the edit's TOML file"))?;
    finish(args)?;
    let invalid = |why: String| Failure::new(Exit::Invalid, format!("{}: {why}", path.display()));
    let text = std::fs::read_to_string(&path).map_err(|e| invalid(e.to_string()))?;
    let value: toml::Table = toml::from_str(&text).map_err(|e| invalid(e.to_string()))?;
    if let Some(key) = value.keys().find(|k| !["put", "remove"].contains(&k.as_str())) {
        return Err(invalid(format!("unknown key {key}; use [[put]] and remove")));
    }
    let mut edit = serde_json::to_value(&value).map_err(|e| invalid(e.to_string()))?;
    edit["id"] = json!(id);
    edit["base"] = json!(base);
    Ok(edit)
}

/// Parses `--since`: seconds since the Unix epoch, or a span before now such as `15m`. Returns
/// microseconds since the Unix epoch, or 0 without the option.
pub(crate) fn since(args: &mut Arguments) -> Result<u64, Failure> {
    let text: Option<String> =
        args.opt_value_from_str("--since").map_err(|e| usage_error(&e.to_string()))?;
    let Some(text) = text else {
        return Ok(0);
    };
    let invalid =
        || usage_error(&format!("--since {text:?}: use seconds since 1970, or 30s, 15m, 6h, 2d"));
    let unit = match text.chars().last() {
        Some('s') => 1,
        Some('m') => 60,
        Some('h') => 3_600,
        Some('d') => 86_400,
        _ => {
            let seconds: u64 = text.parse().map_err(|_| invalid())?;
            return Ok(seconds.saturating_mul(1_000_000));
        }
    };
    let count: u64 = text[..text.len() - 1].parse().map_err(|_| invalid())?;
    let span = Duration::from_secs(count.saturating_mul(unit)).min(MAX_SINCE);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Ok(u64::try_from(now.saturating_sub(span).as_micros()).unwrap_or(0))
}

/// Reads a placement from `--model`, `--version`, `--role` and `--adapter`.
pub(crate) fn placement(args: &mut Arguments) -> Result<Value, Failure> {
    let value = |args: &mut Arguments, key| {
        let value: Result<String, _> = args.value_from_str(key);
        value.map_err(|e| usage_error(&e.to_string()))
    };
    let model = value(args, "--model")?;
    let version = value(args, "--version")?;
    let role = value(args, "--role")?;
    let adapter: Option<String> =
        args.opt_value_from_str("--adapter").map_err(|e| usage_error(&e.to_string()))?;
    Ok(json!({ "model": model, "adapter": adapter, "version": version, "role": role }))
}

//! The settings of one process, read from a TOML file and validated.
//!
//! A file either describes a standalone VM, which does everything itself, or a VM with a role in a
//! deployment of entry VMs and control VMs. Validation reports all faults of a file at once, each
//! with its key and its line.
//!
//! # Examples
//!
//! ```
//! let text = r#"
//! vm = "vm-1"
//! zone = "zone-a"
//! callers = "127.0.0.1:8080"
//! admin = "127.0.0.1:8081"
//! peers_listen = "127.0.0.1:8082"
//! founders = ["vm-1"]
//! [secrets]
//! cluster = "a key that is long enough"
//! admin = "admin-secret"
//! announce = "announce-secret"
//! "#;
//! let settings = settings::parse(text).unwrap();
//! assert_eq!(settings.vm.as_str(), "vm-1");
//!
//! let faults = settings::parse("vm = \"\"\nport = 1\n").unwrap_err();
//! assert!(faults.iter().any(|f| f.key == "port" && f.line == Some(2)));
//! assert!(faults.iter().any(|f| f.key == "zone"));
//! ```

mod check;
mod keys;
mod role;

pub use crate::{
    check::{Fault, Peer, Secrets, Settings, Timeouts, parse},
    keys::EXAMPLE,
    role::{Bounds, File, Role, RoleSettings, RolloutBounds, parse_file},
};

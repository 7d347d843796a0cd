//! The keys of a standalone VM's settings file, and an example file with all of them.

/// A valid settings file of a standalone VM that contains every key, as a template for operators.
pub const EXAMPLE: &str = r#"# Name of this entry VM and of its availability zone.
vm = "vm-1"
zone = "zone-a"

# Where callers, operators with backend servers, and other entry VMs connect.
callers = "127.0.0.1:8080"
admin = "127.0.0.1:8081"
peers_listen = "127.0.0.1:8082"

# Data folder, on VMs with a disk.
data = "/var/lib/fuchsiausher"

# Entry VMs that found the replicated log: an odd number with disks, one in each zone,
# the same list on every VM.
founders = ["vm-1", "vm-2", "vm-3"]

# Longest request body in bytes.
max_body = 1048576

# The other entry VMs, by the address of their peers_listen.
[[peers]]
vm = "vm-2"
zone = "zone-b"
address = "127.0.0.2:8082"

[[peers]]
vm = "vm-3"
zone = "zone-c"
address = "127.0.0.3:8082"

# Longest waits, in milliseconds.
[waits]
header_ms = 10000
connect_ms = 500
head_ms = 60000
idle_ms = 30000
deadline_ms = 30000
stop_ms = 120000

# Shared secrets: between entry VMs (16 bytes or more), of operators, of backend servers.
[secrets]
cluster = "change this to a random key"
admin = "change this too"
announce = "and this"
"#;

/// Keys at the top level of the file.
pub(crate) const TOP_KEYS: &[&str] = &[
    "vm",
    "zone",
    "callers",
    "admin",
    "peers_listen",
    "data",
    "founders",
    "max_body",
    "peers",
    "waits",
    "secrets",
];
/// Keys of each `[[peers]]` table.
pub(crate) const PEER_KEYS: &[&str] = &["vm", "zone", "address"];
/// Keys of the `[waits]` table.
pub(crate) const TIMEOUT_KEYS: &[&str] =
    &["header_ms", "connect_ms", "head_ms", "idle_ms", "deadline_ms", "stop_ms"];
/// Keys of the `[secrets]` table.
pub(crate) const SECRET_KEYS: &[&str] = &["cluster", "admin", "announce"];

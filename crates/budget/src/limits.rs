//! The limits that follow from the memory and the descriptors of a VM.

use crate::pool::PoolLimits;

const MB: usize = 1 << 20;
/// Memory of a VM whose settings do not say, in bytes. What follows from it are the limits that
/// applied before the setting existed.
const DEFAULT_MEMORY: usize = 1_024 * MB;
/// Descriptors of a VM whose settings do not say.
const DEFAULT_FDS: usize = 65_536;
/// Descriptors for everything but callers and servers: listeners, other VMs, files.
const RESERVED_FDS: usize = 64;
/// Share of the memory for request bodies: a quarter. An entry VM of 160 MB holds ten bodies of
/// 4 MB, beside a quarter for connections, an eighth for responses, and the 25 MB that the process
/// uses without load.
const BODY_SHARE: usize = 4;
/// Share of the memory for the read buffers of connections.
const CONNECTION_SHARE: usize = 4;
/// Share of the memory for responses that are buffered before they are forwarded.
const RESPONSE_SHARE: usize = 8;
/// Share of the memory for one body of an operator's call, which is decoded and copied into the log.
const CALL_SHARE: usize = 16;
/// Maximum size of a body of an operator's call, in bytes, enough for a plan of many thousand routes.
const MAX_CALL: usize = 64 * MB;
/// Maximum number of bytes of all buffered responses.
const MAX_RESPONSES: usize = 64 * MB;
/// Bytes of a connection's read buffer, unless the plan allows longer heads. It holds a head of
/// 16 KiB, which plans allow by default, and what a client sends right after it.
const READ_BUFFER: usize = 32 << 10;
/// Largest and smallest size of a body that counts as small, in bytes.
const SMALL_BODY: (usize, usize) = (8 << 10, 64 << 10);

/// The memory and the descriptors that the settings give a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resources {
    /// Memory in bytes.
    pub memory: usize,
    /// Number of descriptors that the process may have open.
    pub max_fds: usize,
}

impl Default for Resources {
    fn default() -> Self {
        Self { memory: DEFAULT_MEMORY, max_fds: DEFAULT_FDS }
    }
}

/// The limits of one VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The bytes of request bodies.
    pub bodies: PoolLimits,
    /// Bytes of buffered responses.
    pub responses: usize,
    /// Maximum size of a body of an operator's call, in bytes.
    pub call: usize,
    /// Bytes of all read buffers.
    buffers: usize,
    /// Number of connections for which there are descriptors.
    connections: usize,
}

impl Resources {
    /// Returns the limits of a VM that opens `per_connection` descriptors for each connection that
    /// it accepts, and that holds `copies` of each body, which count too.
    ///
    /// # Examples
    ///
    /// ```
    /// use budget::Resources;
    ///
    /// let vm = Resources { memory: 160 << 20, max_fds: 4_100 };
    /// let limits = vm.limits(3, 1);
    /// assert_eq!(limits.bodies.total, 40 << 20);
    /// assert_eq!(limits.connections(16 << 10), (1_280, 32 << 10));
    /// ```
    #[must_use]
    pub fn limits(self, per_connection: usize, copies: usize) -> Limits {
        let total = self.memory / BODY_SHARE / copies.max(1);
        let (least, most) = SMALL_BODY;
        let bodies = PoolLimits {
            total,
            reserve: total / 8,
            address: total / 8 * 6,
            single: total / 2 * 3,
            small: (self.memory / 4_096).clamp(least, most),
        };
        Limits {
            bodies,
            responses: (self.memory / RESPONSE_SHARE).min(MAX_RESPONSES),
            call: (self.memory / CALL_SHARE).min(MAX_CALL),
            buffers: self.memory / CONNECTION_SHARE,
            connections: self.max_fds.saturating_sub(RESERVED_FDS) / per_connection.max(1),
        }
    }
}

impl Limits {
    /// Returns the number of connections, at least one, and the size of their read buffers in bytes,
    /// if heads of `head` bytes are allowed.
    #[must_use]
    pub fn connections(&self, head: usize) -> (usize, usize) {
        let buffer = READ_BUFFER.max(head.saturating_add(READ_BUFFER / 2));
        ((self.buffers / buffer).min(self.connections).max(1), buffer)
    }
}

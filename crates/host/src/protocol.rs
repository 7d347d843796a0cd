//! The protocol of control VMs with each other and with entry VMs, and the addresses it uses.

use std::net::{IpAddr, SocketAddr};

use error_stack::{Report, ResultExt};
use keeper::{Message, Sync, Synced};
use model::VmName;
use peer::{PeerAddress, Protocol};

use crate::error::{Error, ErrorKind};

/// The protocol of control VMs.
///
/// Control VMs exchange [`Message`]s with each other, and answer the [`Sync`] of entry VMs that
/// poll for changes with a [`Synced`].
#[derive(Clone, Copy, Debug)]
pub struct ControlProtocol;

impl Protocol for ControlProtocol {
    type Message = Message;
    type Question = Sync;
    type Reply = Synced;
}

/// Returns the address on which a VM accepts calls of other VMs.
///
/// VMs are named by their IP addresses, and all control VMs use the same port for these calls.
///
/// # Errors
///
/// If the name is not an IP address.
///
/// # Examples
///
/// ```
/// let address = host::peer_address(&"10.0.0.7".try_into()?, 7600).unwrap();
/// assert_eq!(address.address, "10.0.0.7:7600".parse().unwrap());
/// # Ok::<(), model::Error>(())
/// ```
pub fn peer_address(vm: &VmName, port: u16) -> Result<PeerAddress, Report<Error>> {
    let failed = || Error::from(ErrorKind::VmAddress(vm.to_string()));
    let ip: IpAddr = vm.as_str().parse().change_context_lazy(failed)?;
    Ok(PeerAddress { vm: vm.clone(), address: SocketAddr::new(ip, port) })
}

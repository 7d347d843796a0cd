//! What control VMs speak with each other and with entry VMs.

use std::net::{IpAddr, SocketAddr};

use error_stack::{Report, ResultExt};
use keeper::{Message, Sync, Synced};
use model::VmName;
use peer::{PeerAddress, Protocol};

use crate::error::{Error, ErrorKind};

/// The protocol of control VMs.
#[derive(Clone, Copy, Debug)]
pub struct ControlProtocol;

impl Protocol for ControlProtocol {
    type Message = Message;
    type Question = Sync;
    type Reply = Synced;
}

/// Where a VM listens for other VMs: VMs are named by their IP address, and use one port for this.
///
/// # Errors
///
/// If the name is no IP address.
///
/// # Examples
///
/// ```
/// let address = host::peer_address(&"10.0.0.7".try_into()?, 7600).unwrap();
/// assert_eq!(address.address, "10.0.0.7:7600".parse().unwrap());
/// # Ok::<(), model::Error>(())
/// ```
pub fn peer_address(vm: &VmName, port: u16) -> Result<PeerAddress, Report<Error>> {
    let failed = || Error::from(ErrorKind::Address(vm.to_string()));
    let ip: IpAddr = vm.as_str().parse().change_context_lazy(failed)?;
    Ok(PeerAddress { vm: vm.clone(), address: SocketAddr::new(ip, port) })
}

//! Configuration and stored state with which a machine starts.

use broker::Policy;
use model::{VmName, ZoneName};
use raft::{Member, StoredState};

/// Configuration of another entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSetup {
    /// Name of the other VM.
    pub vm: VmName,
    /// Availability zone of the other VM.
    pub zone: ZoneName,
}

/// Configuration with which a [`Machine`](crate::Machine) starts.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Name of this VM.
    pub vm: VmName,
    /// Availability zone of this VM.
    pub zone: ZoneName,
    /// The other VMs of the cluster; empty if this VM runs alone.
    pub peers: Vec<PeerSetup>,
    /// VMs that found the replicated log, in the same order on every VM. The first one founds it.
    pub founders: Vec<VmName>,
    /// Start of this process in microseconds since the Unix epoch.
    pub incarnation: u64,
    /// Identity of this VM's copy of the log.
    pub member: Member,
    /// The replicated log as found on disk; `None` if the disk holds no log yet.
    pub stored: Option<StoredState>,
    /// Seed for random choices, such as election timeouts.
    pub seed: u64,
    /// Routing policy of the brokers that this VM hosts.
    pub policy: Policy,
}

impl Setup {
    /// Returns the setup of a VM without peers and with an empty disk.
    #[must_use]
    pub fn single(vm: VmName, zone: ZoneName) -> Self {
        Self {
            founders: vec![vm.clone()],
            member: Member { vm: vm.clone(), disk: 1 },
            vm,
            zone,
            peers: Vec::new(),
            incarnation: 1,
            stored: None,
            seed: 1,
            policy: Policy::default(),
        }
    }
}

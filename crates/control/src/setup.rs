//! What a machine is told when it starts.

use broker::Policy;
use model::{VmName, ZoneName};
use raft::{Member, StoredState};

/// One other VM of the system.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSetup {
    /// Its name.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// What a machine is told when it starts.
#[derive(Clone, Debug)]
pub struct Setup {
    /// This VM's name.
    pub vm: VmName,
    /// This VM's availability zone.
    pub zone: ZoneName,
    /// The other VMs.
    pub peers: Vec<PeerSetup>,
    /// VMs that found the replicated log, in the same order on every VM.
    pub founders: Vec<VmName>,
    /// Start of this process, in microseconds since the Unix epoch.
    pub incarnation: u64,
    /// Identity of this VM's copy of the log.
    pub member: Member,
    /// What the disk holds of the replicated log.
    pub stored: Option<StoredState>,
    /// Seed for random choices.
    pub seed: u64,
    /// Policy of the brokers that this VM hosts.
    pub policy: Policy,
}

impl Setup {
    /// A VM without peers and with an empty disk.
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

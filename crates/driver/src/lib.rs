//! Runs a VM's control state on a thread of its own.
//!
//! The control thread owns the [`control::Machine`], feeds it inputs and ticks, and carries out its
//! outputs. Traffic threads communicate with it through a [`Handle`], and read what every request
//! needs from an immutable snapshot. A second thread writes the replicated log, so that a slow disk
//! delays only what depends on the write.

mod disk;
mod handle;
mod thread;

pub use crate::{
    disk::{Disk, LogWrite, NoDisk, spawn_critical, spawn_disk_writer},
    handle::{Event, Handle, Submission},
    thread::{Outbox, start},
};

//! x
pub(crate) fn run() {}

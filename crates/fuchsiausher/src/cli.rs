//! Command line.
/// Exit.
pub enum Exit {
    /// a
    A,
}
/// Main.
#[must_use]
pub fn main() -> std::process::ExitCode {
    std::process::ExitCode::SUCCESS
}

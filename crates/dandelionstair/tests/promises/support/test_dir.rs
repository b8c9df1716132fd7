//! The directory of a test's settings and logs, which outlives a failure.

use std::path::Path;

use tempfile::TempDir;

/// A directory below the target directory, named after the test. It is removed unless the test fails.
pub(crate) struct TestDir(TempDir);

impl TestDir {
    /// Makes the directory.
    pub(crate) fn new() -> Self {
        let thread = std::thread::current();
        let test = thread.name().unwrap_or("unnamed").replace("::", "-");
        let dir = TempDir::with_prefix_in(format!("{test}-"), env!("CARGO_TARGET_TMPDIR"));
        Self(dir.expect("a directory can be made"))
    }

    /// Returns its path.
    pub(crate) fn path(&self) -> &Path {
        self.0.path()
    }
}

impl Drop for TestDir {
    /// A failed test unwinds through its world.
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.0.disable_cleanup(true);
            eprintln!("logs of the processes: {}", self.path().display());
        }
    }
}

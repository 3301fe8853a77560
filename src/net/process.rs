//! Resource usage of this process, read from `/proc`.

use serde::{Deserialize, Serialize};

const PAGE_BYTES: u64 = 4_096;
/// Clock tick of the kernel's CPU accounting (`USER_HZ` of 100), in milliseconds.
const TICK_MS: u64 = 10;
/// Number of the first field in `/proc/self/stat` after the program's name, which may contain
/// spaces.
const STATE_FIELD: usize = 3;

/// Resource usage of this process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessStats {
    /// CPU time used since the start, in user and kernel mode, in milliseconds.
    pub cpu_ms: u64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// Number of threads.
    pub threads: u64,
    /// Number of open file descriptors.
    pub open_files: u64,
}

/// Reads the resource usage; a value that cannot be read is 0.
pub fn stats() -> ProcessStats {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = fields.split_whitespace().collect();
    // Field numbers are those of proc(5), which count from 1.
    let field = |number: usize| -> u64 {
        let text = fields.get(number - STATE_FIELD);
        text.and_then(|text| text.parse().ok()).unwrap_or(0)
    };
    ProcessStats {
        cpu_ms: (field(14) + field(15)) * TICK_MS,
        resident_bytes: field(24) * PAGE_BYTES,
        threads: field(20),
        open_files: std::fs::read_dir("/proc/self/fd").map_or(0, |files| files.count() as u64),
    }
}

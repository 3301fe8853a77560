//! What the operating system says of this process.

use serde::{Deserialize, Serialize};

/// Size of a page of memory, in bytes.
const PAGE_BYTES: u64 = 4_096;
/// Length of a clock tick of the kernel's accounting, in milliseconds.
const TICK_MS: u64 = 10;
/// Where the counted fields begin in `/proc/self/stat`, after the name of the program.
const STATE_FIELD: usize = 3;

/// Figures of this process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessFigures {
    /// Processor time used since the start, in milliseconds.
    pub cpu_ms: u64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// Threads.
    pub threads: u64,
    /// Open files and sockets.
    pub open_files: u64,
}

/// Reads the figures; what cannot be read is zero.
pub fn figures() -> ProcessFigures {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = fields.split_whitespace().collect();
    // Field numbers are those of proc(5), which counts from one.
    let field = |number: usize| -> u64 {
        let text = fields.get(number - STATE_FIELD);
        text.and_then(|text| text.parse().ok()).unwrap_or(0)
    };
    ProcessFigures {
        cpu_ms: (field(14) + field(15)) * TICK_MS,
        resident_bytes: field(24) * PAGE_BYTES,
        threads: field(20),
        open_files: std::fs::read_dir("/proc/self/fd").map_or(0, |files| files.count() as u64),
    }
}

//! How busy the processors are, from `/proc/stat`.

use std::fs;

/// Counts of the system's processor time, in ticks since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CpuTimes {
    total: u64,
    idle: u64,
    own: u64,
}

/// Shares of all processors' time between two readings, from 0 to 1.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct BusyShare {
    /// By all processes.
    pub all: f64,
    /// By this process.
    pub own: f64,
}

impl CpuTimes {
    /// Reads the counts; `None` where there is no `/proc`.
    pub fn read() -> Option<CpuTimes> {
        let system = fs::read_to_string("/proc/stat").ok()?;
        let own = fs::read_to_string("/proc/self/stat").ok()?;
        CpuTimes::parse(&system, &own)
    }

    /// Parses `/proc/stat` and `/proc/self/stat`.
    pub fn parse(system: &str, own: &str) -> Option<CpuTimes> {
        let line = system.lines().next()?.strip_prefix("cpu ")?;
        let ticks: Vec<u64> = line
            .split_whitespace()
            .filter_map(|field| field.parse().ok())
            .collect();
        // The last two fields, guest time, are contained in the first two.
        let total = ticks.iter().take(8).sum();
        let idle = ticks.get(3)? + ticks.get(4)?;
        // The command in parentheses may itself contain blanks.
        let (_, fields) = own.rsplit_once(')')?;
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let user: u64 = fields.get(11)?.parse().ok()?;
        let kernel: u64 = fields.get(12)?.parse().ok()?;
        Some(CpuTimes {
            total,
            idle,
            own: user + kernel,
        })
    }

    /// The busy shares from `earlier` to this reading.
    pub fn since(&self, earlier: &CpuTimes) -> BusyShare {
        let total = self.total.saturating_sub(earlier.total).max(1) as f64;
        let idle = self.idle.saturating_sub(earlier.idle) as f64;
        let own = self.own.saturating_sub(earlier.own) as f64;
        BusyShare {
            all: (1.0 - idle / total).clamp(0.0, 1.0),
            own: (own / total).clamp(0.0, 1.0),
        }
    }
}

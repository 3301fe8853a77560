//! Processor utilisation of the machine and of this process, from `/proc/stat` and
//! `/proc/self/stat`.

use std::fs;

/// Processor time of the machine and of this process, in clock ticks since each started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CpuTimes {
    total: u64,
    idle: u64,
    own: u64,
}

/// Shares of the time of all processors between two readings, from 0 to 1.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct BusyShare {
    /// Used by all processes.
    pub all: f64,
    /// Used by this process.
    pub own: f64,
}

impl CpuTimes {
    /// Reads the current counts; `None` where there is no `/proc`.
    pub fn read() -> Option<CpuTimes> {
        let system = fs::read_to_string("/proc/stat").ok()?;
        let own = fs::read_to_string("/proc/self/stat").ok()?;
        CpuTimes::parse(&system, &own)
    }

    /// Parses the contents of `/proc/stat` and of `/proc/self/stat`.
    pub fn parse(system: &str, own: &str) -> Option<CpuTimes> {
        let line = system.lines().next()?.strip_prefix("cpu ")?;
        let ticks: Vec<u64> = line
            .split_whitespace()
            .filter_map(|field| field.parse().ok())
            .collect();
        // The last two fields, guest time, are already included in the first two.
        let total = ticks.iter().take(8).sum();
        let idle = ticks.get(3)? + ticks.get(4)?;
        // The command name in parentheses may contain spaces.
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

    /// Busy shares in the interval from `earlier` to this reading.
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

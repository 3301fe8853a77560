//! Metrics that show whether this daemon's configuration is up to date.

use prometheus::core::Collector;
use prometheus::{Gauge, IntGauge};

/// Gauges of the configuration in force.
#[derive(Debug)]
pub struct ConfigMetrics {
    version: IntGauge,
    reported_version: IntGauge,
    age_s: Gauge,
}

impl Default for ConfigMetrics {
    fn default() -> ConfigMetrics {
        let int_gauge =
            |name: &str, help: &str| IntGauge::new(name, help).expect("the name is valid");
        ConfigMetrics {
            version: int_gauge(
                "burdockhall_relay_config_version",
                "Version of the configuration in force, 0 for none.",
            ),
            reported_version: int_gauge(
                "burdockhall_relay_config_reported_version",
                "Newest configuration version that another daemon has reported.",
            ),
            age_s: Gauge::new(
                "burdockhall_relay_config_age_seconds",
                "Time since this daemon made sure that its configuration is the newest; +Inf for never.",
            )
            .expect("the name is valid"),
        }
    }
}

impl ConfigMetrics {
    /// The collectors to be registered.
    pub fn collectors(&self) -> [Box<dyn Collector>; 3] {
        [
            Box::new(self.version.clone()),
            Box::new(self.reported_version.clone()),
            Box::new(self.age_s.clone()),
        ]
    }

    /// Shows the version in force, the newest one reported and the age of the news in milliseconds,
    /// `u64::MAX` for never.
    pub fn observed(&self, version: u64, reported_version: u64, age_ms: u64) {
        self.version.set(version as i64);
        self.reported_version.set(reported_version as i64);
        self.age_s.set(match age_ms {
            u64::MAX => f64::INFINITY,
            age_ms => age_ms as f64 / 1_000.0,
        });
    }
}

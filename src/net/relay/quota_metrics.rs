//! Metrics of quotas.

use prometheus::core::Collector;
use prometheus::{IntCounterVec, IntGauge, IntGaugeVec, Opts};
use strum::IntoEnumIterator;

use crate::decide::relay::quotas::member::RefusalCause;
use crate::decide::relay::quotas::{LimitChange, QuotaRole};

/// Most organisations that are shown by name.
const MAX_NAMES: usize = 20;

/// Counters and gauges of quotas.
#[derive(Debug)]
pub struct QuotaMetrics {
    refused: IntCounterVec,
    limited: IntGauge,
    limited_names: IntGaugeVec,
    role: IntGaugeVec,
    names: std::sync::Mutex<std::collections::BTreeSet<String>>,
}

impl Default for QuotaMetrics {
    fn default() -> QuotaMetrics {
        let gauges = |name: &str, help: &str, label: &str| {
            IntGaugeVec::new(Opts::new(name, help), &[label]).expect("the name is valid")
        };
        let refused = Opts::new(
            "burdockhall_relay_quota_refused_total",
            "Root requests refused for the quota of their organisation, by cause.",
        );
        QuotaMetrics {
            refused: IntCounterVec::new(refused, &["cause"]).expect("the name is valid"),
            limited: IntGauge::new(
                "burdockhall_relay_quota_limited",
                "Organisations that this daemon knows to exceed their quota.",
            )
            .expect("the name is valid"),
            limited_names: gauges(
                "burdockhall_relay_quota_limited_here",
                "1 for each organisation that this daemon limits as the decider; at most 20 by name.",
                "organisation",
            ),
            role: gauges(
                "burdockhall_relay_quota_role",
                "1 for what this daemon is to the others: leases, aggregator, root or standalone.",
                "role",
            ),
            names: std::sync::Mutex::default(),
        }
    }
}

impl QuotaMetrics {
    /// The collectors to be registered.
    pub fn collectors(&self) -> [Box<dyn Collector>; 4] {
        [
            Box::new(self.refused.clone()),
            Box::new(self.limited.clone()),
            Box::new(self.limited_names.clone()),
            Box::new(self.role.clone()),
        ]
    }

    /// Counts a refused root request.
    pub fn refused(&self, cause: RefusalCause) {
        self.refused.with_label_values(&[<&str>::from(cause)]).inc();
    }

    /// Shows the role of this daemon, the number of limited organisations, and those whose limit has
    /// begun or ended here.
    pub fn observed(&self, role: QuotaRole, limited: usize, changes: &[LimitChange]) {
        for known in QuotaRole::iter() {
            let gauge = self.role.with_label_values(&[<&str>::from(known)]);
            gauge.set(i64::from(known == role));
        }
        self.limited.set(limited as i64);
        let names = self.names.lock();
        let mut names = names.unwrap_or_else(std::sync::PoisonError::into_inner);
        for LimitChange { name, share } in changes {
            let name = name.as_str();
            if *share >= 1.0 {
                if names.remove(name) {
                    let _ = self.limited_names.remove_label_values(&[name]);
                }
            } else if names.len() < MAX_NAMES && names.insert(name.to_owned()) {
                self.limited_names.with_label_values(&[name]).set(1);
            }
        }
    }
}

//! The deployments that the trial simulates, scaled down to one machine.

use std::collections::BTreeMap;

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::model::sheet::Rule;
use crate::model::{Contract, Importance, Place};
use crate::standin::backend::ChildCall;

/// Number of workers of each service, one in each availability zone.
pub const WORKERS: usize = 6;
/// Offered load outside the surge, as a share of the capacity of the bottleneck service.
const CALM_UTILISATION: f64 = 0.5;
/// Maximum number of root requests per second outside the surge, so that one machine can carry the
/// surge.
const MAX_CALM_PER_S: f64 = 250.0;
/// Time that a call through daemons adds to the occupancy of a slot, in milliseconds.
const CALL_OVERHEAD_MS: f64 = 2.0;

/// Deployments that the trial can run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum DeploymentName {
    /// Levy Voucher Exchange Ireland.
    Levy,
    /// Tantuvan Fibre Safety Labs.
    Tantuvan,
}

/// One service, with the capacity of one of its workers.
#[derive(Debug, Clone, Copy)]
pub struct ServicePlan {
    /// Name by which the sheet and the calls refer to it.
    pub name: &'static str,
    /// Slots at full scale.
    pub slots: u32,
    /// Connections at full scale.
    pub connections: u32,
    /// Mean time of a run without its child calls, in milliseconds.
    pub service_ms: u64,
}

/// One class of requests.
#[derive(Debug, Clone, Copy)]
pub struct ClassPlan {
    /// Name of the class, which is also its request name.
    pub name: &'static str,
    /// Share of all root requests, from 0 to 1; the shares of a deployment add up to 1.
    pub share: f64,
    /// Services on its call path, each called by the one before.
    pub chain: &'static [&'static str],
    /// Importance in the sheet.
    pub importance: Importance,
    /// Whether it may run more than once; if not, callers send it with a key.
    pub idempotent: bool,
    /// Deadline in the sheet, in milliseconds.
    pub deadline_ms: u64,
}

impl ClassPlan {
    /// Whether the class counts towards the goodput of important requests.
    pub fn is_important(&self) -> bool {
        self.importance >= Importance::High
    }
}

/// Topology, services and request classes of a simulated deployment.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    /// Name by which the command line and the report refer to it.
    pub name: DeploymentName,
    /// Regions, each with its availability zones.
    pub regions: [(&'static str, [&'static str; 2]); 3],
    /// Services, each with [`WORKERS`] workers.
    pub services: &'static [ServicePlan],
    /// Request classes. `chain[0]` of the first class is the "first service" of the reports.
    pub classes: &'static [ClassPlan],
    /// The deep service: the one that slows down during the surge.
    pub deep: &'static str,
    /// Names of the callers; each root request draws one of them.
    pub callers: &'static [&'static str],
}

/// Number of extra attempts that the trial's sheet allows a root request.
pub const RETRY_ALLOWANCE: u32 = 2;
/// Name of the requests that measure the latency added by daemons.
pub const PROBE: &str = "probe";

const LEVY: Deployment = Deployment {
    name: DeploymentName::Levy,
    regions: [
        ("dublin", ["dublin-a", "dublin-b"]),
        ("cork", ["cork-a", "cork-b"]),
        ("galway", ["galway-a", "galway-b"]),
    ],
    services: &[
        service("balances", 110, 750, 15),
        service("redemptions", 110, 750, 25),
        service("transfers", 110, 750, 50),
        service("catalogue", 25, 240, 15),
    ],
    classes: &[
        ClassPlan {
            name: "redemption",
            share: 0.30,
            chain: &["balances", "redemptions", "transfers"],
            importance: Importance::Critical,
            idempotent: false,
            deadline_ms: 1_500,
        },
        ClassPlan {
            name: "transfer",
            share: 0.15,
            chain: &["balances", "transfers"],
            importance: Importance::Critical,
            idempotent: false,
            deadline_ms: 1_500,
        },
        ClassPlan {
            name: "balance_check",
            share: 0.25,
            chain: &["balances"],
            importance: Importance::Normal,
            idempotent: true,
            deadline_ms: 1_000,
        },
        ClassPlan {
            name: "browsing",
            share: 0.30,
            chain: &["catalogue", "balances"],
            importance: Importance::Sheddable,
            idempotent: true,
            deadline_ms: 1_000,
        },
    ],
    deep: "transfers",
    callers: &[
        "provider-a",
        "provider-b",
        "provider-c",
        "employer-a",
        "employer-b",
    ],
};

const TANTUVAN: Deployment = Deployment {
    name: DeploymentName::Tantuvan,
    regions: [
        ("guj-west", ["guj-west-a", "guj-west-b"]),
        ("guj-central", ["guj-central-a", "guj-central-b"]),
        ("guj-south", ["guj-south-a", "guj-south-b"]),
    ],
    services: &[
        service("coursebook", 75, 550, 15),
        service("enrolment", 75, 550, 25),
        service("certdesk", 75, 550, 25),
        service("ledger", 20, 230, 20),
    ],
    classes: &[
        ClassPlan {
            name: "enrolment",
            share: 0.25,
            chain: &["coursebook", "enrolment", "ledger"],
            importance: Importance::Critical,
            idempotent: false,
            deadline_ms: 1_500,
        },
        ClassPlan {
            name: "certificate",
            share: 0.15,
            chain: &["certdesk", "ledger"],
            importance: Importance::Critical,
            idempotent: false,
            deadline_ms: 1_500,
        },
        ClassPlan {
            name: "refresher",
            share: 0.15,
            chain: &["coursebook", "enrolment"],
            importance: Importance::High,
            idempotent: false,
            deadline_ms: 1_500,
        },
        ClassPlan {
            name: "reading",
            share: 0.45,
            chain: &["coursebook"],
            importance: Importance::Sheddable,
            idempotent: true,
            deadline_ms: 1_000,
        },
    ],
    deep: "ledger",
    callers: &["contractor-a", "contractor-b", "inspectorate", "trainees"],
};

const fn service(name: &'static str, slots: u32, connections: u32, service_ms: u64) -> ServicePlan {
    ServicePlan {
        name,
        slots,
        connections,
        service_ms,
    }
}

impl Deployment {
    /// Returns the deployment with this name.
    pub fn of(name: DeploymentName) -> Deployment {
        match name {
            DeploymentName::Levy => LEVY,
            DeploymentName::Tantuvan => TANTUVAN,
        }
    }

    /// Place of a service's worker by its index; each is in an availability zone of its own.
    pub fn place(&self, worker: usize) -> Place {
        let (region, zones) = self.regions[worker / 2 % self.regions.len()];
        Place {
            region: region.into(),
            zone: zones[worker % zones.len()].into(),
        }
    }

    /// Rules of the sheet: one for each class and one for the probe.
    pub fn rules(&self) -> Vec<Rule> {
        let probe = Contract {
            importance: Importance::High,
            idempotent: true,
            deadline_ms: 1_000,
            retry_allowance: 0,
        };
        let classes = self.classes.iter().map(|class| {
            let contract = Contract {
                importance: class.importance,
                idempotent: class.idempotent,
                deadline_ms: class.deadline_ms,
                retry_allowance: RETRY_ALLOWANCE,
            };
            rule(class.name, contract)
        });
        classes.chain([rule(PROBE, probe)]).collect()
    }

    /// Child calls that a service makes, by request name.
    pub fn calls_of(&self, service: &str) -> BTreeMap<crate::model::RequestName, Vec<ChildCall>> {
        let mut calls = BTreeMap::new();
        for class in self.classes {
            let next = class
                .chain
                .windows(2)
                .find(|pair| pair[0] == service)
                .map(|pair| pair[1]);
            if let Some(next) = next {
                let child = ChildCall {
                    service: next.into(),
                    request: class.name.into(),
                };
                calls.insert(class.name.into(), vec![child]);
            }
        }
        calls
    }

    /// Number of root requests per second outside the surge.
    pub fn calm_per_s(&self, scale: f64) -> f64 {
        let capacity = self
            .services
            .iter()
            .map(|service| self.capacity_per_s(service, scale))
            .fold(f64::INFINITY, f64::min);
        (capacity * CALM_UTILISATION).min(MAX_CALM_PER_S)
    }

    /// Number of root requests per second at which all slots of a service are occupied.
    fn capacity_per_s(&self, service: &ServicePlan, scale: f64) -> f64 {
        let slots = f64::from(scaled(service.slots, scale)) * WORKERS as f64;
        let occupancy_ms: f64 = self
            .classes
            .iter()
            .map(|class| class.share * self.occupancy_ms(class, service.name))
            .sum();
        slots * 1_000.0 / occupancy_ms
    }

    /// Time for which a request of the class occupies a slot of the service, in milliseconds: its
    /// own run and all child calls beneath it.
    fn occupancy_ms(&self, class: &ClassPlan, service: &str) -> f64 {
        class
            .chain
            .iter()
            .skip_while(|name| **name != service)
            .filter_map(|name| self.services.iter().find(|plan| plan.name == *name))
            .map(|plan| plan.service_ms as f64 + CALL_OVERHEAD_MS)
            .sum()
    }
}

/// Scales a number of slots or connections; the result is at least two.
pub fn scaled(count: u32, scale: f64) -> u32 {
    ((f64::from(count) * scale).round() as u32).max(2)
}

fn rule(request: &str, contract: Contract) -> Rule {
    Rule {
        service: None,
        request: Some(request.into()),
        caller: None,
        contract,
    }
}

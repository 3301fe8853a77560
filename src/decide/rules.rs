//! The rules of a sheet, indexed for look-up on the request path.

use std::collections::HashMap;

use crate::model::{
    CallerName, Contract, RequestName, ServiceName, Sheet, SheetVersion, sheet::Rule,
};

/// An indexed sheet. A look-up takes no lock and does not allocate.
///
/// The most specific rule applies: a rule for the service takes precedence over one for any
/// service, then a rule for the request over one for any request, then a rule for the caller over
/// one for any caller.
#[derive(Debug, Default)]
pub struct RuleTable {
    version: SheetVersion,
    services: HashMap<ServiceName, RequestRules>,
    any_service: RequestRules,
    shares_percent: HashMap<CallerName, u32>,
}

#[derive(Debug, Default)]
struct RequestRules {
    requests: HashMap<RequestName, CallerRules>,
    any_request: CallerRules,
}

#[derive(Debug, Default)]
struct CallerRules {
    callers: HashMap<CallerName, Contract>,
    any_caller: Option<Contract>,
}

impl RuleTable {
    /// Builds the table of a sheet.
    pub fn compile(sheet: &Sheet) -> RuleTable {
        let mut table = RuleTable {
            version: sheet.version,
            ..RuleTable::default()
        };
        for rule in &sheet.rules {
            table.add(rule);
        }
        for share in &sheet.shares {
            table
                .shares_percent
                .insert(share.caller.clone(), share.percent);
        }
        table
    }

    /// The version of the sheet; zero for an empty table.
    pub fn version(&self) -> SheetVersion {
        self.version
    }

    /// The contract of a request; [`Contract::FALLBACK`] if no rule matches.
    pub fn contract(
        &self,
        service: &ServiceName,
        request: &RequestName,
        caller: &CallerName,
    ) -> Contract {
        self.services
            .get(service)
            .and_then(|rules| rules.find(request, caller))
            .or_else(|| self.any_service.find(request, caller))
            .unwrap_or(Contract::FALLBACK)
    }

    /// A caller's maximum share of a backend server's slots in percent; `None` if it has no limit.
    pub fn share_percent(&self, caller: &CallerName) -> Option<u32> {
        self.shares_percent.get(caller).copied()
    }

    fn add(&mut self, rule: &Rule) {
        let requests = match &rule.service {
            Some(service) => self.services.entry(service.clone()).or_default(),
            None => &mut self.any_service,
        };
        let callers = match &rule.request {
            Some(request) => requests.requests.entry(request.clone()).or_default(),
            None => &mut requests.any_request,
        };
        match &rule.caller {
            Some(caller) => {
                callers.callers.insert(caller.clone(), rule.contract);
            }
            None => callers.any_caller = Some(rule.contract),
        }
    }
}

impl RequestRules {
    fn find(&self, request: &RequestName, caller: &CallerName) -> Option<Contract> {
        self.requests
            .get(request)
            .and_then(|rules| rules.find(caller))
            .or_else(|| self.any_request.find(caller))
    }
}

impl CallerRules {
    fn find(&self, caller: &CallerName) -> Option<Contract> {
        self.callers.get(caller).copied().or(self.any_caller)
    }
}

//! Measures a rule look-up in a sheet with 800 services and 10,000 rules.

use std::hint::black_box;

use burdockhall::decide::rules::RuleTable;
use burdockhall::model::sheet::{Rule, Sheet};
use burdockhall::model::{
    CallerName, Contract, Importance, RequestName, ServiceName, SheetVersion,
};
use criterion::{Criterion, criterion_group, criterion_main};

const SERVICES: usize = 800;
const RULES: usize = 10_000;
const CALLERS: usize = 50;

fn look_up(criterion: &mut Criterion) {
    let table = RuleTable::compile(&sheet());
    let services: Vec<ServiceName> = (0..SERVICES).map(service).collect();
    let callers: Vec<CallerName> = (0..CALLERS).map(caller).collect();
    let request: RequestName = "request-3".into();
    let mut index = 0;
    criterion.bench_function("contract of 10,000 rules", |bencher| {
        bencher.iter(|| {
            index += 1;
            let service = &services[index % SERVICES];
            let caller = &callers[index % CALLERS];
            black_box(table.contract(black_box(service), &request, caller))
        });
    });
}

fn sheet() -> Sheet {
    let rules = (0..RULES).map(|number| Rule {
        service: Some(service(number % SERVICES)),
        request: Some(format!("request-{}", number / SERVICES).as_str().into()),
        caller: (number % 3 == 0).then(|| caller(number % CALLERS)),
        contract: Contract {
            importance: Importance::High,
            ..Contract::FALLBACK
        },
    });
    Sheet {
        version: SheetVersion(1),
        author: "planner".into(),
        published_ms: 0,
        rules: rules.collect(),
        shares: Vec::new(),
    }
}

fn service(number: usize) -> ServiceName {
    format!("service-{number}").as_str().into()
}

fn caller(number: usize) -> CallerName {
    format!("caller-{number}").as_str().into()
}

criterion_group!(benches, look_up);
criterion_main!(benches);

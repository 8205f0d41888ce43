//! The cost of a routing decision as the numbers of groups, members, sessions and open requests grow: pick, outcome
//! and tick through the facade. Besides criterion's statistics, each row prints the longest single step, which a mean
//! would hide.

#![allow(missing_docs, reason = "criterion's macros write functions without any")]

mod workload;

use criterion::{criterion_group, criterion_main, Criterion, Throughput};
use workload::{Size, Workload};

/// Requests before the measurement, until limits, positions and the queue are in a steady state.
const WARM_UP_REQUESTS: u64 = 10_000;

/// Groups, members per group, sessions, and open requests of each row.
const ROWS: &[(u64, u64, u64, usize)] = &[
    (2, 5, 1_000, 20),
    (2, 5, 1_000, 200),
    (2, 5, 1_000, 2_000),
    (2_000, 5, 1_000, 200),
    (2, 500, 1_000, 200),
    (2, 5, 1_000_000, 20),
    (2_000, 5, 1_000_000, 2_000),
    (2, 50, 1_000, 200),
    (2, 5_000, 1_000, 200),
];

fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("decision");
    group.throughput(Throughput::Elements(1)).sample_size(10);
    for &(groups, members, sessions, open) in ROWS {
        let name = format!("{groups}x{members}-sessions-{sessions}-open-{open}");
        let mut workload = None;
        group.bench_function(&name, |bench| {
            let workload = workload.get_or_insert_with(|| {
                let mut workload = Workload::new(Size { groups, members, sessions, open });
                workload.run(WARM_UP_REQUESTS);
                workload
            });
            bench.iter_custom(|times| workload.run(times).total);
        });
        // Two seconds of simulated time, so that every periodic step runs tens of times.
        if let Some(workload) = &mut workload {
            let cost = workload.run(20_000);
            println!(
                "{name}: {:.2} us a request, longest step {:.3} ms, {:.0}% served",
                cost.total.as_secs_f64() * 1e6 / cost.requests as f64,
                cost.longest.as_secs_f64() * 1e3,
                100.0 * cost.served as f64 / cost.requests as f64,
            );
        }
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);

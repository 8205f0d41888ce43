//! What a decision costs as everything around it grows: pick, report and tick through the facade.
//! Besides criterion's own figures each row prints the longest single step, which a mean would hide.

#![allow(missing_docs, reason = "criterion's macros write functions without any")]

mod scene;

use criterion::{criterion_group, criterion_main, Criterion, Throughput};
use scene::{Scene, Size};

/// Requests before anything is measured: limits, positions and the queue have settled.
const SETTLE: u64 = 10_000;

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
    for &(families, members, sessions, open) in ROWS {
        let name = format!("{families}x{members}-sessions-{sessions}-open-{open}");
        let mut scene = None;
        group.bench_function(&name, |bench| {
            let scene = scene.get_or_insert_with(|| {
                let mut scene = Scene::new(Size { families, members, sessions, open });
                scene.play(SETTLE);
                scene
            });
            bench.iter_custom(|times| scene.play(times).total);
        });
        // Two seconds of the module's time, so that every periodic step comes tens of times.
        if let Some(scene) = &mut scene {
            let cost = scene.play(20_000);
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

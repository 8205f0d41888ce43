//! Random draws, and an exponential backoff with jitter.

use std::time::Duration;

use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;

/// Doublings after which a backoff grows no further, whatever its limit.
const MAX_DOUBLINGS: u32 = 16;

/// A number between 0 and 1.
pub(crate) fn unit(rng: &mut Pcg64Mcg) -> f64 {
    f64::from(rng.next_u32()) / f64::from(u32::MAX)
}

/// An index below a count that is not zero.
pub(crate) fn index_below(rng: &mut Pcg64Mcg, count: usize) -> usize {
    (rng.next_u64() % count as u64) as usize
}

/// The pause before the next attempt: twice as long after each failure up to a limit, of which at least half is waited.
pub(crate) fn backoff(rng: &mut Pcg64Mcg, first: Duration, limit: Duration, failures: u32) -> Duration {
    let pause = first.saturating_mul(1 << failures.min(MAX_DOUBLINGS)).min(limit);
    pause.mul_f64(0.5 + 0.5 * unit(rng))
}

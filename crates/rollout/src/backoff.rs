//! Random draws, and an exponential backoff with jitter.

use std::time::Duration;

use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;

/// Number of doublings after which a backoff grows no further, whatever its limit.
const MAX_DOUBLINGS: u32 = 16;

/// Draws a number from 0 to 1, both inclusive.
pub(crate) fn random_fraction(rng: &mut Pcg64Mcg) -> f64 {
    f64::from(rng.next_u32()) / f64::from(u32::MAX)
}

/// Draws an index below `count`, which must not be zero.
pub(crate) fn random_index(rng: &mut Pcg64Mcg, count: usize) -> usize {
    (rng.next_u64() % count as u64) as usize
}

/// The pause before the next attempt: `first` doubled with each failure up to `limit`, of which jitter leaves at least
/// half.
pub(crate) fn backoff(rng: &mut Pcg64Mcg, first: Duration, limit: Duration, failures: u32) -> Duration {
    let pause = first.saturating_mul(1 << failures.min(MAX_DOUBLINGS)).min(limit);
    pause.mul_f64(0.5 + 0.5 * random_fraction(rng))
}

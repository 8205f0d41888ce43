//! Draws from the router's seeded random number generator. Its callers decide the candidates and weights.

use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;

use crate::api::MemberId;

/// A uniform draw from 0 (inclusive) to 1 (exclusive).
pub fn uniform(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// Draws a member with a probability proportional to its weight; none from an empty list.
pub fn weighted_draw(rng: &mut Pcg64Mcg, weighted: &[(MemberId, f64)]) -> Option<MemberId> {
    let mut point = uniform(rng) * weighted.iter().map(|(_, weight)| weight).sum::<f64>();
    for (id, weight) in weighted {
        if point < *weight {
            return Some(*id);
        }
        point -= weight;
    }
    weighted.last().map(|(id, _)| *id)
}

//! A hash that is the same on every machine and in every version, for tags, identifiers and rankings. It is not
//! cryptographic and gives no protection against an attacker.

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;
/// The 64-bit golden ratio: multiplying by it spreads similar numbers over all bits (Fibonacci hashing).
pub(crate) const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;

/// FNV-1a, 64 bits.
pub(crate) fn fnv1a_64(text: &str) -> u64 {
    text.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}

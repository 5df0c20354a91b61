//! Digest of a request, which detects the use of one idempotency key for two different requests.

/// Offset basis of the 64-bit FNV-1a hash, which is the same on every host and in every release.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Computes the digest of the name and the body.
pub(crate) fn digest(name: &str, body: &[u8]) -> u64 {
    // A name cannot contain the zero byte, so no two pairs of name and body give the same bytes.
    let bytes = name.as_bytes().iter().chain(&[0]).chain(body);
    bytes.fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

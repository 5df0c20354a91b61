//! Digest of a request, to tell whether a key is used for two different ones.

/// Offset and prime of the 64-bit FNV-1a hash, which is the same on every host and release.
const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0100_0000_01b3;

/// Digest of name and body.
pub(crate) fn digest(name: &str, body: &[u8]) -> u64 {
    // The separator cannot occur in a name, so name and body cannot be shifted against each other.
    let bytes = name.as_bytes().iter().chain(&[0]).chain(body);
    bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
    })
}

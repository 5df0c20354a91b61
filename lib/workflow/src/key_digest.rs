use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Size of a digest, in bytes.
const DIGEST_BYTES: usize = 32;

/// SHA-256 digest of a caller's key.
///
/// Only the digest is kept, compared and sent between hosts. The time of a comparison depends on the
/// digests, so it does not tell how much of a key is right.
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Stands for a key that cannot be read, and equals the digest of no key.
    pub const UNREADABLE: Self = Self([0; DIGEST_BYTES]);

    /// The digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

/// Shows nothing of the digest, so that it gets into no log.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

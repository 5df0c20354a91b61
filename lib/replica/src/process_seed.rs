/// Seed that differs between processes. It is derived from the random keys of the standard hasher.
pub fn process_seed() -> [u8; 32] {
    use std::hash::{BuildHasher, RandomState};

    let mut seed = [0; 32];
    for chunk in seed.chunks_mut(8) {
        chunk.copy_from_slice(
            &RandomState::new()
                .hash_one(std::process::id())
                .to_le_bytes(),
        );
    }
    seed
}

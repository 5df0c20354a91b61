use crate::rng::Rng;

/// Contents of a file, of which the part after `synced_len` is in the page cache only.
#[derive(Clone, Debug, Default)]
pub struct MemFile {
    pub bytes: Vec<u8>,
    synced_len: usize,
    /// Offsets of the writes since the last sync.
    writes: Vec<usize>,
}

impl MemFile {
    pub fn append(&mut self, contents: &[u8]) {
        self.writes.push(self.bytes.len());
        self.bytes.extend_from_slice(contents);
    }

    pub fn sync(&mut self) {
        self.synced_len = self.bytes.len();
        self.writes.clear();
    }

    /// Overwrites the end of the file. An interrupted one mixes old and new bytes and cuts the file
    /// or leaves its length.
    pub fn overwrite_from(&mut self, offset: usize, contents: &[u8], crash: Option<&mut Rng>) {
        let len = offset + contents.len();
        assert!(len <= self.bytes.len(), "an overwrite needs no room");
        let Some(rng) = crash else {
            self.bytes.truncate(offset);
            self.writes.retain(|start| *start < offset);
            self.append(contents);
            // After a failed sync, only writing again makes the bytes before the offset durable.
            if offset <= self.synced_len {
                self.sync();
            }
            return;
        };
        for (old, new) in self.bytes[offset..].iter_mut().zip(contents) {
            *old = if rng.coin() { *new } else { *old };
        }
        if rng.coin() {
            self.bytes.truncate(len);
            self.synced_len = self.synced_len.min(len);
            self.writes.retain(|start| *start < len);
        }
    }

    /// Leaves each unsynced write whole, torn or missing. A hole reads as zeros.
    pub fn lose_power(&mut self, rng: &mut Rng) {
        let mut left = self.bytes[..self.synced_len].to_vec();
        self.writes.push(self.bytes.len());
        for write in self.writes.windows(2) {
            let contents = &self.bytes[write[0]..write[1]];
            let kept = match rng.below(4) {
                0 => 0,
                1 => rng.below(contents.len()),
                _ => contents.len(),
            };
            if kept > 0 {
                left.resize(write[0], 0);
                left.extend_from_slice(&contents[..kept]);
            }
            if rng.below(8) == 0 {
                // The new length can reach the disk without the contents.
                left.resize(write[1], 0);
            }
        }
        self.bytes = left;
        self.sync();
    }
}

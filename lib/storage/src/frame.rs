//! Framing of records: magic, payload length, synced length, checksum, payload.
//!
//! Each frame states how much of the file was synced when the frame was written. A damaged frame
//! within that length is corruption. A damaged frame after it may be a torn write, because unsynced
//! pages can reach the disk in any order; no caller has relied on its contents.

use serde::Serialize;
use tarragon_codes::{Code, Failure, Outcome};

const MAGIC: [u8; 4] = *b"TgR1";
pub(crate) const HEADER_LEN: usize = 20;

/// Header of a frame.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Header {
    /// Length of the payload that follows.
    pub(crate) payload_len: u32,
    /// Length of the file that was synced when the frame was written.
    pub(crate) synced_len: u64,
    sum: u32,
}

impl Header {
    /// Returns the header at the start of `buf`, if there is one.
    pub(crate) fn parse(buf: &[u8]) -> Option<Self> {
        let (magic, rest) = buf.split_first_chunk::<4>()?;
        let (len, rest) = rest.split_first_chunk::<4>()?;
        let (synced_len, rest) = rest.split_first_chunk::<8>()?;
        let (sum, _) = rest.split_first_chunk::<4>()?;
        (*magic == MAGIC).then(|| Self {
            payload_len: u32::from_le_bytes(*len),
            synced_len: u64::from_le_bytes(*synced_len),
            sum: u32::from_le_bytes(*sum),
        })
    }

    /// Returns whether header and payload are undamaged.
    pub(crate) fn matches(self, payload: &[u8]) -> bool {
        payload.len() == self.payload_len as usize
            && self.sum == checksum(self.payload_len, self.synced_len, payload)
    }
}

/// Appends a frame with an encoded value to `buf`. `synced_len` is the length of the file that is
/// synced already.
pub(crate) fn push<T>(mut buf: Vec<u8>, synced_len: u64, value: &T) -> Outcome<Vec<u8>>
where
    T: Serialize,
{
    let start = buf.len();
    buf.extend_from_slice(&[0; HEADER_LEN]);
    // Encoding into the buffer itself saves a copy, which counts for a snapshot.
    let mut buf =
        postcard::to_extend(value, buf).map_err(|e| Failure::new(Code::Internal, e.to_string()))?;
    write_header(&mut buf[start..], synced_len)?;
    Ok(buf)
}

/// Appends a frame without a payload, which only states the synced length.
pub(crate) fn push_empty(buf: &mut Vec<u8>, synced_len: u64) -> Outcome<()> {
    let start = buf.len();
    buf.extend_from_slice(&[0; HEADER_LEN]);
    write_header(&mut buf[start..], synced_len)
}

/// Returns the payload of a file that consists of one frame.
pub(crate) fn parse_single<'a>(name: &str, file: &'a [u8]) -> Outcome<&'a [u8]> {
    let payload = file.get(HEADER_LEN..).unwrap_or_default();
    match Header::parse(file) {
        Some(header) if header.matches(payload) => Ok(payload),
        _ => Err(corrupt(name, 0)),
    }
}

/// Returns whether an intact frame in `rest` states that the byte at its start was synced. `offset`
/// is the position of `rest` in the file.
pub(crate) fn states_synced(rest: &[u8], offset: u64) -> bool {
    let starts = 1..rest.len().saturating_sub(HEADER_LEN - 1);
    starts
        .filter_map(|start| parse(&rest[start..]))
        .any(|header| header.synced_len > offset)
}

pub(crate) fn corrupt(name: &str, offset: u64) -> Failure {
    Failure::new(
        Code::CorruptRecord,
        format!("corrupt record in {name} at byte {offset}"),
    )
}

/// Returns the header of the frame at the start of `buf` if the whole frame is undamaged.
fn parse(buf: &[u8]) -> Option<Header> {
    let header = Header::parse(buf)?;
    let payload = buf[HEADER_LEN..].get(..header.payload_len as usize)?;
    header.matches(payload).then_some(header)
}

/// Fills in the header at the start of `frame`, which ends with its payload.
fn write_header(frame: &mut [u8], synced_len: u64) -> Outcome<()> {
    let (header, payload) = frame.split_at_mut(HEADER_LEN);
    let Ok(payload_len) = u32::try_from(payload.len()) else {
        return Err(Failure::of(Code::TooLarge));
    };
    let sum = checksum(payload_len, synced_len, payload);
    header[..4].copy_from_slice(&MAGIC);
    header[4..8].copy_from_slice(&payload_len.to_le_bytes());
    header[8..16].copy_from_slice(&synced_len.to_le_bytes());
    header[16..].copy_from_slice(&sum.to_le_bytes());
    Ok(())
}

fn checksum(payload_len: u32, synced_len: u64, payload: &[u8]) -> u32 {
    let sum = crc32c::crc32c(&payload_len.to_le_bytes());
    let sum = crc32c::crc32c_append(sum, &synced_len.to_le_bytes());
    crc32c::crc32c_append(sum, payload)
}

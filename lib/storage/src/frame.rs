//! Framing of records: magic, payload length, synced length, checksum, payload.
//!
//! Each frame states how much of the file was synced when the frame was written. A damaged frame
//! within that length is corruption. A damaged frame after it may be a torn write, because unsynced
//! pages can reach the disk in any order; no caller has relied on its contents.

use std::ops::Range;

use tarragon_codes::{Code, Failure, Outcome};

const MAGIC: [u8; 4] = *b"TgR1";
const HEADER_LEN: usize = 20;

/// Header fields of an intact frame.
struct Frame {
    /// Length of the file that was synced when the frame was written.
    synced_len: u64,
    /// Offset in the file directly after the frame.
    end: usize,
}

/// Appends a frame to `buf`. `synced_len` is the length of the file that is synced already.
pub(crate) fn push(buf: &mut Vec<u8>, synced_len: u64, payload: &[u8]) -> Outcome<()> {
    let Ok(len) = u32::try_from(payload.len()) else {
        return Err(Failure::of(Code::TooLarge));
    };
    let (len, synced_len) = (len.to_le_bytes(), synced_len.to_le_bytes());
    buf.extend_from_slice(&MAGIC);
    buf.extend_from_slice(&len);
    buf.extend_from_slice(&synced_len);
    buf.extend_from_slice(&checksum(&len, &synced_len, payload).to_le_bytes());
    buf.extend_from_slice(payload);
    Ok(())
}

/// Returns the payload of a file that consists of one frame.
pub(crate) fn parse_single<'a>(name: &str, file: &'a [u8]) -> Outcome<&'a [u8]> {
    match parse(file, 0) {
        Some(frame) if frame.end == file.len() => Ok(&file[HEADER_LEN..]),
        _ => Err(corrupt(name, 0)),
    }
}

/// Returns the payload ranges of all frames of a file, without a torn tail.
pub(crate) fn scan(name: &str, file: &[u8]) -> Outcome<Vec<Range<usize>>> {
    let mut payloads = Vec::new();
    let mut offset = 0;
    while offset < file.len() {
        let Some(frame) = parse(file, offset) else {
            if was_synced(file, offset) {
                return Err(corrupt(name, offset));
            }
            break;
        };
        payloads.push(offset + HEADER_LEN..frame.end);
        offset = frame.end;
    }
    Ok(payloads)
}

pub(crate) fn corrupt(name: &str, offset: usize) -> Failure {
    Failure::new(
        Code::CorruptRecord,
        format!("corrupt record in {name} at byte {offset}"),
    )
}

/// Returns whether a later frame states that the byte at `offset` was synced.
fn was_synced(file: &[u8], offset: usize) -> bool {
    (offset + 1..file.len().saturating_sub(HEADER_LEN - 1))
        .filter(|next| file[*next..].starts_with(&MAGIC))
        .filter_map(|next| parse(file, next))
        .any(|frame| frame.synced_len > offset as u64)
}

fn parse(file: &[u8], offset: usize) -> Option<Frame> {
    let header = file.get(offset..offset + HEADER_LEN)?;
    let (magic, rest) = header.split_first_chunk::<4>()?;
    let (len, rest) = rest.split_first_chunk::<4>()?;
    let (synced_len, rest) = rest.split_first_chunk::<8>()?;
    let (sum, _) = rest.split_first_chunk::<4>()?;
    let end = offset + HEADER_LEN + u32::from_le_bytes(*len) as usize;
    let payload = file.get(offset + HEADER_LEN..end)?;
    let intact = *magic == MAGIC && checksum(len, synced_len, payload) == u32::from_le_bytes(*sum);
    intact.then(|| Frame {
        synced_len: u64::from_le_bytes(*synced_len),
        end,
    })
}

fn checksum(len: &[u8], synced_len: &[u8], payload: &[u8]) -> u32 {
    let sum = crc32c::crc32c_append(crc32c::crc32c(len), synced_len);
    crc32c::crc32c_append(sum, payload)
}

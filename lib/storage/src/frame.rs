//! Framing of records: magic, length, synced length, checksum, payload.
//!
//! Each frame names the length of the file that was synced when it was written. A damaged frame
//! inside that length is corruption. One outside it may be a torn write, since unsynced pages can
//! reach the disk in any order, and nobody was promised what it held.

use std::ops::Range;

use tarragon_codes::{Code, Failure, Outcome};

const MAGIC: [u8; 4] = *b"TgR1";
const HEADER: usize = 20;

/// A frame found in a file.
struct Frame {
    synced: u64,
    end: usize,
}

/// Adds a frame to `buf`.
pub(crate) fn push(buf: &mut Vec<u8>, synced: u64, payload: &[u8]) -> Outcome<()> {
    let Ok(len) = u32::try_from(payload.len()) else {
        return Err(Failure::of(Code::TooLarge));
    };
    let (len, synced) = (len.to_le_bytes(), synced.to_le_bytes());
    buf.extend_from_slice(&MAGIC);
    buf.extend_from_slice(&len);
    buf.extend_from_slice(&synced);
    buf.extend_from_slice(&checksum(&len, &synced, payload).to_le_bytes());
    buf.extend_from_slice(payload);
    Ok(())
}

/// The payload of a file that consists of one frame.
pub(crate) fn single<'a>(name: &str, file: &'a [u8]) -> Outcome<&'a [u8]> {
    match parse(file, 0) {
        Some(frame) if frame.end == file.len() => Ok(&file[HEADER..]),
        _ => Err(corrupt(name, 0)),
    }
}

/// Payloads of all frames of a file; a torn tail is left out.
pub(crate) fn scan(name: &str, file: &[u8]) -> Outcome<Vec<Range<usize>>> {
    let mut payloads = Vec::new();
    let mut at = 0;
    while at < file.len() {
        let Some(frame) = parse(file, at) else {
            if synced_after(file, at) {
                return Err(corrupt(name, at));
            }
            break;
        };
        payloads.push(at + HEADER..frame.end);
        at = frame.end;
    }
    Ok(payloads)
}

pub(crate) fn corrupt(name: &str, at: usize) -> Failure {
    Failure::new(
        Code::CorruptRecord,
        format!("corrupt record in {name} at byte {at}"),
    )
}

/// Tells whether a later frame says that the byte at `at` was synced.
fn synced_after(file: &[u8], at: usize) -> bool {
    (at + 1..file.len().saturating_sub(HEADER - 1))
        .filter(|next| file[*next..].starts_with(&MAGIC))
        .filter_map(|next| parse(file, next))
        .any(|frame| frame.synced > at as u64)
}

fn parse(file: &[u8], at: usize) -> Option<Frame> {
    let header = file.get(at..at + HEADER)?;
    let (magic, rest) = header.split_first_chunk::<4>()?;
    let (len, rest) = rest.split_first_chunk::<4>()?;
    let (synced, rest) = rest.split_first_chunk::<8>()?;
    let (sum, _) = rest.split_first_chunk::<4>()?;
    let end = at + HEADER + u32::from_le_bytes(*len) as usize;
    let payload = file.get(at + HEADER..end)?;
    let intact = *magic == MAGIC && checksum(len, synced, payload) == u32::from_le_bytes(*sum);
    intact.then(|| Frame {
        synced: u64::from_le_bytes(*synced),
        end,
    })
}

fn checksum(len: &[u8], synced: &[u8], payload: &[u8]) -> u32 {
    let sum = crc32c::crc32c_append(crc32c::crc32c(len), synced);
    crc32c::crc32c_append(sum, payload)
}

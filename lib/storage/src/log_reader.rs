use tarragon_agreement::Entry;
use tarragon_codes::{Code, Failure, Outcome};

use crate::{
    Files,
    frame::{self, HEADER_LEN, Header},
    log_map::LogMap,
    record::{self, Record},
};

/// Number of bytes that are read from a log file at once, unless a record is larger. Bounds the
/// memory that reading needs beside the entries.
const READ_BYTES: usize = 1 << 20;

/// Contents of a log file.
#[derive(Debug, Default)]
pub(crate) struct LogContents {
    /// Entries that result from all records.
    pub(crate) entries: Vec<Entry>,
    /// Positions of these entries.
    pub(crate) map: LogMap,
    /// Length of the undamaged part of the file. What follows is a torn write.
    pub(crate) intact_len: u64,
    /// Length that a record states as synced.
    pub(crate) synced_len: u64,
    /// Length of the file.
    pub(crate) file_len: u64,
}

/// Reads the records of a log file from `offset` on.
pub(crate) fn read_log(files: &dyn Files, name: &str, offset: u64) -> Outcome<LogContents> {
    let missing = || Failure::new(Code::CorruptRecord, format!("file '{name}' is missing"));
    let file_len = files.len(name)?.ok_or_else(missing)?;
    let mut reader = LogReader {
        files,
        name,
        buf: Vec::new(),
        position: 0,
        offset,
    };
    let mut contents = LogContents {
        intact_len: offset,
        file_len,
        ..LogContents::default()
    };
    while reader.offset < file_len {
        let start = reader.offset;
        let Some((header, payload)) = reader.next_frame()? else {
            let rest = files.read_range(name, start, (file_len - start) as usize)?;
            if contents.synced_len > start || frame::states_synced(&rest, start) {
                return Err(frame::corrupt(name, start));
            }
            break;
        };
        contents.add(name, start, &payload)?;
        contents.synced_len = contents.synced_len.max(header.synced_len);
        contents.intact_len = reader.offset;
    }
    Ok(contents)
}

impl LogContents {
    fn add(&mut self, name: &str, offset: u64, payload: &[u8]) -> Outcome<()> {
        // A frame without a payload only states the synced length.
        if payload.is_empty() {
            return Ok(());
        }
        match record::decode(payload).ok_or_else(|| frame::corrupt(name, offset))? {
            Record::Truncate(index) => {
                record::truncate(&mut self.entries, index);
                self.map.truncate_from(index);
            }
            Record::Entry(entry) => {
                let last = self.entries.last();
                if last.is_some_and(|e| e.index.next() != entry.index) {
                    return Err(frame::corrupt(name, offset));
                }
                self.map.push(&entry, offset);
                self.entries.push(entry);
            }
        }
        Ok(())
    }
}

/// Reads frames one after the other.
struct LogReader<'a> {
    files: &'a dyn Files,
    name: &'a str,
    /// Bytes of the file that are read already; the next frame starts at `position`.
    buf: Vec<u8>,
    position: usize,
    /// Offset of the next frame in the file.
    offset: u64,
}

impl LogReader<'_> {
    /// Returns the next frame; `None` if it is damaged or incomplete.
    fn next_frame(&mut self) -> Outcome<Option<(Header, Vec<u8>)>> {
        let Some(header) = Header::parse(self.peek(HEADER_LEN)?) else {
            return Ok(None);
        };
        let len = HEADER_LEN + header.payload_len as usize;
        let Some(payload) = self.peek(len)?.get(HEADER_LEN..) else {
            return Ok(None);
        };
        if !header.matches(payload) {
            return Ok(None);
        }
        let payload = payload.to_vec();
        self.position += len;
        self.offset += len as u64;
        Ok(Some((header, payload)))
    }

    /// Returns the next `len` bytes, or fewer at the end of the file.
    fn peek(&mut self, len: usize) -> Outcome<&[u8]> {
        let buffered = self.buf.len() - self.position;
        if buffered < len {
            self.buf.drain(..self.position);
            self.position = 0;
            let at = self.offset + buffered as u64;
            let missing = (len - buffered).max(READ_BYTES);
            self.buf
                .extend(self.files.read_range(self.name, at, missing)?);
        }
        let rest = &self.buf[self.position..];
        Ok(&rest[..len.min(rest.len())])
    }
}

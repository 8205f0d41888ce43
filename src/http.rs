//! HTTP/1.1 as far as it is used beside the main protocol: bodies of messages, by length or in chunks.

use httparse::{Header, Status};

/// Bytes behind the data of a chunk: an empty line.
const CHUNK_END: usize = 2;

/// Why a body cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// Its length or its chunks are malformed.
    #[error("malformed body")]
    Malformed,
    /// Longer than is accepted.
    #[error("body too long")]
    TooLong,
}

/// A header's value, if it is text.
pub fn header<'a>(headers: &[Header<'a>], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(found.value).ok().map(str::trim)
}

/// What the headers say of the body's length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// It has so many bytes.
    Known(usize),
    /// It comes in chunks, the last of them empty.
    Chunked,
    /// Nothing: there is no body, or it ends with the connection.
    Unspecified,
}

/// Reads from the headers the length of a body that may have `max` bytes.
///
/// # Errors
/// It is longer, or its length is no number.
pub fn body_length(headers: &[Header], max: usize) -> Result<BodyLength, BodyError> {
    if header(headers, "transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
        return Ok(BodyLength::Chunked);
    }
    let Some(length) = header(headers, "content-length") else { return Ok(BodyLength::Unspecified) };
    let length = length.parse().map_err(|_| BodyError::Malformed)?;
    if length > max {
        return Err(BodyError::TooLong);
    }
    Ok(BodyLength::Known(length))
}

/// The body that chunks make up; `None` while the last has not come.
///
/// # Errors
/// It is longer than `max` bytes, or a chunk's size is no number.
pub fn decode_chunked(mut rest: &[u8], max: usize) -> Result<Option<Vec<u8>>, BodyError> {
    let mut body = Vec::new();
    loop {
        let (start, size) = match httparse::parse_chunk_size(rest) {
            Ok(Status::Complete(chunk)) => chunk,
            Ok(Status::Partial) => return Ok(None),
            Err(_) => return Err(BodyError::Malformed),
        };
        if size > max as u64 || body.len() > max {
            return Err(BodyError::TooLong);
        }
        let end = start + size as usize;
        let Some(chunk) = rest.get(start..end) else { return Ok(None) };
        let Some(after) = rest.get(end + CHUNK_END..) else { return Ok(None) };
        if size == 0 {
            return Ok(Some(body));
        }
        body.extend_from_slice(chunk);
        rest = after;
    }
}

//! The parts of HTTP/1.1 that the admin interface and discovery share: message bodies with a length or in chunks.

use httparse::{Header, Status};

/// Length of the line break that follows the data of a chunk, in bytes.
const CHUNK_END_LENGTH: usize = 2;

/// Why the body of a message is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The length or the chunked coding is malformed.
    #[error("malformed body")]
    Malformed,
    /// The body is longer than is accepted.
    #[error("body too long")]
    TooLong,
}

/// The value of a header without surrounding white space, if the header is present and its value is UTF-8.
pub fn header<'a>(headers: &[Header<'a>], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(found.value).ok().map(str::trim)
}

/// The body's length according to the headers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// The length in bytes, from `Content-Length`.
    Known(usize),
    /// The body is sent in chunks and ends with an empty one.
    Chunked,
    /// The headers do not say: there is no body, or it ends with the connection.
    Unspecified,
}

/// Reads the length of a body of at most `max` bytes from the headers.
///
/// # Errors
/// The body is longer than `max`, or its length is not a number.
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

/// Decodes a body in chunks; `None` until the last chunk is received.
///
/// # Errors
/// The body is longer than `max` bytes, or a chunk's size is not a number.
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
        let Some(after) = rest.get(end + CHUNK_END_LENGTH..) else { return Ok(None) };
        if size == 0 {
            return Ok(Some(body));
        }
        body.extend_from_slice(chunk);
        rest = after;
    }
}

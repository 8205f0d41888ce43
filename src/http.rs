//! What HTTP is spoken beside the main protocol: bodies of messages, by length or in chunks.

use httparse::{Header, Status};

/// Why a body cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadBody {
    /// Its length or its chunks are malformed.
    Malformed,
    /// Longer than is taken.
    TooLong,
}

/// A header's value, if it is text.
pub fn header<'a>(headers: &[Header<'a>], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(found.value).ok().map(str::trim)
}

/// What the headers say of the body's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Extent {
    /// It has so many bytes.
    Length(usize),
    /// It comes in chunks, the last of them empty.
    Chunked,
    /// Nothing: there is no body, or it ends with the connection.
    Unsaid,
}

/// Reads from the headers how a body ends that may have `most` bytes.
pub fn extent(headers: &[Header], most: usize) -> Result<Extent, BadBody> {
    if header(headers, "transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
        return Ok(Extent::Chunked);
    }
    let Some(length) = header(headers, "content-length") else { return Ok(Extent::Unsaid) };
    let length = length.parse().map_err(|_| BadBody::Malformed)?;
    if length > most {
        return Err(BadBody::TooLong);
    }
    Ok(Extent::Length(length))
}

/// The body that chunks make up, once the last has come.
pub fn unchunk(mut rest: &[u8], most: usize) -> Result<Option<Vec<u8>>, BadBody> {
    let mut body = Vec::new();
    loop {
        let (start, size) = match httparse::parse_chunk_size(rest) {
            Ok(Status::Complete(chunk)) => chunk,
            Ok(Status::Partial) => return Ok(None),
            Err(_) => return Err(BadBody::Malformed),
        };
        if size > most as u64 || body.len() > most {
            return Err(BadBody::TooLong);
        }
        let end = start + size as usize;
        let Some(chunk) = rest.get(start..end) else { return Ok(None) };
        let Some(after) = rest.get(end + 2..) else { return Ok(None) };
        if size == 0 {
            return Ok(Some(body));
        }
        body.extend_from_slice(chunk);
        rest = after;
    }
}

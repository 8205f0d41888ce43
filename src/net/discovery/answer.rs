//! Discovery's answers: HTTP responses whose body is an endpoint list.

use std::fmt;

use super::listing::Listing;
use crate::http::{self, BodyError, BodyLength};

/// Most bytes of an answer's head and of its body.
const MAX_HEAD: usize = 16 * 1024;
const MAX_BODY: usize = 4 * 1024 * 1024;

/// Why an answer of discovery cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadAnswer {
    /// Not HTTP, or cut off.
    Head,
    /// Another status than 200.
    Status(u16),
    /// Longer than is taken.
    TooLong,
    /// A body that is no endpoint list.
    Body,
    /// A late answer that says nothing which is not known.
    NotNewer,
}

impl std::error::Error for BadAnswer {}

impl fmt::Display for BadAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BadAnswer::Head => write!(f, "malformed or incomplete response head"),
            BadAnswer::Status(status) => write!(f, "response status {status}"),
            BadAnswer::TooLong => write!(f, "response too long"),
            BadAnswer::Body => write!(f, "response body is no endpoint list"),
            BadAnswer::NotNewer => write!(f, "response is not newer than what is known"),
        }
    }
}

impl BadAnswer {
    fn from_body(bad: BodyError, malformed: BadAnswer) -> BadAnswer {
        match bad {
            BodyError::Malformed => malformed,
            BodyError::TooLong => BadAnswer::TooLong,
        }
    }
}

/// The endpoint list in an answer, once it is complete; an end without a byte is none.
pub(super) fn read_answer(bytes: &[u8], has_ended: bool) -> Result<Option<Listing>, BadAnswer> {
    if has_ended && bytes.is_empty() {
        return Ok(None);
    }
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    let head = match response.parse(bytes) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) if has_ended || bytes.len() > MAX_HEAD => {
            return Err(BadAnswer::Head);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(BadAnswer::Head),
    };
    let status = response.code.unwrap_or_default();
    let Some(body) = complete_body(response.headers, &bytes[head..], has_ended)? else { return Ok(None) };
    match status {
        200 => serde_json::from_slice(&body).map(Some).map_err(|_| BadAnswer::Body),
        _ => Err(BadAnswer::Status(status)),
    }
}

/// The body of an answer, once it is complete.
fn complete_body(
    headers: &[httparse::Header],
    bytes: &[u8],
    has_ended: bool,
) -> Result<Option<Vec<u8>>, BadAnswer> {
    let length =
        http::body_length(headers, MAX_BODY).map_err(|bad| BadAnswer::from_body(bad, BadAnswer::Head))?;
    let body = match length {
        BodyLength::Chunked => {
            http::decode_chunked(bytes, MAX_BODY).map_err(|bad| BadAnswer::from_body(bad, BadAnswer::Body))?
        }
        BodyLength::Known(length) => bytes.get(..length).map(<[u8]>::to_vec),
        BodyLength::Unspecified => has_ended.then(|| bytes.to_vec()),
    };
    match body {
        Some(body) => Ok(Some(body)),
        None if has_ended => Err(BadAnswer::Body),
        None if bytes.len() > 2 * MAX_BODY => Err(BadAnswer::TooLong),
        None => Ok(None),
    }
}

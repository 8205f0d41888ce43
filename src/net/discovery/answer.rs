//! Responses of the discovery service: HTTP responses whose body is an endpoint list.

use std::fmt;

use super::listing::EndpointList;
use crate::http::{self, BodyError, BodyLength};

/// Longest head of a response, in bytes.
const MAX_HEAD: usize = 16 * 1024;
/// Longest body of a response, in bytes.
const MAX_BODY: usize = 4 * 1024 * 1024;

/// Why a response of the discovery service cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerError {
    /// The head is malformed, too long or incomplete.
    Head,
    /// The status is not 200.
    Status(u16),
    /// The response is longer than is accepted.
    TooLong,
    /// The body is incomplete or is not an endpoint list.
    Body,
    /// A late response whose version is not newer than the known one.
    NotNewer,
}

impl std::error::Error for AnswerError {}

impl fmt::Display for AnswerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AnswerError::Head => write!(f, "malformed or incomplete response head"),
            AnswerError::Status(status) => write!(f, "response status {status}"),
            AnswerError::TooLong => write!(f, "response too long"),
            AnswerError::Body => write!(f, "response body is not an endpoint list"),
            AnswerError::NotNewer => write!(f, "response is not newer than the known version"),
        }
    }
}

impl AnswerError {
    fn from_body(error: BodyError, malformed: AnswerError) -> AnswerError {
        match error {
            BodyError::Malformed => malformed,
            BodyError::TooLong => AnswerError::TooLong,
        }
    }
}

/// Parses the endpoint list in a response; `None` while the response is incomplete, and if the connection ended without
/// any byte.
pub(super) fn read_answer(bytes: &[u8], has_ended: bool) -> Result<Option<EndpointList>, AnswerError> {
    if has_ended && bytes.is_empty() {
        return Ok(None);
    }
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    let head = match response.parse(bytes) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) if has_ended || bytes.len() > MAX_HEAD => {
            return Err(AnswerError::Head);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(AnswerError::Head),
    };
    let status = response.code.unwrap_or_default();
    let Some(body) = complete_body(response.headers, &bytes[head..], has_ended)? else { return Ok(None) };
    match status {
        200 => serde_json::from_slice(&body).map(Some).map_err(|_| AnswerError::Body),
        _ => Err(AnswerError::Status(status)),
    }
}

/// The body of a response; `None` while it is incomplete.
fn complete_body(
    headers: &[httparse::Header],
    bytes: &[u8],
    has_ended: bool,
) -> Result<Option<Vec<u8>>, AnswerError> {
    let length = http::body_length(headers, MAX_BODY)
        .map_err(|error| AnswerError::from_body(error, AnswerError::Head))?;
    let body = match length {
        BodyLength::Chunked => http::decode_chunked(bytes, MAX_BODY)
            .map_err(|error| AnswerError::from_body(error, AnswerError::Body))?,
        BodyLength::Known(length) => bytes.get(..length).map(<[u8]>::to_vec),
        BodyLength::Unspecified => has_ended.then(|| bytes.to_vec()),
    };
    match body {
        Some(body) => Ok(Some(body)),
        None if has_ended => Err(AnswerError::Body),
        None if bytes.len() > 2 * MAX_BODY => Err(AnswerError::TooLong),
        None => Ok(None),
    }
}

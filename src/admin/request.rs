//! Requests to the admin interface: how they are read from HTTP, and the statuses that answer them.

use crate::http::{self, BodyError, BodyLength};

/// Most bytes of a request's head.
const MAX_HEAD: usize = 8 * 1024;
/// Most bytes of a request's body.
const MAX_BODY: usize = 1024;
/// Most headers of a request.
const MAX_HEADERS: usize = 64;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// Whether the process accepts clients.
    Readiness,
    /// The metrics.
    Stats,
    /// Take the host of this name out of service.
    SetDown(String),
    /// Put the host of this name back into service.
    SetUp(String),
    /// What this gateway knows of its fleet.
    Fleet,
}

/// The status of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpStatus {
    /// Done.
    Ok,
    /// The request cannot be read.
    BadRequest,
    /// No such path, or no such host.
    NotFound,
    /// The path wants another method.
    MethodNotAllowed,
    /// No complete request came in time.
    RequestTimeout,
    /// The head or the body is too long.
    ContentTooLarge,
    /// Not at present.
    ServiceUnavailable,
}

impl HttpStatus {
    /// Code and reason, as they stand in a response's first line.
    pub fn as_str(self) -> &'static str {
        match self {
            HttpStatus::Ok => "200 OK",
            HttpStatus::BadRequest => "400 Bad Request",
            HttpStatus::NotFound => "404 Not Found",
            HttpStatus::MethodNotAllowed => "405 Method Not Allowed",
            HttpStatus::RequestTimeout => "408 Request Timeout",
            HttpStatus::ContentTooLarge => "413 Content Too Large",
            HttpStatus::ServiceUnavailable => "503 Service Unavailable",
        }
    }
}

impl From<BodyError> for HttpStatus {
    fn from(error: BodyError) -> HttpStatus {
        match error {
            BodyError::Malformed => HttpStatus::BadRequest,
            BodyError::TooLong => HttpStatus::ContentTooLarge,
        }
    }
}

/// Reads a request; `None` while it is not complete.
///
/// # Errors
/// The status to reject it with.
pub fn parse(bytes: &[u8]) -> Result<Option<AdminRequest>, HttpStatus> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head_length = match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() > MAX_HEAD => return Err(HttpStatus::ContentTooLarge),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(HttpStatus::BadRequest),
    };
    let Some(body) = parse_body(request.headers, &bytes[head_length..])? else { return Ok(None) };
    let path = request.path.unwrap_or_default();
    let path = path.split_once('?').map_or(path, |(path, _)| path);
    route(request.method, path, body).map(Some)
}

/// The body behind a head with these headers; `None` while it is not complete.
fn parse_body(headers: &[httparse::Header], rest: &[u8]) -> Result<Option<Vec<u8>>, HttpStatus> {
    let body = match http::body_length(headers, MAX_BODY)? {
        BodyLength::Known(length) => rest.get(..length).map(<[u8]>::to_vec),
        BodyLength::Chunked => http::decode_chunked(rest, MAX_BODY)?,
        BodyLength::Unspecified => Some(Vec::new()),
    };
    match body {
        None if rest.len() > MAX_HEAD => Err(HttpStatus::ContentTooLarge),
        body => Ok(body),
    }
}

fn route(method: Option<&str>, path: &str, body: Vec<u8>) -> Result<AdminRequest, HttpStatus> {
    let (allowed_method, request): (_, fn(String) -> AdminRequest) = match path {
        "/ops/readiness" => ("GET", |_| AdminRequest::Readiness),
        "/ops/stats" => ("GET", |_| AdminRequest::Stats),
        "/ops/fleet" => ("GET", |_| AdminRequest::Fleet),
        "/ops/database-hosts/down" => ("POST", AdminRequest::SetDown),
        "/ops/database-hosts/up" => ("POST", AdminRequest::SetUp),
        _ => return Err(HttpStatus::NotFound),
    };
    if method != Some(allowed_method) {
        return Err(HttpStatus::MethodNotAllowed);
    }
    let body = String::from_utf8(body).map_err(|_| HttpStatus::BadRequest)?;
    Ok(request(body.trim().to_string()))
}

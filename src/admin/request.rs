//! Requests to the admin interface: their parsing from HTTP, and the statuses of responses.

use crate::http::{self, BodyError, BodyLength};

/// Longest head of a request, in bytes.
const MAX_HEAD: usize = 8 * 1024;
/// Longest body of a request, in bytes.
const MAX_BODY: usize = 1024;
/// Largest number of headers of a request.
const MAX_HEADERS: usize = 64;

/// A request of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// Get whether the process accepts clients.
    Readiness,
    /// Get the metrics.
    Stats,
    /// Set the host with this name administratively down.
    SetDown(String),
    /// Put the host with this name back into service.
    SetUp(String),
    /// Get the status of the fleet as this gateway knows it.
    Fleet,
    /// Get the bytes that the buffers of this process hold.
    Memory,
}

/// The status of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpStatus {
    /// The request was carried out.
    Ok,
    /// The request is malformed.
    BadRequest,
    /// The path or the host does not exist.
    NotFound,
    /// The path does not support the request's method.
    MethodNotAllowed,
    /// No complete request was received in time.
    RequestTimeout,
    /// The head or the body is too long.
    ContentTooLarge,
    /// The request cannot be served at present.
    ServiceUnavailable,
}

impl HttpStatus {
    /// Status code and reason phrase, as in the status line of a response.
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

/// Parses a request; `None` while it is incomplete.
///
/// # Errors
/// Returns the status with which to reject the request.
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

/// The body that follows a head with these headers; `None` while it is incomplete.
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
    let (allowed_method, to_request): (_, fn(String) -> AdminRequest) = match path {
        "/ops/readiness" => ("GET", |_| AdminRequest::Readiness),
        "/ops/stats" => ("GET", |_| AdminRequest::Stats),
        "/ops/fleet" => ("GET", |_| AdminRequest::Fleet),
        "/ops/memory" => ("GET", |_| AdminRequest::Memory),
        "/ops/database-hosts/down" => ("POST", AdminRequest::SetDown),
        "/ops/database-hosts/up" => ("POST", AdminRequest::SetUp),
        _ => return Err(HttpStatus::NotFound),
    };
    if method != Some(allowed_method) {
        return Err(HttpStatus::MethodNotAllowed);
    }
    let body = String::from_utf8(body).map_err(|_| HttpStatus::BadRequest)?;
    Ok(to_request(body.trim().to_string()))
}

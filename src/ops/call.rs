//! An operator's call, driven by bytes: one request, one answer, then the connection ends.

use crate::http::{self, BadBody, Extent};
use crate::pg::codec::Outbox;

/// Most bytes of a call's head and of its body.
const MAX_HEAD: usize = 8 * 1024;
const MAX_BODY: usize = 1024;

/// What an operator wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Whether the process takes clients.
    Readiness,
    /// The figures.
    Stats,
    /// Leave the host of this name out.
    Down(String),
    /// Put the host of this name back.
    Up(String),
    /// What this gateway knows of its fleet.
    Fleet,
}

/// A status with its reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Yes.
    Ok,
    /// The call cannot be read.
    BadRequest,
    /// No such path, or no such host.
    NotFound,
    /// The path wants another method.
    WrongMethod,
    /// No whole call came in time.
    TooLate,
    /// The body or the head is too long.
    TooLong,
    /// Not at present.
    Unavailable,
}

impl Status {
    fn line(self) -> &'static str {
        match self {
            Status::Ok => "200 OK",
            Status::BadRequest => "400 Bad Request",
            Status::NotFound => "404 Not Found",
            Status::WrongMethod => "405 Method Not Allowed",
            Status::TooLate => "408 Request Timeout",
            Status::TooLong => "413 Content Too Large",
            Status::Unavailable => "503 Service Unavailable",
        }
    }
}

/// A caller's connection.
#[derive(Debug, Default)]
pub struct Call {
    bytes: Vec<u8>,
    /// Bytes for the caller.
    pub out: Outbox,
    answered: bool,
}

impl Call {
    /// Takes bytes in. Once the call is whole it says what is wanted, or why that cannot be; what
    /// comes after the answer is passed over.
    pub fn receive(&mut self, bytes: &[u8]) -> Option<Result<Order, Status>> {
        if self.answered {
            return None;
        }
        self.bytes.extend_from_slice(bytes);
        self.order().transpose()
    }

    fn order(&self) -> Result<Option<Order>, Status> {
        let mut headers = [httparse::EMPTY_HEADER; 64];
        let mut request = httparse::Request::new(&mut headers);
        let head = match request.parse(&self.bytes) {
            Ok(httparse::Status::Complete(head)) => head,
            Ok(httparse::Status::Partial) if self.bytes.len() > MAX_HEAD => return Err(Status::TooLong),
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(Status::BadRequest),
        };
        let rest = &self.bytes[head..];
        let body = match http::extent(request.headers, MAX_BODY) {
            Ok(Extent::Length(length)) => Ok(rest.get(..length).map(<[u8]>::to_vec)),
            Ok(Extent::Chunked) => http::unchunk(rest, MAX_BODY),
            Ok(Extent::Unsaid) => Ok(Some(Vec::new())),
            Err(bad) => Err(bad),
        };
        let body = body.map_err(|bad| match bad {
            BadBody::Malformed => Status::BadRequest,
            BadBody::TooLong => Status::TooLong,
        })?;
        let Some(body) = body else {
            return if rest.len() > MAX_HEAD { Err(Status::TooLong) } else { Ok(None) };
        };
        let path = request.path.unwrap_or_default();
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let (method, order): (_, fn(String) -> Order) = match path {
            "/ops/readiness" => ("GET", |_| Order::Readiness),
            "/ops/stats" => ("GET", |_| Order::Stats),
            "/ops/fleet" => ("GET", |_| Order::Fleet),
            "/ops/database-hosts/down" => ("POST", Order::Down),
            "/ops/database-hosts/up" => ("POST", Order::Up),
            _ => return Err(Status::NotFound),
        };
        if request.method != Some(method) {
            return Err(Status::WrongMethod);
        }
        let body = String::from_utf8(body).map_err(|_| Status::BadRequest)?;
        Ok(Some(order(body.trim().to_string())))
    }

    /// Answers the call; only the first answer counts.
    pub fn answer(&mut self, status: Status, body: &str) {
        if std::mem::replace(&mut self.answered, true) {
            return;
        }
        self.bytes = Vec::new();
        let (line, length) = (status.line(), body.len());
        let head = format!("HTTP/1.1 {line}\r\nContent-Type: text/plain\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n");
        self.out.bytes.extend_from_slice(head.as_bytes());
        self.out.bytes.extend_from_slice(body.as_bytes());
    }

    /// Whether it has its answer, though that may still have to be written.
    pub fn is_answered(&self) -> bool {
        self.answered
    }
}

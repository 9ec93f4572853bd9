//! Finds the heads of pipelined requests in the bytes of a caller's connection.

use std::collections;

use bytes::Buf as _;
use bytes::BytesMut;
use hyper::header;

/// Largest head that is looked for; a longer one is left to the HTTP library.
const MAX_HEAD_BYTES: usize = 16 * 1_024;
/// Largest number of headers of a head.
const MAX_HEADERS: usize = 64;
/// Headers with which a request is more than its head, or the last one on its connection.
const ENDING_HEADERS: [header::HeaderName; 5] = [
    header::CONTENT_LENGTH,
    header::TRANSFER_ENCODING,
    header::EXPECT,
    header::UPGRADE,
    header::CONNECTION,
];

/// A pipelined request and its position on the connection, counted from 0.
#[derive(Debug)]
pub(crate) struct Head {
    pub(crate) number: u64,
    pub(crate) parts: hyper::http::request::Parts,
}

/// Finds the heads of requests without bodies in the bytes of a connection.
///
/// It ends at the first request that may be followed by anything else than another head.
#[derive(Debug, Default)]
pub(crate) struct Lookahead {
    pending: BytesMut,
    found: u64,
    heads: collections::VecDeque<Head>,
    has_ended: bool,
}

impl Lookahead {
    /// Adds bytes that arrived on the connection.
    pub(crate) fn feed(&mut self, bytes: &[u8]) {
        if self.has_ended {
            return;
        }
        self.pending.extend_from_slice(bytes);
        while !self.has_ended && !self.pending.is_empty() {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut request = httparse::Request::new(&mut headers);
            match request.parse(&self.pending) {
                Ok(httparse::Status::Complete(length)) => {
                    let parts = parts(&request);
                    self.pending.advance(length);
                    self.add(parts);
                }
                Ok(httparse::Status::Partial) => {
                    self.has_ended = self.pending.len() > MAX_HEAD_BYTES;
                    break;
                }
                Err(_invalid) => self.has_ended = true,
            }
        }
        if self.has_ended {
            self.pending = BytesMut::new();
        }
    }

    fn add(&mut self, parts: Option<hyper::http::request::Parts>) {
        let number = self.found;
        self.found += 1;
        match parts {
            Some(parts) => self.heads.push_back(Head { number, parts }),
            None => self.has_ended = true,
        }
    }

    /// Returns the next head behind the request with a position.
    pub(crate) fn next_behind(&mut self, position: u64) -> Option<Head> {
        while let Some(head) = self.heads.pop_front() {
            if head.number > position {
                return Some(head);
            }
        }
        None
    }

    /// Returns whether no further head can be found.
    pub(crate) const fn has_ended(&self) -> bool {
        self.has_ended
    }
}

/// Converts the head of a request that is nothing but its head; `None` for others.
fn parts(request: &httparse::Request<'_, '_>) -> Option<hyper::http::request::Parts> {
    let (method, path, version) = (request.method?, request.path?, request.version?);
    if method != "GET" || version != 1 {
        return None;
    }
    let mut builder = hyper::Request::get(path).version(hyper::Version::HTTP_11);
    for header in request.headers.iter() {
        let is_ending = |name: &header::HeaderName| header.name.eq_ignore_ascii_case(name.as_str());
        if ENDING_HEADERS.iter().any(is_ending) {
            return None;
        }
        builder = builder.header(header.name, header.value);
    }
    let (parts, ()) = builder.body(()).ok()?.into_parts();
    Some(parts)
}

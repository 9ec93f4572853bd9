//! Bodies that are passed on, whole where they are small.

use std::pin;
use std::task;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt as _;

use super::memory;

/// Bytes of a body that are read before it is passed on.
pub(crate) const WHOLE_BYTES: usize = 256 * 1_024;

/// Bytes that are handed on at once; the rest waits here until they are taken.
const PIECE_BYTES: usize = 16 * 1_024;

/// Error of a body that ends early.
pub(crate) type Fault = Box<dyn std::error::Error + Send + Sync>;

/// A body of which the beginning is known and the rest may still come.
#[derive(Debug)]
pub(crate) struct Passing {
    head: Option<Bytes>,
    rest: Option<hyper::body::Incoming>,
    /// Bytes that may still come.
    room: u64,
    /// Counts the beginning as held for as long as it may be.
    hold: Option<memory::Hold>,
}

/// A body that was read as far as it is kept in memory.
#[derive(Debug)]
pub(crate) enum Read {
    /// The whole body.
    Whole(Bytes),
    /// The beginning, and the rest.
    Part(Bytes, hyper::body::Incoming),
    /// The beginning, for which there is no room, and the rest.
    Crowded(Bytes, hyper::body::Incoming),
}

impl Passing {
    /// Creates a body of which all bytes are known.
    pub(crate) const fn whole(bytes: Bytes) -> Self {
        Self {
            head: Some(bytes),
            rest: None,
            room: 0,
            hold: None,
        }
    }

    /// Keeps what is counted as held until the body has been handed on.
    pub(crate) fn with_hold(self, hold: memory::Hold) -> Self {
        Self {
            hold: Some(hold),
            ..self
        }
    }

    /// Creates a body that goes on for `room` bytes at most after its beginning.
    pub(crate) const fn streaming(head: Bytes, rest: hyper::body::Incoming, room: u64) -> Self {
        Self {
            head: Some(head),
            rest: Some(rest),
            room,
            hold: None,
        }
    }
}

impl hyper::body::Body for Passing {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<hyper::body::Frame<Bytes>, Fault>>> {
        if let Some(head) = self.head.as_mut().filter(|head| !head.is_empty()) {
            let piece = head.split_to(head.len().min(PIECE_BYTES));
            return task::Poll::Ready(Some(Ok(hyper::body::Frame::data(piece))));
        }
        self.hold = None;
        let Some(rest) = self.rest.as_mut() else {
            return task::Poll::Ready(None);
        };
        let frame = task::ready!(pin::Pin::new(rest).poll_frame(cx));
        let length = match &frame {
            Some(Ok(frame)) => frame.data_ref().map_or(0, Bytes::len),
            _ => 0,
        };
        let length = u64::try_from(length).unwrap_or(u64::MAX);
        let Some(room) = self.room.checked_sub(length) else {
            return task::Poll::Ready(Some(Err("the body is over the limit".into())));
        };
        self.room = room;
        task::Poll::Ready(frame.map(|frame| frame.map_err(Fault::from)))
    }

    fn is_end_stream(&self) -> bool {
        let has_head = self.head.as_ref().is_some_and(|head| !head.is_empty());
        !has_head
            && self
                .rest
                .as_ref()
                .is_none_or(hyper::body::Body::is_end_stream)
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        let head = self.head.as_ref().map_or(0, Bytes::len);
        let head = u64::try_from(head).unwrap_or(u64::MAX);
        match &self.rest {
            None => hyper::body::SizeHint::with_exact(head),
            Some(rest) => rest
                .size_hint()
                .exact()
                .map_or_else(hyper::body::SizeHint::new, |left| {
                    hyper::body::SizeHint::with_exact(head.saturating_add(left))
                }),
        }
    }
}

/// Reads a body to its end, or as far as it is kept in memory.
///
/// # Errors
///
/// Fails when the body ends early.
pub(crate) async fn read(
    mut incoming: hyper::body::Incoming,
    hold: &mut memory::Hold,
) -> Result<Read, hyper::Error> {
    let length = hyper::body::Body::size_hint(&incoming).lower();
    let length = usize::try_from(length).unwrap_or(usize::MAX);
    let mut bytes = BytesMut::with_capacity(length.min(WHOLE_BYTES));
    while let Some(frame) = incoming.frame().await {
        let mut has_room = true;
        if let Ok(data) = frame?.into_data() {
            has_room = hold.add(data.len());
            bytes.extend_from_slice(&data);
        }
        if !has_room {
            return Ok(Read::Crowded(bytes.freeze(), incoming));
        }
        if bytes.len() > WHOLE_BYTES {
            return Ok(Read::Part(bytes.freeze(), incoming));
        }
    }
    Ok(Read::Whole(bytes.freeze()))
}

//! Request and response bodies that are forwarded, buffered whole where they are small.

use std::pin;
use std::task;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt as _;

use super::active;
use super::memory;
use super::observer;
use super::upload;

/// Bytes of a body that are buffered before it is forwarded; a longer body is streamed.
pub(crate) const MAX_BUFFERED_BYTES: usize = 256 * 1_024;

/// Largest data frame; the rest of the buffer waits here until the receiver has taken it.
const MAX_FRAME_BYTES: usize = 16 * 1_024;

/// Error of a body that ends early or exceeds its limit.
pub(crate) type Error = Box<dyn std::error::Error + Send + Sync>;

/// A body with a buffered head and possibly a tail that is still arriving.
#[derive(Debug)]
pub(crate) struct Forwarded {
    head: Option<Bytes>,
    tail: Option<hyper::body::Incoming>,
    /// Bytes that the tail may still have.
    remaining: u64,
    /// Counts the head against the memory budget until the head is handed over.
    reservation: Option<memory::Reservation>,
    /// Follows the tail.
    observer: Option<Box<observer::Observer>>,
    /// Keeps the request active until the body has left.
    _active: Option<active::ActiveRequest>,
}

/// Result of buffering a body.
#[derive(Debug)]
pub(crate) enum Prefix {
    /// The whole body.
    Complete(Bytes),
    /// The first bytes of a long body, and its tail.
    Partial(Bytes, hyper::body::Incoming),
    /// The first bytes of a body that exceeds the memory budget, and its tail.
    NoMemory(Bytes, hyper::body::Incoming),
}

impl Forwarded {
    /// Creates a body of which all bytes are buffered.
    pub(crate) const fn complete(bytes: Bytes) -> Self {
        Self {
            head: Some(bytes),
            tail: None,
            remaining: 0,
            reservation: None,
            observer: None,
            _active: None,
        }
    }

    /// Keeps the request active until the body has left.
    pub(crate) fn with_active(self, active: active::ActiveRequest) -> Self {
        Self {
            _active: Some(active),
            ..self
        }
    }

    /// Holds a memory reservation until the head is handed over.
    pub(crate) fn with_reservation(self, reservation: memory::Reservation) -> Self {
        Self {
            reservation: Some(reservation),
            ..self
        }
    }

    /// Sets what follows the tail.
    pub(crate) fn with_observer(self, observer: Option<observer::Observer>) -> Self {
        Self {
            observer: observer.map(Box::new),
            ..self
        }
    }

    fn record_fault(&self, fault: upload::Fault) {
        if let Some(observer) = &self.observer {
            observer.record_fault(fault);
        }
    }

    /// Creates a body whose tail is limited to `remaining` bytes.
    pub(crate) const fn streaming(
        head: Bytes,
        tail: hyper::body::Incoming,
        remaining: u64,
    ) -> Self {
        Self {
            head: Some(head),
            tail: Some(tail),
            remaining,
            reservation: None,
            observer: None,
            _active: None,
        }
    }
}

impl hyper::body::Body for Forwarded {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<hyper::body::Frame<Bytes>, Error>>> {
        if let Some(observer) = &mut self.observer {
            observer.record_begin();
        }
        if let Some(head) = self.head.as_mut().filter(|head| !head.is_empty()) {
            let chunk = head.split_to(head.len().min(MAX_FRAME_BYTES));
            return task::Poll::Ready(Some(Ok(hyper::body::Frame::data(chunk))));
        }
        self.reservation = None;
        let Some(tail) = self.tail.as_mut() else {
            return task::Poll::Ready(None);
        };
        let polled = pin::Pin::new(tail).poll_frame(cx);
        if let Some(observer) = &mut self.observer {
            observer.record_read(polled.is_pending());
        }
        let frame = task::ready!(polled);
        let length = match &frame {
            Some(Ok(frame)) => frame.data_ref().map_or(0, Bytes::len),
            Some(Err(_)) => {
                self.record_fault(upload::Fault::CutOff);
                0
            }
            None => 0,
        };
        let length = u64::try_from(length).unwrap_or(u64::MAX);
        let Some(remaining) = self.remaining.checked_sub(length) else {
            self.record_fault(upload::Fault::TooLong);
            return task::Poll::Ready(Some(Err("the body exceeds its length limit".into())));
        };
        self.remaining = remaining;
        task::Poll::Ready(frame.map(|frame| frame.map_err(Error::from)))
    }

    fn is_end_stream(&self) -> bool {
        let has_head = self.head.as_ref().is_some_and(|head| !head.is_empty());
        !has_head
            && self
                .tail
                .as_ref()
                .is_none_or(hyper::body::Body::is_end_stream)
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        let head = self.head.as_ref().map_or(0, Bytes::len);
        let head = u64::try_from(head).unwrap_or(u64::MAX);
        match &self.tail {
            None => hyper::body::SizeHint::with_exact(head),
            Some(tail) => tail
                .size_hint()
                .exact()
                .map_or_else(hyper::body::SizeHint::new, |left| {
                    hyper::body::SizeHint::with_exact(head.saturating_add(left))
                }),
        }
    }
}

/// Buffers a body to its end, its length limit or the end of the memory budget.
///
/// # Errors
///
/// Fails when the connection ends before the body does.
pub(crate) async fn read(
    mut incoming: hyper::body::Incoming,
    reservation: &mut memory::Reservation,
) -> Result<Prefix, hyper::Error> {
    let length = hyper::body::Body::size_hint(&incoming).lower();
    let length = usize::try_from(length).unwrap_or(usize::MAX);
    let mut bytes = BytesMut::with_capacity(length.min(MAX_BUFFERED_BYTES));
    while let Some(frame) = incoming.frame().await {
        let mut has_memory = true;
        if let Ok(data) = frame?.into_data() {
            has_memory = reservation.add(data.len());
            bytes.extend_from_slice(&data);
        }
        if !has_memory {
            return Ok(Prefix::NoMemory(bytes.freeze(), incoming));
        }
        if bytes.len() > MAX_BUFFERED_BYTES {
            return Ok(Prefix::Partial(bytes.freeze(), incoming));
        }
    }
    Ok(Prefix::Complete(bytes.freeze()))
}

//! The response to the caller. It has one head; after the head of a stream only events of the
//! stream and its end may follow.

use http::ResponseHead;
use platform::headers;
use platform::headers::Rejection;

/// How far the response to a caller has got.
#[derive(Debug)]
pub struct CallerReply {
    /// Whether the connection is closed after the response.
    close: bool,
    head_sent: bool,
}

/// The right to send the head of the response, which is used up by sending it.
#[derive(Debug)]
pub struct UnsentHead<'a>(&'a mut CallerReply);

impl CallerReply {
    /// Returns a response of which nothing was sent; `close` states that the connection is
    /// closed after it.
    pub fn new(close: bool) -> Self {
        Self {
            close,
            head_sent: false,
        }
    }

    /// Returns whether a head was sent.
    pub fn head_sent(&self) -> bool {
        self.head_sent
    }

    /// Returns the right to send the head, unless one was sent.
    pub fn unsent_head(&mut self) -> Option<UnsentHead<'_>> {
        (!self.head_sent).then_some(UnsentHead(self))
    }
}

impl UnsentHead<'_> {
    /// Appends an engine's complete response to `out`.
    pub fn write_whole(self, out: &mut Vec<u8>, head: &ResponseHead, body: &[u8]) {
        self.0.head_sent = true;
        headers::write_response(out, head, Some(body.len() as u64), self.0.close);
        out.extend_from_slice(body);
    }

    /// Appends the head of an engine's stream to `out`.
    pub fn begin_stream(self, out: &mut Vec<u8>, head: &ResponseHead) {
        self.0.head_sent = true;
        headers::write_response(out, head, None, self.0.close);
    }

    /// Appends a rejection by the gateway itself to `out`.
    pub fn write_rejection(self, out: &mut Vec<u8>, rejection: &Rejection<'_>) {
        self.0.head_sent = true;
        headers::write_rejection(out, rejection);
    }
}

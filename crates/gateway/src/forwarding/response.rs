//! Reads an engine's response and forwards it to the caller, buffered or as a stream.

use base::Time;
use config::site::RetryPolicy;
use http::BodyDecoder;
use http::ResponseHead;
use http::event_stream;
use http::write::write_chunk;
use http::write::write_last_chunk;
use platform::headers;
use platform::headers::Execution;

use super::AttemptOutcome;
use super::ConnectionReuse;
use super::RequestForwarder;
use super::RequestOutcome;
use super::answer;
use super::answer::AnswerError;
use super::guards::DispatchGuard;
use crate::conn::Conn;
use crate::response_buffers::BufferShare;

/// Maximum length of one event, and of what isn't an event between two of them, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Maximum length of a response body that is buffered until it's complete, in bytes.
const MAX_BUFFERED_BYTES: usize = 512 << 10;

impl RequestForwarder<'_> {
    /// Reads an engine's response and forwards it to the caller.
    pub(super) async fn read_response(
        &mut self,
        conn: &mut Conn,
        guard: &mut DispatchGuard<'_>,
        sent_at: Time,
        caller: &Conn,
    ) -> AttemptOutcome {
        let request = self.request;
        let id = request.metadata.id.as_deref();
        let head = match answer::read_head(conn, &request.head.method, id).await {
            Ok(head) => head,
            Err(error) => {
                self.engine_closed = error.is_disconnect();
                if !self.engine_closed {
                    self.log_unusable(error);
                }
                return AttemptOutcome::Failed;
            }
        };
        self.record_notice(guard, &head);
        match headers::execution(&head, id) {
            Execution::Executed => self.mark_started(),
            Execution::NotExecuted | Execution::WrongInstance => {
                return AttemptOutcome::NotExecuted;
            }
            Execution::Unverified => return AttemptOutcome::Failed,
        }
        let is_stream = head.status < 300 && headers::is_event_stream(&head);
        if self.reply.head_sent() && !is_stream {
            return AttemptOutcome::Failed;
        }
        if is_stream {
            return self
                .forward_stream(conn, guard, sent_at, &head, caller)
                .await;
        }
        guard.record_first_event(sent_at.until(self.shared.now()));
        // Held until the caller has received the answer.
        let mut share = self.shared.response_buffers.share();
        let Some(body) = read_whole_body(conn, &head, &mut share).await else {
            return AttemptOutcome::Failed;
        };
        if body.len() > MAX_BUFFERED_BYTES {
            return AttemptOutcome::Failed;
        }
        self.update_reuse(conn, &head);
        if head.status >= 500 {
            return AttemptOutcome::ErrorResponse(head, body);
        }
        if head.status < 300 {
            // The caller may leave while it receives the answer.
            self.eventless_answer = true;
            self.update_charge(true);
        }
        match self.write_response(&head, &body, caller).await {
            RequestOutcome::Complete | RequestOutcome::CompleteAndClose => AttemptOutcome::Complete,
            RequestOutcome::Aborted => AttemptOutcome::Aborted,
        }
    }

    fn log_unusable(&self, error: AnswerError) {
        let id = self.request.metadata.id.as_deref().unwrap_or("-");
        log::warn!("request: id={id} event=answer outcome=unusable reason=\"{error}\"");
    }

    /// Marks the connection as reusable if the engine keeps it open and no bytes are unread.
    fn update_reuse(&mut self, conn: &Conn, head: &ResponseHead) {
        if !head.connection_close && conn.buf.is_empty() {
            self.reuse = ConnectionReuse::KeepAlive(headers::keep_alive_s(head));
        }
    }

    /// Sends a complete response to the caller.
    pub(super) async fn write_response(
        &mut self,
        head: &ResponseHead,
        body: &[u8],
        caller: &Conn,
    ) -> RequestOutcome {
        let mut out = Vec::with_capacity(512 + body.len());
        let Some(unsent) = self.reply.unsent_head() else {
            return RequestOutcome::Aborted;
        };
        unsent.write_whole(&mut out, head, body);
        match caller.write_all(&out).await {
            Ok(()) => RequestOutcome::Complete,
            Err(_) => RequestOutcome::Aborted,
        }
    }

    /// Forwards a stream of events as they arrive, complete events only.
    async fn forward_stream(
        &mut self,
        conn: &mut Conn,
        guard: &mut DispatchGuard<'_>,
        sent_at: Time,
        head: &ResponseHead,
        caller: &Conn,
    ) -> AttemptOutcome {
        let mut decoder = BodyDecoder::new(head.framing);
        let mut events = Vec::new();
        let mut out = Vec::new();
        let mut empty_bytes = 0;
        // Events of this engine; those of earlier ones show nothing about its answer.
        let mut own_events = 0;
        let mut share = self.shared.response_buffers.share();
        loop {
            match decoder.decode(&conn.buf, &mut events) {
                Ok(consumed) => conn.consume(consumed),
                Err(_) => return self.stream_failure(),
            }
            // A stream that ends inside an event has been broken off, whatever its framing.
            let is_cut = decoder.is_complete() && event_stream::ends_inside_event(&events);
            let is_complete = decoder.is_complete() && !is_cut;
            let complete_len = if is_complete {
                events.len()
            } else {
                event_stream::complete_len(&events)
            };
            if complete_len > 0 {
                if self.event_count == 0 {
                    guard.record_first_event(sent_at.until(self.shared.now()));
                    self.first_event = Some(self.shared.now());
                }
                let (count, last_id) = event_stream::count_and_last_id(&events[..complete_len]);
                if own_events == 0 && count > 0 && !self.may_follow(&events[..complete_len]) {
                    return self.stream_failure();
                }
                own_events += count;
                self.event_count += count as u64;
                empty_bytes = if count > 0 {
                    0
                } else {
                    empty_bytes + complete_len
                };
                self.update_charge(true);
                if let Some(id) = last_id {
                    self.last_event = Some(id.to_owned());
                }
                self.write_head_once(head, &mut out);
                write_chunk(&mut out, &events[..complete_len]);
                events.drain(..complete_len);
            }
            if is_cut {
                if !out.is_empty() && caller.write_all(&out).await.is_err() {
                    return AttemptOutcome::Aborted;
                }
                return self.stream_failure();
            }
            if is_complete && own_events == 0 && self.reply.head_sent() {
                return self.stream_failure();
            }
            if is_complete {
                self.write_head_once(head, &mut out);
                write_last_chunk(&mut out);
                self.update_reuse(conn, head);
                return match caller.write_all(&out).await {
                    Ok(()) => AttemptOutcome::Complete,
                    Err(_) => AttemptOutcome::Aborted,
                };
            }
            let is_too_long = events.len().max(empty_bytes) > MAX_EVENT_BYTES;
            if is_too_long || !share.resize(events.len()) {
                return self.stream_failure();
            }
            if !out.is_empty() {
                if caller.write_all(&out).await.is_err() {
                    return AttemptOutcome::Aborted;
                }
                out.clear();
            }
            match conn.fill().await {
                // Without a length, an end before the first event shows nothing.
                Ok(0) if decoder.is_complete_at_eof() && own_events > 0 => {
                    decoder = BodyDecoder::new(http::Framing::None);
                }
                Ok(0) | Err(_) => {
                    self.engine_closed = true;
                    return self.stream_failure();
                }
                Ok(_) => {}
            }
        }
    }

    /// Returns whether the first of these events, which begin an engine's answer, may follow
    /// the last one that the caller has received.
    fn may_follow(&self, events: &[u8]) -> bool {
        let first = event_stream::first_id(events);
        let resumed = self.reply.head_sent();
        let resumable = resumed || self.route.retry_policy == RetryPolicy::ResumeStream;
        match (first, &self.last_event) {
            (Some(first), Some(last)) if resumable => event_stream::is_later(first, last),
            _ => !resumed,
        }
    }

    /// Appends the head of the response to `out` unless it was sent already.
    fn write_head_once(&mut self, head: &ResponseHead, out: &mut Vec<u8>) {
        if let Some(unsent) = self.reply.unsent_head() {
            unsent.begin_stream(out, head);
        }
    }

    /// Returns the outcome of a broken stream: it can only be retried if the caller has
    /// received nothing or the stream can be resumed.
    fn stream_failure(&self) -> AttemptOutcome {
        if self.reply.head_sent() && self.route.retry_policy != RetryPolicy::ResumeStream {
            return AttemptOutcome::Aborted;
        }
        AttemptOutcome::Failed
    }
}

/// Reads a complete body; returns `None` if it's truncated or too long.
async fn read_whole_body(
    conn: &mut Conn,
    head: &ResponseHead,
    share: &mut BufferShare<'_>,
) -> Option<Vec<u8>> {
    let mut decoder = BodyDecoder::new(head.framing);
    let mut body = Vec::new();
    loop {
        let consumed = decoder.decode(&conn.buf, &mut body).ok()?;
        conn.consume(consumed);
        if decoder.is_complete() {
            return Some(body);
        }
        if body.len() > MAX_BUFFERED_BYTES || !share.resize(body.len()) {
            return None;
        }
        match conn.fill().await {
            // Without a length, an end before the first byte shows nothing.
            Ok(0) if decoder.is_complete_at_eof() && !body.is_empty() => return Some(body),
            Ok(0) | Err(_) => return None,
            Ok(_) => {}
        }
    }
}

//! An engine's answer, held or passed on as it arrives.

use base::Time;
use config::site::RetryPolicy;
use http::BodyDecoder;
use http::ResponseHead;
use http::event_stream;
use http::write::write_chunk;
use http::write::write_last_chunk;
use platform::headers;
use platform::headers::Execution;

use super::End;
use super::Reuse;
use super::Sent;
use super::Way;
use super::guards::Flight;
use crate::conn::Conn;

/// Longest head of an engine's response, in bytes.
const MAX_HEAD: usize = 64 << 10;

/// Largest answer that is held until it's whole, in bytes.
const MAX_HELD: usize = 512 << 10;

impl Way<'_> {
    /// Reads an engine's answer and passes it to the caller.
    pub(super) async fn read_answer(
        &mut self,
        conn: &mut Conn,
        flight: &mut Flight<'_>,
        sent_at: Time,
        caller: &Conn,
    ) -> Sent {
        let head = loop {
            match ResponseHead::parse(&conn.buf, MAX_HEAD, &self.request.head.method) {
                Ok(Some((head, used))) => {
                    conn.used(used);
                    if head.status >= 200 {
                        break head;
                    }
                    continue;
                }
                Ok(None) => {}
                Err(_) => return Sent::Failed,
            }
            match conn.fill().await {
                Ok(0) | Err(_) => return Sent::Failed,
                Ok(_) => {}
            }
        };
        match headers::execution(&head, self.request.call.id.as_deref()) {
            Execution::Executed => {}
            Execution::NotExecuted | Execution::WrongInstance => return Sent::NotRun,
            Execution::Unverified => return Sent::Failed,
        }
        if head.status < 300 && headers::is_event_stream(&head) {
            return self.relay(conn, flight, sent_at, &head, caller).await;
        }
        flight.started(sent_at.until(self.shared.now()));
        let Some(body) = hold(conn, &head).await else {
            return Sent::Failed;
        };
        if body.len() > MAX_HELD {
            return Sent::Failed;
        }
        self.keep(conn, &head);
        if head.status >= 500 {
            return Sent::Refused(head, body);
        }
        match self.pass(&head, &body, caller).await {
            End::Answered | End::Last => Sent::Done,
            End::Cut => Sent::Cut,
        }
    }

    /// Notes that the connection can be used again where nothing is left on it.
    fn keep(&mut self, conn: &Conn, head: &ResponseHead) {
        if !head.connection_close && conn.buf.is_empty() {
            self.reuse = Reuse::For(headers::keep_alive_s(head));
        }
    }

    /// Sends a whole answer to the caller.
    pub(super) async fn pass(&mut self, head: &ResponseHead, body: &[u8], caller: &Conn) -> End {
        let mut out = Vec::with_capacity(512 + body.len());
        headers::write_response(&mut out, head, Some(body.len() as u64), self.request.close);
        out.extend_from_slice(body);
        self.begun = true;
        match caller.write(&out).await {
            Ok(()) => End::Answered,
            Err(_) => End::Cut,
        }
    }

    /// Passes a stream of events on as they arrive, whole events only.
    async fn relay(
        &mut self,
        conn: &mut Conn,
        flight: &mut Flight<'_>,
        sent_at: Time,
        head: &ResponseHead,
        caller: &Conn,
    ) -> Sent {
        let mut body = BodyDecoder::new(head.framing);
        let mut events = Vec::new();
        let mut out = Vec::new();
        loop {
            match body.decode(&conn.buf, &mut events) {
                Ok(used) => conn.used(used),
                Err(_) => return self.broken(),
            }
            let ready = if body.is_complete() {
                events.len()
            } else {
                event_stream::complete_len(&events)
            };
            if ready > 0 {
                if self.events == 0 {
                    flight.started(sent_at.until(self.shared.now()));
                    self.first = Some(self.shared.now());
                }
                let (count, last) = event_stream::count_and_last_id(&events[..ready]);
                self.events += count as u64;
                self.note_use(true);
                if let Some(id) = last {
                    self.last_event = Some(id.to_owned());
                }
                self.begin(head, &mut out);
                write_chunk(&mut out, &events[..ready]);
                events.drain(..ready);
            }
            if body.is_complete() {
                self.begin(head, &mut out);
                write_last_chunk(&mut out);
                self.keep(conn, head);
                return match caller.write(&out).await {
                    Ok(()) => Sent::Done,
                    Err(_) => Sent::Cut,
                };
            }
            if !out.is_empty() {
                if caller.write(&out).await.is_err() {
                    return Sent::Cut;
                }
                out.clear();
            }
            match conn.fill().await {
                Ok(0) if body.is_complete_at_eof() => body = BodyDecoder::new(http::Framing::None),
                Ok(0) | Err(_) => return self.broken(),
                Ok(_) => {}
            }
        }
    }

    /// Adds the head of the answer to `out` unless the caller has it.
    fn begin(&mut self, head: &ResponseHead, out: &mut Vec<u8>) {
        if !self.begun {
            headers::write_response(out, head, None, self.request.close);
            self.begun = true;
        }
    }

    fn broken(&self) -> Sent {
        if self.begun && self.route.retry_policy != RetryPolicy::ResumeStream {
            return Sent::Cut;
        }
        Sent::Failed
    }
}

/// Reads a whole body; `None` where it's cut short or too long.
async fn hold(conn: &mut Conn, head: &ResponseHead) -> Option<Vec<u8>> {
    let mut body = BodyDecoder::new(head.framing);
    let mut content = Vec::new();
    loop {
        let used = body.decode(&conn.buf, &mut content).ok()?;
        conn.used(used);
        if body.is_complete() {
            return Some(content);
        }
        if content.len() > MAX_HELD {
            return None;
        }
        match conn.fill().await {
            Ok(0) if body.is_complete_at_eof() => return Some(content),
            Ok(0) | Err(_) => return None,
            Ok(_) => {}
        }
    }
}

//! Reads the head of an engine's answer and finds out whether it's about the request.

use http::ResponseHead;
use platform::headers;
use thiserror::Error;

use crate::conn::Conn;

/// Maximum length of the head of an engine's response, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Maximum number of interim responses (status 1xx) before a response.
const MAX_INTERIM_RESPONSES: usize = 16;

/// Why a connection gives no answer to the request. None of these shows whether the engine
/// executed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AnswerError {
    /// The engine closed the connection in order.
    #[error("the connection ended before an answer")]
    Closed,
    /// The connection broke.
    #[error("the connection broke before an answer")]
    Broken,
    /// The bytes aren't a response.
    #[error("the answer can't be parsed")]
    Malformed,
    /// The answer bears another identifier than the request.
    #[error("the answer belongs to another request")]
    Foreign,
}

impl AnswerError {
    /// Returns whether the connection ended, in order or not.
    pub fn is_disconnect(self) -> bool {
        matches!(self, Self::Closed | Self::Broken)
    }
}

/// Reads the head of the answer to the request `id`, which used `method`; interim responses
/// are skipped. Nothing in a head is used before its identifier is known to be the request's.
///
/// # Errors
///
/// Fails if the connection ends, or with a head that can't be parsed or belongs to another
/// request; the connection must be closed then.
pub async fn read_head(
    conn: &mut Conn,
    method: &str,
    id: Option<&str>,
) -> Result<ResponseHead, AnswerError> {
    let mut interim_responses = 0;
    loop {
        let parsed = ResponseHead::parse(&conn.buf, MAX_HEAD_BYTES, method);
        if let Some((head, length)) = parsed.map_err(|_| AnswerError::Malformed)? {
            conn.consume(length);
            if !headers::is_about(&head, id) {
                return Err(AnswerError::Foreign);
            }
            if head.status >= 200 {
                return Ok(head);
            }
            interim_responses += 1;
            if interim_responses > MAX_INTERIM_RESPONSES || head.switches_protocol() {
                return Err(AnswerError::Malformed);
            }
            continue;
        }
        match conn.fill().await {
            Ok(0) => return Err(AnswerError::Closed),
            Err(_) => return Err(AnswerError::Broken),
            Ok(_) => {}
        }
    }
}

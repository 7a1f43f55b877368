//! The errors of callers' requests: HTTP status, error code, and whether the request ran.

use host::http::BodyError;
use host::http::full_response;
use http_types::Response;
use request::NotRun;
use serde::Serialize;
use serde_json::json;
use thiserror::Error;

/// Whether a request was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionState {
    /// The request did not run, and this response guarantees that it will not run.
    NotRun,
    /// The request may have run; the caller may retry with the same idempotency key.
    Unknown,
    /// The request ran and the response is complete.
    Finished,
}

/// Why a request gets no response.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CallerError {
    /// The bearer key is missing or unknown.
    #[error("the bearer key is missing or unknown")]
    UnknownKey,
    /// The path or method is unknown.
    #[error("no such path or method")]
    UnknownPath,
    /// The body cannot be read.
    #[error("{0}")]
    InvalidBody(BodyError),
    /// A field or header is invalid.
    #[error("{field}: {reason}")]
    InvalidField {
        /// Name or path of the field.
        field: String,
        /// What is wrong with it.
        reason: FieldError,
    },
    /// The idempotency key was already used with another body.
    #[error("the idempotency key was used with another body")]
    KeyReused,
    /// No request has this idempotency key.
    #[error("the idempotency key names no request")]
    UnknownRequest,
    /// The request did not run.
    #[error("{0}")]
    NotRun(NotRun),
    /// The outcome of the request is unknown.
    #[error("the outcome is unknown; ask again with the same key")]
    OutcomeUnknown,
    /// The request is still running.
    #[error("the request is still under way")]
    Running,
}

/// What is wrong with a field.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FieldError {
    /// The body is not JSON.
    #[error("not JSON: {0}")]
    Syntax(String),
    /// The field is required.
    #[error("missing")]
    Missing,
    /// The value has the wrong type or form.
    #[error("expected {0}")]
    Expected(&'static str),
    /// The value names nothing in the configuration.
    #[error("nothing is named '{0}'")]
    Unknown(String),
    /// The value exceeds this maximum.
    #[error("must be at most {0}")]
    TooLarge(u64),
}

impl CallerError {
    /// Returns the error of an invalid field.
    #[must_use]
    pub fn invalid_field(field: &str, reason: FieldError) -> Self {
        Self::InvalidField {
            field: field.to_owned(),
            reason,
        }
    }

    /// Returns whether the request was executed.
    #[must_use]
    pub fn execution_state(&self) -> ExecutionState {
        match self {
            Self::OutcomeUnknown | Self::Running | Self::UnknownRequest => ExecutionState::Unknown,
            Self::UnknownKey
            | Self::UnknownPath
            | Self::InvalidBody(_)
            | Self::InvalidField { .. }
            | Self::KeyReused
            | Self::NotRun(_) => ExecutionState::NotRun,
        }
    }

    /// Returns the HTTP status.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            Self::UnknownKey => 401,
            Self::UnknownPath | Self::UnknownRequest => 404,
            Self::InvalidBody(BodyError::TooLong(_)) => 413,
            Self::InvalidBody(BodyError::Timeout) => 408,
            Self::InvalidBody(BodyError::Truncated) | Self::InvalidField { .. } => 400,
            Self::KeyReused => 409,
            Self::NotRun(NotRun::BudgetExceeded) => 402,
            Self::NotRun(_) => 503,
            Self::OutcomeUnknown => 502,
            Self::Running => 202,
        }
    }

    /// Returns the error code in the response body.
    #[must_use]
    pub fn code(&self) -> &'static str {
        match self {
            Self::UnknownKey => "unknown_key",
            Self::UnknownPath => "unknown_path",
            Self::InvalidBody(_) => "bad_body",
            Self::InvalidField { .. } => "bad_field",
            Self::KeyReused => "key_reused",
            Self::UnknownRequest => "no_request",
            Self::NotRun(NotRun::BudgetExceeded) => "budget",
            Self::NotRun(NotRun::TokensUnavailable) => "budget_unavailable",
            Self::NotRun(NotRun::Overload) => "overload",
            Self::NotRun(_) => "unavailable",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::Running => "running",
        }
    }

    /// Returns the response body as JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        let mut error = json!({
            "type": self.code(),
            "message": self.to_string(),
            "ran": self.execution_state(),
        });
        if let Self::InvalidField { field, .. } = self {
            error["field"] = json!(field);
        }
        json!({ "error": error }).to_string()
    }

    /// Returns the HTTP response.
    #[must_use]
    pub fn to_response(&self) -> Response {
        let mut response = full_response(self.status(), "application/json", self.to_json());
        if matches!(self, Self::NotRun(_) | Self::OutcomeUnknown | Self::Running) {
            response.insert_header("Retry-After", "1");
        }
        response
    }
}

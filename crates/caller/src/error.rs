//! Typed errors that say whether the request ran.

use host::http::BodyError;
use host::http::full_response;
use http_types::Response;
use request::NotRun;
use serde::Serialize;
use serde_json::json;
use thiserror::Error;

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It did not run and never will under this answer.
    NotRun,
    /// It may have run; the same key may be asked again.
    Unknown,
    /// It ran and its answer is whole.
    Finished,
}

/// Why a caller gets no answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CallerError {
    /// No bearer key, or an unknown one.
    #[error("the bearer key is missing or unknown")]
    Key,
    /// The path or method is unknown.
    #[error("no such path or method")]
    Path,
    /// The body can't be read.
    #[error("{0}")]
    Body(BodyError),
    /// A field is wrong.
    #[error("{field}: {reason}")]
    Field {
        /// The field.
        field: String,
        /// What is wrong.
        reason: FieldReason,
    },
    /// The same key came with another body.
    #[error("the idempotency key was used with another body")]
    OtherBody,
    /// The key names no request.
    #[error("the idempotency key names no request")]
    NoRequest,
    /// The request did not run.
    #[error("{0}")]
    NotRun(NotRun),
    /// The outcome is unknown.
    #[error("the outcome is unknown; ask again with the same key")]
    Unknown,
    /// The request is still under way.
    #[error("the request is still under way")]
    Running,
}

/// What is wrong with a field.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FieldReason {
    /// The body is no JSON.
    #[error("not JSON: {0}")]
    Syntax(String),
    /// The field is required.
    #[error("missing")]
    Missing,
    /// The value has the wrong form.
    #[error("expected {0}")]
    Expected(&'static str),
    /// Nothing has this name.
    #[error("nothing is named '{0}'")]
    Unknown(String),
    /// The value is too large.
    #[error("must be at most {0}")]
    TooLarge(u64),
}

impl CallerError {
    /// Returns the error for a field.
    #[must_use]
    pub fn field(field: &str, reason: FieldReason) -> Self {
        Self::Field {
            field: field.to_owned(),
            reason,
        }
    }

    /// Returns whether the request ran.
    #[must_use]
    pub fn ran(&self) -> Ran {
        match self {
            Self::Unknown | Self::Running | Self::NoRequest => Ran::Unknown,
            Self::Key
            | Self::Path
            | Self::Body(_)
            | Self::Field { .. }
            | Self::OtherBody
            | Self::NotRun(_) => Ran::NotRun,
        }
    }

    /// Returns the HTTP status.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            Self::Key => 401,
            Self::Path | Self::NoRequest => 404,
            Self::Body(BodyError::TooLong(_)) => 413,
            Self::Body(BodyError::Timeout) => 408,
            Self::Body(BodyError::Truncated) | Self::Field { .. } => 400,
            Self::OtherBody => 409,
            Self::NotRun(NotRun::BudgetExceeded) => 402,
            Self::NotRun(_) => 503,
            Self::Unknown => 502,
            Self::Running => 202,
        }
    }

    /// Returns the error's short name.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Key => "unknown_key",
            Self::Path => "unknown_path",
            Self::Body(_) => "bad_body",
            Self::Field { .. } => "bad_field",
            Self::OtherBody => "key_reused",
            Self::NoRequest => "no_request",
            Self::NotRun(NotRun::BudgetExceeded) => "budget",
            Self::NotRun(NotRun::Overload) => "overload",
            Self::NotRun(_) => "unavailable",
            Self::Unknown => "outcome_unknown",
            Self::Running => "running",
        }
    }

    /// Returns the error as JSON.
    #[must_use]
    pub fn json(&self) -> String {
        let mut error = json!({
            "type": self.name(),
            "message": self.to_string(),
            "ran": self.ran(),
        });
        if let Self::Field { field, .. } = self {
            error["field"] = json!(field);
        }
        json!({ "error": error }).to_string()
    }

    /// Returns the error as an answer.
    #[must_use]
    pub fn reply(&self) -> Response {
        let mut response = full_response(self.status(), "application/json", self.json());
        if matches!(self, Self::NotRun(_) | Self::Unknown | Self::Running) {
            response.insert_header("Retry-After", "1");
        }
        response
    }
}

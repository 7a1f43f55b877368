//! The HTTP API for the console page and for scripts.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use config::Document;
use config::Fault;
use config::canonical;
use config::parse;
use host::http::Handler;
use host::http::full_response;
use host::http::read_body;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use serde_json::Value;
use serde_json::json;
use thiserror::Error;

use crate::access::Identities;
use crate::access::Role;
use crate::console::CONSOLE_HTML;

/// Largest body of an operator's request, in bytes.
const MAX_BODY_BYTES: usize = parse::MAX_DOCUMENT_BYTES;

const JSON_MEDIA_TYPE: &str = "application/json";

/// A boxed future.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// The functions of a keeper that the API calls.
#[derive(Clone)]
pub struct Backend {
    /// Returns the keeper's status.
    pub status: Arc<dyn Fn() -> BoxFuture<Value> + Send + Sync>,
    /// Returns the document in force.
    pub document: Arc<dyn Fn() -> BoxFuture<Option<Document>> + Send + Sync>,
    /// Returns the accepted documents, newest first.
    pub history: Arc<dyn Fn() -> BoxFuture<Value> + Send + Sync>,
    /// Returns the faults for which a document would be rejected.
    pub check: Arc<dyn Fn(Document) -> BoxFuture<Vec<Fault>> + Send + Sync>,
    /// Submits a document in the name of an operator.
    pub submit: Arc<dyn Fn(Document, String) -> BoxFuture<Value> + Send + Sync>,
}

/// An error of an operator's request.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OperatorError {
    /// The key is missing or unknown.
    #[error("the operator's key is missing or unknown")]
    InvalidKey,
    /// The operator's role doesn't permit changes.
    #[error("a viewer changes nothing")]
    ReadOnly,
    /// The path or method is unknown.
    #[error("no such page")]
    NotFound,
    /// The body is too long or can't be read.
    #[error("{0}")]
    Body(host::http::BodyError),
    /// The document has faults.
    #[error("the document has {} faults", .0.len())]
    InvalidDocument(Vec<Fault>),
}

impl OperatorError {
    fn to_response(&self) -> Response {
        let status = match self {
            Self::InvalidKey => 401,
            Self::ReadOnly => 403,
            Self::NotFound => 404,
            Self::Body(_) => 413,
            Self::InvalidDocument(_) => 422,
        };
        let mut body = json!({ "error": self.to_string() });
        if let Self::InvalidDocument(faults) = self {
            body["faults"] = faults_json(faults);
        }
        full_response(status, JSON_MEDIA_TYPE, body.to_string())
    }
}

fn faults_json(faults: &[Fault]) -> Value {
    let fault = |f: &Fault| json!({ "path": f.path, "reason": f.reason.to_string() });
    faults.iter().map(fault).collect()
}

/// Returns the HTTP handler for operators' requests.
#[must_use]
pub fn handler(identities: Identities, backend: Backend) -> Handler {
    let identities = Arc::new(identities);
    Arc::new(move |mut request| {
        let identities = Arc::clone(&identities);
        let backend = backend.clone();
        Box::pin(async move {
            let handled = handle(&identities, &backend, &mut request).await;
            handled.unwrap_or_else(|error| error.to_response())
        }) as BoxFuture<Response>
    })
}

async fn handle(
    identities: &Identities,
    backend: &Backend,
    request: &mut Request,
) -> Result<Response, OperatorError> {
    let path = request.url().path().to_owned();
    if request.method() == Method::Get && path == "/" {
        return Ok(console_page());
    }
    let header = request.header("authorization");
    let bearer = header.map(|value| value.last().as_str().to_owned());
    let key = bearer.as_deref().and_then(|v| v.strip_prefix("Bearer "));
    let (name, role) = key
        .and_then(|key| identities.authenticate(key))
        .ok_or(OperatorError::InvalidKey)?;
    match (request.method(), path.as_str()) {
        (Method::Get, "/api/status") => Ok(json_response(&(backend.status)().await)),
        (Method::Get, "/api/history") => Ok(json_response(&(backend.history)().await)),
        (Method::Get, "/api/document") => {
            let document = (backend.document)().await.unwrap_or_default();
            Ok(full_response(
                200,
                JSON_MEDIA_TYPE,
                canonical::to_canonical_json(&document),
            ))
        }
        (Method::Post, "/api/check") => {
            let document = read_document(request).await?;
            let faults = (backend.check)(document.clone()).await;
            if !faults.is_empty() {
                return Err(OperatorError::InvalidDocument(faults));
            }
            let current = (backend.document)().await.unwrap_or_default();
            let lines = config::Patch::between(&current, &document).summary_lines();
            Ok(json_response(&json!({ "changes": lines })))
        }
        (Method::Post, "/api/submit") => {
            if role != Role::Editor {
                return Err(OperatorError::ReadOnly);
            }
            let document = read_document(request).await?;
            let number = document.number;
            let response = (backend.submit)(document, name.to_owned()).await;
            log::info!("operator: {name} submitted document {number}: {response}");
            Ok(json_response(&response))
        }
        _ => Err(OperatorError::NotFound),
    }
}

fn json_response(value: &Value) -> Response {
    full_response(200, JSON_MEDIA_TYPE, value.to_string())
}

fn console_page() -> Response {
    let mut response = full_response(200, "text/html; charset=utf-8", CONSOLE_HTML);
    let policy = "default-src 'none'; style-src 'unsafe-inline'; \
                  script-src 'unsafe-inline'; connect-src 'self'";
    response.insert_header("Content-Security-Policy", policy);
    response.insert_header("X-Content-Type-Options", "nosniff");
    response
}

async fn read_document(request: &mut Request) -> Result<Document, OperatorError> {
    let body = read_body(request, MAX_BODY_BYTES).await;
    let body = body.map_err(OperatorError::Body)?;
    let text = String::from_utf8_lossy(&body);
    parse::parse_document(&text).map_err(OperatorError::InvalidDocument)
}

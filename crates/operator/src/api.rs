//! The questions that a browser or script may ask.

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
use crate::console::PAGE;

/// Largest body of an operator's request, in bytes.
const MAX_BODY: usize = parse::MAX_DOCUMENT_BYTES;

const JSON: &str = "application/json";

/// A future without a name.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// What a keeper answers, as JSON.
#[derive(Clone)]
pub struct Backend {
    /// Returns the keeper's view.
    pub status: Arc<dyn Fn() -> BoxFuture<Value> + Send + Sync>,
    /// Returns the document in force.
    pub document: Arc<dyn Fn() -> BoxFuture<Option<Document>> + Send + Sync>,
    /// Returns the accepted documents, newest first.
    pub history: Arc<dyn Fn() -> BoxFuture<Value> + Send + Sync>,
    /// Returns the faults that submitting a document would meet.
    pub check: Arc<dyn Fn(Document) -> BoxFuture<Vec<Fault>> + Send + Sync>,
    /// Submits a document for an operator.
    pub submit: Arc<dyn Fn(Document, String) -> BoxFuture<Value> + Send + Sync>,
}

/// Why an operator's request is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OperatorError {
    /// The key is missing or unknown.
    #[error("the operator's key is missing or unknown")]
    Key,
    /// The role doesn't allow it.
    #[error("a viewer changes nothing")]
    Role,
    /// No such page.
    #[error("no such page")]
    Path,
    /// The body can't be read.
    #[error("{0}")]
    Body(host::http::BodyError),
    /// The document has faults.
    #[error("the document has {} faults", .0.len())]
    Faulty(Vec<Fault>),
}

impl OperatorError {
    fn reply(&self) -> Response {
        let status = match self {
            Self::Key => 401,
            Self::Role => 403,
            Self::Path => 404,
            Self::Body(_) => 413,
            Self::Faulty(_) => 422,
        };
        let mut body = json!({ "error": self.to_string() });
        if let Self::Faulty(faults) = self {
            body["faults"] = faults_json(faults);
        }
        full_response(status, JSON, body.to_string())
    }
}

fn faults_json(faults: &[Fault]) -> Value {
    let fault = |f: &Fault| json!({ "path": f.path, "reason": f.reason.to_string() });
    faults.iter().map(fault).collect()
}

/// Returns the handler of operators' requests.
#[must_use]
pub fn handler(identities: Identities, backend: Backend) -> Handler {
    let identities = Arc::new(identities);
    Arc::new(move |mut request| {
        let identities = Arc::clone(&identities);
        let backend = backend.clone();
        Box::pin(async move {
            let answered = answer(&identities, &backend, &mut request).await;
            answered.unwrap_or_else(|error| error.reply())
        }) as BoxFuture<Response>
    })
}

async fn answer(
    identities: &Identities,
    backend: &Backend,
    request: &mut Request,
) -> Result<Response, OperatorError> {
    let path = request.url().path().to_owned();
    if request.method() == Method::Get && path == "/" {
        return Ok(page());
    }
    let header = request.header("authorization");
    let bearer = header.map(|value| value.last().as_str().to_owned());
    let key = bearer.as_deref().and_then(|v| v.strip_prefix("Bearer "));
    let (name, role) = key
        .and_then(|key| identities.find(key))
        .ok_or(OperatorError::Key)?;
    match (request.method(), path.as_str()) {
        (Method::Get, "/api/status") => Ok(json_reply(&(backend.status)().await)),
        (Method::Get, "/api/history") => Ok(json_reply(&(backend.history)().await)),
        (Method::Get, "/api/document") => {
            let document = (backend.document)().await.unwrap_or_default();
            Ok(full_response(
                200,
                JSON,
                canonical::to_canonical_json(&document),
            ))
        }
        (Method::Post, "/api/check") => {
            let document = read_document(request).await?;
            let faults = (backend.check)(document.clone()).await;
            if !faults.is_empty() {
                return Err(OperatorError::Faulty(faults));
            }
            let old = (backend.document)().await.unwrap_or_default();
            let lines = config::Patch::between(&old, &document).summary_lines();
            Ok(json_reply(&json!({ "changes": lines })))
        }
        (Method::Post, "/api/submit") => {
            if role != Role::Editor {
                return Err(OperatorError::Role);
            }
            let document = read_document(request).await?;
            let number = document.number;
            let answer = (backend.submit)(document, name.to_owned()).await;
            log::info!("operator: {name} submitted document {number}: {answer}");
            Ok(json_reply(&answer))
        }
        _ => Err(OperatorError::Path),
    }
}

fn json_reply(value: &Value) -> Response {
    full_response(200, JSON, value.to_string())
}

fn page() -> Response {
    let mut response = full_response(200, "text/html; charset=utf-8", PAGE);
    let policy = "default-src 'none'; style-src 'unsafe-inline'; \
                  script-src 'unsafe-inline'; connect-src 'self'";
    response.insert_header("Content-Security-Policy", policy);
    response.insert_header("X-Content-Type-Options", "nosniff");
    response
}

async fn read_document(request: &mut Request) -> Result<Document, OperatorError> {
    let body = read_body(request, MAX_BODY).await;
    let body = body.map_err(OperatorError::Body)?;
    let text = String::from_utf8_lossy(&body);
    parse::parse_document(&text).map_err(OperatorError::Faulty)
}

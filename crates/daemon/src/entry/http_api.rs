//! The HTTP interface for callers.

use std::sync::Arc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use async_channel::Receiver;
use async_channel::Sender;
use base::RequestId;
use base::Span;
use base::Tokens;
use caller::CallerError;
use caller::ChatRequest;
use caller::InboundRequest;
use caller::chat;
use caller::error::FieldError;
use config::Document;
use host::http::BoxFuture;
use host::http::Handler;
use host::http::full_response;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use request::FinalEvent;
use request::NotRun;
use request::Work;

use super::Entry;
use super::answer::AnswerOutcome;
use super::answer::AnswerPart;
use super::answer::SharedAnswer;
use super::execution;
use super::execution::Job;
use super::execution::request_digest;
use super::metrics::Tally;
use super::tables::TeamInfo;

/// Maximum number of events buffered for a slow caller.
const MAX_PENDING_EVENTS: usize = 16;

/// Returns the handler of callers' requests, which receives the entry over the channel.
#[must_use]
pub fn handler(entry: Receiver<Entry>) -> Handler {
    let shared: Arc<async_lock::OnceCell<Entry>> = Arc::default();
    Arc::new(move |request| {
        let shared = Arc::clone(&shared);
        let entry = entry.clone();
        let response = async move {
            let init = async { entry.recv().await };
            match shared.get_or_try_init(|| init).await {
                Ok(entry) => handle_request(entry, request).await,
                Err(_) => CallerError::NotRun(NotRun::ShuttingDown).to_response(),
            }
        };
        Box::pin(response) as BoxFuture<Response>
    })
}

async fn handle_request(entry: &Entry, mut request: Request) -> Response {
    entry.metrics.requests.inc();
    let inbound = match InboundRequest::read(&mut request).await {
        Ok(inbound) => inbound,
        Err(error) => return error_response(entry, &error),
    };
    match route(entry, inbound).await {
        Ok(response) => response,
        Err(error) => error_response(entry, &error),
    }
}

fn error_response(entry: &Entry, error: &CallerError) -> Response {
    match error {
        CallerError::OutcomeUnknown | CallerError::Running | CallerError::UnknownRequest => {}
        _ => {
            entry.metrics.refused.inc();
        }
    }
    error.to_response()
}

async fn route(entry: &Entry, inbound: InboundRequest) -> Result<Response, CallerError> {
    let found = entry.tables.find_team(&inbound.bearer_digest);
    let team = found.ok_or(CallerError::UnknownKey)?;
    let path = inbound.path.clone();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (inbound.method, parts.as_slice()) {
        (Method::Post, ["v1", "chat", "completions"]) => post_chat(entry, team, inbound).await,
        (Method::Get, ["v1", "requests", key]) => request_outcome(entry, &team, key),
        (Method::Get, ["v1", "models"]) => Ok(list_models(&entry.tables.document())),
        (_, ["v1", "services", service, call]) => {
            post_call(entry, team, inbound, service, call).await
        }
        _ => Err(CallerError::UnknownPath),
    }
}

fn list_models(document: &Document) -> Response {
    let names = document.models.keys().chain(document.routes.keys());
    let data: Vec<serde_json::Value> = names
        .map(|name| serde_json::json!({ "id": name, "object": "model" }))
        .collect();
    let body = serde_json::json!({ "object": "list", "data": data });
    full_response(200, "application/json", body.to_string())
}

/// Returns the outcome of an earlier request.
fn request_outcome(entry: &Entry, team: &TeamInfo, key: &str) -> Result<Response, CallerError> {
    let request = RequestId::of(team.id, key);
    let answer = entry
        .tables
        .find_answer(request)
        .ok_or(CallerError::UnknownRequest)?;
    match answer.outcome() {
        None => Err(CallerError::Running),
        Some(AnswerOutcome::Failed(error)) => Err(error),
        Some(AnswerOutcome::Complete(end)) => {
            let body = serde_json::json!({
                "ran": "finished",
                "length": end.length,
                "digest": end.digest.to_hex(),
                "total_tokens": end.billed_tokens(),
            });
            Ok(full_response(200, "application/json", body.to_string()))
        }
    }
}

/// Returns the request's identifier and whether it derives from an idempotency key.
fn request_id(team: &TeamInfo, key: Option<&str>) -> (RequestId, bool) {
    match key {
        Some(key) => (RequestId::of(team.id, key), true),
        None => (RequestId(fastrand::u128(..)), false),
    }
}

/// Joins the answer of a request or creates it; returns whether it was created.
fn join_answer(
    entry: &Entry,
    team: &TeamInfo,
    inbound: &InboundRequest,
) -> Result<(Arc<SharedAnswer>, bool), CallerError> {
    let (request, has_key) = request_id(team, inbound.idempotency_key.as_deref());
    let digest = request_digest(&inbound.path, &inbound.body);
    let now = entry.context.clock.now();
    let start = || SharedAnswer::new(request, digest, has_key, now);
    let (answer, is_new) = entry.tables.get_or_start(request, start, now);
    if answer.digest != digest {
        return Err(CallerError::KeyReused);
    }
    answer.add_caller();
    Ok((answer, is_new))
}

async fn post_chat(
    entry: &Entry,
    team: TeamInfo,
    inbound: InboundRequest,
) -> Result<Response, CallerError> {
    let chat = ChatRequest::parse(&inbound.body)?;
    let document = entry.tables.document();
    let models = candidate_models(&document, &chat.model)?;
    let preferred = models.first().and_then(|name| document.models.get(name));
    let model = preferred.ok_or(CallerError::NotRun(NotRun::NoEndpoint))?;
    let max_tokens = chat.max_tokens.unwrap_or(u64::from(model.answer));
    if max_tokens > u64::from(model.answer) {
        let reason = FieldError::TooLarge(u64::from(model.answer));
        return Err(CallerError::invalid_field("max_tokens", reason));
    }
    let prompt_count = chat.prompt_words();
    if prompt_count + max_tokens > u64::from(model.context) {
        let reason = FieldError::TooLarge(u64::from(model.context).saturating_sub(max_tokens));
        return Err(CallerError::invalid_field("messages", reason));
    }
    let (answer, is_new) = join_answer(entry, &team, &inbound)?;
    if is_new {
        let job = Job {
            answer: Arc::clone(&answer),
            team: team.clone(),
            prefix_digest: Some(chat.prefix_digest()),
            work: Work::Chat {
                model: models[0].clone(),
                messages: chat.messages.to_string(),
                prefix: String::new(),
            },
            service_names: models,
            prompt_bound: Tokens(chat.max_prompt_tokens()),
            prompt_count: Tokens(prompt_count),
            max_tokens: Tokens(max_tokens),
            deadline: answer.started_at + Span::millis(document.objective.whole_ms),
            repeatable: true,
        };
        start_job(entry, job);
    }
    if chat.stream {
        stream_chat(entry, team, &answer, chat.model).await
    } else {
        complete_chat(entry, &team, &answer, &chat.model).await
    }
}

fn candidate_models(document: &Document, model: &str) -> Result<Vec<String>, CallerError> {
    if let Some(route) = document.routes.get(model) {
        return Ok(route.models.clone());
    }
    if document.models.contains_key(model) {
        return Ok(vec![model.to_owned()]);
    }
    let reason = FieldError::Unknown(model.to_owned());
    Err(CallerError::invalid_field("model", reason))
}

fn start_job(entry: &Entry, job: Job) {
    entry.tables.endpoints().retry_budget.record_request();
    entry.metrics.open_answers.inc();
    let entry = entry.clone();
    let pool = entry.context.pool.clone();
    pool.spawn(async move {
        let open = entry.metrics.open_answers.clone();
        execution::run(entry, job).await;
        open.dec();
    });
}

/// Streams an answer, or returns its error if it fails before the first bytes.
async fn stream_chat(
    entry: &Entry,
    team: TeamInfo,
    answer: &Arc<SharedAnswer>,
    model: String,
) -> Result<Response, CallerError> {
    let first = answer.next_part(0).await;
    if let AnswerPart::End(AnswerOutcome::Failed(error)) = &first {
        record_outcome(entry, &team, answer, Some(error));
        answer.remove_caller();
        return Err(error.clone());
    }
    let (sender, receiver) = async_channel::bounded(MAX_PENDING_EVENTS);
    let task = send_events(entry.clone(), team, Arc::clone(answer), model, sender);
    entry.context.pool.spawn(task);
    let mut response = host::http::streaming_response("text/event-stream", receiver);
    response.insert_header("X-Request-Id", answer.request.to_string());
    Ok(response)
}

async fn send_events(
    entry: Entry,
    team: TeamInfo,
    answer: Arc<SharedAnswer>,
    model: String,
    events: Sender<Vec<u8>>,
) {
    let id = answer.request.to_string();
    let mut offset = 0;
    loop {
        let event = match answer.next_part(offset).await {
            AnswerPart::Bytes(bytes) => {
                offset += bytes.len();
                chat::text_event(&id, &model, &String::from_utf8_lossy(&bytes))
            }
            AnswerPart::End(AnswerOutcome::Complete(end)) => {
                record_outcome(&entry, &team, &answer, None);
                let last = chat::final_events(&id, &model, &end);
                let _ = events.send(last).await;
                answer.remove_caller();
                return;
            }
            AnswerPart::End(AnswerOutcome::Failed(error)) => {
                record_outcome(&entry, &team, &answer, Some(&error));
                let _ = events.send(chat::error_event(&error)).await;
                answer.remove_caller();
                return;
            }
        };
        if events.send(event).await.is_err() {
            // The caller has disconnected. It can return only if it sent an idempotency key.
            if answer.remove_caller() {
                answer.cancel();
            }
            return;
        }
    }
}

async fn complete_chat(
    entry: &Entry,
    team: &TeamInfo,
    answer: &Arc<SharedAnswer>,
    model: &str,
) -> Result<Response, CallerError> {
    let end = wait_for_answer(entry, team, answer).await?;
    let bytes = answer.bytes();
    let text = String::from_utf8_lossy(&bytes);
    let body = chat::completion_json(&answer.request.to_string(), model, &text, &end);
    let mut response = full_response(200, "application/json", body);
    response.insert_header("X-Request-Id", answer.request.to_string());
    Ok(response)
}

async fn wait_for_answer(
    entry: &Entry,
    team: &TeamInfo,
    answer: &Arc<SharedAnswer>,
) -> Result<FinalEvent, CallerError> {
    let outcome = answer.wait_for_outcome().await;
    answer.remove_caller();
    match outcome {
        AnswerOutcome::Complete(end) => {
            record_outcome(entry, team, answer, None);
            Ok(end)
        }
        AnswerOutcome::Failed(error) => {
            record_outcome(entry, team, answer, Some(&error));
            Err(error)
        }
    }
}

async fn post_call(
    entry: &Entry,
    team: TeamInfo,
    inbound: InboundRequest,
    service: &str,
    call: &str,
) -> Result<Response, CallerError> {
    let document = entry.tables.document();
    let configured = document.services.get(service);
    let service_config = configured.ok_or_else(|| {
        let reason = FieldError::Unknown(service.to_owned());
        CallerError::invalid_field("service", reason)
    })?;
    let call_config = service_config.calls.get(call).ok_or_else(|| {
        let reason = FieldError::Unknown(call.to_owned());
        CallerError::invalid_field("call", reason)
    })?;
    if inbound.method.to_string() != call_config.method {
        return Err(CallerError::UnknownPath);
    }
    if !call_config.repeatable && inbound.idempotency_key.is_none() {
        return Err(CallerError::invalid_field(
            "Idempotency-Key",
            FieldError::Missing,
        ));
    }
    let (answer, is_new) = join_answer(entry, &team, &inbound)?;
    if is_new {
        let job = Job {
            answer: Arc::clone(&answer),
            team: team.clone(),
            service_names: vec![service.to_owned()],
            prefix_digest: None,
            work: Work::Call {
                method: call_config.method.clone(),
                path: call_config.path.clone(),
                media_type: inbound.media_type,
                body: inbound.body,
            },
            prompt_bound: call_config.price,
            prompt_count: call_config.price,
            max_tokens: Tokens::ZERO,
            deadline: answer.started_at + Span::millis(service_config.timeout_ms),
            repeatable: call_config.repeatable,
        };
        start_job(entry, job);
    }
    let end = wait_for_answer(entry, &team, &answer).await?;
    let mut response = full_response(end.status, &end.media_type, answer.bytes());
    response.insert_header("X-Request-Id", answer.request.to_string());
    response.insert_header("X-Ran", "finished");
    Ok(response)
}

/// Records the outcome of a request in the metrics and its team's counts.
fn record_outcome(
    entry: &Entry,
    team: &TeamInfo,
    answer: &SharedAnswer,
    error: Option<&CallerError>,
) {
    let mut tally = Tally::default();
    match error {
        None => {
            entry.metrics.answered.inc();
            if let Some(AnswerOutcome::Complete(end)) = answer.outcome() {
                entry.metrics.tokens.inc_by(end.billed_tokens().0);
            }
            if met_objective(entry, answer) {
                tally.good = 1;
            } else {
                tally.late = 1;
            }
        }
        Some(CallerError::NotRun(NotRun::BudgetExceeded)) => {
            entry.metrics.budget_refused.inc();
            tally.budget = 1;
        }
        Some(CallerError::OutcomeUnknown) => {
            entry.metrics.unknown.inc();
            tally.bad = 1;
        }
        Some(_) => tally.bad = 1,
    }
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let unix_secs = since.map_or(0, |span| span.as_secs());
    entry.metrics.add_tally(&team.name, unix_secs, &tally);
}

fn met_objective(entry: &Entry, answer: &SharedAnswer) -> bool {
    let objective = entry.tables.document().objective;
    let now = entry.context.clock.now();
    let first_token = answer.first_at().unwrap_or(now).since(answer.started_at);
    let total = now.since(answer.started_at);
    first_token <= Span::millis(objective.first_ms) && total <= Span::millis(objective.whole_ms)
}

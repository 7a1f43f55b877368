//! The HTTP interface.

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
use super::drive;
use super::drive::Job;
use super::drive::body_digest;
use super::flow::Ending;
use super::flow::Flow;
use super::flow::Part;
use super::meter::Tally;
use super::tables::Member;

/// Events that may wait for a slow caller.
const AHEAD: usize = 16;

/// Returns the handler of callers' requests; the entry comes over the channel.
#[must_use]
pub fn handler(entry: Receiver<Entry>) -> Handler {
    let shared: Arc<async_lock::OnceCell<Entry>> = Arc::default();
    Arc::new(move |request| {
        let shared = Arc::clone(&shared);
        let entry = entry.clone();
        let answer = async move {
            let init = async { entry.recv().await };
            match shared.get_or_try_init(|| init).await {
                Ok(entry) => answer(entry, request).await,
                Err(_) => CallerError::NotRun(NotRun::ShuttingDown).to_response(),
            }
        };
        Box::pin(answer) as BoxFuture<Response>
    })
}

async fn answer(entry: &Entry, mut request: Request) -> Response {
    entry.meter.requests.inc();
    let inbound = match InboundRequest::read(&mut request).await {
        Ok(inbound) => inbound,
        Err(error) => return refuse(entry, &error),
    };
    match route(entry, inbound).await {
        Ok(response) => response,
        Err(error) => refuse(entry, &error),
    }
}

fn refuse(entry: &Entry, error: &CallerError) -> Response {
    match error {
        CallerError::OutcomeUnknown | CallerError::Running | CallerError::UnknownRequest => {}
        _ => {
            entry.meter.refused.inc();
        }
    }
    error.to_response()
}

async fn route(entry: &Entry, inbound: InboundRequest) -> Result<Response, CallerError> {
    let holder = entry.tables.holder(&inbound.bearer_digest);
    let member = holder.ok_or(CallerError::UnknownKey)?;
    let path = inbound.path.clone();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (inbound.method, parts.as_slice()) {
        (Method::Post, ["v1", "chat", "completions"]) => post_chat(entry, member, inbound).await,
        (Method::Get, ["v1", "requests", key]) => outcome(entry, &member, key),
        (Method::Get, ["v1", "models"]) => Ok(models(&entry.tables.document())),
        (_, ["v1", "services", service, call]) => {
            post_call(entry, member, inbound, service, call).await
        }
        _ => Err(CallerError::UnknownPath),
    }
}

fn models(document: &Document) -> Response {
    let list = document.models.keys().chain(document.routes.keys());
    let data: Vec<serde_json::Value> = list
        .map(|name| serde_json::json!({ "id": name, "object": "model" }))
        .collect();
    let body = serde_json::json!({ "object": "list", "data": data });
    full_response(200, "application/json", body.to_string())
}

/// Tells what became of an earlier request.
fn outcome(entry: &Entry, member: &Member, key: &str) -> Result<Response, CallerError> {
    let request = RequestId::of(member.id, key);
    let flow = entry
        .tables
        .find(request)
        .ok_or(CallerError::UnknownRequest)?;
    match flow.ending() {
        None => Err(CallerError::Running),
        Some(Ending::Error(error)) => Err(error),
        Some(Ending::Whole(end)) => {
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

/// Returns the request's identifier and whether the caller chose its key.
fn identify(member: &Member, key: Option<&str>) -> (RequestId, bool) {
    match key {
        Some(key) => (RequestId::of(member.id, key), true),
        None => (RequestId(fastrand::u128(..)), false),
    }
}

/// Joins the answer of a request, or begins one; returns whether it's begun now.
fn join_flow(
    entry: &Entry,
    member: &Member,
    inbound: &InboundRequest,
) -> Result<(Arc<Flow>, bool), CallerError> {
    let (request, named) = identify(member, inbound.idempotency_key.as_deref());
    let digest = body_digest(&inbound.path, &inbound.body);
    let now = entry.context.clock.now();
    let begin = || Flow::new(request, digest, named, now);
    let (flow, fresh) = entry.tables.flow(request, begin, now);
    if flow.digest != digest {
        return Err(CallerError::KeyReused);
    }
    flow.join();
    Ok((flow, fresh))
}

async fn post_chat(
    entry: &Entry,
    member: Member,
    inbound: InboundRequest,
) -> Result<Response, CallerError> {
    let asked = ChatRequest::parse(&inbound.body)?;
    let document = entry.tables.document();
    let serves = candidates(&document, &asked.model)?;
    let first = serves.first().and_then(|name| document.models.get(name));
    let model = first.ok_or(CallerError::NotRun(NotRun::NoEndpoint))?;
    let cap = asked.max_tokens.unwrap_or(u64::from(model.answer));
    if cap > u64::from(model.answer) {
        let reason = FieldError::TooLarge(u64::from(model.answer));
        return Err(CallerError::invalid_field("max_tokens", reason));
    }
    let counted = asked.prompt_words();
    if counted + cap > u64::from(model.context) {
        let reason = FieldError::TooLarge(u64::from(model.context).saturating_sub(cap));
        return Err(CallerError::invalid_field("messages", reason));
    }
    let (flow, fresh) = join_flow(entry, &member, &inbound)?;
    if fresh {
        let job = Job {
            flow: Arc::clone(&flow),
            member: member.clone(),
            prefix: Some(asked.prefix_digest()),
            work: Work::Chat {
                model: serves[0].clone(),
                messages: asked.messages.to_string(),
                prefix: String::new(),
            },
            serves,
            prompt: Tokens(asked.max_prompt_tokens()),
            counted: Tokens(counted),
            cap: Tokens(cap),
            deadline: flow.begun + Span::millis(document.objective.whole_ms),
            repeatable: true,
        };
        start(entry, job);
    }
    if asked.stream {
        stream_chat(entry, member, &flow, asked.model).await
    } else {
        whole_chat(entry, &member, &flow, &asked.model).await
    }
}

fn candidates(document: &Document, model: &str) -> Result<Vec<String>, CallerError> {
    if let Some(route) = document.routes.get(model) {
        return Ok(route.models.clone());
    }
    if document.models.contains_key(model) {
        return Ok(vec![model.to_owned()]);
    }
    let reason = FieldError::Unknown(model.to_owned());
    Err(CallerError::invalid_field("model", reason))
}

fn start(entry: &Entry, job: Job) {
    entry.tables.endpoints().retries.record_request();
    entry.meter.open.inc();
    let entry = entry.clone();
    let pool = entry.context.pool.clone();
    pool.spawn(async move {
        let open = entry.meter.open.clone();
        drive::run(entry, job).await;
        open.dec();
    });
}

/// Streams an answer once its first part or its error is known.
async fn stream_chat(
    entry: &Entry,
    member: Member,
    flow: &Arc<Flow>,
    model: String,
) -> Result<Response, CallerError> {
    let first = flow.part(0).await;
    if let Part::End(Ending::Error(error)) = &first {
        count(entry, &member, flow, Some(error));
        flow.leave();
        return Err(error.clone());
    }
    let (sender, receiver) = async_channel::bounded(AHEAD);
    let pump = pump(entry.clone(), member, Arc::clone(flow), model, sender);
    entry.context.pool.spawn(pump);
    let mut response = host::http::streaming_response("text/event-stream", receiver);
    response.insert_header("X-Request-Id", flow.request.to_string());
    Ok(response)
}

async fn pump(entry: Entry, member: Member, flow: Arc<Flow>, model: String, out: Sender<Vec<u8>>) {
    let id = flow.request.to_string();
    let mut offset = 0;
    loop {
        let event = match flow.part(offset).await {
            Part::Bytes(bytes) => {
                offset += bytes.len();
                chat::text_event(&id, &model, &String::from_utf8_lossy(&bytes))
            }
            Part::End(Ending::Whole(end)) => {
                count(&entry, &member, &flow, None);
                let last = chat::final_events(&id, &model, &end);
                let _ = out.send(last).await;
                flow.leave();
                return;
            }
            Part::End(Ending::Error(error)) => {
                count(&entry, &member, &flow, Some(&error));
                let _ = out.send(chat::error_event(&error)).await;
                flow.leave();
                return;
            }
        };
        if out.send(event).await.is_err() {
            // The caller is gone. With a key it may come back; else nobody can.
            if flow.leave() {
                flow.cancel();
            }
            return;
        }
    }
}

async fn whole_chat(
    entry: &Entry,
    member: &Member,
    flow: &Arc<Flow>,
    model: &str,
) -> Result<Response, CallerError> {
    let end = wait_whole(entry, member, flow).await?;
    let bytes = flow.bytes();
    let text = String::from_utf8_lossy(&bytes);
    let body = chat::completion_json(&flow.request.to_string(), model, &text, &end);
    let mut response = full_response(200, "application/json", body);
    response.insert_header("X-Request-Id", flow.request.to_string());
    Ok(response)
}

async fn wait_whole(
    entry: &Entry,
    member: &Member,
    flow: &Arc<Flow>,
) -> Result<FinalEvent, CallerError> {
    let ending = flow.wait().await;
    flow.leave();
    match ending {
        Ending::Whole(end) => {
            count(entry, member, flow, None);
            Ok(end)
        }
        Ending::Error(error) => {
            count(entry, member, flow, Some(&error));
            Err(error)
        }
    }
}

async fn post_call(
    entry: &Entry,
    member: Member,
    inbound: InboundRequest,
    service: &str,
    call: &str,
) -> Result<Response, CallerError> {
    let document = entry.tables.document();
    let known = document.services.get(service);
    let item = known.ok_or_else(|| {
        let reason = FieldError::Unknown(service.to_owned());
        CallerError::invalid_field("service", reason)
    })?;
    let rule = item.calls.get(call).ok_or_else(|| {
        let reason = FieldError::Unknown(call.to_owned());
        CallerError::invalid_field("call", reason)
    })?;
    if inbound.method.to_string() != rule.method {
        return Err(CallerError::UnknownPath);
    }
    if !rule.repeatable && inbound.idempotency_key.is_none() {
        return Err(CallerError::invalid_field(
            "Idempotency-Key",
            FieldError::Missing,
        ));
    }
    let (flow, fresh) = join_flow(entry, &member, &inbound)?;
    if fresh {
        let job = Job {
            flow: Arc::clone(&flow),
            member: member.clone(),
            serves: vec![service.to_owned()],
            prefix: None,
            work: Work::Call {
                method: rule.method.clone(),
                path: rule.path.clone(),
                media_type: inbound.media_type,
                body: inbound.body,
            },
            prompt: rule.price,
            counted: rule.price,
            cap: Tokens::ZERO,
            deadline: flow.begun + Span::millis(item.timeout_ms),
            repeatable: rule.repeatable,
        };
        start(entry, job);
    }
    let end = wait_whole(entry, &member, &flow).await?;
    let mut response = full_response(end.status, &end.media_type, flow.bytes());
    response.insert_header("X-Request-Id", flow.request.to_string());
    response.insert_header("X-Ran", "finished");
    Ok(response)
}

/// Counts how a request fared.
fn count(entry: &Entry, member: &Member, flow: &Flow, error: Option<&CallerError>) {
    let mut tally = Tally::default();
    match error {
        None => {
            entry.meter.answered.inc();
            if let Some(Ending::Whole(end)) = flow.ending() {
                entry.meter.tokens.inc_by(end.billed_tokens().0);
            }
            if in_time(entry, flow) {
                tally.good = 1;
            } else {
                tally.late = 1;
            }
        }
        Some(CallerError::NotRun(NotRun::BudgetExceeded)) => {
            entry.meter.short.inc();
            tally.budget = 1;
        }
        Some(CallerError::OutcomeUnknown) => {
            entry.meter.unknown.inc();
            tally.bad = 1;
        }
        Some(_) => tally.bad = 1,
    }
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let unix = since.map_or(0, |span| span.as_secs());
    entry.meter.tally(&member.name, unix, &tally);
}

fn in_time(entry: &Entry, flow: &Flow) -> bool {
    let aim = entry.tables.document().objective;
    let now = entry.context.clock.now();
    let first = flow.first().unwrap_or(now).since(flow.begun);
    let whole = now.since(flow.begun);
    first <= Span::millis(aim.first_ms) && whole <= Span::millis(aim.whole_ms)
}

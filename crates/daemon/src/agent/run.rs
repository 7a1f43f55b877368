//! The execution of one order at the endpoint, and the streams of frames that its response
//! is sent on.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::RequestId;
use base::Tokens;
use engine::ChatEvent;
use engine::ChatRequest;
use engine::ChatStream;
use engine::EngineError;
use fleet::node::FrameSender;
use fleet::wire::StreamRequest;
use ledger::Receipt;
use request::FinishReason;
use request::Frame;
use request::FrameBody;
use request::Order;
use request::Refusal;
use request::ReplayBuffer;
use request::Work;
use request::admission::Admission;
use service::ServiceRequest;

use super::Agent;

/// A request that runs or ran here.
pub struct Run {
    order: Order,
    buffer: Mutex<ReplayBuffer>,
    appended: Notify,
    cancelled: AtomicBool,
}

/// Wakes the tasks that wait for a run's buffer to grow.
#[derive(Default)]
struct Notify {
    waiters: Mutex<Vec<async_channel::Sender<()>>>,
}

impl Notify {
    fn wait(&self) -> async_channel::Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        let mut waiters = self.waiters.lock().unwrap_or_else(PoisonError::into_inner);
        waiters.push(sender);
        receiver
    }

    fn notify_all(&self) {
        // Dropping a sender wakes its receiver.
        let mut waiters = self.waiters.lock().unwrap_or_else(PoisonError::into_inner);
        waiters.clear();
    }
}

impl Run {
    /// Returns the run of a newly admitted order.
    #[must_use]
    pub fn new(order: &Order) -> Self {
        let prefix = match &order.work {
            Work::Chat { prefix, .. } => prefix.as_bytes(),
            Work::Call { .. } => &[],
        };
        Self {
            buffer: Mutex::new(ReplayBuffer::with_prefix(prefix, order.prefix_tokens)),
            order: order.clone(),
            appended: Notify::default(),
            cancelled: AtomicBool::new(false),
        }
    }

    /// Requests the run to end early.
    pub fn cancel(&self) {
        self.cancelled.store(true, Ordering::Relaxed);
    }

    fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Relaxed)
    }

    fn buffer(&self) -> MutexGuard<'_, ReplayBuffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, bytes: &[u8]) -> bool {
        let accepted = self.buffer().push(bytes);
        self.appended.notify_all();
        accepted
    }

    /// Returns the next frame body, or the channel that closes once the buffer has grown.
    fn next_body(&self, offset: u64) -> Result<FrameBody, async_channel::Receiver<()>> {
        let buffer = self.buffer();
        buffer.next_body(offset).ok_or_else(|| self.appended.wait())
    }
}

/// Serves an entry's request for a stream of frames.
pub async fn serve(agent: &Agent, open: StreamRequest, frames: FrameSender) {
    match open {
        StreamRequest::Run(order) => {
            let now = agent.context.clock.now();
            let (admission, run) = agent.state.admit(&order, now);
            let offset = match &order.work {
                Work::Chat { prefix, .. } => prefix.len() as u64,
                Work::Call { .. } => 0,
            };
            match (admission, run) {
                (Admission::Start, Some(run)) => {
                    let task = execute(agent.clone(), Arc::clone(&run));
                    agent.context.pool.spawn(task);
                    send_frames(&run, order.request, order.attempt, offset, frames).await;
                }
                (Admission::Join(_), Some(run)) => {
                    send_frames(&run, order.request, order.attempt, offset, frames).await;
                }
                (Admission::Refuse(refusal), _) => {
                    refuse(order.request, order.attempt, refusal, frames).await;
                }
                (_, None) => refuse(order.request, order.attempt, Refusal::NotFound, frames).await,
            }
        }
        StreamRequest::Attach {
            request,
            digest,
            attempt,
            offset,
        } => match agent.state.run(request) {
            Some(run) if run.order.digest == digest => {
                send_frames(&run, request, attempt, offset, frames).await;
            }
            Some(_) => refuse(request, attempt, Refusal::BodyMismatch, frames).await,
            None => refuse(request, attempt, Refusal::NotFound, frames).await,
        },
    }
}

async fn refuse(request: RequestId, attempt: u32, refusal: Refusal, mut frames: FrameSender) {
    let frame = Frame {
        request,
        attempt,
        body: FrameBody::Refused(refusal),
    };
    if frames.send(&frame).await.is_ok() {
        frames.finish();
    }
}

async fn send_frames(
    run: &Run,
    request: RequestId,
    attempt: u32,
    start: u64,
    mut frames: FrameSender,
) {
    let mut offset = start;
    loop {
        let body = match run.next_body(offset) {
            Ok(body) => body,
            Err(appended) => {
                // The channel closes when the buffer has grown.
                let _ = appended.recv().await;
                continue;
            }
        };
        let is_final = matches!(body, FrameBody::Final(_));
        if let FrameBody::Chunk { bytes, .. } = &body {
            offset += bytes.len() as u64;
        }
        let frame = Frame {
            request,
            attempt,
            body,
        };
        if frames.send(&frame).await.is_err() {
            return;
        }
        if is_final {
            frames.finish();
            return;
        }
    }
}

/// The outcome of a run.
struct RunOutcome {
    finish_reason: FinishReason,
    prompt_tokens: Tokens,
    completion_tokens: Tokens,
    status: u16,
    media_type: String,
}

impl RunOutcome {
    fn failed() -> Self {
        Self::without_usage(FinishReason::Failed)
    }

    /// Returns the outcome of a run that the endpoint failed with `error`.
    fn from_error(error: &EngineError) -> Self {
        // Endpoints send these statuses only before they start a request.
        let is_rejected = matches!(error, EngineError::Status(404 | 429 | 503));
        if error.never_sent() || is_rejected {
            Self::without_usage(FinishReason::NotRun)
        } else {
            Self::failed()
        }
    }

    fn without_usage(end: FinishReason) -> Self {
        Self {
            finish_reason: end,
            prompt_tokens: Tokens::ZERO,
            completion_tokens: Tokens::ZERO,
            status: 0,
            media_type: String::new(),
        }
    }
}

async fn execute(agent: Agent, run: Arc<Run>) {
    let order = &run.order;
    let outcome = match &order.work {
        Work::Chat { .. } => execute_chat(&agent, &run).await,
        Work::Call { .. } => execute_call(&agent, &run).await,
    };
    let is_billed = !matches!(
        outcome.finish_reason,
        FinishReason::Failed | FinishReason::NotRun
    );
    let receipt = is_billed.then(|| Receipt {
        lease: order.lease,
        request: order.request,
        team: order.team,
        amount: outcome
            .prompt_tokens
            .saturating_add(outcome.completion_tokens),
    });
    let now = agent.context.clock.now();
    // The receipt is stored before the end of the run becomes visible.
    let retained =
        is_billed || (!order.repeatable && outcome.finish_reason != FinishReason::NotRun);
    let pending = receipt.map(|receipt| (order.keeper, receipt));
    agent.state.finish(order.request, retained, pending, now);
    run.buffer().finish(
        outcome.finish_reason,
        outcome.prompt_tokens,
        outcome.completion_tokens,
        outcome.status,
        &outcome.media_type,
    );
    run.appended.notify_all();
}

async fn execute_chat(agent: &Agent, run: &Run) -> RunOutcome {
    let order = &run.order;
    let Work::Chat {
        model,
        messages,
        prefix,
    } = &order.work
    else {
        return RunOutcome::failed();
    };
    let Ok(messages) = serde_json::from_str(messages) else {
        return RunOutcome::failed();
    };
    let chat = ChatRequest {
        id: order.request.to_string(),
        model: model.clone(),
        messages,
        max_tokens: order.max_tokens.saturating_sub(order.prefix_tokens).0,
        prefix: prefix.clone(),
        priority: order.priority,
        stream: true,
    };
    let stall_timeout = Duration::from_millis(agent.settings.stall_ms);
    let outcome = stream_chat(agent, run, &chat, stall_timeout).await;
    outcome.unwrap_or_else(|error| {
        log::warn!(
            "agent: request {} failed at the endpoint: {error}",
            order.request
        );
        RunOutcome::from_error(&error)
    })
}

async fn stream_chat(
    agent: &Agent,
    run: &Run,
    chat: &ChatRequest,
    stall_timeout: Duration,
) -> Result<RunOutcome, EngineError> {
    let order = &run.order;
    let address = agent.settings.endpoint_address;
    let mut stream = ChatStream::open(address, chat, stall_timeout).await?;
    let mut generated = 0;
    loop {
        if run.is_cancelled() {
            // The engine may ignore the cancellation; the connection is closed in any case.
            let _ = engine::control::cancel(address, &chat.id).await;
            return Ok(RunOutcome {
                finish_reason: FinishReason::Cancelled,
                prompt_tokens: order.prompt_tokens,
                completion_tokens: order.prefix_tokens.saturating_add(Tokens(generated)),
                ..RunOutcome::failed()
            });
        }
        match stream.next().await? {
            ChatEvent::Text {
                text,
                token_count: count,
            } => {
                generated += 1;
                if count.is_some_and(|count| count != generated) {
                    return Err(EngineError::BrokenStream(
                        "the token count differs: tokens were repeated or lost".to_owned(),
                    ));
                }
                // A response longer than ordered, or than the buffer takes, is rejected.
                if generated > chat.max_tokens || !run.push(text.as_bytes()) {
                    return Err(EngineError::BrokenStream(
                        "the response is too long".to_owned(),
                    ));
                }
            }
            ChatEvent::Finished {
                reached_limit: capped,
                prompt_tokens: prompt,
                answer_tokens: answer,
            } => {
                if answer != generated {
                    return Err(EngineError::BrokenStream(
                        "the token count differs: tokens were repeated or lost".to_owned(),
                    ));
                }
                return Ok(RunOutcome {
                    finish_reason: if capped {
                        FinishReason::Length
                    } else {
                        FinishReason::Stop
                    },
                    prompt_tokens: Tokens(prompt).min(order.prompt_tokens),
                    completion_tokens: order.prefix_tokens.saturating_add(Tokens(answer)),
                    ..RunOutcome::failed()
                });
            }
        }
    }
}

async fn execute_call(agent: &Agent, run: &Run) -> RunOutcome {
    let order = &run.order;
    let Work::Call {
        method,
        path,
        media_type: media,
        body,
    } = &order.work
    else {
        return RunOutcome::failed();
    };
    let call = ServiceRequest {
        method,
        path,
        media_type: media,
        body,
    };
    let timeout = Duration::from(order.time_left);
    match service::call(agent.settings.endpoint_address, &call, timeout).await {
        Ok(reply) => {
            run.push(&reply.body);
            RunOutcome {
                finish_reason: FinishReason::Stop,
                prompt_tokens: order.prompt_tokens,
                completion_tokens: Tokens::ZERO,
                status: reply.status,
                media_type: reply.media_type,
            }
        }
        Err(error) => {
            log::warn!(
                "agent: request {} failed at the service: {error}",
                order.request
            );
            if error.never_sent() {
                RunOutcome::without_usage(FinishReason::NotRun)
            } else {
                RunOutcome::failed()
            }
        }
    }
}

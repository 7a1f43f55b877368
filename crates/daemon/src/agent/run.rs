//! One request at the endpoint.

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
    spool: Mutex<ReplayBuffer>,
    grown: Notify,
    cancelled: AtomicBool,
}

/// Wakes the streams of a run.
#[derive(Default)]
struct Notify {
    waiting: Mutex<Vec<async_channel::Sender<()>>>,
}

impl Notify {
    fn wait(&self) -> async_channel::Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.push(sender);
        receiver
    }

    fn wake(&self) {
        // Dropping a sender wakes its receiver.
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.clear();
    }
}

impl Run {
    /// Returns the run of an order that was just admitted.
    #[must_use]
    pub fn new(order: &Order) -> Self {
        let prefix = match &order.work {
            Work::Chat { prefix, .. } => prefix.as_bytes(),
            Work::Call { .. } => &[],
        };
        Self {
            spool: Mutex::new(ReplayBuffer::with_prefix(prefix, order.prefix_tokens)),
            order: order.clone(),
            grown: Notify::default(),
            cancelled: AtomicBool::new(false),
        }
    }

    /// Asks the run to end early.
    pub fn cancel(&self) {
        self.cancelled.store(true, Ordering::Relaxed);
    }

    fn cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Relaxed)
    }

    fn spool(&self) -> MutexGuard<'_, ReplayBuffer> {
        self.spool.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, bytes: &[u8]) -> bool {
        let taken = self.spool().push(bytes);
        self.grown.wake();
        taken
    }

    /// Returns the next part, or what to wait for.
    fn next(&self, offset: u64) -> Result<FrameBody, async_channel::Receiver<()>> {
        let spool = self.spool();
        spool.next_body(offset).ok_or_else(|| self.grown.wait())
    }
}

/// Serves a stream of frames to an entry.
pub async fn serve(agent: &Agent, open: StreamRequest, frames: FrameSender) {
    match open {
        StreamRequest::Run(order) => {
            let now = agent.context.clock.now();
            let (admission, run) = agent.tables.admit(&order, now);
            let offset = match &order.work {
                Work::Chat { prefix, .. } => prefix.len() as u64,
                Work::Call { .. } => 0,
            };
            match (admission, run) {
                (Admission::Start, Some(run)) => {
                    let task = perform(agent.clone(), Arc::clone(&run));
                    agent.context.pool.spawn(task);
                    stream(&run, order.request, order.attempt, offset, frames).await;
                }
                (Admission::Join(_), Some(run)) => {
                    stream(&run, order.request, order.attempt, offset, frames).await;
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
        } => match agent.tables.run(request) {
            Some(run) if run.order.digest == digest => {
                stream(&run, request, attempt, offset, frames).await;
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

async fn stream(run: &Run, request: RequestId, attempt: u32, start: u64, mut frames: FrameSender) {
    let mut offset = start;
    loop {
        let body = match run.next(offset) {
            Ok(body) => body,
            Err(grown) => {
                // The channel closes when the spool has grown.
                let _ = grown.recv().await;
                continue;
            }
        };
        let last = matches!(body, FrameBody::Final(_));
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
        if last {
            frames.finish();
            return;
        }
    }
}

/// What a run used.
struct Used {
    end: FinishReason,
    prompt: Tokens,
    answer: Tokens,
    status: u16,
    media: String,
}

impl Used {
    fn failed() -> Self {
        Self::without(FinishReason::Failed)
    }

    /// Returns the end that fits an error of the endpoint.
    fn after(error: &EngineError) -> Self {
        // These statuses come before a request is begun.
        let refused = matches!(error, EngineError::Status(404 | 429 | 503));
        if error.never_sent() || refused {
            Self::without(FinishReason::NotRun)
        } else {
            Self::failed()
        }
    }

    fn without(end: FinishReason) -> Self {
        Self {
            end,
            prompt: Tokens::ZERO,
            answer: Tokens::ZERO,
            status: 0,
            media: String::new(),
        }
    }
}

async fn perform(agent: Agent, run: Arc<Run>) {
    let order = &run.order;
    let used = match &order.work {
        Work::Chat { .. } => chat(&agent, &run).await,
        Work::Call { .. } => call(&agent, &run).await,
    };
    let billed = !matches!(used.end, FinishReason::Failed | FinishReason::NotRun);
    let receipt = billed.then(|| Receipt {
        lease: order.lease,
        request: order.request,
        team: order.team,
        amount: used.prompt.saturating_add(used.answer),
    });
    let now = agent.context.clock.now();
    // The receipt is kept before anybody can see the end.
    let kept = billed || (!order.repeatable && used.end != FinishReason::NotRun);
    let owed = receipt.map(|receipt| (order.keeper, receipt));
    agent.tables.finish(order.request, kept, owed, now);
    run.spool()
        .finish(used.end, used.prompt, used.answer, used.status, &used.media);
    run.grown.wake();
}

async fn chat(agent: &Agent, run: &Run) -> Used {
    let order = &run.order;
    let Work::Chat {
        model,
        messages,
        prefix,
    } = &order.work
    else {
        return Used::failed();
    };
    let Ok(messages) = serde_json::from_str(messages) else {
        return Used::failed();
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
    let stall = Duration::from_millis(agent.settings.stall_ms);
    let used = answer_chat(agent, run, &chat, stall).await;
    used.unwrap_or_else(|error| {
        log::warn!("agent: {} failed at the endpoint: {error}", order.request);
        Used::after(&error)
    })
}

async fn answer_chat(
    agent: &Agent,
    run: &Run,
    chat: &ChatRequest,
    stall: Duration,
) -> Result<Used, EngineError> {
    let order = &run.order;
    let address = agent.settings.endpoint;
    let mut stream = ChatStream::open(address, chat, stall).await?;
    let mut generated = 0;
    loop {
        if run.cancelled() {
            // The engine may ignore it; the connection is dropped all the same.
            let _ = engine::control::cancel(address, &chat.id).await;
            return Ok(Used {
                end: FinishReason::Cancelled,
                prompt: order.prompt_tokens,
                answer: order.prefix_tokens.saturating_add(Tokens(generated)),
                ..Used::failed()
            });
        }
        match stream.next().await? {
            ChatEvent::Text {
                text,
                token_count: count,
            } => {
                generated += 1;
                if count.is_some_and(|count| count != generated) {
                    return Err(EngineError::BrokenStream("tokens were repeated".to_owned()));
                }
                // More than was ordered, or more than fits, is no answer of ours.
                if generated > chat.max_tokens || !run.push(text.as_bytes()) {
                    return Err(EngineError::BrokenStream("too long an answer".to_owned()));
                }
            }
            ChatEvent::Finished {
                reached_limit: capped,
                prompt_tokens: prompt,
                answer_tokens: answer,
            } => {
                if answer != generated {
                    return Err(EngineError::BrokenStream("tokens were repeated".to_owned()));
                }
                return Ok(Used {
                    end: if capped {
                        FinishReason::Length
                    } else {
                        FinishReason::Stop
                    },
                    prompt: Tokens(prompt).min(order.prompt_tokens),
                    answer: order.prefix_tokens.saturating_add(Tokens(answer)),
                    ..Used::failed()
                });
            }
        }
    }
}

async fn call(agent: &Agent, run: &Run) -> Used {
    let order = &run.order;
    let Work::Call {
        method,
        path,
        media_type: media,
        body,
    } = &order.work
    else {
        return Used::failed();
    };
    let call = ServiceRequest {
        method,
        path,
        media_type: media,
        body,
    };
    let patience = Duration::from(order.time_left);
    match service::call(agent.settings.endpoint, &call, patience).await {
        Ok(reply) => {
            run.push(&reply.body);
            Used {
                end: FinishReason::Stop,
                prompt: order.prompt_tokens,
                answer: Tokens::ZERO,
                status: reply.status,
                media: reply.media_type,
            }
        }
        Err(error) => {
            log::warn!("agent: {} failed at the service: {error}", order.request);
            if error.never_sent() {
                Used::without(FinishReason::NotRun)
            } else {
                Used::failed()
            }
        }
    }
}

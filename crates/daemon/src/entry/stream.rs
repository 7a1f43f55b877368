//! Receives the frames of one attempt and appends them to the answer.

use std::net::SocketAddr;
use std::time::Duration;

use base::Span;
use fleet::FleetError;
use fleet::FrameReceiver;
use fleet::PeerRequest;
use fleet::wire::StreamRequest;
use futures_lite::FutureExt as _;
use host::stall::StallDetector;
use request::Assembly;
use request::FinalEvent;
use request::Frame;
use request::Refusal;
use request::assembly::Received;

use super::Entry;
use super::execution::Job;

/// Maximum time without a frame from the agent.
const STALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum time to wait for an agent to acknowledge a cancellation.
const CANCEL_TIMEOUT: Span = Span::millis(500);

/// The end of a stream of frames.
#[derive(Clone, Debug)]
pub enum StreamEnd {
    /// The answer is complete.
    Complete(FinalEvent),
    /// The agent reports that the answer is incomplete.
    Incomplete(FinalEvent),
    /// The agent did not start the request.
    Refused(Refusal),
    /// The stream broke or stalled.
    Lost,
    /// Nothing was sent, because no connection was made.
    NotSent,
}

enum StreamEvent {
    Frame(Result<Option<Frame>, FleetError>),
    Cancel,
    Stalled,
}

/// Opens a stream at an agent and appends its frames to the job's answer.
pub async fn receive_answer(
    entry: &Entry,
    job: &Job,
    address: SocketAddr,
    request: StreamRequest,
    assembly: &mut Assembly,
) -> StreamEnd {
    let opened = entry.node.open_stream(address, request).await;
    let mut frames = match opened {
        Ok(frames) => frames,
        Err(error) if error.never_sent() => return StreamEnd::NotSent,
        Err(_) => return StreamEnd::Lost,
    };
    let dropped = assembly.dropped_frames();
    let end = receive_frames(entry, job, address, &mut frames, assembly).await;
    entry
        .metrics
        .dropped_frames
        .inc_by(assembly.dropped_frames() - dropped);
    end
}

async fn receive_frames(
    entry: &Entry,
    job: &Job,
    address: SocketAddr,
    frames: &mut FrameReceiver,
    assembly: &mut Assembly,
) -> StreamEnd {
    let mut cancelled = false;
    let mut stall = StallDetector::new(STALL_TIMEOUT);
    loop {
        let frame_event = async { StreamEvent::Frame(frames.next().await) };
        let cancellation = async {
            if cancelled {
                futures_lite::future::pending::<()>().await;
            }
            job.answer.cancelled().await;
            StreamEvent::Cancel
        };
        let stalled = async {
            stall.stalled().await;
            StreamEvent::Stalled
        };
        let frame = match frame_event.or(cancellation).or(stalled).await {
            StreamEvent::Frame(Ok(Some(frame))) => {
                stall.record_progress();
                frame
            }
            StreamEvent::Frame(Ok(None) | Err(_)) | StreamEvent::Stalled => return StreamEnd::Lost,
            StreamEvent::Cancel => {
                cancelled = true;
                let message = PeerRequest::Cancel(job.answer.request);
                let _ = entry.node.request(address, message, CANCEL_TIMEOUT).await;
                continue;
            }
        };
        match assembly.receive(frame) {
            Received::Appended(from) => {
                let now = entry.context.clock.now();
                job.answer.append(&assembly.bytes()[from..], now);
            }
            Received::Complete(end) => return StreamEnd::Complete(end),
            Received::Incomplete(end) => return StreamEnd::Incomplete(end),
            Received::Refused(refusal) => return StreamEnd::Refused(refusal),
            Received::Dropped => {}
        }
    }
}

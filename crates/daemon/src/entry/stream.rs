//! Frames of one attempt.

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
use super::drive::Job;

/// Longest silence of an agent within an answer.
const SILENCE: Duration = Duration::from_secs(15);

/// Longest wait for an agent to take a cancellation.
const CANCEL_WAIT: Span = Span::millis(500);

/// How a stream of frames ended.
#[derive(Clone, Debug)]
pub enum StreamEnd {
    /// The answer is whole.
    Whole(FinalEvent),
    /// The agent says that the answer isn't whole.
    Broken(FinalEvent),
    /// The agent did not start the request.
    Refused(Refusal),
    /// The stream broke.
    Lost,
    /// No connection was made: nothing was sent.
    NeverSent,
}

enum Event {
    Frame(Result<Option<Frame>, FleetError>),
    Cancel,
    Silent,
}

/// Opens a stream at an agent and takes its frames into the job's answer.
pub async fn follow(
    entry: &Entry,
    job: &Job,
    address: SocketAddr,
    open: StreamRequest,
    assembly: &mut Assembly,
) -> StreamEnd {
    let opened = entry.node.open_stream(address, open).await;
    let mut frames = match opened {
        Ok(frames) => frames,
        Err(error) if error.never_sent() => return StreamEnd::NeverSent,
        Err(_) => return StreamEnd::Lost,
    };
    let dropped = assembly.dropped_frames();
    let end = take_all(entry, job, address, &mut frames, assembly).await;
    entry
        .meter
        .dropped
        .inc_by(assembly.dropped_frames() - dropped);
    end
}

async fn take_all(
    entry: &Entry,
    job: &Job,
    address: SocketAddr,
    frames: &mut FrameReceiver,
    assembly: &mut Assembly,
) -> StreamEnd {
    let mut cancelled = false;
    let mut stall = StallDetector::new(SILENCE);
    loop {
        let next = async { Event::Frame(frames.next().await) };
        let cancel = async {
            if cancelled {
                futures_lite::future::pending::<()>().await;
            }
            job.flow.cancelled().await;
            Event::Cancel
        };
        let silent = async {
            stall.stalled().await;
            Event::Silent
        };
        let frame = match next.or(cancel).or(silent).await {
            Event::Frame(Ok(Some(frame))) => {
                stall.record_progress();
                frame
            }
            Event::Frame(Ok(None) | Err(_)) | Event::Silent => return StreamEnd::Lost,
            Event::Cancel => {
                cancelled = true;
                let ask = PeerRequest::Cancel(job.flow.request);
                let _ = entry.node.request(address, ask, CANCEL_WAIT).await;
                continue;
            }
        };
        match assembly.receive(frame) {
            Received::Appended(from) => {
                let now = entry.context.clock.now();
                job.flow.push(&assembly.bytes()[from..], now);
            }
            Received::Complete(end) => return StreamEnd::Whole(end),
            Received::Incomplete(end) => return StreamEnd::Broken(end),
            Received::Refused(refusal) => return StreamEnd::Refused(refusal),
            Received::Dropped => {}
        }
    }
}

//! Requests whose engine crashed, and the answers that clear their prompts' segments.

use super::RequestForwarder;
use crate::crash_news;

impl RequestForwarder<'_> {
    /// Records that the engine's run `engine` may have crashed on the request.
    pub(super) fn record_crash(&self, engine: u64) {
        let now = self.shared.now();
        let segments = &self.request.metadata.segments;
        let blocked = self
            .shared
            .state()
            .crash_suspects
            .record_crash(engine, segments, now);
        crash_news::log_blocked(&blocked);
        self.shared.crash_news.notify(usize::MAX);
    }

    /// Records that an engine has answered the request.
    pub(super) fn record_answer(&self) {
        let now = self.shared.now();
        let segments = &self.request.metadata.segments;
        self.shared
            .state()
            .crash_suspects
            .record_answer(segments, now);
    }

    /// Returns whether engines have answered prompts with the request's segments. If not,
    /// the request may crash the next engine, too.
    pub(super) fn is_proven(&self) -> bool {
        let segments = &self.request.metadata.segments;
        self.shared.state().crash_suspects.is_proven(segments)
    }
}

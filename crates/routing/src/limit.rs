//! The number of requests that an endpoint takes, adapted to its answers.

use base::Span;

/// Least limit.
const LEAST: f64 = 1.0;

/// Factor by which the limit falls when an answer was slow or failed.
const DECREASE: f64 = 0.9;

/// A limit that grows slowly and falls fast.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    value: f64,
    most: f64,
}

impl Limit {
    /// Returns the limit of an endpoint that says it takes `room` requests.
    #[must_use]
    pub fn new(room: u32) -> Self {
        let most = f64::from(room.max(1));
        Self { value: most, most }
    }

    /// Returns the limit in requests.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "1 to room"
    )]
    pub fn get(&self) -> u32 {
        self.value as u32
    }

    /// Takes in what the endpoint now says it takes.
    pub fn set_room(&mut self, room: u32) {
        let most = f64::from(room.max(1));
        if (most - self.most).abs() > f64::EPSILON {
            // A limit that was never lowered follows the endpoint's own word.
            let full = self.value >= self.most;
            self.most = most;
            self.value = if full {
                most
            } else {
                self.value.clamp(LEAST, most)
            };
        }
    }

    /// Takes in an answer's wait for its first token, against the aim.
    pub fn answered(&mut self, first: Span, aim: Span) {
        if first > aim {
            self.fail();
        } else {
            self.value = (self.value + 1.0 / self.value).min(self.most);
        }
    }

    /// Takes in a failure.
    pub fn fail(&mut self) {
        self.value = (self.value * DECREASE).max(LEAST);
    }
}

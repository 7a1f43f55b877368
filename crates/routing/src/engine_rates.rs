//! The time to first token of a service's engines, learned from their answers.
//!
//! Load pattern: engines of different services and generations read prompts at rates that
//! differ by an order of magnitude. An estimate that is too high rejects requests that could
//! start in time, one that is too low fills the queues of engines with requests that are late.
//!
//! The estimate is linear in the prompt tokens and the running requests ahead of a request. It
//! is fitted by least squares with exponential forgetting, and ridge regression towards a
//! default keeps it usable before the first answers. The speed of a single engine relative to
//! it is kept by [`EngineSpeed`].

use std::collections::VecDeque;

use base::Span;
use base::Time;

/// Number of parameters of the estimate.
const PARAMETERS: usize = 3;

/// Scale of the parameters: a constant, thousands of prompt tokens, tens of requests.
const SCALES: [f64; PARAMETERS] = [1.0, 1e3, 10.0];

/// The default estimate, in milliseconds: without prefill, for each thousand tokens, and for
/// each ten running requests.
const DEFAULT: [f64; PARAMETERS] = [45.0, 33.3, 0.0];

/// Minimum of each parameter. No engine prefills in no time.
const MINIMUM: [f64; PARAMETERS] = [1.0, 0.5, 0.0];

/// Weight of the default, in samples.
const DEFAULT_WEIGHT: f64 = 12.0;

/// Factor by which each sample reduces the weight of all earlier ones: about 500 samples count.
const FORGETTING_FACTOR: f64 = 0.998;

/// Bounds of a sample as multiples of its estimate, so that outliers have little effect.
const SAMPLE_BOUNDS: (f64, f64) = (0.2, 4.0);

/// Number of samples among which an engine must not be the majority, so that one slow engine
/// isn't taken for the service.
const RECENT_SAMPLES: usize = 16;

/// Weight of a sample in an engine's speed.
const SPEED_WEIGHT: f64 = 0.15;

/// Time in which an engine's lasting speed follows its recent speed, and the longest gap
/// between two samples that counts towards it.
const LASTING_TIME: Span = Span::millis(30_000);
const MAX_SAMPLE_GAP: Span = Span::millis(2_000);

/// Bounds on one sample of an engine's speed.
const SPEED_BOUNDS: (f64, f64) = (0.3, 8.0);

/// Time in which a deviation from the lasting speed decays to about a third. Slow periods of an
/// engine last a few seconds.
const SPEED_DECAY_TIME: Span = Span::millis(4_000);

/// The load ahead of a request at an engine, including the request itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadAhead {
    /// Prompt tokens that need prefill.
    pub prefill_tokens: u64,
    /// Requests that run or wait.
    pub running_requests: u32,
}

impl LoadAhead {
    #[allow(clippy::cast_precision_loss)]
    fn regressors(self) -> [f64; PARAMETERS] {
        [
            1.0 / SCALES[0],
            self.prefill_tokens as f64 / SCALES[1],
            f64::from(self.running_requests) / SCALES[2],
        ]
    }
}

/// The learned estimate of a service.
#[derive(Clone, Debug)]
pub struct EngineRates {
    parameters: [f64; PARAMETERS],
    /// The weighted products of the regressors.
    products: [[f64; PARAMETERS]; PARAMETERS],
    /// The weighted products of the regressors with the deviation from the default.
    deviations: [f64; PARAMETERS],
    samples: u64,
    /// The engines of the last samples.
    recent: VecDeque<u64>,
}

impl Default for EngineRates {
    fn default() -> Self {
        Self {
            parameters: DEFAULT,
            products: [[0.0; PARAMETERS]; PARAMETERS],
            deviations: [0.0; PARAMETERS],
            samples: 0,
            recent: VecDeque::with_capacity(RECENT_SAMPLES),
        }
    }
}

impl EngineRates {
    /// Returns the time to first token behind `load`, in milliseconds.
    #[must_use]
    pub fn ttft_ms(&self, load: LoadAhead) -> f64 {
        dot(&self.parameters, &load.regressors())
    }

    /// Returns the prefill rate, in tokens per millisecond.
    #[must_use]
    pub fn prefill_rate(&self) -> f64 {
        SCALES[1] / self.parameters[1]
    }

    /// Returns the time to first token of an idle engine without prefill, in milliseconds.
    #[must_use]
    pub fn base_ttft_ms(&self) -> f64 {
        self.parameters[0]
    }

    /// Returns the number of samples.
    #[must_use]
    pub fn samples(&self) -> u64 {
        self.samples
    }

    /// Records that a request behind `load` received its first token from `engine`, one of
    /// `count`, after `ttft_ms`, and returns that time as a multiple of the estimate.
    pub fn record(&mut self, engine: u64, count: usize, load: LoadAhead, ttft_ms: f64) -> f64 {
        let regressors = load.regressors();
        let estimate = dot(&self.parameters, &regressors).max(1.0);
        let ratio = ttft_ms / estimate;
        if self.is_majority(engine) && count > 2 {
            return ratio;
        }
        let ttft_ms = estimate * ratio.clamp(SAMPLE_BOUNDS.0, SAMPLE_BOUNDS.1);
        let deviation = ttft_ms - dot(&DEFAULT, &regressors);
        for (row, &left) in regressors.iter().enumerate() {
            for (column, &right) in regressors.iter().enumerate() {
                let product = &mut self.products[row][column];
                *product = FORGETTING_FACTOR * *product + left * right;
            }
            self.deviations[row] = FORGETTING_FACTOR * self.deviations[row] + left * deviation;
        }
        self.samples += 1;
        self.fit();
        ratio
    }

    /// Adds `engine` to the recent samples and returns whether most of them are its own.
    fn is_majority(&mut self, engine: u64) -> bool {
        if self.recent.len() == RECENT_SAMPLES {
            self.recent.pop_front();
        }
        self.recent.push_back(engine);
        let own = self.recent.iter().filter(|&&id| id == engine).count();
        2 * own > self.recent.len()
    }

    fn fit(&mut self) {
        let mut matrix = self.products;
        for (index, row) in matrix.iter_mut().enumerate() {
            row[index] += DEFAULT_WEIGHT;
        }
        let offset = solve(matrix, self.deviations);
        for (index, parameter) in self.parameters.iter_mut().enumerate() {
            *parameter = (DEFAULT[index] + offset[index]).max(MINIMUM[index]);
        }
    }
}

fn dot(left: &[f64; PARAMETERS], right: &[f64; PARAMETERS]) -> f64 {
    left.iter().zip(right).map(|(a, b)| a * b).sum()
}

/// Solves a system with a positive definite matrix by elimination.
fn solve(
    mut matrix: [[f64; PARAMETERS]; PARAMETERS],
    mut right: [f64; PARAMETERS],
) -> [f64; PARAMETERS] {
    for pivot in 0..PARAMETERS {
        for row in pivot + 1..PARAMETERS {
            let factor = matrix[row][pivot] / matrix[pivot][pivot];
            let pivot_row = matrix[pivot];
            for (value, &above) in matrix[row].iter_mut().zip(&pivot_row) {
                *value -= factor * above;
            }
            right[row] -= factor * right[pivot];
        }
    }
    let mut solution = [0.0; PARAMETERS];
    for row in (0..PARAMETERS).rev() {
        let known: f64 = (row + 1..PARAMETERS)
            .map(|column| matrix[row][column] * solution[column])
            .sum();
        solution[row] = (right[row] - known) / matrix[row][row];
    }
    solution
}

/// The time to first token of one engine as a multiple of its service's estimate.
///
/// Samples decay with their age towards the engine's lasting speed, so that an engine that has
/// recovered is selected again, and a generation that is slower stays known.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpeed {
    recent: f64,
    lasting: f64,
    observed_at: Time,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        Self {
            recent: 1.0,
            lasting: 1.0,
            observed_at: Time::default(),
        }
    }
}

impl EngineSpeed {
    /// Returns the present factor.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn factor(&self, now: Time) -> f64 {
        let decay = self.observed_at.until(now).0 as f64 / SPEED_DECAY_TIME.0 as f64;
        self.lasting + (self.recent - self.lasting) * (-decay).exp()
    }

    /// Records the time of one answer as a multiple of the estimate.
    #[allow(clippy::cast_precision_loss)]
    pub fn record(&mut self, ratio: f64, now: Time) {
        let sample = ratio.clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1);
        let factor = self.factor(now);
        self.recent = factor + SPEED_WEIGHT * (sample - factor);
        let gap = self.observed_at.until(now).min(MAX_SAMPLE_GAP);
        let share = gap.0 as f64 / LASTING_TIME.0 as f64;
        self.lasting += share * (self.recent - self.lasting);
        self.observed_at = now;
    }
}

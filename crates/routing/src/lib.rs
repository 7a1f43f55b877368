//! Choice of an endpoint for a request.
//!
//! - [`admission`]: whether a request is taken, and when a refused one may come back.
//! - [`call`]: what a request says of itself.
//! - [`directory`]: the engines that announce themselves, by identifier and run.
//! - [`limit`]: the number of requests that an endpoint takes, adapted.
//! - [`membership`]: the endpoints that announce themselves to a keeper.
//! - [`placement`]: the choice among model engines by what a request costs there.
//! - [`prefix`]: which endpoints are likely to cache a prompt's prefix.
//! - [`queue`]: waiting requests, by priority and fair between teams.
//! - [`repeats`]: the shared budget for sending a request once more.
//! - [`retry`]: the budget for retries.
//! - [`table`]: the known endpoints and the choice among them.

pub mod admission;
pub mod call;
pub mod directory;
pub mod limit;
pub mod membership;
pub mod placement;
pub mod prefix;
pub mod queue;
pub mod repeats;
pub mod retry;
pub mod table;

pub use crate::call::Call;
pub use crate::directory::Directory;
pub use crate::limit::Limit;
pub use crate::membership::Announce;
pub use crate::membership::Delta;
pub use crate::membership::Registry;
pub use crate::prefix::Prefixes;
pub use crate::queue::Queue;
pub use crate::retry::RetryBudget;
pub use crate::table::Choice;
pub use crate::table::Info;
pub use crate::table::Load;
pub use crate::table::Slot;
pub use crate::table::Table;
pub use crate::table::Wish;

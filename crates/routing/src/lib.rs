//! Selects the endpoint that serves a request.
//!
//! - [`admission`]: whether a request is accepted, and the retry delay of a rejected one.
//! - [`availability`]: whether an engine takes new requests, why not and until when.
//! - [`concurrency`]: the adaptive concurrency limit of an endpoint.
//! - [`crash_suspects`]: prompt segments that crash engines.
//! - [`departures`]: the departures of engines that the replicated log has committed.
//! - [`directory`]: the announced engines, by identifier and run.
//! - [`endpoint_table`]: the known endpoints and the selection among them.
//! - [`engine_rates`]: how fast a service's engines begin to answer.
//! - [`entry_load`]: when an overloaded entry passes callers on to its neighbours.
//! - [`evacuation`]: the evacuated failure domains.
//! - [`home`]: whether a request may run in a region.
//! - [`intake`]: what a process holds of the requests that it receives, and who gives way.
//! - [`membership`]: the endpoints that announce themselves to a keeper.
//! - [`metadata`]: the metadata of a request.
//! - [`placement`]: the selection among model engines by estimated cost.
//! - [`prefix_index`]: the endpoints that are likely to cache a prompt prefix.
//! - [`queue`]: the request queue, by priority and fair between teams.
//! - [`retry_budget`]: the retry budget of one entry.
//! - [`shared_retry`]: the retry budget that all entries share.
//! - [`team_demand`]: each team's demand as a multiple of what is usual for it.
//! - [`urgency`]: what it costs a caller if its request starts later.
//! - [`waiting`]: the requests that wait at one entry for room at a service's engines.
//! - [`warm_up`]: the bound on requests to cold engines.

pub mod admission;
pub mod availability;
pub mod concurrency;
pub mod crash_suspects;
pub mod departures;
pub mod directory;
pub mod endpoint_table;
pub mod engine_rates;
pub mod entry_load;
pub mod evacuation;
pub mod home;
pub mod intake;
pub mod membership;
pub mod metadata;
pub mod placement;
pub mod prefix_index;
pub mod queue;
pub mod retry_budget;
pub mod shared_retry;
pub mod team_demand;
pub mod urgency;
pub mod waiting;
pub mod warm_up;

pub use crate::availability::Availability;
pub use crate::concurrency::ConcurrencyLimit;
pub use crate::crash_suspects::CrashSuspects;
pub use crate::departures::Departures;
pub use crate::directory::Directory;
pub use crate::endpoint_table::EndpointChoice;
pub use crate::endpoint_table::EndpointInfo;
pub use crate::endpoint_table::EndpointQuery;
pub use crate::endpoint_table::EndpointTable;
pub use crate::endpoint_table::LoadReport;
pub use crate::endpoint_table::Slot;
pub use crate::membership::EndpointAnnouncement;
pub use crate::membership::MembershipDelta;
pub use crate::membership::Registry;
pub use crate::metadata::RequestMetadata;
pub use crate::prefix_index::PrefixIndex;
pub use crate::queue::Queue;
pub use crate::retry_budget::RetryBudget;

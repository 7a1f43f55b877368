//! The known endpoints and the choice among them.
//!
//! A choice looks at a bounded number of candidates, so its cost doesn't grow
//! with the fleet: the endpoints that lately got the same prefix, and a few drawn
//! at random, those of the same failure domain first.

use std::collections::VecDeque;

use base::EndpointId;
use base::Map;
use base::Span;
use base::Time;

use crate::limit::Limit;
use crate::prefix::Prefixes;

/// Candidates drawn at random in the same failure domain.
const DRAWN_NEAR: usize = 3;

/// Candidates drawn at random anywhere.
const DRAWN_FAR: usize = 2;

/// What a cached prefix is worth, in shares of a full endpoint.
const PREFIX_WORTH: f64 = 0.6;

/// What another failure domain costs, in shares of a full endpoint.
const FAR_COST: f64 = 0.25;

/// Failures in a row that set an endpoint aside.
const EJECT_AFTER: u32 = 3;

/// How long an endpoint is first set aside; doubles with each time.
const EJECT_FIRST: Span = Span::secs(1);

/// Most doublings of the time set aside.
const EJECT_DOUBLINGS: u32 = 5;

/// Most changes remembered that a late report may not hold yet.
const MAX_RECENT: usize = 4_096;

/// How long an endpoint without a report counts as present.
pub const SILENCE: Span = Span::secs(3);

/// A dense index of an endpoint in its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Slot(u32);

impl Slot {
    fn index(self) -> usize {
        self.0 as usize
    }
}

/// What is known of an endpoint besides its load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Info {
    /// The endpoint.
    pub id: EndpointId,
    /// The failure domain.
    pub domain: u64,
    /// What it serves: model names or service names, digested.
    pub serves: Vec<u64>,
    /// How many requests it takes together.
    pub room: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// A load report, which lags behind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run or wait at the endpoint.
    pub busy: u32,
    /// How old the report is.
    pub age: Span,
}

#[derive(Clone, Debug)]
struct Endpoint {
    info: Info,
    limit: Limit,
    reported: u32,
    reported_at: Time,
    seen: Time,
    /// Own requests that run there.
    own: u32,
    /// Own requests sent there (one) or ended there (minus one), by time.
    recent: VecDeque<(Time, i64)>,
    /// The sum of `recent`.
    drift: i64,
    failures: u32,
    ejections: u32,
    aside_until: Time,
    present: bool,
}

impl Endpoint {
    /// Returns the requests there: the report corrected by what was sent since.
    fn busy(&self) -> u32 {
        let busy = i64::from(self.reported) + self.drift;
        u32::try_from(busy).unwrap_or(0).max(self.own)
    }

    /// Notes a change that the next reports may not hold yet.
    fn note(&mut self, now: Time, change: i64) {
        self.recent.push_back((now, change));
        self.drift += change;
        if self.recent.len() > MAX_RECENT
            && let Some((_, oldest)) = self.recent.pop_front()
        {
            self.drift -= oldest;
        }
    }

    fn usable(&self, now: Time) -> bool {
        self.present
            && !self.info.leaving
            && now >= self.aside_until
            && now.since(self.seen) < SILENCE
    }

    /// Returns the room left; one that comes back after a failure gets one request.
    fn has_room(&self) -> bool {
        let limit = if self.failures >= EJECT_AFTER {
            1
        } else {
            self.limit.get()
        };
        self.busy() < limit
    }
}

/// What a request wants.
#[derive(Clone, Copy, Debug)]
pub struct Wish<'a> {
    /// The model or service, digested.
    pub serves: u64,
    /// The digest of the prompt's prefix, where affinity is wanted.
    pub prefix: Option<u64>,
    /// The entry's own failure domain.
    pub domain: u64,
    /// Endpoints that were tried before.
    pub avoid: &'a [EndpointId],
}

/// What was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// This endpoint; whether its cache is likely to hold the prefix.
    Endpoint(Slot, bool),
    /// Endpoints serve the wish, and none has room.
    Full,
    /// No endpoint serves the wish.
    None,
}

/// The known endpoints.
#[derive(Clone, Debug)]
pub struct Table {
    endpoints: Vec<Endpoint>,
    slots: Map<EndpointId, Slot>,
    near: Map<(u64, u64), Vec<Slot>>,
    all: Map<u64, Vec<Slot>>,
    prefixes: Prefixes,
    rng: fastrand::Rng,
    scratch: Vec<(Slot, bool)>,
}

impl Table {
    /// Returns an empty table whose draws follow from `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            endpoints: Vec::new(),
            slots: Map::default(),
            near: Map::default(),
            all: Map::default(),
            prefixes: Prefixes::default(),
            rng: fastrand::Rng::with_seed(seed),
            scratch: Vec::new(),
        }
    }

    /// Returns the slot of an endpoint.
    #[must_use]
    pub fn slot(&self, id: EndpointId) -> Option<Slot> {
        self.slots.get(&id).copied()
    }

    /// Returns the endpoint in a slot.
    ///
    /// # Panics
    ///
    /// Panics where the slot is of another table.
    #[must_use]
    pub fn id(&self, slot: Slot) -> EndpointId {
        self.endpoints[slot.index()].info.id
    }

    /// Returns the endpoints that can be chosen at present.
    #[must_use]
    pub fn usable(&self, now: Time) -> usize {
        self.endpoints.iter().filter(|e| e.usable(now)).count()
    }

    /// Returns how many requests the usable endpoints take together.
    #[must_use]
    pub fn capacity(&self, serves: u64, now: Time) -> u32 {
        let usable = self.endpoints.iter().filter(|e| e.usable(now));
        let serving = usable.filter(|e| e.info.serves.contains(&serves));
        serving.map(|endpoint| endpoint.limit.get()).sum()
    }

    /// Takes in what an endpoint is and its load.
    pub fn report(&mut self, info: &Info, load: Load, now: Time) {
        let slot = match self.slot(info.id) {
            Some(slot) => slot,
            None => self.add(info, now),
        };
        if self.endpoints[slot.index()].info.serves != info.serves
            || self.endpoints[slot.index()].info.domain != info.domain
        {
            self.unlist(slot);
            self.list(slot, info);
        }
        let endpoint = &mut self.endpoints[slot.index()];
        endpoint.limit.set_room(info.room);
        endpoint.info = info.clone();
        endpoint.present = true;
        endpoint.seen = now;
        let made = Time(now.0.saturating_sub(load.age.0));
        if made >= endpoint.reported_at {
            endpoint.reported = load.busy;
            endpoint.reported_at = made;
            while let Some((_, change)) = endpoint.recent.pop_front_if(|(at, _)| *at <= made) {
                endpoint.drift -= change;
            }
        }
    }

    /// Notes that an endpoint is gone.
    pub fn remove(&mut self, id: EndpointId) {
        if let Some(slot) = self.slot(id) {
            self.endpoints[slot.index()].present = false;
        }
    }

    fn add(&mut self, info: &Info, now: Time) -> Slot {
        let slot = Slot(u32::try_from(self.endpoints.len()).unwrap_or(u32::MAX));
        self.endpoints.push(Endpoint {
            info: info.clone(),
            limit: Limit::new(info.room),
            reported: 0,
            reported_at: Time(0),
            seen: now,
            own: 0,
            recent: VecDeque::new(),
            drift: 0,
            failures: 0,
            ejections: 0,
            aside_until: Time(0),
            present: true,
        });
        self.slots.insert(info.id, slot);
        self.list(slot, info);
        slot
    }

    fn list(&mut self, slot: Slot, info: &Info) {
        for &serves in &info.serves {
            self.all.entry(serves).or_default().push(slot);
            let near = self.near.entry((serves, info.domain)).or_default();
            near.push(slot);
        }
    }

    fn unlist(&mut self, slot: Slot) {
        for list in self.all.values_mut().chain(self.near.values_mut()) {
            list.retain(|other| *other != slot);
        }
    }

    /// Chooses an endpoint.
    pub fn choose(&mut self, wish: &Wish<'_>, now: Time) -> Choice {
        self.gather(wish, now);
        let candidates = std::mem::take(&mut self.scratch);
        let best = candidates
            .iter()
            .filter(|(slot, _)| self.fits(*slot, wish, now))
            .map(|&(slot, cached)| (self.cost(slot, cached, wish), slot, cached))
            .min_by(|a, b| a.0.total_cmp(&b.0));
        self.scratch = candidates;
        if let Some((_, slot, cached)) = best {
            return Choice::Endpoint(slot, cached);
        }
        self.search(wish, now)
    }

    /// Collects the candidates: prefix holders, then a few drawn at random.
    fn gather(&mut self, wish: &Wish<'_>, now: Time) {
        self.scratch.clear();
        if let Some(prefix) = wish.prefix {
            let holders = self.prefixes.holders(prefix, now);
            self.scratch.extend(holders.map(|slot| (slot, true)));
            // All entries agree on a prefix's home, so it isn't cached everywhere.
            if let Some(home) = home(self.all.get(&wish.serves), prefix)
                && self.scratch.iter().all(|(slot, _)| *slot != home)
            {
                self.scratch.push((home, true));
            }
        }
        let near = self.near.get(&(wish.serves, wish.domain));
        draw(&mut self.rng, near, DRAWN_NEAR, &mut self.scratch);
        let all = self.all.get(&wish.serves);
        draw(&mut self.rng, all, DRAWN_FAR, &mut self.scratch);
    }

    fn fits(&self, slot: Slot, wish: &Wish<'_>, now: Time) -> bool {
        let endpoint = &self.endpoints[slot.index()];
        endpoint.usable(now)
            && endpoint.has_room()
            && endpoint.info.serves.contains(&wish.serves)
            && !wish.avoid.contains(&endpoint.info.id)
    }

    fn cost(&self, slot: Slot, cached: bool, wish: &Wish<'_>) -> f64 {
        let endpoint = &self.endpoints[slot.index()];
        let share = f64::from(endpoint.busy()) / f64::from(endpoint.limit.get().max(1));
        let prefix = if cached { PREFIX_WORTH } else { 0.0 };
        let far = if endpoint.info.domain == wish.domain {
            0.0
        } else {
            FAR_COST
        };
        share + far - prefix
    }

    /// Looks at all endpoints, from a random one on, when no candidate fits.
    ///
    /// The walk stops at the first that fits; only a fleet without room pays for
    /// all of it, and a fleet without room queues.
    fn search(&mut self, wish: &Wish<'_>, now: Time) -> Choice {
        let Some(all) = self.all.get(&wish.serves) else {
            return Choice::None;
        };
        let mut present = false;
        let start = if all.is_empty() {
            0
        } else {
            self.rng.usize(..all.len())
        };
        for &slot in all[start..].iter().chain(&all[..start]) {
            let endpoint = &self.endpoints[slot.index()];
            present |= endpoint.present && now.since(endpoint.seen) < SILENCE;
            if self.fits(slot, wish, now) {
                return Choice::Endpoint(slot, false);
            }
        }
        if present { Choice::Full } else { Choice::None }
    }

    /// Returns whether `slot` is likely to hold `prefix`, or is its home.
    #[must_use]
    pub fn suits(&self, slot: Slot, serves: u64, prefix: u64, now: Time) -> bool {
        self.prefixes.holders(prefix, now).any(|held| held == slot)
            || home(self.all.get(&serves), prefix) == Some(slot)
    }

    /// Notes that a request is sent to `slot`.
    pub fn sent(&mut self, slot: Slot, prefix: Option<u64>, now: Time) {
        let endpoint = &mut self.endpoints[slot.index()];
        endpoint.own += 1;
        endpoint.note(now, 1);
        if let Some(prefix) = prefix {
            self.prefixes.used(prefix, slot, now);
        }
    }

    /// Notes that a request at `slot` has ended, well or not.
    pub fn done(&mut self, slot: Slot, now: Time) {
        let endpoint = &mut self.endpoints[slot.index()];
        endpoint.own = endpoint.own.saturating_sub(1);
        endpoint.note(now, -1);
    }

    /// Notes an answer's wait for its first token, against the aim.
    pub fn answered(&mut self, slot: Slot, first: Span, aim: Span) {
        let endpoint = &mut self.endpoints[slot.index()];
        endpoint.limit.answered(first, aim);
        endpoint.failures = 0;
        endpoint.ejections = endpoint.ejections.saturating_sub(1);
    }

    /// Notes a failure at `slot`; sets the endpoint aside after a few in a row.
    pub fn failed(&mut self, slot: Slot, now: Time) {
        let endpoint = &mut self.endpoints[slot.index()];
        endpoint.limit.fail();
        endpoint.failures += 1;
        if endpoint.failures >= EJECT_AFTER {
            let doublings = endpoint.ejections.min(EJECT_DOUBLINGS);
            endpoint.aside_until = now + Span(EJECT_FIRST.0 << doublings);
            endpoint.ejections += 1;
        }
    }

    /// Notes that an endpoint's cache has dropped a prefix.
    pub fn dropped(&mut self, slot: Slot, prefix: u64) {
        self.prefixes.dropped(prefix, slot);
    }
}

/// Returns the endpoint that a prefix belongs to.
fn home(list: Option<&Vec<Slot>>, prefix: u64) -> Option<Slot> {
    let list = list.filter(|list| !list.is_empty())?;
    let mixed = prefix.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    let place = mixed % list.len() as u64;
    list.get(usize::try_from(place).ok()?).copied()
}

fn draw(
    rng: &mut fastrand::Rng,
    from: Option<&Vec<Slot>>,
    count: usize,
    into: &mut Vec<(Slot, bool)>,
) {
    let Some(from) = from.filter(|list| !list.is_empty()) else {
        return;
    };
    for _ in 0..count {
        let slot = from[rng.usize(..from.len())];
        if into.iter().all(|(other, _)| *other != slot) {
            into.push((slot, false));
        }
    }
}

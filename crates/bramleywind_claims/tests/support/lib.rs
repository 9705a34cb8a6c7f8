//! Fixtures shared by the tests of this crate.

#![allow(dead_code, reason = "each test file uses a part of this")]
#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_claims::{
    ClaimHolder, ClaimKeeper, ClaimLink, ClaimPage, ClaimQuery, ClaimRecord, ClaimStatus,
    RecordedOutcome,
};
use bramleywind_store::{MemoryStore, Store, StoreKey};
use bramleywind_types::{BodyHash, IncarnationId, RequestKey};

/// The maximum time that a test waits for a condition.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);

pub fn request_key(name: &str) -> RequestKey {
    RequestKey { workspace: "ferries".parse().unwrap(), key: name.parse().unwrap() }
}

pub fn body_hash() -> BodyHash {
    BodyHash::of(&[b"POST /services/orders/new", b"{}"])
}

pub fn holder(number: u64) -> ClaimHolder {
    ClaimHolder {
        instance: format!("akl-{number}").parse().unwrap(),
        run: IncarnationId::from_number(number),
    }
}

pub fn outcome(body: &[u8]) -> RecordedOutcome {
    RecordedOutcome { status: 201, content_type: None, body: body.to_vec() }
}

/// Returns a deadline in 300 milliseconds.
pub fn short_deadline() -> Instant {
    Instant::now() + Duration::from_millis(300)
}

pub fn stored_record(store: &MemoryStore, key: &RequestKey) -> Option<ClaimRecord> {
    let found = store.peek(&StoreKey::claim_page(key))?;
    ClaimPage::decode(&found.value).unwrap().get(key).cloned()
}

/// Polls a condition until it holds, and panics after [`TEST_TIMEOUT`].
pub async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "waited too long until {what}");
        compio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// A link that queries keepers of the same process directly. A holder that is not linked gives no answer.
pub struct LocalLink<S> {
    keepers: Rc<RefCell<Vec<LinkedKeeper<S>>>>,
}

struct LinkedKeeper<S> {
    holder: ClaimHolder,
    keeper: ClaimKeeper<S, LocalLink<S>>,
}

impl<S> Default for LocalLink<S> {
    fn default() -> Self {
        Self { keepers: Rc::default() }
    }
}

impl<S> Clone for LocalLink<S> {
    fn clone(&self) -> Self {
        Self { keepers: Rc::clone(&self.keepers) }
    }
}

impl<S: Store + 'static> LocalLink<S> {
    /// Creates a keeper that other keepers reach over this link.
    pub fn keeper(&self, store: S, number: u64) -> ClaimKeeper<S, Self> {
        let keeper = ClaimKeeper::new(store, self.clone(), holder(number));
        let linked = LinkedKeeper { holder: holder(number), keeper: keeper.clone() };
        self.keepers.borrow_mut().push(linked);
        let maintained = keeper.clone();
        compio::runtime::spawn(async move { maintained.maintain().await }).detach();
        keeper
    }

    pub fn remove(&self, number: u64) {
        self.keepers.borrow_mut().retain(|linked| linked.holder != holder(number));
    }
}

impl<S: Store + 'static> ClaimLink for LocalLink<S> {
    async fn query(&self, holder: &ClaimHolder, query: &ClaimQuery) -> ClaimStatus {
        let keepers = self.keepers.borrow();
        let linked = keepers.iter().find(|linked| linked.holder == *holder);
        linked.map_or(ClaimStatus::Unknown, |linked| linked.keeper.answer_query(query))
    }
}

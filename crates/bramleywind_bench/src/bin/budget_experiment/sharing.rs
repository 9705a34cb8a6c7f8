//! The three compared ways of sharing budgets between routers.

use std::{cell::RefCell, rc::Rc, time::Duration};

use bramleywind_ledger::{
    GrantPolicy, LedgerSettings, PeerRecord, Reservation, ReserveOutcome, TokenLedger, WitnessId,
};
use bramleywind_store::{ReadOutcome, Store, StoreKey, StoreVersion, WriteOutcome};
use bramleywind_types::TokenCount;
use serde::{Deserialize, Serialize};

use crate::{
    network::{Network, SimLedger, SimLink, SimStore, instance_id},
    workload::{BUDGETS, ROUTERS, budget_id},
};

/// How long a request waits for tokens before it is refused.
const RESERVE_TIMEOUT: Duration = Duration::from_secs(2);
/// How often [`TokenLedger::maintain`] is called.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(50);
/// The time until a settlement that the store did not apply is tried again.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// How often a compare-and-swap is tried before the store is considered unavailable.
const MAX_SWAP_ATTEMPTS: usize = 50;

/// A way of sharing budgets. The variants are printed by name in the results.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SharingKind {
    /// Each router gets an equal, fixed part of each budget.
    EqualSplit,
    /// Each reservation and each settlement is one compare-and-swap in the store.
    SwapPerRequest,
    /// Each router runs a [`TokenLedger`].
    FundsKeeper,
}

/// A reservation that has not been settled.
pub enum ReservationHandle {
    Tokens(u64),
    Reservation(Reservation),
}

/// The state of one way of sharing.
#[derive(Clone)]
pub enum Sharing {
    /// The tokens that remain, by router and budget.
    EqualSplit(Rc<RefCell<[[u64; BUDGETS]; ROUTERS]>>),
    /// The store connection of each router.
    SwapPerRequest(Vec<SimStore>),
    /// The ledger of each router.
    TokenLedgers(Vec<SimLedger>),
}

/// The stored record of a budget for [`SharingKind::SwapPerRequest`].
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct SwapRecord {
    credit: u64,
    /// The tokens of bills and of open reservations.
    committed: u64,
}

impl Sharing {
    /// Divides the credits, or writes them to the store, or starts the ledgers, according to `kind`.
    pub fn start(
        kind: SharingKind,
        network: &Rc<Network>,
        credits: [u64; BUDGETS],
        seed: u64,
    ) -> Self {
        let store = |router| SimStore { router, network: Rc::clone(network) };
        match kind {
            SharingKind::EqualSplit => {
                let share = credits.map(|credit| credit / ROUTERS as u64);
                Self::EqualSplit(Rc::new(RefCell::new([share; ROUTERS])))
            }
            SharingKind::SwapPerRequest => {
                for (budget, credit) in credits.into_iter().enumerate() {
                    let record = SwapRecord { credit, committed: 0 };
                    network.memory.put(&swap_record_key(budget), encode(record));
                }
                Self::SwapPerRequest((0..ROUTERS).map(store).collect())
            }
            SharingKind::FundsKeeper => Self::TokenLedgers(start_ledgers(network, credits, seed)),
        }
    }

    /// Reserves tokens of a budget at a router. Returns `None` if the request is refused.
    pub async fn reserve(
        &self,
        router: usize,
        budget: usize,
        tokens: u64,
        network: &Network,
    ) -> Option<ReservationHandle> {
        match self {
            Self::EqualSplit(shares) => {
                let share = &mut shares.borrow_mut()[router][budget];
                *share = share.checked_sub(tokens)?;
                Some(ReservationHandle::Tokens(tokens))
            }
            Self::SwapPerRequest(stores) => {
                let reserved = compare_and_swap(&stores[router], budget, |record| {
                    let committed = record.committed + tokens;
                    (committed <= record.credit).then_some(SwapRecord { committed, ..record })
                });
                (reserved.await == SwapOutcome::Applied)
                    .then_some(ReservationHandle::Tokens(tokens))
            }
            Self::TokenLedgers(ledgers) => {
                let deadline = network.runtime.now() + RESERVE_TIMEOUT;
                let id = budget_id(budget);
                match ledgers[router].reserve(&id, TokenCount(tokens), None, deadline).await {
                    ReserveOutcome::Reserved(reservation) => {
                        Some(ReservationHandle::Reservation(reservation))
                    }
                    ReserveOutcome::Exhausted | ReserveOutcome::Unavailable(_) => None,
                }
            }
        }
    }

    /// Settles a reservation: bills `billed` tokens and frees the others.
    pub async fn settle(
        &self,
        router: usize,
        budget: usize,
        handle: ReservationHandle,
        billed: u64,
        network: &Network,
    ) {
        match (self, handle) {
            (Self::EqualSplit(shares), ReservationHandle::Tokens(tokens)) => {
                shares.borrow_mut()[router][budget] += tokens - billed;
            }
            (Self::SwapPerRequest(stores), ReservationHandle::Tokens(tokens)) => {
                let refund = tokens - billed;
                let refund_tokens = |record: SwapRecord| {
                    Some(SwapRecord { committed: record.committed - refund, ..record })
                };
                while compare_and_swap(&stores[router], budget, refund_tokens).await
                    != SwapOutcome::Applied
                {
                    network.runtime.sleep(RETRY_INTERVAL).await;
                }
            }
            (Self::TokenLedgers(ledgers), ReservationHandle::Reservation(reservation)) => {
                ledgers[router].settle(reservation, TokenCount(billed));
            }
            _ => unreachable!("a reservation is settled by the way of sharing that made it"),
        }
    }

    /// Returns the tokens that a router holds and that are not reserved.
    pub fn unused_tokens(&self, router: usize) -> u64 {
        match self {
            Self::EqualSplit(shares) => shares.borrow()[router].iter().sum(),
            Self::SwapPerRequest(_) => 0,
            Self::TokenLedgers(ledgers) => {
                let balances = ledgers[router].dump().budgets;
                balances.values().map(|balance| balance.slice_available.0).sum()
            }
        }
    }

    /// Adds tokens to the credit of each budget.
    pub fn top_up(&self, network: &Network, amounts: [u64; BUDGETS]) {
        match self {
            // Routers that are cut off do not learn of the top-up, so their shares stay as they are.
            Self::EqualSplit(shares) => {
                for (router, share) in shares.borrow_mut().iter_mut().enumerate() {
                    if !network.partitioned[router].get() {
                        let grown_shares = share.iter_mut().zip(amounts);
                        grown_shares.for_each(|(share, amount)| *share += amount / ROUTERS as u64);
                    }
                }
            }
            Self::SwapPerRequest(_) => {
                for (budget, amount) in amounts.into_iter().enumerate() {
                    let found = network.memory.peek(&swap_record_key(budget));
                    let Some(mut record) = found.and_then(|found| decode(&found.value)) else {
                        continue;
                    };
                    record.credit += amount;
                    network.memory.put(&swap_record_key(budget), encode(record));
                }
            }
            Self::TokenLedgers(_) => {
                for (budget, amount) in amounts.into_iter().enumerate() {
                    let key = StoreKey::budget_page(&budget_id(budget));
                    let Some(found) = network.memory.peek(&key) else { continue };
                    let mut page = bramleywind_ledger::BudgetPage::from_bytes(&found.value)
                        .expect("the ledgers write valid pages");
                    let operation = format!("top-up-{budget}");
                    let operation = operation.parse().expect("the name is an identifier");
                    let record = page.budgets.entry(budget_id(budget)).or_default();
                    record.top_up(operation, TokenCount(amount)).expect("the operation is new");
                    network.memory.put(&key, page.to_bytes());
                }
            }
        }
    }
}

/// Starts a ledger for each router, with the other routers as its peers.
fn start_ledgers(network: &Rc<Network>, credits: [u64; BUDGETS], seed: u64) -> Vec<SimLedger> {
    let budgets: Vec<_> =
        (0..BUDGETS).map(|budget| (budget_id(budget), TokenCount(credits[budget]))).collect();
    for router in 0..ROUTERS {
        let settings = LedgerSettings {
            instance: instance_id(router),
            data_centre: format!("dc-{}", router / 2).parse().expect("the name is an identifier"),
            clock: network.runtime.clock(),
            grants: GrantPolicy::default(),
        };
        let store = SimStore { router, network: Rc::clone(network) };
        let link = SimLink { router, network: Rc::clone(network) };
        let ledger =
            TokenLedger::with_seed(settings, store, link, seed * ROUTERS as u64 + router as u64);
        ledger.configure(bramleywind_types::ConfigRevision(1), budgets.clone());
        network.ledgers.borrow_mut().push(ledger);
    }
    let ledgers = network.ledgers.borrow().clone();
    for (router, ledger) in ledgers.iter().enumerate() {
        ledger.set_peers(peer_records(&ledgers, |other| other != router));
        let runtime = &network.runtime;
        let (runner, registrant, ticker) = (ledger.clone(), ledger.clone(), ledger.clone());
        runtime.spawn(router, async move { runner.run().await });
        runtime.spawn(router, async move {
            let _outcome = registrant.register().await;
        });
        let timer = runtime.clone();
        runtime.spawn(router, async move {
            loop {
                timer.sleep(MAINTENANCE_INTERVAL).await;
                ticker.maintain();
            }
        });
    }
    ledgers
}

/// Returns the peer records of the routers for which `is_included` returns true.
pub fn peer_records(ledgers: &[SimLedger], is_included: impl Fn(usize) -> bool) -> Vec<PeerRecord> {
    let included = ledgers.iter().enumerate().filter(|(router, _)| is_included(*router));
    included
        .map(|(router, ledger)| PeerRecord {
            witness: WitnessId { instance: instance_id(router), run: ledger.run_id() },
            data_centre: format!("dc-{}", router / 2).parse().expect("the name is an identifier"),
            leaving: false,
        })
        .collect()
}

#[derive(Debug, PartialEq, Eq)]
enum SwapOutcome {
    Applied,
    /// The change was not allowed for the stored record.
    Refused,
    /// The store did not answer, the record was missing or invalid, or every attempt met a conflict.
    Unavailable,
}

fn swap_record_key(budget: usize) -> StoreKey {
    StoreKey::from_text(format!("swaps/{budget}"))
}

fn encode(record: SwapRecord) -> Vec<u8> {
    serde_json::to_vec(&record).expect("the record has no maps")
}

fn decode(value: &[u8]) -> Option<SwapRecord> {
    serde_json::from_slice(value).ok()
}

/// Replaces the record of a budget with the result of `change`, and tries again after a conflict. Writes nothing if
/// `change` returns `None`.
async fn compare_and_swap(
    store: &SimStore,
    budget: usize,
    change: impl Fn(SwapRecord) -> Option<SwapRecord>,
) -> SwapOutcome {
    let key = swap_record_key(budget);
    for _ in 0..MAX_SWAP_ATTEMPTS {
        let (record, version): (SwapRecord, StoreVersion) = match store.read(&key).await {
            ReadOutcome::Found(found) => match decode(&found.value) {
                Some(record) => (record, found.version),
                None => return SwapOutcome::Unavailable,
            },
            _ => return SwapOutcome::Unavailable,
        };
        let Some(changed) = change(record) else { return SwapOutcome::Refused };
        match store.write(&key, encode(changed), version).await {
            WriteOutcome::Applied(_) => return SwapOutcome::Applied,
            WriteOutcome::Conflict => {}
            WriteOutcome::NotApplied(_) | WriteOutcome::Unknown => return SwapOutcome::Unavailable,
        }
    }
    SwapOutcome::Unavailable
}

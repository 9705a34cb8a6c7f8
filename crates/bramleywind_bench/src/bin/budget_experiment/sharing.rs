//! The three ways of sharing budgets that are compared.

use std::{cell::RefCell, rc::Rc, time::Duration};

use bramleywind_ledger::{
    GrantPolicy, LedgerSettings, PeerRecord, Reservation, ReserveOutcome, TokenLedger, WitnessId,
};
use bramleywind_store::{ReadOutcome, Store, StoreKey, StoreVersion, WriteOutcome};
use bramleywind_types::TokenCount;
use serde::{Deserialize, Serialize};

use crate::{
    network::{Keeper, Network, SimLink, SimStore, instance},
    workload::{BUDGETS, ROUTERS, budget_id},
};

/// The longest that a request waits for tokens.
const RESERVE_LIMIT: Duration = Duration::from_secs(2);
const MAINTAIN_PERIOD: Duration = Duration::from_millis(50);
const RETRY_PERIOD: Duration = Duration::from_secs(1);
const MAX_SWAPS: usize = 50;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SharingKind {
    EqualSplit,
    SwapPerRequest,
    FundsKeeper,
}

/// What a reservation is known by until it is settled.
pub enum Held {
    Tokens(u64),
    Reservation(Reservation),
}

#[derive(Clone)]
pub enum Sharing {
    EqualSplit(Rc<RefCell<[[u64; BUDGETS]; ROUTERS]>>),
    SwapPerRequest(Vec<SimStore>),
    FundsKeeper(Vec<Keeper>),
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct SwapRecord {
    credit: u64,
    committed: u64,
}

impl Sharing {
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
                    network.memory.put(&swap_key(budget), encode(record));
                }
                Self::SwapPerRequest((0..ROUTERS).map(store).collect())
            }
            SharingKind::FundsKeeper => Self::FundsKeeper(start_keepers(network, credits, seed)),
        }
    }

    pub async fn reserve(
        &self,
        router: usize,
        budget: usize,
        tokens: u64,
        network: &Network,
    ) -> Option<Held> {
        match self {
            Self::EqualSplit(shares) => {
                let share = &mut shares.borrow_mut()[router][budget];
                *share = share.checked_sub(tokens)?;
                Some(Held::Tokens(tokens))
            }
            Self::SwapPerRequest(stores) => {
                let reserved = swap(&stores[router], budget, |record| {
                    let committed = record.committed + tokens;
                    (committed <= record.credit).then_some(SwapRecord { committed, ..record })
                });
                (reserved.await == SwapOutcome::Applied).then_some(Held::Tokens(tokens))
            }
            Self::FundsKeeper(keepers) => {
                let deadline = network.runtime.now() + RESERVE_LIMIT;
                let id = budget_id(budget);
                match keepers[router].reserve(&id, TokenCount(tokens), None, deadline).await {
                    ReserveOutcome::Reserved(reservation) => Some(Held::Reservation(reservation)),
                    ReserveOutcome::Exhausted | ReserveOutcome::Unavailable(_) => None,
                }
            }
        }
    }

    pub async fn settle(
        &self,
        router: usize,
        budget: usize,
        held: Held,
        billed: u64,
        network: &Network,
    ) {
        match (self, held) {
            (Self::EqualSplit(shares), Held::Tokens(tokens)) => {
                shares.borrow_mut()[router][budget] += tokens - billed;
            }
            (Self::SwapPerRequest(stores), Held::Tokens(tokens)) => {
                let refund = tokens - billed;
                let give_back = |record: SwapRecord| {
                    Some(SwapRecord { committed: record.committed - refund, ..record })
                };
                while swap(&stores[router], budget, give_back).await != SwapOutcome::Applied {
                    network.runtime.sleep(RETRY_PERIOD).await;
                }
            }
            (Self::FundsKeeper(keepers), Held::Reservation(reservation)) => {
                keepers[router].settle(reservation, TokenCount(billed));
            }
            _ => unreachable!("a reservation is settled where it was made"),
        }
    }

    /// What a router holds and does not use.
    pub fn unused(&self, router: usize) -> u64 {
        match self {
            Self::EqualSplit(shares) => shares.borrow()[router].iter().sum(),
            Self::SwapPerRequest(_) => 0,
            Self::FundsKeeper(keepers) => {
                let balances = keepers[router].dump().budgets;
                balances.values().map(|balance| balance.slice_available.0).sum()
            }
        }
    }

    pub fn top_up(&self, network: &Network, amounts: [u64; BUDGETS]) {
        match self {
            // Those who are cut off do not learn of their share while the partition lasts.
            Self::EqualSplit(shares) => {
                for (router, share) in shares.borrow_mut().iter_mut().enumerate() {
                    if !network.cut[router].get() {
                        let grown = share.iter_mut().zip(amounts);
                        grown.for_each(|(share, amount)| *share += amount / ROUTERS as u64);
                    }
                }
            }
            Self::SwapPerRequest(_) => {
                for (budget, amount) in amounts.into_iter().enumerate() {
                    let found = network.memory.peek(&swap_key(budget));
                    let Some(mut record) = found.and_then(|found| decode(&found.value)) else {
                        continue;
                    };
                    record.credit += amount;
                    network.memory.put(&swap_key(budget), encode(record));
                }
            }
            Self::FundsKeeper(_) => {
                for (budget, amount) in amounts.into_iter().enumerate() {
                    let key = StoreKey::budget_page(&budget_id(budget));
                    let Some(found) = network.memory.peek(&key) else { continue };
                    let mut page = bramleywind_ledger::BudgetPage::from_bytes(&found.value)
                        .expect("the keepers write valid pages");
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

fn start_keepers(network: &Rc<Network>, credits: [u64; BUDGETS], seed: u64) -> Vec<Keeper> {
    let budgets: Vec<_> =
        (0..BUDGETS).map(|budget| (budget_id(budget), TokenCount(credits[budget]))).collect();
    for router in 0..ROUTERS {
        let settings = LedgerSettings {
            instance: instance(router),
            data_centre: format!("dc-{}", router / 2).parse().expect("the name is an identifier"),
            clock: network.runtime.clock(),
            grants: GrantPolicy::default(),
        };
        let store = SimStore { router, network: Rc::clone(network) };
        let link = SimLink { router, network: Rc::clone(network) };
        let keeper =
            TokenLedger::with_seed(settings, store, link, seed * ROUTERS as u64 + router as u64);
        keeper.configure(bramleywind_types::ConfigRevision(1), budgets.clone());
        network.keepers.borrow_mut().push(keeper);
    }
    let keepers = network.keepers.borrow().clone();
    for (router, keeper) in keepers.iter().enumerate() {
        keeper.set_peers(peers(&keepers, |other| other != router));
        let runtime = &network.runtime;
        let (runner, registrant, ticker) = (keeper.clone(), keeper.clone(), keeper.clone());
        runtime.spawn(router, async move { runner.run().await });
        runtime.spawn(router, async move {
            let _outcome = registrant.register().await;
        });
        let ticks = runtime.clone();
        runtime.spawn(router, async move {
            loop {
                ticks.sleep(MAINTAIN_PERIOD).await;
                ticker.maintain();
            }
        });
    }
    keepers
}

pub fn peers(keepers: &[Keeper], is_seen: impl Fn(usize) -> bool) -> Vec<PeerRecord> {
    let seen = keepers.iter().enumerate().filter(|(router, _)| is_seen(*router));
    seen.map(|(router, keeper)| PeerRecord {
        witness: WitnessId { instance: instance(router), run: keeper.run_id() },
        data_centre: format!("dc-{}", router / 2).parse().expect("the name is an identifier"),
        leaving: false,
    })
    .collect()
}

#[derive(Debug, PartialEq, Eq)]
enum SwapOutcome {
    Applied,
    Refused,
    Unavailable,
}

fn swap_key(budget: usize) -> StoreKey {
    StoreKey::from_text(format!("swaps/{budget}"))
}

fn encode(record: SwapRecord) -> Vec<u8> {
    serde_json::to_vec(&record).expect("the record has no maps")
}

fn decode(value: &[u8]) -> Option<SwapRecord> {
    serde_json::from_slice(value).ok()
}

async fn swap(
    store: &SimStore,
    budget: usize,
    change: impl Fn(SwapRecord) -> Option<SwapRecord>,
) -> SwapOutcome {
    let key = swap_key(budget);
    for _ in 0..MAX_SWAPS {
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

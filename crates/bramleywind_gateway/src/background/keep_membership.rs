use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_store::UnavailableReason;
use compio::time::sleep;
use slog::{info, warn};

use super::StoreContact;
use crate::{
    funds::{TakeoverOutcome, take_over},
    gateway::{Gateway, StopPhase},
    link::{CommitOutcome, FleetStore, LeaseId, Platform},
};

/// The time between two entries in a small fleet.
const ROUND_TIME: Duration = Duration::from_secs(1);

/// Gateways up to which a round takes [`ROUND_TIME`]; it grows with larger fleets, since each round is two writes.
const SMALL_FLEET: usize = 16;

/// The longest time between two entries.
const LONGEST_ROUND: Duration = Duration::from_secs(3);

/// The time between two looks whether the process may enter itself again.
const ABSENT_PAUSE: Duration = Duration::from_millis(50);

/// How long an entry lasts, in rounds: two may fail before a gateway that lives is dropped from the list.
const ENTRY_ROUNDS: f64 = 2.8;

/// Attempts to take over before the process enters itself. Each conflict is a write of another gateway.
const TAKEOVER_ATTEMPTS: usize = 20;

/// Keeps this process in the list of gateways, and the list up to date. Ends once the process leaves.
///
/// Each round writes the entry anew under a new lease. A lease is never renewed: a renewal whose answer was lost could
/// take effect late, and the entry would then outlast what this process believes.
pub(crate) async fn keep_membership<P: Platform>(gateway: Rc<Gateway<P>>) {
    let mut contact = StoreContact::new("member list", gateway.log());
    let mut lease = None;
    let mut has_taken_over = false;
    while gateway.stop_phase() == StopPhase::Running {
        let round_time = round_time(gateway.members().borrow().count());
        match round(&gateway, &mut lease, &mut has_taken_over, round_time).await {
            Ok(is_present) => {
                contact.note_answer();
                sleep(if is_present { round_time } else { ABSENT_PAUSE }).await;
            }
            Err(reason) => contact.pause_after(reason).await,
        }
    }
    if let Some(lease) = lease {
        match gateway.store().end_lease(lease).await {
            Ok(()) => info!(gateway.log(), "left the member list"),
            Err(reason) => {
                warn!(gateway.log(), "could not leave the member list; the entry ends by itself";
                    "reason" => ?reason);
            }
        }
    }
}

fn round_time(members: usize) -> Duration {
    let growth = members as f64 / SMALL_FLEET as f64;
    ROUND_TIME.mul_f64(growth.max(1.0)).min(LONGEST_ROUND)
}

async fn round<P: Platform>(
    gateway: &Gateway<P>,
    lease: &mut Option<LeaseId>,
    has_taken_over: &mut bool,
    round_time: Duration,
) -> Result<bool, UnavailableReason> {
    if !*has_taken_over {
        let outcome = take_over_predecessor(gateway).await?;
        info!(gateway.log(), "takeover from the instance's earlier process"; "outcome" => ?outcome);
        *has_taken_over = true;
    }
    let store = gateway.store();
    let book = gateway.funds().book();
    // Tokens that were spent out of standby are first written down as spent.
    if !book.borrow().may_be_present() {
        return Ok(false);
    }
    let time_to_live = round_time.mul_f64(ENTRY_ROUNDS);
    let taken = store.take_lease(time_to_live).await?;
    // The lease runs from before this moment, so the entry has ended by then.
    let until = Instant::now() + time_to_live;
    // Standby tokens may have been spent while the lease was taken.
    let may_be_present = {
        let mut book = book.borrow_mut();
        let may_be_present = book.may_be_present();
        if may_be_present {
            book.set_presence(until);
        }
        may_be_present
    };
    if may_be_present {
        let own = gateway.members().borrow().own().clone();
        if store.write_member(&own, taken).await? && lease.replace(taken).is_none() {
            info!(gateway.log(), "entered the member list"; "lease" => %taken);
        }
    }
    let listed = store.list_members().await?;
    let count = listed.len();
    let mut members = gateway.members().borrow_mut();
    let before = members.count();
    let is_believed = members.update(listed, Instant::now());
    if members.count() != before || !is_believed {
        info!(gateway.log(), "member list changed"; "listed" => count, "believed" => is_believed,
            "before" => before, "now" => members.count());
    }
    gateway.metrics().members.set(i64::try_from(members.count()).unwrap_or(i64::MAX));
    book.borrow_mut().set_members(members.count());
    Ok(true)
}

/// Gives the standby tokens of the instance's earlier process back. That process has ended: this one listens on its
/// ports. If its entry is still there, it has not spent any of them.
async fn take_over_predecessor<P: Platform>(
    gateway: &Gateway<P>,
) -> Result<TakeoverOutcome, UnavailableReason> {
    let store = gateway.store();
    let own = gateway.members().borrow().own().clone();
    let mut done = 0;
    for _ in 0..TAKEOVER_ATTEMPTS {
        let Some((entry, version)) = store.read_member(&own.instance).await? else { break };
        if entry.incarnation == own.incarnation {
            break;
        }
        let budgets = store.read_budgets(true).await?;
        let changes = take_over(entry.incarnation, budgets);
        if changes.is_empty() {
            break;
        }
        let first = &changes[..changes.len().min(P::Store::MOST_CHANGES)];
        let outcome = store.commit_budgets(first, Some((&own.instance, version))).await;
        if matches!(outcome, CommitOutcome::Applied(_)) {
            done += first.len();
        }
    }
    if done == 0 {
        return Ok(TakeoverOutcome::NothingToTake);
    }
    Ok(TakeoverOutcome::Done { budgets: done })
}

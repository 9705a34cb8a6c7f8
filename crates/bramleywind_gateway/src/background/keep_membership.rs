use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_store::UnavailableReason;
use compio::time::sleep;
use slog::{info, warn};

use super::DependencyTracker;
use crate::{
    gateway::{Gateway, StopPhase},
    platform_api::{FleetStore, LeaseId, Platform},
};

/// The time between two rounds. A gateway that died is dropped from entry answers within this and the lease's time.
const ROUND_TIME: Duration = Duration::from_secs(1);

/// How long the entry lasts without a renewal: three missed renewals, so that a slow one drops no gateway that lives.
const LEASE_TIME: Duration = Duration::from_millis(3_500);

/// Keeps this process in the list of gateways, and the list up to date. Ends once the process leaves.
pub(crate) async fn maintain_membership<P: Platform>(gateway: Rc<Gateway<P>>) {
    let mut contact = DependencyTracker::new("member list", gateway.log());
    let mut lease = None;
    while gateway.stop_phase() == StopPhase::Running {
        match round(&gateway, &mut lease).await {
            Ok(()) => {
                contact.note_answer();
                sleep(ROUND_TIME).await;
            }
            Err(reason) => contact.pause_after(reason).await,
        }
    }
    if let Some(lease) = lease {
        match gateway.store().end_lease(lease).await {
            Ok(()) => info!(gateway.log(), "left the member list"),
            Err(reason) => {
                warn!(gateway.log(), "could not leave the member list; the lease ends by itself";
                    "reason" => ?reason);
            }
        }
    }
}

async fn round<P: Platform>(
    gateway: &Gateway<P>,
    lease: &mut Option<LeaseId>,
) -> Result<(), UnavailableReason> {
    let store = gateway.store();
    let is_renewed = match *lease {
        Some(lease) => store.renew_lease(lease).await?,
        None => false,
    };
    if !is_renewed {
        *lease = None;
        let taken = store.take_lease(LEASE_TIME).await?;
        let own = gateway.members().borrow().own().clone();
        if store.write_member(&own, taken).await? {
            *lease = Some(taken);
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
    gateway.funds().book().borrow_mut().set_member_count(members.count());
    Ok(())
}

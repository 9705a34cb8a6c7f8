//! How the gateway learns of the other gateways through one of them, and answers others.

use std::time::{Duration, Instant};

use super::Gateway;
use crate::{
    platform_api::{FleetListing, Platform},
    registry::{FleetAnswer, FleetQuery, ListDigest, differing_parts, part_of},
};

impl<P: Platform> Gateway<P> {
    /// Keeps the list of gateways that the store gave, or another gateway, for the answers to others. The store was asked at `asked_at`.
    pub fn keep_fleet_listing(&self, listing: FleetListing, asked_at: Instant) {
        *self.fleet_listing.borrow_mut() = Some((listing, asked_at));
    }

    /// Returns the question to another gateway how its list of gateways differs.
    pub fn fleet_query(&self) -> FleetQuery {
        let listing = self.fleet_listing.borrow();
        let members = listing.as_ref().map(|(listing, _)| &*listing.members).unwrap_or_default();
        FleetQuery { digest: ListDigest::of(members.iter()) }
    }

    /// Answers another gateway's question about the list of gateways. Returns `None` if this one has none.
    pub fn answer_fleet_query(&self, query: &FleetQuery) -> Option<FleetAnswer> {
        let listing = self.fleet_listing.borrow();
        let (listing, asked_at) = listing.as_ref()?;
        Some(FleetAnswer {
            age_ms: u64::try_from(asked_at.elapsed().as_millis()).unwrap_or(u64::MAX),
            parts: differing_parts(&listing.members, &query.digest),
            quarantines: listing.quarantines.clone(),
            part_quarantines: listing.part_quarantines.clone(),
        })
    }

    /// Returns the list of gateways that follows from another gateway's answer to a query of `asked_at`, and keeps it.
    pub fn apply_fleet_answer(&self, answer: FleetAnswer, asked_at: Instant) -> FleetListing {
        let known = self.fleet_listing.take();
        let mut members = known.map(|(listing, _)| listing.members).unwrap_or_default();
        for part in answer.parts {
            members.retain(|member| part_of(member.instance.as_str()) != part.number);
            members.extend(part.records);
        }
        let (quarantines, part_quarantines) = (answer.quarantines, answer.part_quarantines);
        let listing = FleetListing { members, quarantines, part_quarantines };
        let read_at =
            asked_at.checked_sub(Duration::from_millis(answer.age_ms)).unwrap_or(asked_at);
        self.keep_fleet_listing(listing.clone(), read_at);
        listing
    }
}

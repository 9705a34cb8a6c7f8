use std::time::{Duration, Instant};

use super::{IssuerRole, RequestRate};

/// The share of an endpoint's rate for which a substitute issues permits. Endpoints tolerate one and a half times their rate,
/// which an issuer and a substitute together do not reach.
const SUBSTITUTE_SHARE: f64 = 0.4;

/// The lowest rate of permits per second. Only an answer tells that an endpoint limits its requests no longer.
const MIN_RATE: f64 = 0.1;

/// Permits that an issuer can save up at any rate, so that one which becomes available is still there when a gateway asks again.
const ISSUER_CAPACITY: f64 = 2.0;

/// The same for a substitute. There may be several in turn, each with saved permits.
const SUBSTITUTE_CAPACITY: f64 = 1.25;

/// Permits that can be saved up beside these, in seconds of the rate.
const SAVING_TIME: f64 = 0.25;

/// The step between the times of return of gateways that get no turn of their own, as a part of the longest wait. Multiples of the
/// golden ratio are spread evenly, however many there are.
const RETURN_STEP: f64 = 0.618_033_988_75;

/// The longest time until which a gateway that got no permit is sent away.
const MAX_WAIT: Duration = Duration::from_secs(3);

/// How long a permit is kept for a more urgent request after the time at which it was to be asked for again.
const RESERVATION_TIME: Duration = Duration::from_millis(500);

/// A more urgent request that got no permit.
#[derive(Debug, Clone, Copy)]
struct DeniedRequest {
    rank: u32,
    reserved_until: Instant,
}

/// The permits that one gateway issues for requests to an endpoint, to itself and to other gateways.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use bramleywind_gateway::rate_limits::{IssuerRole, PermitBucket, RequestRate};
///
/// let now = Instant::now();
/// let mut bucket = PermitBucket::new(now);
/// let wait = bucket.take(RequestRate(1_000), IssuerRole::Issuer, 0, now).unwrap_err();
/// assert_eq!(wait, Duration::from_secs(1));
/// assert!(bucket.take(RequestRate(1_000), IssuerRole::Issuer, 0, now + wait).is_ok());
/// ```
#[derive(Debug)]
pub struct PermitBucket {
    permits: f64,
    updated_at: Instant,
    /// The latest time to which a gateway without a permit was sent away.
    last_return_at: Instant,
    /// The place of the latest time of return that is no turn, from 0 to 1.
    return_place: f64,
    denied: Option<DeniedRequest>,
}

impl PermitBucket {
    /// Creates a bucket without permits.
    pub fn new(now: Instant) -> Self {
        Self { permits: 0.0, updated_at: now, last_return_at: now, return_place: 0.0, denied: None }
    }

    /// Takes a permit for a request of the given rank, 0 being the most urgent.
    ///
    /// # Errors
    ///
    /// Returns the time after which to ask again. Each asker gets another one, so that they ask at the rate of the permits.
    pub fn take(
        &mut self,
        rate: RequestRate,
        role: IssuerRole,
        rank: u32,
        now: Instant,
    ) -> Result<(), Duration> {
        let (share, min_capacity) = match role {
            IssuerRole::Issuer => (1.0, ISSUER_CAPACITY),
            IssuerRole::Substitute => (SUBSTITUTE_SHARE, SUBSTITUTE_CAPACITY),
            IssuerRole::None => return Err(MAX_WAIT),
        };
        let per_second = (rate.per_second() * share).max(MIN_RATE);
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let capacity = min_capacity + per_second * SAVING_TIME;
        self.permits = (self.permits + elapsed * per_second).min(capacity);
        self.updated_at = now;
        let is_reserved =
            self.denied.is_some_and(|denied| denied.rank < rank && now < denied.reserved_until);
        if self.permits >= 1.0 && !is_reserved {
            self.permits -= 1.0;
            return Ok(());
        }
        let missing = Duration::from_secs_f64((1.0 - self.permits).max(0.0) / per_second);
        let return_at = self.next_return(now, missing.min(MAX_WAIT), per_second);
        if !is_reserved {
            let reserved_until = return_at + RESERVATION_TIME;
            self.denied = Some(DeniedRequest { rank, reserved_until });
        }
        Err(return_at.saturating_duration_since(now))
    }

    /// Returns when the next gateway without a permit should ask again: at a turn of its own, or at any time up to the longest
    /// wait if all turns until then are taken.
    fn next_return(&mut self, now: Instant, missing: Duration, per_second: f64) -> Instant {
        let next_turn = self.last_return_at + Duration::from_secs_f64(1.0 / per_second);
        let return_at = next_turn.max(now + missing);
        if return_at <= now + MAX_WAIT {
            self.last_return_at = return_at;
            return return_at;
        }
        self.return_place = (self.return_place + RETURN_STEP).fract();
        now + missing + (MAX_WAIT - missing).mul_f64(self.return_place)
    }
}

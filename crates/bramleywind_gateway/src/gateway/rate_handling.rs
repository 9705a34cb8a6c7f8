//! What the gateway does about endpoints that limit the rate of requests that they take from all gateways together.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bramleywind_types::EndpointId;
use slog::info;

use super::Gateway;
use crate::{
    endpoints::Endpoint,
    forward::RequestContext,
    platform_api::Platform,
    rate_limits::{
        IssuerRole, PermitReply, PermitRequest, RateChange, RateNotice, RateOutbox, RateReport,
        RateSource, RateStatement, ServiceClosure,
    },
};

/// The time that a request spends at most on asking for permits. An issuer that lives answers within milliseconds.
const PERMIT_PATIENCE: Duration = Duration::from_millis(250);

/// How long an endpoint gets no requests after no issuer of its permits has answered.
const UNANSWERED_DELAY: Duration = Duration::from_millis(500);

impl<P: Platform> Gateway<P> {
    /// Records what an endpoint's answer says about the rate that it takes. The call began at `sent_at`.
    pub fn observe_rate(&self, endpoint: &Endpoint, statement: RateStatement, sent_at: Instant) {
        if statement == RateStatement::Unreadable {
            info!(self.log, "endpoint names a rate of requests that cannot be read"; "endpoint" => %endpoint.record().id);
        }
        let now = Instant::now();
        let change = endpoint.rate_limit().borrow_mut().observe(statement, sent_at, now);
        self.handle_rate_change(endpoint, change, RateSource::Answer);
    }

    /// Applies another gateway's notice about the rates of endpoints.
    pub fn apply_rate_notice(&self, notice: &RateNotice) {
        for report in &notice.reports {
            self.apply_rate_report(report, RateSource::Notice);
        }
    }

    fn apply_rate_report(&self, report: &RateReport, source: RateSource) -> Option<Rc<Endpoint>> {
        let endpoint = self.endpoints.borrow().get(&report.endpoint).map(Rc::clone)?;
        // A later start of the endpoint speaks for itself.
        if endpoint.record().started_at_ms != report.started_at_ms {
            return None;
        }
        let stated_at = report.stated_at(Instant::now());
        let change = endpoint.rate_limit().borrow_mut().apply(report.rate, stated_at);
        self.handle_rate_change(&endpoint, change, source);
        Some(endpoint)
    }

    fn handle_rate_change(&self, endpoint: &Endpoint, change: RateChange, source: RateSource) {
        if change == RateChange::None {
            return;
        }
        let id = endpoint.record().id.clone();
        let rate = endpoint.rate_limit().borrow().rate();
        info!(self.log, "endpoint's limit of requests changed"; "endpoint" => %id, "change" => ?change,
            "per_second" => rate.map(|rate| rate.to_string()), "source" => ?source);
        if change == RateChange::Ends {
            endpoint.end_denials();
        }
        let issuers = self.members.borrow().permit_issuers(&id, Instant::now());
        let mut outbox = self.rate_outbox.borrow_mut();
        if issuers.is_own_first {
            // The others have to know whether to ask for permits, but not the rate.
            if change != RateChange::Adjusted {
                outbox.for_everyone.insert(id);
            }
        } else if source == RateSource::Answer {
            outbox.for_issuers.insert(id);
        }
        drop(outbox);
        // A full channel means that the task will wake up anyway.
        let _ = self.rate_news.0.try_send(());
    }

    /// Waits until other gateways are to be told about rates.
    pub async fn wait_for_rate_news(&self) {
        // The sender lives as long as the receiver.
        let _ = self.rate_news.1.recv().await;
    }

    /// Takes the reports that are to be sent, by the gateways to which they go.
    pub fn take_rate_notices(&self) -> BTreeMap<SocketAddr, Vec<RateReport>> {
        let RateOutbox { for_issuers, for_everyone } = self.rate_outbox.take();
        let (members, endpoints) = (self.members.borrow(), self.endpoints.borrow());
        let now = Instant::now();
        let mut notices: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for endpoint in for_issuers.iter().filter_map(|id| endpoints.get(id)) {
            let issuers = members.permit_issuers(&endpoint.record().id, now);
            for peer in issuers.others {
                notices.entry(peer).or_default().push(rate_report(endpoint, now));
            }
        }
        let everyone = members.peer_addresses();
        for endpoint in for_everyone.iter().filter_map(|id| endpoints.get(id)) {
            for peer in &everyone {
                notices.entry(*peer).or_default().push(rate_report(endpoint, now));
            }
        }
        notices
    }

    /// Answers another gateway that asks whether it may send a request to an endpoint that limits its requests.
    pub fn answer_permit(&self, request: &PermitRequest) -> PermitReply {
        let Some(endpoint) = self.apply_rate_report(&request.report, RateSource::PermitRequest)
        else {
            return PermitReply::NotIssuer;
        };
        let now = Instant::now();
        let role = self.members.borrow().permit_issuers(&request.report.endpoint, now).own_role;
        if role == IssuerRole::None {
            return PermitReply::NotIssuer;
        }
        if endpoint.rate_limit().borrow().rate().is_none() {
            return PermitReply::Unlimited(rate_report(&endpoint, now));
        }
        match take_own_permit(&endpoint, role, request.rank, now) {
            Ok(()) => PermitReply::Granted,
            Err(wait) => PermitReply::Denied(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX)),
        }
    }

    /// Chooses the endpoint for the next call of a request, as [`Self::choose_endpoint`], and obtains a permit if the endpoint limits
    /// its requests.
    pub async fn choose_permitted(
        &self,
        context: &RequestContext,
        tried: &[EndpointId],
    ) -> Option<Rc<Endpoint>> {
        let give_up_at = Instant::now() + PERMIT_PATIENCE;
        let mut excluded = tried.to_vec();
        loop {
            let endpoint = self.choose_endpoint(context, &excluded)?;
            if endpoint.rate_limit().borrow().rate().is_none() {
                return Some(endpoint);
            }
            let is_permitted =
                Instant::now() < give_up_at && self.obtain_permit(context, &endpoint).await;
            // The endpoint may have left meanwhile.
            if is_permitted && endpoint.is_open() {
                return Some(endpoint);
            }
            excluded.push(endpoint.record().id.clone());
        }
    }

    /// Obtains a permit to send a request to an endpoint. Returns whether it may be sent.
    async fn obtain_permit(&self, context: &RequestContext, endpoint: &Rc<Endpoint>) -> bool {
        let asked_at = Instant::now();
        let id = endpoint.record().id.clone();
        let issuers = self.members.borrow().permit_issuers(&id, asked_at);
        let client = self.funds.loan_client();
        let mut wait = None;
        let mut error = None;
        for issuer in client.order_by_health(issuers.others) {
            let report = rate_report(endpoint, Instant::now());
            let request = PermitRequest { report, rank: context.rank };
            match client.request_permit(issuer, &request).await {
                Ok(PermitReply::Granted) => return self.record_permit("granted"),
                Ok(PermitReply::Denied(wait_ms)) => {
                    wait = Some(Duration::from_millis(wait_ms));
                    break;
                }
                Ok(PermitReply::Unlimited(report)) => {
                    self.apply_rate_report(&report, RateSource::PermitReply);
                    return self.record_permit("not needed");
                }
                Ok(PermitReply::NotIssuer) => error = Some("the gateway issues no permits".into()),
                Err(reason) => error = Some(reason),
            }
        }
        if wait.is_none() {
            let now = Instant::now();
            match take_own_permit(endpoint, issuers.own_role, context.rank, now) {
                Ok(()) => return self.record_permit("own"),
                Err(own_wait) if issuers.own_role != IssuerRole::None => wait = Some(own_wait),
                Err(_) => {}
            }
        }
        let until = Instant::now() + wait.unwrap_or(UNANSWERED_DELAY);
        endpoint.deny_until(context.rank, until);
        info!(self.log, "no permit for a request to an endpoint that limits them"; "request" => &*context.request_id,
            "endpoint" => %id, "rank" => context.rank, "per_second" => endpoint.rate_limit().borrow().rate().map(|rate| rate.to_string()),
            "own_role" => ?issuers.own_role, "next_in_ms" => wait.and_then(|wait| u64::try_from(wait.as_millis()).ok()),
            "asked_ms" => u64::try_from(asked_at.elapsed().as_millis()).ok(), "error" => error);
        self.metrics.record_permit(if wait.is_some() { "denied" } else { "unanswered" });
        false
    }

    fn record_permit(&self, outcome: &'static str) -> bool {
        self.metrics.record_permit(outcome);
        true
    }

    /// Returns when a service takes requests like this one again, if no endpoint takes one now.
    pub fn service_closure(&self, context: &RequestContext) -> Option<ServiceClosure> {
        let now = Instant::now();
        let endpoints = self.endpoints.borrow();
        let mut opens_at: Option<Instant> = None;
        let (mut per_second, mut is_limited) = (0.0, false);
        for endpoint in endpoints.open_endpoints(&context.service) {
            let opening = endpoint.opens_at(context.rank, now)?;
            opens_at = Some(opens_at.map_or(opening, |earliest| earliest.min(opening)));
            if let Some(rate) = endpoint.rate_limit().borrow().rate() {
                (per_second, is_limited) = (per_second + rate.per_second(), true);
            }
        }
        let opens_at = opens_at?;
        let return_delay = if is_limited {
            let own_share = per_second / self.members.borrow().count() as f64;
            let mut schedules = self.return_schedules.borrow_mut();
            let schedule = schedules.entry(context.service.clone()).or_default();
            schedule.next_delay(opens_at, own_share, now)
        } else {
            opens_at.saturating_duration_since(now)
        };
        Some(ServiceClosure { return_delay, is_limited })
    }
}

/// Takes one of the permits that this process issues.
fn take_own_permit(
    endpoint: &Endpoint,
    role: IssuerRole,
    rank: u32,
    now: Instant,
) -> Result<(), Duration> {
    match endpoint.rate_limit().borrow().rate() {
        Some(rate) => endpoint.permits().borrow_mut().take(rate, role, rank, now),
        None => Ok(()),
    }
}

/// Returns what this process knows of an endpoint's rate.
fn rate_report(endpoint: &Endpoint, now: Instant) -> RateReport {
    let limit = endpoint.rate_limit().borrow();
    let age = limit.stated_at().map(|stated_at| now.saturating_duration_since(stated_at));
    let record = endpoint.record();
    RateReport {
        endpoint: record.id.clone(),
        started_at_ms: record.started_at_ms,
        rate: limit.rate(),
        age_ms: age.and_then(|age| u64::try_from(age.as_millis()).ok()).unwrap_or(u64::MAX),
    }
}

use std::{
    net::SocketAddr,
    rc::Rc,
    thread,
    time::{Duration, Instant},
};

use bramleywind_harness::HttpCaller;
use futures_util::{StreamExt, future::join_all};
use http::{Method, StatusCode};
use serde_json::Value;

use crate::{BenchError, CallOutcome, CallRecord, PlannedCall};

/// Maximum interval between tokens that callers are promised; a token that takes longer is late.
const LATE_TOKEN_INTERVAL: Duration = Duration::from_millis(80);

/// The arrival pattern of the calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadMode {
    /// Open loop: each call is sent at its scheduled time, regardless of the others.
    Open,
    /// Closed loop: each caller sends its next call when its previous one has ended, until the duration is over.
    Closed {
        /// Number of concurrent callers.
        callers: usize,
        /// The time during which new calls are sent.
        duration: Duration,
    },
}

/// A client that sends calls from several threads, each with its own runtime and connections.
#[derive(Debug, Clone)]
pub struct LoadGenerator {
    /// Number of threads.
    pub threads: usize,
    /// The addresses that calls are sent to.
    pub targets: Vec<SocketAddr>,
}

impl LoadGenerator {
    /// Sends the calls and returns their results. Blocks until all calls have ended.
    ///
    /// # Errors
    ///
    /// Returns [`BenchError`] if an HTTP client cannot be built.
    pub fn run(
        &self,
        calls: &[PlannedCall],
        mode: LoadMode,
    ) -> Result<Vec<CallRecord>, BenchError> {
        let started = Instant::now();
        thread::scope(|scope| {
            let run = |index| scope.spawn(move || self.run_thread(index, calls, mode, started));
            let threads: Vec<_> = (0..self.threads).map(run).collect();
            let mut records = Vec::new();
            for handle in threads {
                records.extend(handle.join().expect("a load generator does not panic")?);
            }
            Ok(records)
        })
    }

    fn run_thread(
        &self,
        index: usize,
        calls: &[PlannedCall],
        mode: LoadMode,
        started: Instant,
    ) -> Result<Vec<CallRecord>, BenchError> {
        let runtime =
            compio::runtime::Runtime::new().expect("the system can create an async runtime");
        runtime.block_on(async {
            let caller = Rc::new(HttpCaller::new()?);
            let thread_calls = |step: usize| calls.iter().skip(index).step_by(step);
            let lists = match mode {
                LoadMode::Open => {
                    join_all(thread_calls(self.threads).map(|call| async {
                        compio::time::sleep_until(started + call.offset).await;
                        vec![self.send(&caller, call, started + call.offset).await]
                    }))
                    .await
                }
                LoadMode::Closed { callers, duration } => {
                    let thread_callers = (index..callers).step_by(self.threads);
                    join_all(thread_callers.map(|first| {
                        self.run_closed_loop(&caller, calls, (first, callers), started, duration)
                    }))
                    .await
                }
            };
            Ok(lists.into_iter().flatten().collect())
        })
    }

    /// Runs one caller of a closed loop, which sends every `step`th call from index `first` on.
    async fn run_closed_loop(
        &self,
        caller: &HttpCaller,
        calls: &[PlannedCall],
        (first, step): (usize, usize),
        started: Instant,
        duration: Duration,
    ) -> Vec<CallRecord> {
        // The callers start spread over the first second, so that the engines' batches are not synchronized.
        let delay = Duration::from_secs(1).mul_f64(first as f64 / step as f64);
        compio::time::sleep_until(started + delay).await;
        let mut records = Vec::new();
        for call in calls.iter().cycle().skip(first).step_by(step) {
            let now = Instant::now();
            if now >= started + duration {
                break;
            }
            let mut record = self.send(caller, call, now).await;
            record.offset = now - started;
            records.push(record);
        }
        records
    }

    async fn send(&self, caller: &HttpCaller, call: &PlannedCall, due: Instant) -> CallRecord {
        let url = format!("http://{}/v1/chat/completions", self.targets[call.target]);
        let bearer = call.bearer();
        let headers = [("authorization", bearer.as_str()), ("content-type", "application/json")];
        let sent = Instant::now();
        let mut record = CallRecord {
            offset: call.offset,
            client_lag_ms: to_milliseconds(sent - due),
            workspace: call.workspace.clone(),
            first_token_ms: None,
            total_ms: 0.0,
            asked_tokens: call.answer_tokens,
            tokens: 0,
            late_tokens: 0,
            outcome: CallOutcome::Unfinished,
        };
        if let Ok(response) = caller.send(Method::POST, &url, &headers, call.body()).await {
            read_answer(response, sent, &mut record).await;
        }
        record.total_ms = to_milliseconds(sent.elapsed());
        record
    }
}

async fn read_answer(response: cyper::Response, sent: Instant, record: &mut CallRecord) {
    if response.status() != StatusCode::OK {
        let bytes = response.bytes().await.unwrap_or_default();
        let body: Value = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
        record.outcome = CallOutcome::Refused {
            code: body["error"]["code"].as_str().unwrap_or("no code").into(),
            retry_after_ms: body["error"]["retry_after_ms"].as_u64(),
        };
        return;
    }
    let mut pending: Vec<u8> = Vec::new();
    let mut previous = None;
    let mut body = response.bytes_stream();
    while let Some(Ok(bytes)) = body.next().await {
        pending.extend_from_slice(&bytes);
        let now = Instant::now();
        let mut rest = &pending[..];
        while let Some(end) = rest.windows(2).position(|pair| pair == b"\n\n") {
            let event = &rest[..end];
            rest = &rest[end + 2..];
            if event.starts_with(b"event: error") {
                record.outcome = CallOutcome::Broken;
            } else if event == b"data: [DONE]" {
                record.outcome = CallOutcome::Whole;
            } else if contains(event, b"\"content\":\"") {
                record.tokens += 1;
                record.first_token_ms.get_or_insert_with(|| to_milliseconds(now - sent));
                let is_late = previous.is_some_and(|previous| now - previous > LATE_TOKEN_INTERVAL);
                record.late_tokens += u32::from(is_late);
                previous = Some(now);
            }
        }
        let read = pending.len() - rest.len();
        pending.drain(..read);
    }
}

fn contains(event: &[u8], part: &[u8]) -> bool {
    event.windows(part.len()).any(|window| window == part)
}

fn to_milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

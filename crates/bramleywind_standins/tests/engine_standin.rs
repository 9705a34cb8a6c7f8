//! Tests the behaviour of the engine stand-in that routers rely on: resumable text, cancellation, queueing and
//! faults.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "support/lib.rs"]
mod support;

use std::time::Duration;

use bramleywind_standins::{
    CacheEventKind, CacheEvents, ChatAnswer, ChatUsage, EngineFaults, EngineInventory,
    EngineOptions, EngineOrder, EngineStandin, EngineState, LEAVING_HEADER, LoadReport, OrderKind,
    UsageFault,
};
use bramleywind_types::FencingToken;
use futures_util::{
    StreamExt as _,
    future::{Either, join, select},
};
use http::{Method, StatusCode};
use support::{block_on, chat_request, get_json, read_stream, send_json, wait_until};
use test_case::test_case;

fn fast_options() -> EngineOptions {
    EngineOptions { tokens_per_second: 2_000, ..EngineOptions::default() }
}

fn usage(prompt_tokens: u64, completion_tokens: u64) -> Option<ChatUsage> {
    Some(ChatUsage { prompt_tokens, completion_tokens })
}

/// A resumed stream must continue the text of the answer that it resumes, also on another engine.
#[test]
fn resumed_stream_continues_the_same_text() {
    block_on(async {
        let (first, second) = (
            EngineStandin::start(fast_options()).await.unwrap(),
            EngineStandin::start(fast_options()).await.unwrap(),
        );
        let request = chat_request("fold the sail twice", 12);
        let complete = read_stream(first.address(), &request).await;
        assert!(complete.is_done);
        assert_eq!(complete.tokens.len(), 12);
        let mut resumed = request.clone();
        resumed.resume_from = 5;
        let rest = read_stream(second.address(), &resumed).await;
        assert_eq!(rest.tokens, complete.tokens[5..]);
        assert_eq!(rest.last.unwrap().usage, usage(4, 7));
        let other = read_stream(first.address(), &chat_request("another prompt", 12)).await;
        assert_ne!(other.tokens, complete.tokens);
    });
}

/// Checks the structure of the answer that routers and callers parse.
#[test]
fn answer_without_stream_has_the_usual_shape() {
    block_on(async {
        let options = EngineOptions { stop_after: Some(3), ..fast_options() };
        let engine = EngineStandin::start(options).await.unwrap();
        let mut request = chat_request("one two", 9);
        request.stream = false;
        let path = "/v1/chat/completions";
        let response = send_json(Method::POST, engine.address(), path, &request).await.unwrap();
        let answer: ChatAnswer = response.json().await.unwrap();
        insta::assert_json_snapshot!(answer, @r#"
        {
          "id": "r1",
          "object": "chat.completion",
          "created": 0,
          "model": "standin",
          "usage": {
            "prompt_tokens": 2,
            "completion_tokens": 3
          },
          "choices": [
            {
              "index": 0,
              "message": {
                "role": "assistant",
                "content": " river thread meadow"
              },
              "finish_reason": "stop"
            }
          ]
        }
        "#);
    });
}

/// Checks the usage that billing relies on, and its faults.
#[test_case(UsageFault::Exact, usage(3, 4))]
#[test_case(UsageFault::None, None)]
#[test_case(UsageFault::TooMuch, usage(3, 1_000_004))]
#[test_case(UsageFault::TooLittle, usage(1, 2))]
fn usage_is_reported_with_its_fault(fault: UsageFault, expected: Option<ChatUsage>) {
    block_on(async {
        let engine = EngineStandin::start(fast_options()).await.unwrap();
        engine.set_faults(EngineFaults { usage: fault, ..EngineFaults::default() });
        let text = read_stream(engine.address(), &chat_request("one two three", 4)).await;
        assert_eq!(text.tokens.len(), 4);
        assert_eq!(text.last.unwrap().usage, expected);
    });
}

/// Guards against charging for tokens that no one receives: the engine must notice that its client has
/// disconnected and stop generating.
#[test_case(true ; "streamed")]
#[test_case(false ; "whole")]
fn client_that_goes_away_cancels_its_request(is_streamed: bool) {
    block_on(async {
        let engine = EngineStandin::start(EngineOptions::default()).await.unwrap();
        let mut request = chat_request("a long story", 1_000_000);
        request.stream = is_streamed;
        let path = "/v1/chat/completions";
        {
            let mut sent = Box::pin(async {
                let response =
                    send_json(Method::POST, engine.address(), path, &request).await.unwrap();
                let mut chunks = std::pin::pin!(response.bytes_stream());
                while chunks.next().await.is_some() {}
            });
            let started = Box::pin(wait_until(|| engine.stats().tokens_generated > 0));
            select(&mut sent, started).await;
        }
        wait_until(|| engine.stats().requests_cancelled == 1).await;
        let generated = engine.stats().tokens_generated;
        // A later request runs to completion; an uncancelled one would generate more tokens in that time.
        read_stream(engine.address(), &chat_request("next", 5)).await;
        assert_eq!(engine.stats().tokens_generated, generated + 5);
        assert_eq!(engine.stats().requests_finished, 1);
    });
}

/// Guards against a crash that leaves connections open, and against an engine that does not come back.
#[test]
fn crashing_request_takes_the_engine_down_for_its_time() {
    block_on(async {
        let down_time = Duration::from_millis(800);
        let crash_marker = Some("poison".into());
        let options = EngineOptions { crash_marker, down_time, ..EngineOptions::default() };
        let engine = EngineStandin::start(options).await.unwrap();
        let other_request = chat_request("bystander", 1_000_000);
        let crash = async {
            wait_until(|| engine.stats().tokens_generated > 0).await;
            read_stream(engine.address(), &chat_request("the poison pill", 4)).await
        };
        let (cut, crashed) = join(read_stream(engine.address(), &other_request), crash).await;
        assert!(!cut.is_done && cut.last.is_none());
        assert!(!crashed.is_done && crashed.tokens.is_empty());
        engine.wait_for_crash().await;
        let request = chat_request("after", 3);
        let path = "/v1/chat/completions";
        let refused = send_json(Method::POST, engine.address(), path, &request).await;
        assert!(refused.is_err());
        while send_json(Method::POST, engine.address(), path, &request).await.is_err() {
            compio::time::sleep(Duration::from_millis(5)).await;
        }
        assert!(read_stream(engine.address(), &request).await.is_done);
    });
}

/// Tests of resumed streams rely on this: the client receives exactly the tokens generated before the crash.
#[test]
fn engine_dies_after_the_given_tokens() {
    block_on(async {
        let engine = EngineStandin::start(fast_options()).await.unwrap();
        engine.set_faults(EngineFaults { die_after_tokens: Some(7), ..EngineFaults::default() });
        let text = read_stream(engine.address(), &chat_request("one", 50)).await;
        assert_eq!(text.tokens.len(), 7);
        assert!(!text.is_done);
        assert_eq!(engine.stats().crashes, 1);
    });
}

/// Guards against a queue that ignores priorities. The request with the lower priority waits longer but never
/// ends, so the other one gets the only slot either first, because of its priority, or never.
#[test]
fn queue_is_ordered_by_priority() {
    block_on(async {
        let options = EngineOptions { slots: 1, ..fast_options() };
        let engine = EngineStandin::start(options).await.unwrap();
        engine.set_faults(EngineFaults { stalled: true, ..EngineFaults::default() });
        let address = engine.address();
        let (blocker, low, mut high) =
            (chat_request("blocker", 2), chat_request("low", u32::MAX), chat_request("high", 2));
        high.priority = 5;
        let second = async {
            wait_until(|| engine.stats().requests_received == 1).await;
            read_stream(address, &low).await
        };
        let third = async {
            wait_until(|| engine.stats().requests_received == 2).await;
            let released = async {
                wait_until(|| engine.stats().requests_received == 3).await;
                engine.set_faults(EngineFaults::default());
            };
            join(read_stream(address, &high), released).await.0
        };
        let others = std::pin::pin!(join(read_stream(address, &blocker), second));
        match select(others, std::pin::pin!(third)).await {
            Either::Left(_) => panic!("the request with the lower priority ended first"),
            Either::Right((text, _)) => assert!(text.is_done),
        }
    });
}

/// Guards against a load report that shows a change before its lag has passed.
#[test]
fn load_report_lags_behind() {
    block_on(async {
        let load_lag = Duration::from_millis(800);
        let engine =
            EngineStandin::start(EngineOptions { load_lag, ..fast_options() }).await.unwrap();
        engine.set_faults(EngineFaults { leaving: true, ..EngineFaults::default() });
        let report: LoadReport = get_json(engine.address(), "/v1/load").await;
        assert_eq!(report.state, EngineState::Live);
        let response = send_json(
            Method::POST,
            engine.address(),
            "/v1/chat/completions",
            &chat_request("new", 1),
        )
        .await
        .unwrap();
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.headers().contains_key(LEAVING_HEADER));
        while get_json::<LoadReport>(engine.address(), "/v1/load").await.state == EngineState::Live
        {
            compio::time::sleep(Duration::from_millis(5)).await;
        }
    });
}

/// Guards against a cache that exceeds its capacity, and against events without the configured gaps.
#[test]
fn prefix_cache_is_bounded_and_its_events_have_gaps() {
    block_on(async {
        let options = EngineOptions { cache_tokens: 32, cache_event_gap: 3, ..fast_options() };
        let engine = EngineStandin::start(options).await.unwrap();
        let (first, second) = ("a ".repeat(32), "b ".repeat(32));
        for prompt in [&first, &first, &second] {
            read_stream(engine.address(), &chat_request(prompt, 1)).await;
        }
        let stats = engine.stats();
        assert_eq!((stats.prefix_hits, stats.prefix_hit_tokens), (1, 32));
        let published: CacheEvents = get_json(engine.address(), "/v1/cache-events?after=1").await;
        let events: Vec<_> = published
            .events
            .iter()
            .map(|event| (event.sequence, event.kind, event.tokens))
            .collect();
        let (stored, evicted) = (CacheEventKind::Stored, CacheEventKind::Evicted);
        assert_eq!(events, [(2, stored, 32), (4, evicted, 16), (5, stored, 32)]);
    });
}

/// Guards against an order of a former lease holder that takes effect on an engine that checks tokens.
#[test_case(true, StatusCode::CONFLICT, "new")]
#[test_case(false, StatusCode::OK, "old")]
fn old_fencing_token_is_refused_if_checked(checks: bool, status: StatusCode, role: &str) {
    block_on(async {
        let options = EngineOptions { checks_fencing: checks, ..fast_options() };
        let engine = EngineStandin::start(options).await.unwrap();
        for (role, fencing, expected) in [("new", 7, StatusCode::OK), ("old", 6, status)] {
            let order = EngineOrder {
                order: OrderKind::ChangeRole,
                model: None,
                adapter: None,
                version: None,
                role: Some(role.into()),
                fencing: FencingToken(fencing),
            };
            let answer =
                send_json(Method::POST, engine.address(), "/v1/orders", &order).await.unwrap();
            assert_eq!(answer.status(), expected);
        }
        let inventory: EngineInventory = get_json(engine.address(), "/v1/orders").await;
        assert_eq!(inventory.role.as_deref(), Some(role));
        assert_eq!(engine.stats().orders.len(), 2);
    });
}

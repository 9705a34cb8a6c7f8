//! Guards against a request that crashes one engine after the other, and against other requests on these engines that
//! lose their answers.

use std::time::Duration;

use bramleywind_harness::SseEnd;
use futures_util::future::join;

use crate::test_fleet::{TestFleet, run};

#[test]
fn crashing_request_crashes_at_most_two_engines_and_other_requests_succeed() {
    run(async {
        let mut test = TestFleet::start().await;
        let other_requests = async {
            let streams = (0..8).map(|number| async move { number });
            let mut answers = Vec::new();
            let calls = futures_util::future::join_all(streams.map(|number| {
                let test = &test;
                async move {
                    let number = number.await;
                    test.stream(number % 6, None, &format!("bystander {number}"), 200, |_| ()).await
                }
            }));
            answers.extend(calls.await);
            answers
        };
        let crashing = async {
            compio::time::sleep(Duration::from_millis(300)).await;
            let mut answers = Vec::new();
            for index in 0..6 {
                answers.push(test.chat(index, None, "crash-me", 50).await);
            }
            answers
        };
        let (other_answers, crashing) = join(other_requests, crashing).await;
        for (_, answer) in &other_answers {
            assert_eq!(answer.end, SseEnd::Done, "{answer:?}");
            assert_eq!(answer.chunks, 200);
        }
        let last = crashing.last().unwrap().json();
        assert_eq!(last["error"]["code"], "crash_suspect", "{last:#}");
        assert_eq!(last["error"]["repeat"], "never");
        let mut crashed = 0;
        for endpoint in &mut test.fleet.endpoints {
            crashed += u32::from(endpoint.process.has_ended());
        }
        assert!(crashed <= 2, "{crashed} engines crashed");
    });
}

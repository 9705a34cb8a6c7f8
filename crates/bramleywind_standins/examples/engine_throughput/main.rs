//! Measures the number of tokens per second that an engine delivers to one client.
//!
//! The engine is the baseline of the router benchmarks, so it must be faster than they require.

mod args;

use std::{
    cell::Cell,
    process::ExitCode,
    rc::Rc,
    time::{Duration, Instant},
};

use args::ThroughputArgs;
use bramleywind_standins::{ChatMessage, ChatRequest};
use clap::Parser as _;
use futures_util::{StreamExt as _, future::join_all};

/// The time in which all streams start; its tokens are not counted.
const WARM_UP: Duration = Duration::from_secs(1);

#[allow(clippy::print_stdout, reason = "the measurement is the program's output")]
fn main() -> ExitCode {
    let args = ThroughputArgs::parse();
    let Ok(runtime) = compio::runtime::Runtime::new() else {
        return ExitCode::FAILURE;
    };
    runtime.block_on(async {
        let received = Rc::new(Cell::new(0u64));
        let client = cyper::Client::builder().no_proxy().build();
        let Ok(client) = client else {
            return ExitCode::FAILURE;
        };
        let readers = (0..args.streams)
            .map(|index| read_stream(client.clone(), &args, index, received.clone()));
        let counting = async {
            compio::time::sleep(WARM_UP).await;
            let (started, before) = (Instant::now(), received.get());
            compio::time::sleep(Duration::from_secs(args.seconds)).await;
            (received.get() - before) as f64 / started.elapsed().as_secs_f64()
        };
        let reading = join_all(readers);
        futures_util::pin_mut!(reading, counting);
        match futures_util::future::select(reading, counting).await {
            futures_util::future::Either::Left(_) => {
                println!("all streams ended before the measurement; check that the engine is running at the address");
                ExitCode::FAILURE
            }
            futures_util::future::Either::Right((rate, _)) => {
                println!("{rate:.0} tokens per second on {} streams", args.streams);
                ExitCode::SUCCESS
            }
        }
    })
}

async fn read_stream(
    client: cyper::Client,
    args: &ThroughputArgs,
    index: u32,
    received: Rc<Cell<u64>>,
) {
    let content = format!("stream {index}").into();
    let request = ChatRequest {
        model: "standin".into(),
        messages: vec![ChatMessage { role: "user".into(), content }],
        max_tokens: u32::MAX,
        stream: true,
        resume_from: 0,
        priority: 0,
        request_id: None,
    };
    let url = format!("http://{}/v1/chat/completions", args.address);
    let Ok(builder) = client.post(url).and_then(|builder| builder.json(&request)) else { return };
    let Ok(response) = builder.send().await else { return };
    let mut chunks = std::pin::pin!(response.bytes_stream());
    while let Some(Ok(chunk)) = chunks.next().await {
        // Each event ends with an empty line and contains no other.
        let events = chunk.windows(2).filter(|pair| pair == b"\n\n").count();
        received.set(received.get() + events as u64);
    }
}

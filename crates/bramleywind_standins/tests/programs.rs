//! Tests what starts the stand-ins as separate programs relies on: the printed address and the exit status.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "support/lib.rs"]
mod support;

use std::{
    io::{BufRead as _, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
};

use support::{block_on, chat_request, client, read_stream, wait_until};
use test_case::test_case;

/// A running program. It is killed when dropped, so that a failed test leaves no process behind.
struct Program {
    child: Child,
    address: SocketAddr,
}

impl Program {
    fn start(path: &str, arguments: &[&str]) -> Self {
        let mut child = Command::new(path).args(arguments).stdout(Stdio::piped()).spawn().unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let address = line.strip_prefix("listening on ").unwrap().trim_end().parse().unwrap();
        Self { child, address }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // The program may have exited already.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Guards against a program that prints no address or does not serve the printed one.
#[test_case(env!("CARGO_BIN_EXE_standin_store"), "/control")]
#[test_case(env!("CARGO_BIN_EXE_standin_instances"), "/v1/instances")]
#[test_case(env!("CARGO_BIN_EXE_standin_engine"), "/v1/load")]
#[test_case(env!("CARGO_BIN_EXE_standin_service"), "/control/executions")]
#[test_case(env!("CARGO_BIN_EXE_standin_weights"), "/control")]
fn program_serves_the_printed_address(path: &str, path_to_get: &str) {
    let program = Program::start(path, &["--listen", "127.0.0.1:0"]);
    block_on(async {
        let url = format!("http://{}{path_to_get}", program.address);
        let answer = client().get(url).unwrap().send().await.unwrap();
        assert!(answer.status().is_success());
    });
}

/// Guards against an engine program that keeps running after a crash.
#[test]
fn engine_program_exits_when_it_crashes() {
    let path = env!("CARGO_BIN_EXE_standin_engine");
    let mut program = Program::start(path, &["--crash-marker", "poison"]);
    block_on(async {
        let text = read_stream(program.address, &chat_request("a poison pill", 3)).await;
        assert!(!text.is_done);
        let mut status = None;
        wait_until(|| {
            status = program.child.try_wait().unwrap();
            status.is_some()
        })
        .await;
        assert_eq!(status.unwrap().code(), Some(134));
    });
}

//! Tests of the command-line tool.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod apply;
mod command_line;
mod gated_store;
mod logs;
mod support;
mod top_up;

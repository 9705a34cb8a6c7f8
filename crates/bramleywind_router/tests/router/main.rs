//! Tests of a whole router against stand-ins in the same process.

mod bad_input;
mod harness;
mod whole_path;

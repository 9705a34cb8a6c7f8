use std::env;

/// Prints the command line of the running program, without its build directory, and the number of CPU cores.
#[allow(clippy::print_stdout, reason = "the command line is part of the program's output")]
pub fn print_command() {
    let mut command_line = env::args();
    let program = command_line.next().unwrap_or_default();
    let program = program.rsplit('/').next().unwrap_or_default().to_owned();
    let arguments: Vec<String> = command_line.collect();
    println!("command: target/release/{program} {}", arguments.join(" "));
    let cores = std::thread::available_parallelism().map_or(0, std::num::NonZero::get);
    println!("cores: {cores}\n");
}

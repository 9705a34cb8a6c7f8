use std::env;

/// Prints the command of the running program, without the folder it was built in, and the machine's cores.
#[allow(clippy::print_stdout, reason = "the command is part of the program's result")]
pub fn print_command() {
    let mut words = env::args();
    let program = words.next().unwrap_or_default();
    let program = program.rsplit('/').next().unwrap_or_default().to_owned();
    let arguments: Vec<String> = words.collect();
    println!("command: target/release/{program} {}", arguments.join(" "));
    let cores = std::thread::available_parallelism().map_or(0, std::num::NonZero::get);
    println!("cores: {cores}\n");
}

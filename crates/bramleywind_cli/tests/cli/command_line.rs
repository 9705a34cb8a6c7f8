//! Tests of the exit codes and the JSON output that scripts rely on, and of the messages that tell people what
//! to do.

use std::{
    ffi::OsString,
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    sync::mpsc,
    thread,
};

use bramleywind_cli::{ExitStatus, run};
use bramleywind_standins::StoreStandin;
use test_case::test_case;

/// The exit status and the printed texts of one run of the tool.
struct ToolRun {
    status: ExitStatus,
    output: String,
    errors: String,
}

/// Runs the tool in this process, and strips the styles from its output.
fn run_tool(arguments: &[&str]) -> ToolRun {
    let arguments = std::iter::once("bramleywind").chain(arguments.iter().copied());
    let (mut output, mut errors) = (Vec::new(), Vec::new());
    let status = run(arguments.map(OsString::from), &mut output, &mut errors);
    let text = |bytes| anstream::adapter::strip_str(&String::from_utf8(bytes).unwrap()).to_string();
    ToolRun { status, output: text(output), errors: text(errors) }
}

/// Starts a store on a thread of its own, which serves until the tests end, and returns its address.
fn start_store() -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        crate::support::block_on(async {
            let standin = StoreStandin::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
            sender.send(standin.address()).unwrap();
            std::future::pending::<()>().await;
        });
    });
    receiver.recv().unwrap()
}

/// Starts an instance port that answers every request with the same body. Returns its address and the requests
/// that it receives.
fn start_instance(body: &'static str) -> (SocketAddr, mpsc::Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        for connection in listener.incoming() {
            let mut connection = connection.unwrap();
            let mut buffer = [0; 4096];
            let length = connection.read(&mut buffer).unwrap();
            let content_length = body.len();
            let answer = format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {content_length}\r\nconnection: close\r\n\r\n{body}"
            );
            connection.write_all(answer.as_bytes()).unwrap();
            let _ = sender.send(String::from_utf8_lossy(&buffer[..length]).into());
        }
    });
    (address, receiver)
}

/// Creates an empty directory for one test.
fn empty_directory(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

/// An address on which nothing listens.
const UNUSED_ADDRESS: &str = "127.0.0.1:1";

#[test_case(&["config", "check", "DOCUMENT"], ExitStatus::Done ; "valid document")]
#[test_case(&["config", "check", "BAD"], ExitStatus::Failed ; "invalid document")]
#[test_case(&["config", "check", "/absent"], ExitStatus::Failed ; "absent file")]
#[test_case(&["config", "schema"], ExitStatus::Done ; "schema")]
#[test_case(&["config", "chekc"], ExitStatus::Usage ; "mistyped command")]
#[test_case(&["--help"], ExitStatus::Done ; "help")]
#[test_case(&["completions", "bash"], ExitStatus::Done ; "completions")]
#[test_case(&["budget", "top-up", "b", "-5"], ExitStatus::Usage ; "negative tokens")]
#[test_case(&["budget", "show", "b"], ExitStatus::Usage ; "no store given")]
#[test_case(&["--store", UNUSED_ADDRESS, "budget", "show", "b"], ExitStatus::Unreachable ; "no store at the address")]
#[test_case(&["--entry", UNUSED_ADDRESS, "entries"], ExitStatus::Unreachable ; "no entry at the address")]
#[test_case(&["drain", "entry-9"], ExitStatus::Usage ; "unknown instance")]
#[test_case(&["--store", UNUSED_ADDRESS, "config", "in-force"], ExitStatus::Unreachable ; "state of an unreachable store")]
fn exit_status_reports_the_outcome(arguments: &[&str], status: ExitStatus) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let document = root.join("tests/cli/document.jsonc").display().to_string();
    let bad = empty_directory(&format!("exit_status_{}", arguments.join("_").replace('/', "_")));
    let bad = bad.join("bad.jsonc");
    std::fs::write(&bad, "{}").unwrap();
    let bad = bad.display().to_string();
    let arguments: Vec<&str> = arguments
        .iter()
        .map(|argument| match *argument {
            "DOCUMENT" => document.as_str(),
            "BAD" => bad.as_str(),
            other => other,
        })
        .collect();
    let run = run_tool(&arguments);
    assert_eq!(run.status, status, "{}{}", run.output, run.errors);
    assert!(run.status == ExitStatus::Done || !(run.output + &run.errors).is_empty());
}

/// Runs an operator's session over HTTP: generates a key pair, applies a configuration, loses a race, tops up a
/// budget and reads the balance.
#[test]
fn operator_applies_and_tops_up() {
    let directory = empty_directory("operator_applies_and_tops_up");
    let name = directory.join("operator").display().to_string();
    let key = format!("{name}.key");
    let changed = directory.join("changed.jsonc").display().to_string();
    std::fs::write(&changed, crate::support::document_with_budget(260_000)).unwrap();
    let document = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/cli/document.jsonc");
    let document = document.display().to_string();
    let store = start_store().to_string();

    assert_eq!(run_tool(&["key", "generate", &name]).status, ExitStatus::Done);
    assert_eq!(
        run_tool(&["key", "generate", &name]).status,
        ExitStatus::Failed,
        "a key was replaced"
    );
    let mut transcript = String::new();
    for arguments in [
        &["config", "diff", &document][..],
        &["config", "apply", &document, "--key", &key],
        &["config", "apply", &document, "--key", &key],
        &["config", "diff", &changed],
        &["config", "apply", &changed, "--key", &key, "--expect-revision", "0"],
        &["--output", "json", "config", "apply", &changed, "--key", &key],
        &["budget", "top-up", "spring-season", "500", "--operation-id", "invoice-7"],
        &["budget", "top-up", "spring-season", "500", "--operation-id", "invoice-7"],
        &[
            "--output",
            "json",
            "budget",
            "top-up",
            "spring-season",
            "600",
            "--operation-id",
            "invoice-7",
        ],
        &["budget", "show", "spring-season"],
        &["workspace", "balance", "umbrella-menders"],
        &["workspace", "balance", "umbrella-mender"],
        &["config", "in-force"],
    ] {
        let run = run_tool(&[&["--store", &store], arguments].concat());
        let command = arguments.join(" ").replace(&format!("{}/", directory.display()), "");
        let command = command.replace(&document, "document.jsonc");
        let code = run.status as u8;
        transcript += &format!("$ {command}\n{}{}[exit code {code}]\n\n", run.output, run.errors);
    }
    insta::with_settings!({ prepend_module_to_snapshot => false, omit_expression => true }, {
        insta::assert_snapshot!("operator_session", transcript);
    });
}

/// Guards against printing a generated operation id only at the end: an interrupted command could then not be
/// repeated safely.
#[test]
fn generated_operation_id_is_printed_first() {
    let run = run_tool(&["--store", UNUSED_ADDRESS, "budget", "top-up", "spring-season", "5"]);
    assert_eq!(run.status, ExitStatus::Unreachable);
    assert!(run.errors.starts_with("operation id: top-up-"), "{}", run.errors);
}

#[test]
fn requests_to_instances_carry_the_token() {
    let token = empty_directory("instances_are_asked").join("token");
    std::fs::write(&token, "the operators' token\n").unwrap();
    let token = token.display().to_string();
    let status = r#"{ "instance": "entry-1", "incarnation": "00000000000000fe", "data_centre": "akl-a", "revision": 3, "state": "live" }"#;
    let (address, requests) = start_instance(status);
    let instance = format!("entry-1={address}");
    let common = ["--token-file", &token, "--instance", &instance];
    let store = start_store().to_string();
    for (arguments, line, output) in [
        (&["drain", "entry-1"][..], "POST /v1/drain ", "entry-1 is draining"),
        (&["dump", "entry-1"], "GET /v1/dump ", "\"state\": \"live\""),
        (
            &["--store", &store, "config", "in-force"],
            "GET /v1/status ",
            "entry-1 (akl-a): revision 3, live, incarnation 00000000000000fe",
        ),
    ] {
        let run = run_tool(&[&common, arguments].concat());
        assert_eq!(run.status, ExitStatus::Done, "{}", run.errors);
        assert!(run.output.contains(output), "{}", run.output);
        let request = requests.recv().unwrap();
        assert!(request.starts_with(line), "{request}");
        assert!(request.contains("authorization: Bearer the operators' token\r\n"), "{request}");
    }
}

#[test]
fn entries_are_listed() {
    let (address, _requests) = start_instance(
        r#"{ "entries": [{ "instance": "entry-1", "data_centre": "akl-a", "address": "192.0.2.1:7001", "weight": 80 }], "valid_until_ms": 5 }"#,
    );
    // An entry that does not answer is skipped.
    let run = run_tool(&["--entry", UNUSED_ADDRESS, "--entry", &address.to_string(), "entries"]);
    assert_eq!(run.status, ExitStatus::Done, "{}", run.errors);
    assert!(run.output.ends_with("entry-1 (akl-a): 192.0.2.1:7001 weight 80\n"), "{}", run.output);
}

/// Checks that a bearer key can be given in a file: on the command line, all users of the machine could see it.
#[test]
fn bearer_key_is_hashed_from_its_file() {
    let file = empty_directory("bearer_key").join("key");
    std::fs::write(&file, "example-key\n").unwrap();
    let run = run_tool(&["key", "hash", "--file", &file.display().to_string()]);
    let hash = bramleywind_config::KeyHash::of("example-key");
    assert_eq!(run.output, format!("{hash}\n"));
}

/// Guards against an invalid example on the page, since operators copy it to start from.
#[test]
fn example_on_the_command_line_page_is_valid() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/command-line.md");
    let page = std::fs::read_to_string(page).unwrap();
    let example = page.split("```jsonc\n").nth(1).unwrap().split("```").next().unwrap();
    bramleywind_cli::ClientOptions::parse(example).unwrap_or_else(|errors| panic!("{errors}"));
}

//! Tests of the commands that need no running service, and of the demo.

use std::path::PathBuf;
use std::process::{Command, Output};

fn beamtray(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_beamtray"))
        .args(arguments)
        .output()
        .expect("the program starts")
}

fn deploy_file(name: &str) -> String {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/");
    format!("{directory}{name}")
}

fn temporary_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("{name}-{}.toml", std::process::id()));
    std::fs::write(&path, text).expect("the temporary directory is writable");
    path
}

#[test]
fn check_accepts_the_files_in_deploy() {
    for name in [
        "pk-central.toml",
        "rigas-novads.toml",
        "pk-central.node-1.toml",
    ] {
        let output = beamtray(&["check", &deploy_file(name)]);
        assert_eq!(output.status.code(), Some(0), "{name}");
    }
}

#[test]
fn check_reports_file_line_and_allowed_range() {
    let text = "[[service]]\nname = \"a\"\nqueue = 0\n[[service.server]]\nname = \"s\"\n\
        address = \"10.0.0.1:80\"\nzone = \"z\"\n";
    let file = temporary_file("declaration", text);
    let output = beamtray(&["check", &file.display().to_string()]);
    assert_eq!(output.status.code(), Some(2));
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        message.contains(":3: service.a.queue = 0: allowed is 1 to 100000"),
        "{message}"
    );
}

#[test]
fn the_error_names_an_unreachable_node() {
    let output = beamtray(&["status", "--operators", "127.0.0.1:1"]);
    assert_eq!(output.status.code(), Some(1));
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        message.contains("ask the operator address with 127.0.0.1:1"),
        "{message}"
    );
}

#[test]
fn a_confirmation_without_an_answer_is_unknown() {
    let plan = temporary_file(
        "plan",
        r#"{"base":0,"declaration":{},"changes":[],"services":[]}"#,
    );
    let plan = plan.display().to_string();
    let output = beamtray(&["confirm", &plan, "--operators", "127.0.0.1:1"]);
    assert_eq!(output.status.code(), Some(4));
}

#[test]
fn the_demo_serves_once_and_exits_0() {
    let output = beamtray(&[
        "demo",
        "--once",
        "--deployment",
        &deploy_file("rigas-novads.toml"),
    ]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(0), "{text}");
    assert_eq!(
        text.lines().filter(|line| line.starts_with("ok ")).count(),
        4,
        "{text}"
    );
}

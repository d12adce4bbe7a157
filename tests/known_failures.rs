//! Tests of `.ci/judge`, which decides whether a test run passes given a list of known failures.

use std::path::PathBuf;
use std::process::Command;

/// Output of a run of two test binaries in which the test `fault` of the second one fails.
const ONE_FAILURE: &str = "\
running 1 test
test sound ... ok
test result: ok. 1 passed; 0 failed
running 2 tests
test fault ... FAILED
test other ... ok
test result: FAILED. 1 passed; 1 failed
error: 1 target failed:
    `-p package --test second`
";
const COMPLETE_ENTRY: &str = "fault | cargo test fault, seed 7 | answered twice | 36\n";

struct Verdict {
    passes: bool,
    printed: String,
}

/// Runs `.ci/judge` on a test run that printed `output` and exited with `status`, with `list` as
/// KNOWN-RED.txt if given.
fn judge(case: &str, output: &str, status: u8, list: Option<&str>) -> Verdict {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(case);
    std::fs::create_dir_all(&folder).expect("create the folder of the test");
    let (printed, known) = (folder.join("printed.txt"), folder.join("KNOWN-RED.txt"));
    std::fs::write(&printed, output).expect("write the output");
    let _ = std::fs::remove_file(&known);
    if let Some(list) = list {
        std::fs::write(&known, list).expect("write the list");
    }
    let judged = Command::new("bash")
        .arg(concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/judge"))
        .arg(&printed)
        .arg(status.to_string())
        .arg(&known)
        .output()
        .expect("run bash");
    Verdict { passes: judged.status.success(), printed: String::from_utf8_lossy(&judged.stdout).into_owned() }
}

#[test]
fn clean_run_passes_and_an_unlisted_failure_fails_the_run() {
    assert!(judge("sound", "test sound ... ok\ntest result: ok. 1 passed\n", 0, None).passes);
    let unlisted = judge("unlisted", ONE_FAILURE, 101, None);
    assert!(!unlisted.passes);
    assert_eq!(unlisted.printed, "failed: fault\n");
}

#[test]
fn a_listed_failure_passes_and_is_printed() {
    let verdict = judge("listed", ONE_FAILURE, 101, Some(COMPLETE_ENTRY));
    assert!(verdict.passes);
    assert_eq!(verdict.printed, "known failure: fault: FAILED\n");
}

#[test]
fn entry_without_exactly_four_parts_fails_the_run() {
    for (case, entry) in [
        ("three", "fault | answered twice | 36\n"),
        ("blank", "fault | cargo test fault | | 36\n"),
        ("nameless", " | cargo test fault | answered twice | 36\n"),
        ("five", "fault | cargo test fault | answered twice | 36 | more\n"),
    ] {
        let verdict = judge(case, ONE_FAILURE, 101, Some(entry));
        assert!(!verdict.passes, "{case}");
        assert!(verdict.printed.contains("four parts"), "{case}: {}", verdict.printed);
    }
}

#[test]
fn absent_listed_test_or_a_fourth_entry_fails_the_run() {
    let absent = judge("gone", ONE_FAILURE, 101, Some("gone | cargo test gone | answered twice | 36\n"));
    assert!(!absent.passes);
    assert_eq!(absent.printed, "known failure: no test 'gone' in the output\n");
    let four = judge("four", ONE_FAILURE, 101, Some(&COMPLETE_ENTRY.repeat(4)));
    assert!(!four.passes);
    assert_eq!(four.printed, "known failures: 4 entries, at most 3 allowed\n");
}

#[test]
fn crashed_test_binary_fails_the_run() {
    let crashed = format!("{ONE_FAILURE}    `-p package --test third`\n");
    let verdict = judge("crashed", &crashed, 101, Some(COMPLETE_ENTRY));
    assert!(!verdict.passes);
    assert!(verdict.printed.contains("failed: 2 test binaries, of which 1 ran to completion"));
}

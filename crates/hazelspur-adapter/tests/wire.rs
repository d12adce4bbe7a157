//! Tests of the built adapter: batches with unknown, malformed and misplaced lines, and every kind of event.

use std::io::Write;
use std::process::{Command, Stdio};

/// Begin of a batch that starts `server_1`.
const START_SERVER: &str = concat!(
    "BATCH at-time-us=1000\nSELECT server-id=server_1\n",
    "ENLIST salt=7 boot-info={\"family-info\":{\"n-cores\":2,\"mem-limit-kb\":9000},\"new\":[null],",
    "\"lanes\":[{\"aim-us\":1000000,\"deadline-us\":4000000,\"semantics\":\"safe\"}]}\n",
);
/// Id of the first request.
const REQUEST: &str = "5d3a91c4-c55e-4ea8-a723-2965583e6a4c";

/// Runs the adapter with the given input and returns its standard output, standard error and exit status.
fn run_adapter(input: &str) -> String {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_hazelspur-adapter"));
    let pipes = adapter.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = pipes.spawn().expect("the adapter starts");
    child
        .stdin
        .take()
        .expect("standard input is a pipe")
        .write_all(input.as_bytes())
        .expect("the adapter reads");
    let out = child.wait_with_output().expect("the adapter ends");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    format!("{}{}exit {:?}\n", text(&out.stdout), text(&out.stderr), out.status.code())
}

/// Also covers an outcome that is reported twice, a batch without events, and the end of input after a
/// commit, which is a success.
#[test]
fn unknown_lines_and_fields_are_ignored() {
    let events = format!("NOVELTY x=1\nCALL odd=3 kb=5 class=0 request-id={REQUEST} neighbour=3\nCOMMIT\n");
    let completions = format!(
        "BATCH at-time-us=9000\nSELECT server-id=server_1\nCOMPLETED request-id={REQUEST} disposition=0\nCOMPLETED request-id={REQUEST} disposition=0\nCOMMIT\nBATCH at-time-us=9900\nCOMMIT\n"
    );
    expect_test::expect![[r#"
        CONTEXT server-id=server_1
        SET_HEALTH active=1 cached=1
        ADMIT request-id=5d3a91c4-c55e-4ea8-a723-2965583e6a4c
        REMIND fire-at-us=41000 nonce=beat
        READY
        READY
        READY
        exit Some(0)
    "#]]
    .assert_eq(&run_adapter(&format!("{START_SERVER}{events}{completions}")));
}

#[test]
fn unreadable_fields_are_reported_for_their_server() {
    let lines = [
        "CALL class=0 kb=5",
        "CALL request-id=short class=0",
        &format!("CALL request-id={REQUEST} class=-1"),
        &format!("CALL request-id={REQUEST} class=0 kb=inf"),
        &format!("DEP_REPLY request-id={REQUEST} disposition=7"),
        "TIMER nonce=beat telemetry=on_cores:many",
        "ENLIST salt=1 boot-info={\"family-info\":{\"n-cores\":0}}",
        "ENLIST salt=1 boot-info={",
    ];
    let seen: String =
        lines.iter().map(|line| run_adapter(&format!("{START_SERVER}{line}\nCOMMIT\n"))).collect();
    expect_test::expect![[r#"
        CONTEXT server-id=server_1
        GIVE_IN message=field request-id is missing
        READY
        line 4: field request-id is missing: CALL class=0 kb=5
        exit Some(0)
        CONTEXT server-id=server_1
        GIVE_IN message=field request-id is unreadable: short
        READY
        line 4: field request-id is unreadable: short: CALL request-id=short class=0
        exit Some(0)
        CONTEXT server-id=server_1
        GIVE_IN message=field class is unreadable: -1
        READY
        line 4: field class is unreadable: -1: CALL request-id=5d3a91c4-c55e-4ea8-a723-2965583e6a4c class=-1
        exit Some(0)
        CONTEXT server-id=server_1
        GIVE_IN message=field kb is unreadable: inf
        READY
        line 4: field kb is unreadable: inf: CALL request-id=5d3a91c4-c55e-4ea8-a723-2965583e6a4c class=0 kb=inf
        exit Some(0)
        CONTEXT server-id=server_1
        GIVE_IN message=field disposition is unreadable: 7
        READY
        line 4: field disposition is unreadable: 7: DEP_REPLY request-id=5d3a91c4-c55e-4ea8-a723-2965583e6a4c disposition=7
        exit Some(0)
        CONTEXT server-id=server_1
        GIVE_IN message=field telemetry is unreadable
        READY
        line 4: field telemetry is unreadable: TIMER nonce=beat telemetry=on_cores:many
        exit Some(0)
        CONTEXT server-id=server_1
        GIVE_IN message=setting server.cores is out of range: 0
        READY
        line 4: setting server.cores is out of range: 0: ENLIST salt=1 boot-info={"family-info":{"n-cores":0}}
        exit Some(0)
        CONTEXT server-id=server_1
        GIVE_IN message=field boot-info is unreadable
        READY
        line 4: field boot-info is unreadable: ENLIST salt=1 boot-info={
        exit Some(0)
    "#]].assert_eq(&seen);
}

#[test]
fn errors_outside_a_server_end_the_adapter() {
    let inputs = [
        "COMMIT\n".to_string(),
        START_SERVER.to_string(),
        "BATCH at-time-us=later\n".to_string(),
        format!("{START_SERVER}BATCH at-time-us=2000\n"),
        format!("{START_SERVER}SELECT server-id=server_9\nDROPPED request-id={REQUEST}\nCOMMIT\n"),
        format!("BATCH at-time-us=18446744073709551616\nDROPPED request-id={REQUEST}\nCOMMIT\n"),
    ];
    let seen: String = inputs.iter().map(|input| run_adapter(input)).collect();
    expect_test::expect![[r#"
        line 1: line outside a batch: COMMIT
        exit Some(2)
        line 4: input ended within a batch: 
        exit Some(2)
        line 1: field at-time-us is unreadable: later: BATCH at-time-us=later
        exit Some(2)
        line 4: BATCH within a batch: BATCH at-time-us=2000
        exit Some(2)
        line 5: event for unknown instance server_9: DROPPED request-id=5d3a91c4-c55e-4ea8-a723-2965583e6a4c
        exit Some(2)
        line 1: field at-time-us is unreadable: 18446744073709551616: BATCH at-time-us=18446744073709551616
        exit Some(2)
    "#]]
    .assert_eq(&seen);
}

/// Sends every field of a request and every kind of event, and at last an event of a server that has ended.
#[test]
fn every_event_is_read_and_answered() {
    let other = REQUEST.replace("5d3a", "6d3a");
    let third = REQUEST.replace("5d3a", "7d3a");
    let batches = [
        format!(
            "CALL class=0 kb=5 bits=5 cost-us=1000 give-up-at-us=4000000 realm=0 name-key=u age-us=10 prior=0 \
             request-id={REQUEST} neighbour=3\nCALL class=0 request-id={other} prior={REQUEST}\nCALL class=0 request-id={third}"
        ),
        format!("WANTS_CALL request-id={REQUEST}\nDROPPED request-id={third}"),
        format!("DEP_REPLY request-id={REQUEST} disposition=0"),
        format!("COMPLETED request-id={REQUEST} disposition=0\nCOMPLETED request-id={other} disposition=255"),
        "TIMER nonce=beat telemetry=on_cores:1.5,odd:2".to_string(),
        "QUIESCE give-up-at-us=9000000".to_string(),
        "EXIT".to_string(),
    ];
    let mut input = START_SERVER.to_string() + "COMMIT\n";
    for (number, events) in batches.iter().enumerate() {
        let at_us = 2000 + number * 50_000;
        input += &format!("BATCH at-time-us={at_us}\nSELECT server-id=server_1\n{events}\nCOMMIT\n");
    }
    input += &format!(
        "BATCH at-time-us=900000\nSELECT server-id=server_1\nDROPPED request-id={REQUEST}\nCOMMIT\n"
    );
    expect_test::expect![[r#"
        CONTEXT server-id=server_1
        SET_HEALTH active=1 cached=1
        REMIND fire-at-us=41000 nonce=beat
        READY
        CONTEXT server-id=server_1
        ADMIT request-id=5d3a91c4-c55e-4ea8-a723-2965583e6a4c
        ADMIT request-id=6d3a91c4-c55e-4ea8-a723-2965583e6a4c
        READY
        CONTEXT server-id=server_1
        GO_CALL request-id=5d3a91c4-c55e-4ea8-a723-2965583e6a4c patience-us=3948000
        READY
        READY
        READY
        CONTEXT server-id=server_1
        REMIND fire-at-us=242000 nonce=beat
        READY
        CONTEXT server-id=server_1
        RECORD message=mode draining in_hand=0
        SET_HEALTH active=0 cached=1
        READY
        READY
        line 39: event for unknown instance server_1: DROPPED request-id=5d3a91c4-c55e-4ea8-a723-2965583e6a4c
        exit Some(2)
    "#]]
    .assert_eq(&run_adapter(&input));
}

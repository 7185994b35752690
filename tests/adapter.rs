//! Runs the simulator adapter as a process on well-formed, unusual and malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_frostturn-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("the adapter's input is piped");
    let text = input.to_owned();
    let writer = std::thread::spawn(move || {
        // The write fails if the adapter stops reading at a malformed line.
        let _ = stdin.write_all(text.as_bytes());
    });
    let output = child.wait_with_output().expect("the adapter ends");
    writer.join().expect("the writer ends");
    output
}

fn start(instance: u32) -> String {
    let options = "Az=east\tLocalities=hub,east\tFamilyInfo.InstancesByZone=0,1\tInstances=1\tNew.Key=7\t\
         MachineTypes=box,parent,origin\tFamilyInfo.MasterKind=2\tFamilyInfo.SecondTierKind=1\t\
         FamilyInfo.OneFlowKbPerS=1000.0\tFamilyInfo.Detail=all\tLimits.MostTries=3\t\
         RequestClasses.count=1\tRequestClasses.0.Name=page\tRequestClasses.0.Repeat=retryable\t\
         RequestClasses.0.AimMs=300.0\tRequestClasses.0.HardLimitMs=2000.0";
    format!(
        "BATCH\t10.0\nSPAWN\t{instance}\t99\t{options}\nINVENTORY\t0\t2\n\
         ROW\tbox\t0\teast\t1\tSERVING\t-\ta\n\
         ROW\torigin\t1\thub\t1\tSERVING\t-\to\nMEMBERSHIP\t{instance}\twarm_copy\t1\t0\nCOMMIT\n"
    )
}

fn call(instance: u32, id: &str) -> String {
    format!("BATCH\t20.0\nCALL\t{instance}\t{id}\t0\tpage\t30\t0\t900.0\tc/x\t4\t-\nCOMMIT\n")
}

#[test]
fn a_request_becomes_a_fetch_and_every_batch_gets_a_reply() {
    let output = run(&format!("BATCH\t1.0\nCOMMIT\n\n{}{}", start(3), call(3, "q")));
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success());
    assert_eq!(text.matches("YIELD\n").count(), 3);
    assert!(text.contains("GET\t3\tq\ta\t"), "{text}");
    assert!(text.contains("\to\t"), "filled from the origin: {text}");
}

#[test]
fn reused_pages_are_read_in_order_and_a_restarted_instance_has_no_old_requests() {
    let reuse =
        "BATCH\t15.0\nINVENTORY\t0\t1\nROW\tbox\t0\teast\t1\tSERVING\t-\tb\nMEMBERSHIP\t3\ttotal\t2\t0\n\
        INVENTORY\t0\t1\nROW\tbox\t0\teast\t1\tSERVING\t-\tc\nMEMBERSHIP\t4\ttotal\t2\t0\nCOMMIT\n";
    let second = start(4);
    let output = run(&format!("{}{second}{reuse}{}{}", start(3), call(3, "q"), call(4, "r")));
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(text.contains("GET\t3\tq\tb\t") && text.contains("GET\t4\tr\tc\t"), "{text}");
    let again = start(3).replace("BATCH\t10.0\n", "BATCH\t30.0\nDOWN\t3\n");
    let stale = "BATCH\t40.0\nRESULT\t3\tq\t0\ta\t500\t4.0\t0\t-\t-\t-\nCOMMIT\n";
    let output = run(&format!("{}{}{again}{stale}", start(3), call(3, "q")));
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(text.matches("\tq\t").count(), 1, "the request is dropped with its instance: {text}");
}

#[test]
fn unknown_messages_and_fields_are_skipped() {
    let odd =
        "BATCH\t12.0\nNEWS\t3\twhatever\nWAKE\t77\t5\nMAIL\t3\t2\t6869\nFIRST\t3\tnone\t0\ta\t2.0\nCOMMIT\n";
    let output = run(&format!("{}{odd}{}", start(3), call(3, "q")));
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert!(String::from_utf8_lossy(&output.stdout).contains("GET\t3\tq"));
}

#[test]
fn a_malformed_line_ends_the_adapter_with_the_line_number_and_the_reason() {
    for (line, reason) in [
        ("CALL\t3\tq\t0\tpage\tmany", "VolumeKb"),
        ("RESULT\t3\tq\t0\ta\t299\t1.0\t0", "unknown outcome 299"),
        ("WAKE\tthree\t1", "I is not a whole number"),
        ("ROW\tbox\t0\teast\t1\tSERVING\t-\tz", "a row outside an inventory"),
        ("MEMBERSHIP\t3\tsometimes\t1\t0", "unknown mode"),
        ("BATCH\tNaN", "AtTimeMs"),
    ] {
        let output = run(&format!("{}{line}\n", start(3)));
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success());
        assert!(error.contains("line 8") && error.contains(reason), "{line}: {error}");
        assert!(!error.contains("panicked"), "{error}");
    }
}

#[test]
fn a_batch_of_megabytes_is_answered() {
    let mut input = start(3);
    input.push_str("BATCH\t20.0\n");
    for number in 0..20_000 {
        input.push_str(&format!("CALL\t3\tq{number}\t0\tpage\t1\t0\t900.0\tc/x{number}\t4\t-\n"));
    }
    input.push_str("COMMIT\n");
    let output = run(&input);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let answered = text.matches("GET\t").count() + text.matches("PUSH_BACK\t").count();
    assert_eq!((answered, output.status.success()), (20_000, true));
}

use super::*;
use crate::ops::{self, Refusal, Verdict};

#[test]
fn encoded_calls_and_answers_are_parsed_back() {
    let name = String::from("s-00c41f7a");
    let calls = [
        Call::Ready,
        Call::Telemetry,
        Call::Fleet,
        Call::Exclude(name.clone()),
        Call::Include(name),
        Call::Evacuate,
        Call::Rejoin,
    ];
    for call in calls {
        assert_eq!(ops::read(&write(&call)), Ok(Some(call)));
    }
    assert_eq!(read(&ops::answer(Ok(Verdict::Accepted))), Ok(Answer::Accepted("yes".into())));
    for verdict in [Verdict::Rejected, Verdict::UnknownMachine, Verdict::TooManyExcluded] {
        assert!(matches!(read(&ops::answer(Ok(verdict))), Ok(Answer::Rejected(_))), "{verdict:?}");
    }
    assert!(matches!(read(&ops::answer(Ok(Verdict::NotSaved))), Ok(Answer::Failed(500, _))));
    assert!(matches!(read(&ops::answer(Err(Refusal(413, "large")))), Ok(Answer::Failed(413, _))));
    let complete = ops::answer(Ok(Verdict::Accepted));
    assert!((0..complete.len()).all(|at| read(&complete[..at]).is_err()), "a truncated answer is rejected");
    assert!(read(b"-ERR\r\n").is_err());
}

#[test]
fn an_operators_address_is_a_socket_address_or_an_absolute_path() {
    assert_eq!("127.0.0.1:9600".parse(), Ok(OpsAddress::Tcp(([127, 0, 0, 1], 9600).into())));
    assert_eq!("/run/a.sock".parse(), Ok(OpsAddress::Unix("/run/a.sock".into())));
    assert!("a.sock".parse::<OpsAddress>().is_err() && "localhost".parse::<OpsAddress>().is_err());
}

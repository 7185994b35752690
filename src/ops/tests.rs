use super::*;
use quickcheck::{Gen, QuickCheck};

#[test]
fn calls_are_parsed_once_complete_and_refused_with_the_right_status() {
    let call = b"POST /api/exclude HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\ns-00c41f7a";
    assert!((0..call.len()).all(|at| read(&call[..at]) == Ok(None)));
    assert_eq!(read(call), Ok(Some(Call::Exclude("s-00c41f7a".into()))));
    let status = |text: &str| read(text.as_bytes()).map_err(|refusal| refusal.0);
    assert_eq!(status("GET /api/ready HTTP/1.1\r\n\r\n"), Ok(Some(Call::Ready)));
    assert_eq!(status("GET /api/evacuate HTTP/1.1\r\n\r\n"), Err(405));
    assert_eq!(status("POST /api/exclude HTTP/1.1\r\n\r\n"), Err(400));
    assert_eq!(status("GET /api/none HTTP/1.1\r\n\r\n"), Err(404));
    assert_eq!(status("POST /api/rejoin HTTP/1.1\r\nContent-Length: 9000\r\n\r\n"), Err(413));
    assert_eq!(status("POST /api/rejoin HTTP/1.1\r\nContent-Length: x\r\n\r\n"), Err(400));
    assert_eq!(status(&"x".repeat(5000)), Err(413));
    assert_eq!(status("\x01\r\n\r\n"), Err(400));
}

#[test]
fn parsing_never_panics() {
    fn property(bytes: Vec<u8>) -> bool {
        let _ = read(&bytes);
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, 5))
        .tests(2000)
        .quickcheck(property as fn(Vec<u8>) -> bool);
}

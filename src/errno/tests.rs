use super::*;

#[test]
fn each_error_is_classified_by_its_cause() {
    let of = |errno: Errno| classify(&io::Error::from(errno));
    for errno in [Errno::MFILE, Errno::NFILE, Errno::NOMEM, Errno::NOBUFS, Errno::ADDRNOTAVAIL, Errno::NOSPC]
    {
        assert_eq!(of(errno), ErrorClass::Shortage, "{errno}");
    }
    for errno in [Errno::CONNREFUSED, Errno::CONNRESET, Errno::TIMEDOUT, Errno::PIPE, Errno::CONNABORTED] {
        assert_eq!(of(errno), ErrorClass::Peer, "{errno}");
    }
    assert_eq!((of(Errno::INTR), of(Errno::AGAIN)), (ErrorClass::Interrupted, ErrorClass::WouldBlock));
    assert_eq!(
        (of(Errno::NETUNREACH), of(Errno::HOSTUNREACH)),
        (ErrorClass::Unreachable, ErrorClass::Unreachable)
    );
    assert!(
        is_transient(&Errno::IO.into())
            && is_transient(&Errno::NOSPC.into())
            && !is_transient(&Errno::NOENT.into())
    );
}

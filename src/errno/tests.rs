use super::*;

#[test]
fn each_error_is_laid_at_the_door_of_whom_it_speaks_of() {
    let of = |errno: Errno| verdict(&io::Error::from(errno));
    for errno in [Errno::MFILE, Errno::NFILE, Errno::NOMEM, Errno::NOBUFS, Errno::ADDRNOTAVAIL, Errno::NOSPC]
    {
        assert_eq!(of(errno), Verdict::Shortage, "{errno}");
    }
    for errno in [Errno::CONNREFUSED, Errno::CONNRESET, Errno::TIMEDOUT, Errno::PIPE, Errno::CONNABORTED] {
        assert_eq!(of(errno), Verdict::Peer, "{errno}");
    }
    assert_eq!((of(Errno::INTR), of(Errno::AGAIN)), (Verdict::Interrupted, Verdict::WouldBlock));
    assert_eq!((of(Errno::NETUNREACH), of(Errno::HOSTUNREACH)), (Verdict::Unreachable, Verdict::Unreachable));
    assert!(may_pass(&Errno::IO.into()) && may_pass(&Errno::NOSPC.into()) && !may_pass(&Errno::NOENT.into()));
}

use super::*;
use crate::fleet::PeerAddress;

#[test]
fn silence_counts_from_certain_information_even_after_uncertain_information_on_the_same_epoch() {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let mut settings = Settings::new("f", address(1));
    let peers = ["a", "b"].iter().zip(2..);
    settings.peers =
        peers.map(|(name, port)| PeerAddress { name: (*name).to_owned(), address: address(port) }).collect();
    let refuse_after_ms = settings.refuse_after_ms();
    let mut membership = EpochMembership::new(settings, "me", 7, 0.0, 1);
    let router = (0..3).find(|router| *router != membership.me).expect("two others");
    let incarnation = Incarnation { start: 9, term: 1, status: IncarnationStatus::Present };
    membership.merge_incarnation(IncarnationEntry { router: router as u16, incarnation }, 0.0);
    (1..=4).for_each(|epoch| membership.quorum.record_epoch(epoch, 100.0 * f64::from(epoch)));
    // Information about epoch 3 that may concern an earlier start; then this router signs that this very
    // start was in it.
    assert!(membership.record_heard(router, 3, false, 400.0));
    membership.record_heard(router, 3, true, 2400.0);
    let (uncertain, certain) = (400.0 + refuse_after_ms, 2400.0 + refuse_after_ms);
    for (epoch, now, votes) in
        [(5, uncertain + 1.0, false), (6, certain - 1.0, false), (7, certain + 1.0, true)]
    {
        membership.quorum.record_epoch(epoch, now - 10.0);
        membership.quorum.confirm(epoch, now);
        membership.check_peer(router, now);
        assert_eq!(
            membership.peers[router].voted_failed, votes,
            "{now}: the incarnation's lease may run until {certain} less a margin"
        );
    }
}

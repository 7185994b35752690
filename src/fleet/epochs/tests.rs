use super::*;
use crate::fleet::PeerAddress;

#[test]
fn a_silence_counts_from_sure_words_though_unsure_ones_of_the_same_epoch_came_before() {
    let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let mut set = Settings::new("f", at(1));
    let peers = ["a", "b"].iter().zip(2..);
    set.peers =
        peers.map(|(name, port)| PeerAddress { name: (*name).to_owned(), address: at(port) }).collect();
    let refuse_ms = set.refuse_ms();
    let mut rolls = Rolls::new(set, "me", 7, 0.0, 1);
    let of = (0..3).find(|of| *of != rolls.me).expect("two others");
    let life = Life { start: 9, term: 1, mark: Mark::Here };
    rolls.learn(Entry { of: of as u16, life }, 0.0);
    (1..=4).for_each(|epoch| rolls.own.entered(epoch, 100.0 * f64::from(epoch)));
    // Words of epoch 3 that may be about an earlier start; then this router signs that this very start was in it.
    assert!(rolls.hear(of, 3, false, 400.0));
    rolls.hear(of, 3, true, 2400.0);
    let (old, sure) = (400.0 + refuse_ms, 2400.0 + refuse_ms);
    for (epoch, now, gives_up) in [(5, old + 1.0, false), (6, sure - 1.0, false), (7, sure + 1.0, true)] {
        rolls.own.entered(epoch, now - 10.0);
        rolls.own.signed(epoch, now);
        rolls.judge(of, now);
        assert_eq!(
            rolls.peers[of].gave_up, gives_up,
            "{now}: the life's lease may run until {sure} less a margin"
        );
    }
}

use super::*;

#[test]
fn a_router_detects_its_cut_off_first_whatever_the_configured_times() {
    for (period, least) in [(100.0, 500.0), (500.0, 4000.0), (5000.0, 60_000.0)] {
        for routers in [2usize, 3, 12, MAX_ROUTERS] {
            let mut settings = Settings::new("north", ([127, 0, 0, 1], 1).into());
            (settings.period_ms, settings.suspicion_ms) = (period, [least, 2.0 * least]);
            let peer = |n: usize| PeerAddress { name: n.to_string(), address: settings.listen };
            settings.peers = (1..routers).map(peer).collect();
            let part = if settings.uses_epochs() { 0.05 } else { 0.15 };
            assert!(settings.self_detection_margin_ms() > part * settings.refuse_after_ms());
            // With so many routers gone the rest is no majority; with one fewer it may be.
            assert!(routers - settings.blocking_minority() < settings.majority());
            assert!(routers - settings.blocking_minority() + 1 >= settings.majority());
        }
    }
}

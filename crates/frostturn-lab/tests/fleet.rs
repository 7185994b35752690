//! Real processes of the program that know each other, and faults between them. Each test waits for states, never for times.

use frostturn::fleet::State::{Alive, Gone};
use frostturn_lab::rig::Rig;
use std::path::PathBuf;

fn rig(routers: usize) -> Rig {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_frostturn-lab"));
    let mut rig = Rig::new(2, routers, "", Some(program), 7).expect("a rig");
    rig.start_all(true).expect("all start");
    let all: Vec<usize> = (0..routers).collect();
    rig.until("all know each other", |rig| {
        all.iter().all(|at| rig.stands(*at, "majority") && rig.sees(*at, &all, Alive))
    })
    .expect("a fleet");
    rig
}

#[test]
fn one_that_dies_is_gone_at_the_others_and_its_next_start_is_taken_at_once() {
    let mut rig = rig(3);
    rig.kill(1);
    rig.until("the others call it gone", |rig| rig.sees(0, &[1], Gone) && rig.sees(2, &[1], Gone)).unwrap();
    rig.spawn(1, true, true).expect("it starts again");
    rig.until("it is back", |rig| {
        rig.stands(1, "majority") && (0..3).all(|at| rig.sees(at, &[0, 1, 2], Alive))
    })
    .unwrap();
}

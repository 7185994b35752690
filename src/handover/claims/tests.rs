use super::*;

#[test]
fn claims_are_decoded_in_order_and_half_ones_left_out() {
    let claims = [(1, 0x9b1f_03aa_5c7e_2d41), (2, 7), (1, 0)].map(|(process, id)| Claim { process, id });
    let bytes: Vec<u8> = claims.iter().flat_map(|claim| claim.encode()).collect();
    assert_eq!(Claim::decode_all(&bytes).collect::<Vec<_>>(), claims);
    assert_eq!(Claim::decode_all(&bytes[..CLAIM_BYTES + 15]).count(), 1);
}

#[test]
fn the_first_claim_of_an_id_counts() {
    let claim = |process, id| Claim { process, id };
    let all = [claim(1, 5), claim(2, 6), claim(2, 5), claim(1, 6), claim(1, 7)];
    assert_eq!(resolve(&all, claim(1, 5)), (ClaimResult::Own, vec![6]));
    assert_eq!(resolve(&all, claim(2, 5)), (ClaimResult::Taken, vec![5, 6, 7]));
    assert_eq!(resolve(&all, claim(1, 6)), (ClaimResult::Taken, vec![6, 5]));
    assert_eq!(resolve(&[], claim(1, 9)), (ClaimResult::Own, vec![]));
}

use super::*;
use simd_json::prelude::*;

#[test]
fn telemetry_is_valid_json_whose_totals_match_its_rows() {
    let mut telemetry = Telemetry { forwards: 9, reloads: [2, 1], ..Telemetry::default() };
    let rows = [("page", Disposition::Succeeded), ("page", Disposition::Succeeded)];
    let odd = "a\"b\\c\n\u{1}ñ";
    for (class, how) in rows.into_iter().chain([("page", Disposition::Declined), (odd, Disposition::Aborted)])
    {
        telemetry.results.count(class, how);
    }
    let mut text = telemetry.json().into_bytes();
    let read = simd_json::to_owned_value(&mut text).expect("JSON");
    let figure = |name: &str| read.get(name).and_then(|value| value.as_u64());
    assert_eq!(figure("svc_succeeded"), Some(2));
    assert_eq!((figure("svc_declined"), figure("svc_aborted")), (Some(1), Some(1)));
    assert_eq!((figure("svc_sighup_applied"), figure("svc_sighup_rejected")), (Some(2), Some(1)));
    let rows = read.get("results").and_then(|rows| rows.as_array()).expect("rows");
    assert_eq!(rows.len(), 3);
    assert!(rows.iter().any(|row| row.get("service").and_then(|name| name.as_str()) == Some(odd)));
}

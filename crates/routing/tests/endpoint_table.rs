//! Selection of an endpoint for a request that has failed at others.

use base::EndpointId;
use base::Time;
use routing::EndpointChoice;
use routing::endpoint_table::EndpointInfo;
use routing::endpoint_table::EndpointQuery;
use routing::endpoint_table::EndpointTable;
use routing::endpoint_table::LoadReport;

const SERVICE: u64 = 1;

fn info(id: u64) -> EndpointInfo {
    EndpointInfo {
        id: EndpointId(id),
        domain: 0,
        services: vec![SERVICE],
        max_requests: 1,
        draining: false,
    }
}

/// Load pattern: a request has failed at every endpoint. None of them gains capacity for
/// it, so it must not wait for one until its deadline.
#[test]
fn a_request_that_excludes_all_endpoints_does_not_wait_for_them() {
    let now = Time(1);
    let mut table = EndpointTable::new(7);
    table.apply_report(&info(0), LoadReport::default(), now);
    table.apply_report(&info(1), LoadReport::default(), now);
    let excluded = [EndpointId(0), EndpointId(1)];
    let mut query = EndpointQuery {
        service: SERVICE,
        prefix: None,
        domain: 0,
        excluded_endpoints: &excluded,
    };
    assert_eq!(table.choose(&query, now), EndpointChoice::Unavailable);
    query.excluded_endpoints = &excluded[..1];
    let EndpointChoice::Endpoint(slot, _) = table.choose(&query, now) else {
        panic!("the second endpoint has capacity");
    };
    table.record_dispatch(slot, None, now);
    assert_eq!(table.choose(&query, now), EndpointChoice::Saturated);
}

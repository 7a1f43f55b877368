//! The address that peers use is checked before a process starts.

use gateway::advertise::AdvertiseError;
use gateway::advertise::parse_advertised;

#[test]
fn an_address_that_peers_cannot_send_to_is_rejected() {
    for text in ["0.0.0.0:7000", "10.0.0.1:0", "224.0.0.1:7000"] {
        let address = text.parse().expect("an address");
        assert_eq!(
            parse_advertised(text),
            Err(AdvertiseError::Unreachable(address))
        );
    }
    for text in ["", "10.0.0.1", "host:7000", "10.0.0.1:70000"] {
        assert_eq!(
            parse_advertised(text),
            Err(AdvertiseError::Syntax(text.to_owned()))
        );
    }
    let address = "10.0.0.1:7000".parse().expect("an address");
    assert_eq!(parse_advertised("10.0.0.1:7000"), Ok(address));
}

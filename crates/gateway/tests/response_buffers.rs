//! The memory that answers of engines share.

use gateway::response_buffers::ResponseBuffers;

const MIB: usize = 1 << 20;

/// Guards against a process that runs out of memory while many answers without end grow at the
/// same time, each within its own bound.
#[test]
fn many_answers_share_a_bound() {
    let buffers = ResponseBuffers::new(80 << 20);
    let mut shares: Vec<_> = (0..200).map(|_| buffers.share()).collect();
    let mut total = 0;
    for share in &mut shares {
        let mut length = 0;
        while share.resize(length + 8_192) && length < MIB {
            length += 8_192;
        }
        // An answer that may not grow fails, and its share is returned.
        assert!(share.resize(length) || length == 0);
        total += length;
        assert!(length >= 16 << 10, "each one gets something: {length}");
    }
    let bound = 10 * MIB + shares.len() * (16 << 10);
    assert!(total <= bound, "{total}");
    drop(shares);
    assert!(buffers.share().resize(5 * MIB), "the shares are returned");
    assert!(!buffers.share().resize(6 * MIB));
}

//! Readers and writers of frames agree, and nothing is read past the end.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rainstand_protocol::thrift::{
    answer, answered, backoff, exception, give_up, give_up_args, lost, message, probe, probe_args,
    process, process_args, Answered, What,
};

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(16), failure_persistence: None, ..ProptestConfig::default() })]

    /// What is written is read back; what is cut or bent is refused or read, never past its end.
    #[test]
    fn both_sides_agree(
        seq in any::<i32>(),
        body in proptest::collection::vec(any::<u8>(), 0..300),
        pause in 0u32..100_000,
        good in any::<bool>(),
        cut in 0usize..400,
        bent in (0usize..400, any::<u8>()),
    ) {
        let text = pause.to_string();
        let fields = [("route", "check"), ("trace", text.as_str())];
        let call = process(seq, &fields, &body);
        let read = message(&call[4..]).unwrap();
        let process = process_args(read.args).unwrap();
        prop_assert_eq!((read.seq, process.body), (seq, Some(&body[..])));
        let wanted: Vec<_> = fields.iter().map(|(k, v)| (k.as_bytes(), v.as_bytes())).collect();
        prop_assert_eq!(process.fields, Some(wanted));
        let left = give_up(seq);
        prop_assert_eq!(give_up_args(message(&left[4..]).unwrap().args), Ok(Some(seq)));
        let deep = probe(seq, good);
        prop_assert_eq!(probe_args(message(&deep[4..]).unwrap().args), Ok(good));
        let frames = [
            (answer(b"process", seq, &body, good), What::Answer { body: &body, good }),
            (backoff(seq, &[("pause", &text)]), What::Backoff(vec![(b"pause", text.as_bytes())])),
            (lost(seq), What::Lost),
            (exception(b"process", seq, 6, &text), What::Exception { code: 6, why: text.as_bytes() }),
        ];
        for (frame, what) in frames {
            let wanted = Answered { name: b"process", seq, what };
            prop_assert_eq!(answered(&frame[4..]), Ok(wanted));
            prop_assert!(answered(&frame[4..4 + cut.min(frame.len() - 5)]).is_err());
            let mut other = frame.clone();
            let at = 4 + bent.0 % (frame.len() - 4);
            other[at] = bent.1;
            let _ = answered(&other[4..]);
            let _ = message(&other[4..]);
        }
    }
}

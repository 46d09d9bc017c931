//! Readers read what writers write, and never past the end.

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

    /// Written frames are read back. Truncated frames are rejected; frames with one changed byte may be rejected or
    /// read, but never past their end.
    #[test]
    fn written_frames_are_read_back_and_corrupted_frames_cause_no_panic(
        seq in any::<i32>(),
        body in proptest::collection::vec(any::<u8>(), 0..300),
        pause in 0u32..100_000,
        good in any::<bool>(),
        truncated_len in 0usize..400,
        change in (0usize..400, any::<u8>()),
    ) {
        let text = pause.to_string();
        let fields = [("route", "check"), ("trace", text.as_str())];
        let call = process(seq, &fields, &body);
        let read = message(&call[4..]).unwrap();
        let process = process_args(read.args).unwrap();
        prop_assert_eq!((read.seq, process.body), (seq, Some(&body[..])));
        let expected: Vec<_> = fields.iter().map(|(k, v)| (k.as_bytes(), v.as_bytes())).collect();
        prop_assert_eq!(process.fields, Some(expected));
        let cancellation = give_up(seq);
        prop_assert_eq!(give_up_args(message(&cancellation[4..]).unwrap().args), Ok(Some(seq)));
        let health_check = probe(seq, good);
        prop_assert_eq!(probe_args(message(&health_check[4..]).unwrap().args), Ok(good));
        let frames = [
            (answer(b"process", seq, &body, good), What::Answer { body: &body, good }),
            (backoff(seq, &[("pause", &text)]), What::Backoff(vec![(b"pause", text.as_bytes())])),
            (lost(seq), What::Lost),
            (exception(b"process", seq, 6, &text), What::Exception { code: 6, why: text.as_bytes() }),
        ];
        for (frame, what) in frames {
            let expected = Answered { name: b"process", seq, what };
            prop_assert_eq!(answered(&frame[4..]), Ok(expected));
            prop_assert!(answered(&frame[4..4 + truncated_len.min(frame.len() - 5)]).is_err());
            let mut corrupted = frame.clone();
            let position = 4 + change.0 % (frame.len() - 4);
            corrupted[position] = change.1;
            let _ = answered(&corrupted[4..]);
            let _ = message(&corrupted[4..]);
        }
    }
}

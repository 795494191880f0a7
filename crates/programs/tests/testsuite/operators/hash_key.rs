//! Tests of `carobvane hash-key`.

use expect_test::expect;

use super::support::run_program;

/// Guards against a hash by which entries do not recognise the key, and against output that
/// contains the key.
#[actix_rt::test]
async fn hash_key_prints_only_the_hash() {
    let mut shown = String::new();
    for input in ["example-key-irazabal-hollis\n", "too-short\n", "key with several spaces in it"] {
        shown += &run_program(&["hash-key"], input).await;
        assert!(!shown.contains(input.trim()), "{shown}");
    }
    shown += &run_program(&["hash-key", "--json"], "example-key-irazabal-hollis").await;
    expect![[r#"
        exit 0
        6efec0b4f2fde57f45c5967f901bdcd65fe5ab93a9245ae5a6b0110ec2d1b576
        exit 1
        --- errors
        error: the key is shorter than 16 characters
        exit 1
        --- errors
        error: the key contains a space or control character
        exit 0
        {
          "key_hash": "6efec0b4f2fde57f45c5967f901bdcd65fe5ab93a9245ae5a6b0110ec2d1b576"
        }
    "#]]
    .assert_eq(&shown);
}

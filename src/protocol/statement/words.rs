//! Lists of SQL words for the classification of statements.

use std::collections::HashSet;
use std::sync::LazyLock;

/// A set of words in lower case.
pub(super) struct WordList(LazyLock<HashSet<&'static str>>);

impl WordList {
    pub(super) fn contains(&self, word: &str) -> bool {
        self.0.contains(word)
    }
}

/// Functions that only read. Any other function may be a stored function of the engine, which may write.
pub(super) static READ_ONLY_FUNCTIONS: WordList = WordList(LazyLock::new(|| {
    " abs acos adddate addtime ascii asin atan avg bin bit_and bit_count bit_or bit_xor \
    cast ceil ceiling char char_length character_length coalesce concat concat_ws conv convert convert_tz cos \
    cot count crc32 cume_dist curdate current_date current_time current_timestamp curtime database date \
    date_add date_format date_sub datediff day dayname dayofmonth dayofweek dayofyear degrees dense_rank elt \
    exp extract field find_in_set first_value floor format from_base64 from_days from_unixtime greatest \
    group_concat hex hour if ifnull inet_aton inet_ntoa insert instr json_array json_arrayagg json_contains \
    json_extract json_keys json_length json_object json_objectagg json_search json_unquote json_valid lag \
    last_day last_insert_id last_value lcase lead least left length ln locate log log10 log2 lower lpad ltrim makedate \
    maketime max md5 microsecond mid min minute mod month monthname now nth_value ntile nullif oct \
    octet_length ord percent_rank period_add period_diff pi position pow power quarter quote radians rand \
    rank regexp_instr regexp_like regexp_replace regexp_substr repeat replace reverse right round row \
    row_number rpad rtrim schema sec_to_time second sha1 sha2 sign sin soundex space sqrt std stddev \
    stddev_pop stddev_samp str_to_date strcmp subdate substr substring substring_index subtime sum sysdate \
    tan time time_format time_to_sec timediff timestamp timestampadd timestampdiff to_base64 to_days \
    to_seconds trim truncate ucase unhex unix_timestamp upper user utc_date utc_time utc_timestamp uuid \
    values var_pop var_samp variance version week weekday weekofyear year yearweek "
        .split_ascii_whitespace()
        .collect()
}));

/// Functions that are built-in ones only if nothing stands between their name and the parenthesis. With a blank, the name
/// is that of a stored function, unless the session's `sql_mode` has IGNORE_SPACE.
pub(super) static FUNCTIONS_WITHOUT_BLANK: WordList = WordList(LazyLock::new(|| {
    " adddate bit_and bit_or bit_xor cast count curdate curtime date_add date_sub extract \
    group_concat max mid min now position std stddev stddev_pop stddev_samp subdate substr substring sum sysdate trim \
    var_pop var_samp variance "
        .split_ascii_whitespace()
        .collect()
}));

/// Keywords that may precede a parenthesis without being a function call.
pub(super) static KEYWORDS_BEFORE_PARENTHESIS: WordList = WordList(LazyLock::new(|| {
    " all and any as between by case distinct div else end except exists from group having \
    in intersect interval is join like limit not offset on only or order over partition regexp rlike select \
    some then union using when where with window xor lateral inner outer cross straight_join returning \
    index key force use ignore decimal char varchar binary signed unsigned table "
        .split_ascii_whitespace()
        .collect()
}));

/// Words that make a statement a write.
pub(super) static WRITE_KEYWORDS: WordList = WordList(LazyLock::new(|| {
    " alter analyze call create delete drop execute grant handler insert into load lock \
    merge optimize prepare procedure rename repair replace revoke truncate update "
        .split_ascii_whitespace()
        .collect()
}));

/// First keywords of statements that do not commit an open transaction.
pub(super) static KEEP_TRANSACTION_OPEN: WordList = WordList(LazyLock::new(|| {
    " select insert update delete replace with values table show describe desc explain do "
        .split_ascii_whitespace()
        .collect()
}));

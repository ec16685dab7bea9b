package org.geraniumstand.entry.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.geraniumstand.model.relay.StoreRevision;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class LeaderRecordTest {
    @ParameterizedTest
    @CsvSource({"one, 3", "a@b, 0", "one, -1"})
    void readsWhatItWrote(String holder, long era) {
        LeaderRecord record = new LeaderRecord(holder, era);

        assertThat(LeaderRecord.read(record.write()), is(record));
    }

    @ParameterizedTest
    @CsvSource({"one", "one@", "one@two", "''"})
    void recordOfABuildWithoutErasNamesOnlyTheHolder(String text) {
        assertThat(LeaderRecord.read(text), is(new LeaderRecord(text, StoreRevision.UNKNOWN_ERA)));
    }
}

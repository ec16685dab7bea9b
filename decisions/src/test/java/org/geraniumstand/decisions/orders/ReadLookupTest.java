package org.geraniumstand.decisions.orders;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ReadLookupTest {
    private static final long OLD = ReadLookup.OLD_MILLIS + 1;

    @ParameterizedTest
    @CsvSource({
        "200,false,false,ANSWERED",
        "200,false,true,ANSWERED",
        "404,false,true,UNKNOWN",
        "404,true,false,UNKNOWN",
        "404,true,true,NOT_RUN",
        "500,true,true,UNKNOWN",
        "0,false,true,UNKNOWN"
    })
    void readsAnswer(int status, boolean vouched, boolean old, ClaimState expected) {
        assertThat(ReadLookup.apply(status, vouched, old ? OLD : 1), is(expected));
    }
}

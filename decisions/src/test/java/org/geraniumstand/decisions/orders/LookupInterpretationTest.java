package org.geraniumstand.decisions.orders;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class LookupInterpretationTest {
    private static final long OLD_AGE_MILLIS = LookupInterpretation.MIN_AGE_MILLIS + 1;

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
    void mapsLookupResponseToState(int status, boolean confirmedNotRun, boolean old, ClaimState expected) {
        assertThat(LookupInterpretation.stateOf(status, confirmedNotRun, old ? OLD_AGE_MILLIS : 1), is(expected));
    }
}

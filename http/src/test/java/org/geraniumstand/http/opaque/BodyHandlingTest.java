package org.geraniumstand.http.opaque;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.geraniumstand.model.relay.CallKind;
import org.junit.jupiter.api.Test;

final class BodyHandlingTest {
    @Test
    void relaysEventsOfASuccessfulStreamAlsoWhenItContinuesAnotherAttempt() {
        assertThat(BodyHandling.of(true, CallKind.STREAM, false), is(BodyHandling.RELAY_EVENTS));
        assertThat(BodyHandling.of(true, CallKind.STREAM, true), is(BodyHandling.RELAY_EVENTS));
    }

    @Test
    void buffersAnswersThatAreNoStream() {
        assertThat(BodyHandling.of(true, CallKind.SAFE, false), is(BodyHandling.BUFFER));
        assertThat(BodyHandling.of(true, CallKind.UNSAFE, false), is(BodyHandling.BUFFER));
        assertThat(BodyHandling.of(false, CallKind.STREAM, false), is(BodyHandling.BUFFER));
    }

    @Test
    void rejectsWhatCannotContinueAnAnswerThatHasBegun() {
        assertThat(BodyHandling.of(false, CallKind.STREAM, true), is(BodyHandling.REJECT));
        assertThat(BodyHandling.of(false, CallKind.SAFE, true), is(BodyHandling.REJECT));
        assertThat(BodyHandling.of(true, CallKind.SAFE, true), is(BodyHandling.REJECT));
    }
}

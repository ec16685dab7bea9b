package org.geraniumstand.model.result;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.junit.jupiter.api.Test;

final class ResultTest {
    private static final Result<Integer, String> FOUR = Result.ok(4);
    private static final Result<Integer, String> FAILED = Result.err("failed");

    @Test
    void mapsValueOnly() {
        assertThat(FOUR.map(n -> n + 1), is(Result.ok(5)));
        assertThat(FAILED.map(n -> n + 1), is(Result.err("failed")));
    }

    @Test
    void mapsErrorOnly() {
        assertThat(FOUR.mapError(String::length), is(Result.ok(4)));
        assertThat(FAILED.mapError(String::length), is(Result.err(6)));
    }

    @Test
    void givesValueOrError() {
        assertThat(FOUR.value(), is(Optional.of(4)));
        assertThat(FOUR.error(), is(Optional.empty()));
        assertThat(FAILED.value(), is(Optional.empty()));
        assertThat(FAILED.error(), is(Optional.of("failed")));
    }
}

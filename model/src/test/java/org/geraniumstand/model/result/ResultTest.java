package org.geraniumstand.model.result;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.junit.jupiter.api.Test;

final class ResultTest {
    private static final Result<Integer, String> OK_RESULT = Result.ok(4);
    private static final Result<Integer, String> ERROR_RESULT = Result.err("failed");

    @Test
    void mapAppliesToValueOnly() {
        assertThat(OK_RESULT.map(n -> n + 1), is(Result.ok(5)));
        assertThat(ERROR_RESULT.map(n -> n + 1), is(Result.err("failed")));
    }

    @Test
    void mapErrorAppliesToErrorOnly() {
        assertThat(OK_RESULT.mapError(String::length), is(Result.ok(4)));
        assertThat(ERROR_RESULT.mapError(String::length), is(Result.err(6)));
    }

    @Test
    void valueAndErrorAreMutuallyExclusive() {
        assertThat(OK_RESULT.value(), is(Optional.of(4)));
        assertThat(OK_RESULT.error(), is(Optional.empty()));
        assertThat(ERROR_RESULT.value(), is(Optional.empty()));
        assertThat(ERROR_RESULT.error(), is(Optional.of("failed")));
    }
}

package org.geraniumstand.http.filter;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.geraniumstand.http.fake.Configurations;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.support.net.HttpBody;
import org.geraniumstand.support.net.HttpRequest.Header;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class FiltersTest {
    private static final String EMPTY = "EMPTY";

    @ParameterizedTest
    @ValueSource(strings = {"/pages", "/pages/a%20b", "/pages/.hidden", "/"})
    void acceptsNormalizedPath(String path) {
        assertThat(passes(new CheckPath(), request(path, "k", "1", "1")), is(true));
    }

    @ParameterizedTest
    @ValueSource(strings = {"pages", "/a/../b", "/a/%2E%2e/b", "//a", "/a\\b", "/a b", "/a/."})
    void rejectsPathThatIsNotNormalizedOrPrintable(String path) {
        assertThat(passes(new CheckPath(), request(path, "k", "1", "1")), is(false));
    }

    @ParameterizedTest
    @CsvSource({"k,true", "EMPTY,false", "caf\u00e9,false"})
    void validatesIdempotencyKey(String key, boolean expected) {
        String value = key.equals(EMPTY) ? "" : key;
        assertThat(passes(new CheckIdempotencyKey(), request("/pages", value, "1", "1")), is(expected));
    }

    @Test
    void validatesLengthOfIdempotencyKey() {
        String longest = "x".repeat(CheckIdempotencyKey.MAX_CHARACTERS);

        assertThat(passes(new CheckIdempotencyKey(), request("/pages", longest, "1", "1")), is(true));
        assertThat(passes(new CheckIdempotencyKey(), request("/pages", longest + "x", "1", "1")), is(false));
    }

    @ParameterizedTest
    @CsvSource({"0,true", "123456789,true", "1234567890,false", "-1,false", "x,false", "EMPTY,false"})
    void validatesLastEventId(String id, boolean expected) {
        String value = id.equals(EMPTY) ? "" : id;
        assertThat(passes(new ReadLastEventId(), request("/pages", "k", "1", value)), is(expected));
    }

    @ParameterizedTest
    @CsvSource({"1,true", "0.5,true", "3600,true", "3601,false", "0,false", "-1,false", "NaN,false", "x,false"})
    void validatesTimeout(String seconds, boolean expected) {
        assertThat(passes(new ReadTimeout(), request("/pages", "k", seconds, "1")), is(expected));
    }

    @Test
    void identifiesTeamByToken() {
        Admission knownTeam = admission(request("/pages", "k", "1", "1"));
        Admission unknownTeam = Admission.of(withToken("wrong"), Configurations.standard(), 0);
        IdentifyTeam filter = new IdentifyTeam();

        assertThat(filter.apply(knownTeam).value().flatMap(Admission::team).isPresent(), is(true));
        assertThat(
                filter.apply(unknownTeam).error().map(r -> r.refusal().reason()),
                is(Optional.of(RefusalReason.UNKNOWN_TEAM)));
    }

    @ParameterizedTest
    @CsvSource({"/pages/7,true", "/orders,true", "/nowhere,false"})
    void matchesRoute(String path, boolean expected) {
        assertThat(passes(new MatchRoute(), request(path, "k", "1", "1")), is(expected));
    }

    @Test
    void rejectsRepeatedUnprintableAndTooLongHeaders() {
        CallerRequest valid = request("/pages", "k", "1", "1");
        CallerRequest repeated = copy(valid, "id", List.of("Authorization"), List.of());
        CallerRequest unprintable = copy(valid, "id", List.of(), List.of(new Header("Accept", "a\tb")));
        CallerRequest longId = copy(valid, "x".repeat(201), List.of(), List.of());

        assertThat(passes(new CheckHeaders(), valid), is(true));
        assertThat(passes(new CheckHeaders(), repeated), is(false));
        assertThat(passes(new CheckHeaders(), unprintable), is(false));
        assertThat(passes(new CheckHeaders(), longId), is(false));
    }

    private static boolean passes(Filter filter, CallerRequest request) {
        return filter.apply(admission(request)).value().isPresent();
    }

    private static Admission admission(CallerRequest request) {
        return Admission.of(request, Configurations.standard(), 0);
    }

    private static CallerRequest withToken(String token) {
        return new CallerRequest(
                "id",
                "GET",
                "/pages",
                "",
                Optional.of(token),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                List.of(),
                List.of(),
                HttpBody.EMPTY);
    }

    private static CallerRequest copy(CallerRequest from, String id, List<String> repeated, List<Header> forwarded) {
        return new CallerRequest(
                id,
                from.method(),
                from.path(),
                from.query(),
                from.bearerToken(),
                from.idempotencyKey(),
                from.timeoutSeconds(),
                from.lastEventId(),
                repeated,
                forwarded,
                HttpBody.EMPTY);
    }

    private static CallerRequest request(String path, String key, String timeout, String lastEventId) {
        return new CallerRequest(
                "id",
                "GET",
                path,
                "",
                Optional.of(Configurations.TOKEN),
                Optional.of(key),
                Optional.of(timeout),
                Optional.of(lastEventId),
                List.of(),
                List.of(),
                HttpBody.EMPTY);
    }
}

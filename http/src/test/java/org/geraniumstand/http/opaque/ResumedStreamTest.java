package org.geraniumstand.http.opaque;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.geraniumstand.http.fake.Caller;
import org.geraniumstand.http.fake.FakeServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against events that callers miss or get twice, as a server resumes a stream elsewhere than at its position. */
final class ResumedStreamTest extends OpaqueListenerFixture {
    private static final int EVENTS = 4;

    /**
     * Ids that a run sends, in order; an event without an id is "-", one with text of its own is "id:text", and a run that
     * breaks off ends with "!".
     */
    private static void send(String run, FakeServer.Connection connection) throws IOException {
        startChunks(connection);
        for (String id : run.split(" ", -1)) {
            if (id.equals("!")) {
                throw new IOException("simulated connection loss");
            }
            chunk(connection, event(id));
        }
        connection.write("0\r\n\r\n");
    }

    private static String event(String id) {
        String[] parts = id.split(":", 2);
        return id.equals("-") ? "data: none\n\n" : "id: " + parts[0] + "\ndata: " + parts[parts.length - 1] + "\n\n";
    }

    private static String events(int last) {
        StringBuilder events = new StringBuilder();
        for (int i = 1; i <= last; i++) {
            events.append(event(Integer.toString(i)));
        }
        return events.toString();
    }

    /** Sends a call to three servers that send these runs, in the order in which they are called. */
    private Caller.Answer read(String target, String headers, String... runs) throws Exception {
        AtomicInteger calls = new AtomicInteger();
        FakeServer.Script script = (_request, c) -> send(runs[Math.min(calls.getAndIncrement(), runs.length - 1)], c);
        try (FakeServer one = FakeServer.start(script);
                FakeServer two = FakeServer.start(script);
                FakeServer three = FakeServer.start(script)) {
            register(one, two, three);
            return call("POST", target, CALL_HEADERS + headers, "x");
        }
    }

    @ParameterizedTest
    @CsvSource({"1 2 3 4", "2 3 4", "1 2 1 2 3 4", "3 3 4", "3 2 3 4"})
    void dropsEventsThatTheCallerHas(String resumed) throws Exception {
        Caller.Answer answer = read("/stream/", "", "1 2 !", resumed);

        assertThat(answer.body(), is(events(EVENTS)));
        assertThat(answer.complete(), is(true));
    }

    @ParameterizedTest
    @CsvSource({"4, 2", "3 -, 3", "-, 2", "x, 2", "1, 2", "1 4, 2", "1 !, 2"})
    void neverCompletesStreamThatMissesAnEvent(String resumed, int received) throws Exception {
        Caller.Answer answer = read("/stream/", "", "1 2 !", resumed);

        assertThat(answer.body(), is(events(received)));
        assertThat(answer.complete(), is(false));
    }

    @ParameterizedTest
    @ValueSource(strings = {"1:B1 2:B2 3:B3", "1 2:B2 3:B3", "2:B2 3:B3", "3 2:B2 4"})
    void neverJoinsRunsOfDifferentText(String resumed) throws Exception {
        Caller.Answer answer = read("/stream/", "", "1 2 !", resumed);

        assertThat(events(EVENTS).startsWith(answer.body()), is(true));
        assertThat(answer.complete(), is(false));
    }

    @ParameterizedTest
    @CsvSource({"1 2 3 4", "3 4"})
    void dropsEventsThatTheCallerHadBefore(String run) throws Exception {
        Caller.Answer answer = read("/stream/", "after: 2\r\n", run);

        assertThat(answer.body(), is(event("3") + event("4")));
        assertThat(answer.complete(), is(true));
    }

    @ParameterizedTest
    @CsvSource({"4", "1", "-"})
    void anotherServerResumesWhatTheFirstOneCannot(String run) throws Exception {
        Caller.Answer answer = read("/stream/", "after: 2\r\n", run, "3 4");

        assertThat(answer.body(), is(event("3") + event("4")));
        assertThat(answer.complete(), is(true));
    }

    @Test
    void refusesStreamThatNoServerResumes() throws Exception {
        Caller.Answer answer = read("/stream/", "after: 2\r\n", "4");

        assertThat(answer.status(), is(502));
    }

    @Test
    void relaysWholeStreamWhereTheRouteIsNotResumable() throws Exception {
        assertThat(read("/once/", "after: 2\r\n", "1 2 3 4").body(), is(events(EVENTS)));
    }

    @ParameterizedTest
    @CsvSource({"5, 4 6", "2 3, 1 4"})
    void neverCompletesStreamWhoseEventComesTooLate(String relayed, String rest) throws Exception {
        Caller.Answer answer = read("/stream/", "", relayed + ' ' + rest);

        StringBuilder expected = new StringBuilder();
        for (String id : relayed.split(" ", -1)) {
            expected.append(event(id));
        }
        assertThat(answer.body(), is(expected.toString()));
        assertThat(answer.complete(), is(false));
    }

    /** Guards against the only run of a stream that is thinned or cut, as its ids do not increase. */
    @ParameterizedTest
    @ValueSource(strings = {"1 1 1 1 1 1", "1 2 2 3", "5 4 3 2 1", "1:a 1:b 2"})
    void neverChangesRunWhereTheRouteIsNotResumable(String run) throws Exception {
        Caller.Answer answer = read("/once/", "", run);

        StringBuilder sent = new StringBuilder();
        for (String id : run.split(" ", -1)) {
            sent.append(event(id));
        }
        assertThat(answer.body(), is(sent.toString()));
        assertThat(answer.complete(), is(true));
    }

    /** Guards against a caller that gets the whole stream again, as its position has leading zeros or 19 digits. */
    @ParameterizedTest
    @CsvSource({
        "0000000000000000000002, 1 2 3, 3",
        "1000000000000000002, 1000000000000000001 1000000000000000002 1000000000000000003, 1000000000000000003",
    })
    void dropsEventsThatTheCallerHasWhateverTheLengthOfItsId(String position, String run, String relayed)
            throws Exception {
        Caller.Answer answer = read("/stream/", "after: " + position + "\r\n", run);

        assertThat(answer.body(), is(event(relayed)));
        assertThat(answer.complete(), is(true));
    }

    @Test
    void neverCompletesStreamThatMissesAnEventAfterOneThatBrokeOffAtItsFirstEvent() throws Exception {
        Caller.Answer answer = read("/stream/", "", "7 !", "8 9 11");

        assertThat(answer.body(), is(event("7") + event("8") + event("9")));
        assertThat(answer.complete(), is(false));
    }

    @Test
    void relaysAnyRunToACallerWithoutAReadablePosition() throws Exception {
        assertThat(read("/stream/", "after: x\r\n", "3 4").body(), is(event("3") + event("4")));
    }

    @Test
    void relaysRunFromTheBeginningWithStepsOverOne() throws Exception {
        assertThat(
                read("/stream/", "", "5 10 !", "15 17").body(),
                is(event("5") + event("10") + event("15") + event("17")));
    }

    /** Guards against events that the caller gets twice, as no id says how far the run came that broke off. */
    @ParameterizedTest
    @ValueSource(strings = {"- - !", "1 2 - !", "x !", "1 x !"})
    void neverResumesStreamAfterAnEventWithoutAnId(String first) throws Exception {
        Caller.Answer answer = read("/stream/", "", first, "- - -");

        StringBuilder received = new StringBuilder();
        for (String id : first.replace(" !", "").split(" ", -1)) {
            received.append(event(id));
        }
        assertThat(answer.body(), is(received.toString()));
        assertThat(answer.complete(), is(false));
    }

    @Test
    void resumesStreamAfterTheNextEventWithAnId() throws Exception {
        Caller.Answer answer = read("/stream/", "", "1 - 2 !", "3 4");

        assertThat(answer.body(), is(event("1") + event("-") + event("2") + event("3") + event("4")));
        assertThat(answer.complete(), is(true));
    }

    /** Events that are left out show that the server is alive. */
    @Test
    void waitsForARunThatBeginsAnewAsLongAsItSendsEvents() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        Caller.Answer answer = callToTwoServers("/stream/", (_request, c) -> {
            if (calls.incrementAndGet() == 1) {
                send("1 2 3 !", c);
            }
            startChunks(c);
            for (String id : List.of("1", "2", "3", "4")) {
                Thread.sleep(150);
                chunk(c, event(id));
            }
            c.write("0\r\n\r\n");
        });

        assertThat(answer.body(), is(events(EVENTS)));
        assertThat(answer.complete(), is(true));
    }
}

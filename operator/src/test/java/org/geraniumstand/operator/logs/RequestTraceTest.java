package org.geraniumstand.operator.logs;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

final class RequestTraceTest {
    private static LogLine line(String source, String seconds, String fields) {
        return LogLine.parse(source, "time=2026-05-16T15:16:2" + seconds + "+0000 level=INFO " + fields)
                .orElseThrow();
    }

    private static String cause(String... fieldTexts) {
        List<LogLine> lines =
                Stream.of(fieldTexts).map(fields -> line("a", "1.000", fields)).toList();
        List<String> texts = RequestTrace.explain("r1", lines);
        return texts.get(texts.size() - 1);
    }

    @Test
    void parsesLineWithQuotedFieldAndPrefix() {
        Optional<LogLine> line = LogLine.parse(
                "a",
                "  12.0 host time=2026-05-16T15:16:20.931+0000 level=INFO event=call-refused detail=\"quota of x\"");

        assertThat(line.orElseThrow().field("detail"), is("quota of x"));
        assertThat(LogLine.parse("a", "not a log line"), is(Optional.empty()));
    }

    @Test
    void ordersLinesOfSeveralProcessesByTime() {
        List<String> texts = RequestTrace.explain(
                "r1",
                List.of(
                        line("b", "3.000", "event=call-refused request=r1 reason=over-quota detail=x version=1"),
                        line("a", "2.000", "event=attempt-ended request=r1 end=BROKEN status=0 millis=2"),
                        line("a", "2.500", "event=call-sent request=r2 server=s1")));

        assertThat(texts, hasSize(3));
        assertThat(texts.get(0), startsWith("2026-05-16T15:16:22.000+0000  a  attempt-ended"));
    }

    @Test
    void addsLineThatRecordsInputOfDecision() {
        List<String> texts = RequestTrace.explain(
                "r1",
                List.of(
                        line("a", "1.000", "event=server-listed server=s1 leaving=false"),
                        line("a", "2.000", "event=server-listed server=s1 leaving=true"),
                        line("b", "2.100", "event=server-listed server=s1 leaving=false"),
                        line("a", "2.500", "event=call-sent request=r1 server=s1"),
                        line("a", "2.600", "event=server-listed server=s1 leaving=false")));

        assertThat(texts, hasSize(3));
        assertThat(texts.get(0), endsWith("server-listed  leaving=true server=s1"));
    }

    @Test
    void returnsNothingForRequestThatNoLogContains() {
        assertThat(RequestTrace.explain("r1", List.of(line("a", "1.000", "event=call-sent request=r2"))), is(empty()));
    }

    @Test
    void reportsCauseOfRefusal() {
        assertThat(
                cause("event=call-refused request=r1 reason=over-quota detail=\"quota of x\""),
                is("Cause: The team exceeded its quota (quota of x); the request was not run."));
        assertThat(
                cause(
                        "event=call-sent request=r1 server=s1",
                        "event=call-refused request=r1 reason=timed-out waitedMillis=400"),
                is("Cause: The caller's deadline passed after 400 ms while server s1 was processing the request."));
        assertThat(
                cause("event=call-refused request=r1 reason=no-server"),
                is("Cause: No server of the service accepted requests."));
    }

    @Test
    void reportsCauseOfBrokenConnection() {
        assertThat(
                cause(
                        "event=attempt-ended request=r1 end=BROKEN status=0 millis=2",
                        "event=call-refused request=r1 reason=server-failed"),
                is("Cause: The connection to the server was closed before any response after 2 ms."));
    }

    @Test
    void reportsMissingEndOfRequest() {
        assertThat(
                cause("event=call-sent request=r1 server=s1"),
                is("Cause: The process handling the request ended, or the request is still in progress."));
    }
}

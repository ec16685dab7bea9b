package org.geraniumstand.operator.logs;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Selects the log lines that explain the outcome of a request, from the logs of several processes. */
public final class RequestTrace {
    private static final Comparator<LogLine> BY_TIME = Comparator.comparing(LogLine::time);

    private RequestTrace() {}

    /**
     * Returns the log lines of a request, the lines that its decisions were based on, and the cause of its outcome.
     *
     * @param request the caller's request id
     * @param lines the lines of all logs, each log in its original order
     * @return the lines to print in order of time, with the cause last; empty if no log contains the request
     */
    public static List<String> explain(String request, List<LogLine> lines) {
        List<LogLine> requestLines = lines.stream()
                .filter(line -> line.field("request").equals(request))
                .sorted(BY_TIME)
                .toList();
        if (requestLines.isEmpty()) {
            return List.of();
        }
        Set<LogLine> selected = new HashSet<>(requestLines);
        requestLines.forEach(line -> inputOf(line, lines).ifPresent(selected::add));
        return Stream.concat(
                        selected.stream().sorted(BY_TIME).map(RequestTrace::format),
                        Stream.of("Cause: " + FailureCause.of(requestLines)))
                .toList();
    }

    /** Returns the last earlier line of the same process that records the input of a decision. */
    private static Optional<LogLine> inputOf(LogLine decision, List<LogLine> lines) {
        return lines.stream()
                .filter(line -> decision.event().equals("call-sent")
                        ? line.matches("server-listed", "server", decision.field("server"))
                        : line.matches("configuration-read", "version", decision.field("version")))
                .filter(line -> line.source().equals(decision.source()) && BY_TIME.compare(line, decision) <= 0)
                .max(BY_TIME);
    }

    private static String format(LogLine line) {
        String fields = line.fields().entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .map(field -> field.getKey() + "=" + field.getValue())
                .collect(Collectors.joining(" "));
        return line.time() + "  " + line.source() + "  " + line.event() + "  " + fields;
    }
}

package org.geraniumstand.operator.logs;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The lines that explain what became of a request, from the logs of several processes. */
public final class RequestChain {
    private static final Comparator<LogLine> BY_TIME = Comparator.comparing(LogLine::time);

    private RequestChain() {}

    /**
     * Returns the lines of a request in order of time, after those that its decisions rested on, and its cause.
     *
     * @param request the caller's request id
     * @param lines lines of all logs, each log in its order
     * @return lines to print, none if no log knows the request
     */
    public static List<String> explain(String request, List<LogLine> lines) {
        List<LogLine> chain = lines.stream()
                .filter(line -> line.field("request").equals(request))
                .sorted(BY_TIME)
                .toList();
        if (chain.isEmpty()) {
            return List.of();
        }
        Set<LogLine> told = new HashSet<>(chain);
        chain.forEach(line -> context(line, lines).ifPresent(told::add));
        return Stream.concat(
                        told.stream().sorted(BY_TIME).map(RequestChain::text),
                        Stream.of("Cause: " + FailureCause.of(chain)))
                .toList();
    }

    /** The last line of the same process that tells what a decision rested on. */
    private static Optional<LogLine> context(LogLine decision, List<LogLine> lines) {
        return lines.stream()
                .filter(line -> decision.event().equals("call-sent")
                        ? line.is("server-listed", "server", decision.field("server"))
                        : line.is("configuration-read", "version", decision.field("version")))
                .filter(line -> line.source().equals(decision.source()) && BY_TIME.compare(line, decision) <= 0)
                .max(BY_TIME);
    }

    private static String text(LogLine line) {
        String fields = line.fields().entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .map(field -> field.getKey() + "=" + field.getValue())
                .collect(Collectors.joining(" "));
        return line.time() + "  " + line.source() + "  " + line.event() + "  " + fields;
    }
}

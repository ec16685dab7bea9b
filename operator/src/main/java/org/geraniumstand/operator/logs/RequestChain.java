package org.geraniumstand.operator.logs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

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
        List<String> texts =
                told.stream().sorted(BY_TIME).map(RequestChain::text).collect(Collectors.toList());
        texts.add("Cause: " + FailureCause.of(chain));
        return texts;
    }

    /** The last line of the same process that tells what a decision rested on. */
    private static Optional<LogLine> context(LogLine decision, List<LogLine> lines) {
        List<LogLine> before = new ArrayList<>();
        for (LogLine line : lines) {
            boolean rests = decision.event().equals("call-sent")
                    ? line.is("server-listed", "server", decision.field("server"))
                    : line.is("configuration-read", "version", decision.field("version"));
            if (rests && line.source().equals(decision.source()) && BY_TIME.compare(line, decision) <= 0) {
                before.add(line);
            }
        }
        return before.stream().max(BY_TIME);
    }

    private static String text(LogLine line) {
        String fields = line.fields().entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .map(field -> field.getKey() + "=" + field.getValue())
                .collect(Collectors.joining(" "));
        return line.time() + "  " + line.source() + "  " + line.event() + "  " + fields;
    }
}

package org.geraniumstand.operator.logs;

import java.util.List;
import java.util.Optional;

/** Derives the cause of the outcome of a request from its log lines. */
final class FailureCause {
    private static final String SENT = "call-sent";
    private static final String ENDED = "attempt-ended";
    private static final String REFUSED = "call-refused";

    private FailureCause() {}

    /**
     * Describes the cause in one sentence.
     *
     * @param requestLines the log lines of the request, in order of time
     */
    static String of(List<LogLine> requestLines) {
        Optional<LogLine> refused = last(requestLines, REFUSED);
        if (refused.isPresent()) {
            return describeRefusal(refused.get(), requestLines);
        }
        if (last(requestLines, "caller-left").isPresent()) {
            return "The caller disconnected before the response was complete" + describeServer(requestLines) + ".";
        }
        return last(requestLines, ENDED)
                .map(FailureCause::describeAttemptEnd)
                .orElse("The process handling the request ended, or the request is still in progress.");
    }

    private static String describeRefusal(LogLine refused, List<LogLine> requestLines) {
        switch (refused.field("reason")) {
            case "over-quota":
                return "The team exceeded its quota (" + refused.field("detail") + "); the request was not run.";
            case "unknown-team":
                return "The API key is not valid in version " + refused.field("version") + " of the configuration.";
            case "unknown-route":
                return "Version " + refused.field("version") + " of the configuration contains no route for the path.";
            case "no-configuration":
                return "The process had not loaded a configuration yet.";
            case "stopping":
                return "The process was shutting down.";
            case "no-room":
                return "The servers of the service had no room for the request before its deadline"
                        + describeLastAttempt(requestLines) + ".";
            case "no-server":
                return "No server of the service accepted requests" + describeLastAttempt(requestLines) + ".";
            case "deadline":
                return "No server had free capacity before the caller's deadline" + describeLastAttempt(requestLines)
                        + ".";
            case "timed-out":
                return "The caller's deadline passed after " + refused.field("waitedMillis") + " ms"
                        + describeServer(requestLines) + ".";
            default:
                return last(requestLines, ENDED)
                        .map(FailureCause::describeAttemptEnd)
                        .orElse("The request was refused.");
        }
    }

    private static String describeAttemptEnd(LogLine ended) {
        String after = " after " + ended.field("millis") + " ms";
        switch (ended.field("end")) {
            case "ANSWERED":
                return "A server responded with status " + ended.field("status") + after + ".";
            case "SERVER_ERROR":
                return "A server failed with status " + ended.field("status") + after + ".";
            case "BROKEN":
                return ended.field("status").equals("0")
                        ? "The connection to the server was closed before any response" + after + "."
                        : "The server's response was truncated or belonged to another request" + after + ".";
            case "SILENT":
                return "The response timeout of the server expired" + after + ".";
            case "NOT_CONNECTED":
                return "The connection to the server failed" + after + ".";
            case "DECLINED":
                return "The server reported the request as not run" + after + ".";
            default:
                return "The attempt ended" + after + ".";
        }
    }

    private static String describeServer(List<LogLine> requestLines) {
        return last(requestLines, SENT)
                .map(sent -> " while server " + sent.field("server") + " was processing the request")
                .orElse(", before the request was sent to any server");
    }

    private static String describeLastAttempt(List<LogLine> requestLines) {
        return last(requestLines, ENDED)
                .map(ended -> "; last attempt: " + describeAttemptEnd(ended))
                .map(text -> text.substring(0, text.length() - 1))
                .orElse("");
    }

    private static Optional<LogLine> last(List<LogLine> requestLines, String event) {
        return requestLines.stream().filter(line -> line.event().equals(event)).reduce((_first, second) -> second);
    }
}

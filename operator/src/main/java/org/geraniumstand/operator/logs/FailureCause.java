package org.geraniumstand.operator.logs;

import java.util.List;
import java.util.Optional;

/** Names the cause of what became of a request from the lines about it. */
final class FailureCause {
    private static final String SENT = "call-sent";
    private static final String ENDED = "attempt-ended";
    private static final String REFUSED = "call-refused";

    private FailureCause() {}

    /**
     * Names the cause in one sentence.
     *
     * @param chain the lines of the request, in order of time
     */
    static String of(List<LogLine> chain) {
        Optional<LogLine> refused = last(chain, REFUSED);
        if (refused.isPresent()) {
            return refusal(refused.get(), chain);
        }
        if (last(chain, "caller-left").isPresent()) {
            return "The caller left before its answer was whole" + at(chain) + ".";
        }
        return last(chain, ENDED)
                .map(FailureCause::end)
                .orElse("The process that had the request ended, or the request is still under way.");
    }

    private static String refusal(LogLine refused, List<LogLine> chain) {
        switch (refused.field("reason")) {
            case "over-quota":
                return "The team had used up its quota (" + refused.field("detail") + "); it did not run.";
            case "unknown-team":
                return "The key was not in force in version " + refused.field("version") + " of the configuration.";
            case "unknown-route":
                return "Version " + refused.field("version") + " of the configuration has no route for the path.";
            case "no-configuration":
                return "The process had no configuration yet.";
            case "stopping":
                return "The process was about to end.";
            case "no-server":
                return "No server of the service took work" + attempts(chain) + ".";
            case "deadline":
                return "No server had room before the caller's time ended" + attempts(chain) + ".";
            case "timed-out":
                return "The caller's time ended after " + refused.field("waitedMillis") + " ms" + at(chain) + ".";
            default:
                return last(chain, ENDED).map(FailureCause::end).orElse("The request was refused.");
        }
    }

    private static String end(LogLine ended) {
        String after = " after " + ended.field("millis") + " ms";
        switch (ended.field("end")) {
            case "ANSWERED":
                return "A server answered with status " + ended.field("status") + after + ".";
            case "SERVER_ERROR":
                return "A server failed with status " + ended.field("status") + after + ".";
            case "BROKEN":
                return ended.field("status").equals("0")
                        ? "The connection to the server ended before any answer" + after + "."
                        : "The server's answer broke off or belonged to another request" + after + ".";
            case "SILENT":
                return "The server was silent" + after + ".";
            case "NOT_CONNECTED":
                return "The server took no connection" + after + ".";
            case "DECLINED":
                return "The server said that it did not run it" + after + ".";
            default:
                return "The attempt ended" + after + ".";
        }
    }

    private static String at(List<LogLine> chain) {
        return last(chain, SENT)
                .map(sent -> " while server " + sent.field("server") + " had it")
                .orElse(", before any server had it");
    }

    private static String attempts(List<LogLine> chain) {
        return last(chain, ENDED)
                .map(ended -> "; the last attempt: " + end(ended))
                .map(text -> text.substring(0, text.length() - 1))
                .orElse("");
    }

    private static Optional<LogLine> last(List<LogLine> chain, String event) {
        return chain.stream().filter(line -> line.event().equals(event)).reduce((_first, second) -> second);
    }
}

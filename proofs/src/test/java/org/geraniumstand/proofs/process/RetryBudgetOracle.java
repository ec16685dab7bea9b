package org.geraniumstand.proofs.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/** Decides, from what callers sent and servers received, whether the retries for a service stay within its budget. */
final class RetryBudgetOracle {
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(RelayHost.RETRY_WINDOW_SECONDS);

    private final Queue<Long> requests = new ConcurrentLinkedQueue<>();
    private final Queue<Long> retries = new ConcurrentLinkedQueue<>();

    /** The retries in a window that begins with a retry, and the most requests of the windows that the rule compares. */
    record Window(long startNanos, long retries, long requests) {
        double allowed() {
            return RelayHost.RETRY_RATIO * requests + RelayHost.RETRY_SLACK;
        }

        double used() {
            return retries / allowed();
        }

        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%d retries for %d requests, %.1f allowed", retries, requests, allowed());
        }
    }

    /** Records that a caller sent a request. */
    void sent(long nanos) {
        requests.add(nanos);
    }

    /** Records that a server received a request that it or another server had received before. */
    void retried(long nanos) {
        retries.add(nanos);
    }

    /** Returns the windows in order of their start. */
    List<Window> windows() {
        List<Long> sortedRequests = requests.stream().sorted().toList();
        List<Long> sortedRetries = retries.stream().sorted().toList();
        List<Window> windows = new ArrayList<>();
        for (long start : sortedRetries) {
            long most = Math.max(
                    count(sortedRequests, start),
                    Math.max(
                            count(sortedRequests, start - WINDOW_NANOS),
                            count(sortedRequests, start - WINDOW_NANOS / 2)));
            windows.add(new Window(start, count(sortedRetries, start), most));
        }
        return windows;
    }

    /** Returns the windows in which servers received more retries than the requests allow. */
    List<Window> exceeded() {
        return windows().stream().filter(window -> window.used() > 1).toList();
    }

    private static long count(List<Long> sortedNanos, long start) {
        return sortedNanos.stream()
                .filter(nanos -> nanos >= start && nanos < start + WINDOW_NANOS)
                .count();
    }
}

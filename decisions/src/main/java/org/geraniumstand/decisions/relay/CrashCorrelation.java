package org.geraniumstand.decisions.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.relay.ServicePart;
import org.geraniumstand.model.time.Timestamp;

/** Finds the prompt parts that explain crashes of servers. */
@Decision(
        name = "crash-correlation",
        summary = "A prompt part crashes servers if answers to it broke off shortly after they began at several "
                + "servers and moments, none succeeded since, and chance is a very unlikely explanation.")
public final class CrashCorrelation {
    /** Time for which answers and crashes count as recent, in milliseconds. */
    static final long RECENT_MILLIS = 10_000;

    /** Fewest crashes that convict a part. */
    private static final int MIN_CRASHES = 4;

    /** Fewest crashes with a part of a known set and without the rest of it that reduce the set to that part. */
    private static final int MIN_CRASHES_TO_REDUCE = 2;

    /** Most crashes that one request counts for, so that an unlucky request and its retries do not convict its parts. */
    private static final int MAX_CRASHES_PER_REQUEST = 2;

    /** Crashes closer together count as one, in milliseconds, because one fault may stop many servers at once. */
    private static final long MIN_SPACING_MILLIS = 250;

    /** Time since the first crash before a part is convicted, in milliseconds; sound answers of all processes are known then. */
    private static final long MIN_AGE_MILLIS = 1_500;

    /** Fewest recent answers to other requests; without any, the service as a whole fails and not a part of its prompts. */
    private static final long MIN_ANSWERED = 8;

    /** Highest probability that crashes hit the requests of any sound part by accident. */
    private static final double MAX_CHANCE = 0.001;

    /** Lower bound of the share of answers that break off for other reasons, since a small sample shows none. */
    private static final double MIN_BACKGROUND = 0.02;

    /** Breaks at a server within this time belong to the same crash, in milliseconds. */
    private static final long SAME_CRASH_MILLIS = 1_000;

    private static final int MAX_FINDINGS = 8;

    private CrashCorrelation() {}

    /**
     * Describes parts that crash servers.
     *
     * @param parts the parts that are in the prompt of every request that explains a crash and are not known to be sound
     * @param crashes number of independent crashes
     * @param background share of other answers that broke off in the same way
     * @param lastNanos when the newest of the crashes occurred, on the monotonic clock in nanoseconds
     */
    public record Finding(List<ServicePart> parts, int crashes, double background, long lastNanos) {
        /** Copies the list. */
        public Finding {
            parts = List.copyOf(parts);
        }
    }

    /**
     * Returns the parts that explain crashes, beginning with the one that explains most. Crashes that one part explains
     * count for no other.
     *
     * @param records the requests whose answers broke off shortly after they began
     * @param sound parts that are known to be sound
     * @param known sets of parts that are known to crash servers
     * @param answered number of recent answers to other requests
     * @param nowNanos the monotonic time in nanoseconds
     */
    static List<Finding> find(
            List<CrashRecord> records, SoundParts sound, Set<Set<ServicePart>> known, long answered, long nowNanos) {
        if (records.size() < MIN_CRASHES || answered < MIN_ANSWERED) {
            return List.of();
        }
        List<CrashRecord> unexplained = new ArrayList<>();
        for (CrashRecord crash : records) {
            List<ServicePart> parts = crash.parts().stream()
                    .filter(part -> !sound.isSoundSince(part, crash.atNanos()))
                    .toList();
            unexplained.add(new CrashRecord(crash.server(), crash.request(), parts, crash.atNanos()));
        }
        unexplained.sort(Comparator.comparingLong(crash -> crash.atNanos() - nowNanos));
        List<Finding> findings = new ArrayList<>();
        for (Set<ServicePart> parts : known) {
            reduced(unexplained, parts).ifPresent(findings::add);
        }
        known.forEach(parts -> removeExplained(unexplained, parts));
        while (findings.size() < MAX_FINDINGS) {
            Optional<Finding> next = strongest(unexplained, answered, nowNanos);
            if (next.isEmpty()) {
                break;
            }
            findings.add(next.get());
            removeExplained(unexplained, next.get().parts());
        }
        return findings;
    }

    /** Returns the parts of a known set that crash servers without the rest of the set, if there are any. */
    private static Optional<Finding> reduced(List<CrashRecord> records, Set<ServicePart> known) {
        List<CrashRecord> others = new ArrayList<>(records);
        removeExplained(others, known);
        List<CrashRecord> best = List.of();
        int most = MIN_CRASHES_TO_REDUCE - 1;
        for (ServicePart part : known) {
            List<CrashRecord> candidate = others.stream()
                    .filter(crash -> crash.parts().contains(part))
                    .toList();
            int crashes = independentCrashes(candidate);
            if (crashes > most) {
                most = crashes;
                best = candidate;
            }
        }
        if (best.isEmpty()) {
            return Optional.empty();
        }
        Set<ServicePart> common = new LinkedHashSet<>(known);
        best.forEach(crash -> common.retainAll(crash.parts()));
        return common.isEmpty()
                ? Optional.empty()
                : Optional.of(new Finding(
                        List.copyOf(common), most, 0, best.get(best.size() - 1).atNanos()));
    }

    private static Optional<Finding> strongest(List<CrashRecord> records, long answered, long nowNanos) {
        Map<ServicePart, List<CrashRecord>> byPart = new HashMap<>();
        for (CrashRecord crash : records) {
            crash.parts()
                    .forEach(part -> byPart.computeIfAbsent(part, _key -> new ArrayList<>())
                            .add(crash));
        }
        List<CrashRecord> best = List.of();
        int most = MIN_CRASHES - 1;
        for (List<CrashRecord> candidate : byPart.values()) {
            int crashes = independentCrashes(candidate);
            if (crashes > most) {
                most = crashes;
                best = candidate;
            }
        }
        best = mostSpecific(best, most, byPart.values());
        if (best.isEmpty() || nowNanos - best.get(0).atNanos() < MIN_AGE_MILLIS * Timestamp.NANOS_PER_MILLI) {
            return Optional.empty();
        }
        List<ServicePart> parts = commonParts(best);
        List<CrashRecord> others = new ArrayList<>(records);
        removeExplained(others, parts);
        double recent = recent(others, nowNanos);
        double background = Math.max(MIN_BACKGROUND, recent / (recent + answered));
        if (Math.pow(background, most) * byPart.size() > MAX_CHANCE) {
            return Optional.empty();
        }
        return Optional.of(
                new Finding(parts, most, background, best.get(best.size() - 1).atNanos()));
    }

    /**
     * Returns the smallest part of some records that explains as many crashes but one. A part that is in many prompts also
     * occurs in a crash that another part caused.
     */
    private static List<CrashRecord> mostSpecific(
            List<CrashRecord> records, int crashes, Collection<List<CrashRecord>> candidates) {
        List<CrashRecord> best = records;
        for (List<CrashRecord> candidate : candidates) {
            if (candidate.size() < best.size()
                    && records.containsAll(candidate)
                    && independentCrashes(candidate) >= Math.max(MIN_CRASHES, crashes - 1)) {
                best = candidate;
            }
        }
        return best;
    }

    private static long recent(List<CrashRecord> records, long nowNanos) {
        return records.stream()
                .filter(crash -> nowNanos - crash.atNanos() <= RECENT_MILLIS * Timestamp.NANOS_PER_MILLI)
                .count();
    }

    /** Counts the crashes that differ in server and moment. */
    private static int independentCrashes(List<CrashRecord> records) {
        Set<ServerId> servers = new HashSet<>();
        Map<Long, Integer> byRequest = new HashMap<>();
        int count = 0;
        long lastNanos = 0;
        for (CrashRecord crash : records) {
            boolean apart = count == 0 || crash.atNanos() - lastNanos >= MIN_SPACING_MILLIS * Timestamp.NANOS_PER_MILLI;
            if (apart
                    && !servers.contains(crash.server())
                    && byRequest.merge(crash.request(), 1, Integer::sum) <= MAX_CRASHES_PER_REQUEST) {
                servers.add(crash.server());
                lastNanos = crash.atNanos();
                count++;
            }
        }
        return count;
    }

    private static List<ServicePart> commonParts(List<CrashRecord> records) {
        Set<ServicePart> common = new LinkedHashSet<>(records.get(0).parts());
        records.forEach(crash -> common.retainAll(crash.parts()));
        return List.copyOf(common);
    }

    private static void removeExplained(List<CrashRecord> records, Collection<ServicePart> parts) {
        List<CrashRecord> causes = records.stream()
                .filter(crash -> crash.parts().containsAll(parts))
                .toList();
        records.removeIf(crash -> causes.stream().anyMatch(cause -> isSameCrash(cause, crash)));
    }

    private static boolean isSameCrash(CrashRecord cause, CrashRecord crash) {
        return cause.server().equals(crash.server())
                && Math.abs(cause.atNanos() - crash.atNanos()) <= SAME_CRASH_MILLIS * Timestamp.NANOS_PER_MILLI;
    }
}

package org.geraniumstand.decisions.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.geraniumstand.decisions.Hash;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.relay.CrashEvidence;
import org.geraniumstand.model.relay.CrashReport;
import org.geraniumstand.model.relay.QuarantinedPrompt;
import org.geraniumstand.model.relay.ServicePart;
import org.geraniumstand.model.relay.SoundPart;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.time.Timestamp;

/**
 * Collects what this process and others observe about prompt parts that may crash servers, and keeps those that do from
 * servers. Not thread-safe.
 *
 * <p>Every process reports to the aggregators, which report back what all have seen. Facts merge in any order: the
 * newest sound answer of a part, the newest crash and the number of trials win.
 */
public final class CrashingPrompts {
    /** Time for which a crash counts, in milliseconds. */
    private static final long RETENTION_MILLIS = 120_000;

    /** Time for which a process reports a crash, in milliseconds; long enough for several reports, as some are lost. */
    private static final long REPORT_MILLIS = 3_000;

    /** Time for which the report of another process counts, in milliseconds. */
    private static final long PROCESS_MILLIS = 2_000;

    private static final int MAX_CRASHES = 512;
    private static final int MAX_REPORTED_CRASHES = 32;
    private static final int MAX_REPORTED_PARTS = 32;

    /** Fewest recent crashes with a part for which other processes are asked whether they know it to be sound. */
    private static final int MIN_CRASHES_TO_ASK = 2;

    /** Time for which a crash lets a process ask and answer, in milliseconds; a part of older crashes is known by then. */
    private static final long ASK_MILLIS = 10_000;

    private static final long BUCKET_MILLIS = 1_000;

    private final PromptQuarantine quarantine;
    private final SoundParts sound = new SoundParts();
    private final Map<Long, CrashRecord> crashes = new LinkedHashMap<>();
    private final Deque<CrashRecord> ownCrashes = new ArrayDeque<>();
    private final Map<ProcessId, List<ServicePart>> suspectsByAggregator = new HashMap<>();

    /** Parts that another process keeps in quarantine although this one knows a sound answer. */
    private final Map<ServicePart, Long> disputedNanos = new HashMap<>();

    private final Map<ProcessId, RemoteAnswers> remoteAnswers = new HashMap<>();
    private final Deque<Bucket> answers = new ArrayDeque<>();

    private record RemoteAnswers(long count, long atNanos) {}

    private record Bucket(long startNanos, long count) {}

    /**
     * Describes a change of the quarantine.
     *
     * @param parts the parts that a prompt contains, all of them
     * @param added whether the quarantine of such prompts begins
     * @param crashes number of crashes that led to it; zero if another process found them
     * @param background share of other answers that broke off in the same way
     */
    public record Change(List<ServicePart> parts, boolean added, int crashes, double background) {
        /** Copies the list. */
        public Change {
            parts = List.copyOf(parts);
        }
    }

    /**
     * Creates a collection without observations.
     *
     * @param random source of randomness, seeded differently in each process
     */
    public CrashingPrompts(Random random) {
        this.quarantine = new PromptQuarantine(random);
    }

    /** Returns the number of sets of parts in quarantine. */
    public int quarantined() {
        return quarantine.size();
    }

    /** Returns for how long a call is refused, in milliseconds, or empty if it may be sent. */
    OptionalLong blockedMillis(RelayCall call, long nowNanos) {
        return quarantine.blockedMillis(call.sharedParts(), nowNanos);
    }

    /** Records that a call is sent to a server. */
    void onSent(RelayCall call, long nowNanos) {
        quarantine.onSent(call.sharedParts(), nowNanos);
    }

    /** Records a part of a successful answer, which shows after some time that the call does not crash its server. */
    void onProgress(RelayCall call, long nowNanos) {
        if (!call.sound()
                && call.beganNanos().isPresent()
                && CrashSuspicion.isPast(call.beganNanos().getAsLong(), nowNanos)) {
            onSound(call, nowNanos);
        }
    }

    /** Records that a server has answered a call and has not crashed. */
    void onSound(RelayCall call, long nowNanos) {
        if (call.sound() || call.beganNanos().isEmpty()) {
            return;
        }
        call.onSound();
        call.sharedParts().forEach(part -> sound.onSound(part, call.beganNanos().getAsLong()));
        Bucket newest = answers.peekLast();
        if (newest != null && nowNanos - newest.startNanos() < BUCKET_MILLIS * Timestamp.NANOS_PER_MILLI) {
            answers.removeLast();
            answers.addLast(new Bucket(newest.startNanos(), newest.count() + 1));
        } else {
            answers.addLast(new Bucket(nowNanos, 1));
        }
        dropOldAnswers(nowNanos);
    }

    /** Records how an attempt ended; must be called while the call still belongs to its server. */
    void onEnded(RelayCall call, AttemptEnd end, long nowNanos) {
        if (call.server() == null || !CrashSuspicion.isSuspect(end, call.beganNanos(), nowNanos)) {
            return;
        }
        call.onSuspiciousEnd();
        CrashRecord crash = new CrashRecord(
                call.server().server().id(), Hash.of(call.head().attempt()), List.copyOf(call.sharedParts()), nowNanos);
        if (!crash.parts().isEmpty()) {
            ownCrashes.addLast(crash);
            if (ownCrashes.size() > MAX_REPORTED_CRASHES) {
                ownCrashes.removeFirst();
            }
            add(crash);
        }
    }

    private void add(CrashRecord crash) {
        if (crashes.putIfAbsent(crash.attemptHash(), crash) != null || crashes.size() <= MAX_CRASHES) {
            return;
        }
        crashes.values().removeIf(this::hasOnlySoundParts);
        while (crashes.size() > MAX_CRASHES) {
            crashes.remove(crashes.keySet().iterator().next());
        }
    }

    private boolean hasOnlySoundParts(CrashRecord crash) {
        return crash.parts().stream().allMatch(part -> sound.isSoundSince(part, crash.atNanos()));
    }

    /**
     * Merges what another process reports, or what an aggregator reports of all processes.
     *
     * @param from the process that reports
     * @param evidence its evidence
     * @param processes number of processes that may send a trial
     * @param nowNanos the monotonic time in nanoseconds
     * @return the changes of the quarantine
     */
    public List<Change> merge(ProcessId from, CrashEvidence evidence, int processes, long nowNanos) {
        for (CrashReport report : evidence.crashes()) {
            add(new CrashRecord(
                    report.server(),
                    report.request(),
                    report.parts(),
                    nowNanos - Math.max(0, report.ageMillis()) * Timestamp.NANOS_PER_MILLI));
        }
        for (SoundPart part : evidence.soundParts()) {
            sound.onSound(part.part(), nowNanos - Math.max(0, part.ageMillis()) * Timestamp.NANOS_PER_MILLI);
        }
        if (evidence.suspects().isEmpty()) {
            suspectsByAggregator.remove(from);
        } else {
            suspectsByAggregator.put(from, evidence.suspects());
        }
        remoteAnswers.put(from, new RemoteAnswers(evidence.answered(), nowNanos));
        return restore(evidence.quarantined(), processes, nowNanos);
    }

    /**
     * Adds prompts that are in quarantine elsewhere, unless they are known to be sound.
     *
     * @param prompts the prompts
     * @param processes number of processes that may send a trial
     * @param nowNanos the monotonic time in nanoseconds
     * @return the changes of the quarantine
     */
    public List<Change> restore(List<QuarantinedPrompt> prompts, int processes, long nowNanos) {
        List<Change> changes = new ArrayList<>();
        prompts.forEach(prompt -> {
            boolean sinceSound = prompt.parts().stream()
                    .anyMatch(part ->
                            sound.isSoundSince(part, nowNanos - prompt.crashAgeMillis() * Timestamp.NANOS_PER_MILLI));
            if (sinceSound) {
                prompt.parts().forEach(part -> disputedNanos.put(part, nowNanos));
            } else if (quarantine.addRemote(prompt, processes, nowNanos)) {
                changes.add(new Change(prompt.parts(), true, 0, 0));
            }
        });
        return changes;
    }

    /**
     * Looks for parts that crash servers, and ends the quarantine of those that no longer do.
     *
     * @param processes number of processes that may send a trial
     * @param nowNanos the monotonic time in nanoseconds
     * @return the changes of the quarantine
     */
    public List<Change> evaluate(int processes, long nowNanos) {
        List<Change> changes = new ArrayList<>();
        quarantine.expire(sound, nowNanos).forEach(parts -> changes.add(new Change(parts, false, 0, 0)));
        crashes.values().removeIf(crash -> nowNanos - crash.atNanos() > RETENTION_MILLIS * Timestamp.NANOS_PER_MILLI);
        CrashCorrelation.find(List.copyOf(crashes.values()), sound, quarantine.sets(), answered(nowNanos), nowNanos)
                .forEach(finding -> {
                    if (quarantine.add(finding.parts(), finding.lastNanos(), processes, nowNanos)) {
                        changes.add(new Change(finding.parts(), true, finding.crashes(), finding.background()));
                    }
                });
        return changes;
    }

    private long answered(long nowNanos) {
        remoteAnswers
                .values()
                .removeIf(answered -> nowNanos - answered.atNanos() > PROCESS_MILLIS * Timestamp.NANOS_PER_MILLI);
        return ownAnswers(nowNanos)
                + remoteAnswers.values().stream()
                        .mapToLong(RemoteAnswers::count)
                        .sum();
    }

    private long ownAnswers(long nowNanos) {
        dropOldAnswers(nowNanos);
        return answers.stream().mapToLong(Bucket::count).sum();
    }

    private void dropOldAnswers(long nowNanos) {
        while (!answers.isEmpty()
                && nowNanos - answers.peekFirst().startNanos()
                        > CrashCorrelation.RECENT_MILLIS * Timestamp.NANOS_PER_MILLI) {
            answers.removeFirst();
        }
    }

    /**
     * Returns what this process reports to the aggregators.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public CrashEvidence report(long nowNanos) {
        ownCrashes.removeIf(crash -> nowNanos - crash.atNanos() > REPORT_MILLIS * Timestamp.NANOS_PER_MILLI);
        List<CrashReport> reports = ownCrashes.stream()
                .map(crash -> new CrashReport(
                        crash.server(),
                        crash.request(),
                        crash.parts(),
                        (nowNanos - crash.atNanos()) / Timestamp.NANOS_PER_MILLI))
                .toList();
        Set<ServicePart> questioned = disputed(nowNanos);
        questioned.addAll(quarantine.parts());
        suspectsByAggregator.values().forEach(questioned::addAll);
        return new CrashEvidence(
                reports,
                List.of(),
                soundAmong(questioned, nowNanos),
                quarantine.report(nowNanos),
                ownAnswers(nowNanos));
    }

    /**
     * Returns what this process reports to the others as an aggregator.
     *
     * @param nowNanos the monotonic time in nanoseconds
     */
    public CrashEvidence aggregate(long nowNanos) {
        Set<ServicePart> questioned = disputed(nowNanos);
        if (crashes.isEmpty() && quarantine.size() == 0 && questioned.isEmpty()) {
            return CrashEvidence.NONE;
        }
        Set<ServicePart> suspects = new LinkedHashSet<>(quarantine.parts());
        suspects.addAll(partsOfSeveralCrashes(nowNanos));
        questioned.addAll(suspects);
        List<ServicePart> asked = suspects.stream().limit(MAX_REPORTED_PARTS).toList();
        return new CrashEvidence(List.of(), asked, soundAmong(questioned, nowNanos), quarantine.report(nowNanos), 0);
    }

    private Set<ServicePart> disputed(long nowNanos) {
        disputedNanos.values().removeIf(at -> nowNanos - at > PROCESS_MILLIS * Timestamp.NANOS_PER_MILLI);
        return new LinkedHashSet<>(disputedNanos.keySet());
    }

    /** Returns the parts of several recent crashes, because a part of a single crash is never blamed. */
    private List<ServicePart> partsOfSeveralCrashes(long nowNanos) {
        Map<ServicePart, Integer> counts = new LinkedHashMap<>();
        for (CrashRecord crash : crashes.values()) {
            if (nowNanos - crash.atNanos() <= ASK_MILLIS * Timestamp.NANOS_PER_MILLI) {
                crash.parts().forEach(part -> counts.merge(part, 1, Integer::sum));
            }
        }
        return counts.entrySet().stream()
                .filter(entry -> entry.getValue() >= MIN_CRASHES_TO_ASK)
                .sorted(Map.Entry.<ServicePart, Integer>comparingByValue().reversed())
                .map(Map.Entry::getKey)
                .toList();
    }

    private List<SoundPart> soundAmong(Set<ServicePart> parts, long nowNanos) {
        List<SoundPart> known = new ArrayList<>();
        for (ServicePart part : parts) {
            OptionalLong began = sound.beganNanos(part);
            if (began.isPresent() && known.size() < MAX_REPORTED_PARTS) {
                known.add(new SoundPart(part, (nowNanos - began.getAsLong()) / Timestamp.NANOS_PER_MILLI));
            }
        }
        return known;
    }

    /** Forgets the reports of processes that have stopped. */
    public void retain(Set<ProcessId> live) {
        remoteAnswers.keySet().retainAll(live);
        suspectsByAggregator.keySet().retainAll(live);
    }
}

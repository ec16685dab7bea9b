package org.geraniumstand.decisions.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.relay.QuarantinedPrompt;
import org.geraniumstand.model.relay.ServicePart;
import org.geraniumstand.model.time.Timestamp;

/** Decides which requests are refused because servers crash when they begin to answer their prompts. Not thread-safe. */
@Decision(
        name = "prompt-quarantine",
        summary = "A request whose prompt contains all parts of a set that crashed servers is refused, "
                + "except for single trials at growing intervals; a sound answer ends the quarantine.")
public final class PromptQuarantine {
    /** Time until the first trial, in milliseconds; it doubles with each trial. */
    private static final long FIRST_TRIAL_MILLIS = 20_000;

    /** Longest time between trials, in milliseconds. */
    private static final long MAX_TRIAL_MILLIS = 600_000;

    /** Time after which a quarantine ends if no request was sent as a trial, in milliseconds. */
    private static final long MAX_UNUSED_MILLIS = 600_000;

    /** Time by which the trials of two processes are apart on average, in milliseconds; reports take about as long. */
    private static final long TRIAL_SPACING_MILLIS = 400;

    /** Longest time by which a process delays a trial, in milliseconds. */
    private static final long MAX_TRIAL_DELAY_MILLIS = 10_000;

    /** Most prompts in quarantine, which bounds memory and messages. */
    private static final int MAX_ENTRIES = 16;

    private final Random random;
    private final Map<Set<ServicePart>, Entry> entries = new HashMap<>();

    private record Entry(long crashNanos, long trialNanos, int trials, long delayNanos) {}

    /**
     * Creates a quarantine without entries.
     *
     * @param random source of randomness, seeded differently in each process
     */
    public PromptQuarantine(Random random) {
        this.random = random;
    }

    /**
     * Adds prompts that contain certain parts, or prolongs their quarantine after another crash.
     *
     * @param parts the parts that such a prompt contains, all of them
     * @param crashNanos when the newest crash occurred, on the monotonic clock in nanoseconds
     * @param processes number of processes that may send a trial
     * @param nowNanos the monotonic time in nanoseconds
     * @return whether the prompts were not in quarantine before
     */
    boolean add(List<ServicePart> parts, long crashNanos, int processes, long nowNanos) {
        return merge(parts, crashNanos, nowNanos + millis(FIRST_TRIAL_MILLIS), 0, processes);
    }

    /**
     * Adds prompts that another process keeps from servers.
     *
     * @param prompt the prompts that are in quarantine there
     * @param processes number of processes that may send a trial
     * @param nowNanos the monotonic time in nanoseconds
     * @return whether the prompts were not in quarantine before
     */
    boolean addRemote(QuarantinedPrompt prompt, int processes, long nowNanos) {
        return merge(
                prompt.parts(),
                nowNanos - millis(Math.max(0, prompt.crashAgeMillis())),
                nowNanos + millis(Math.min(MAX_TRIAL_MILLIS, prompt.trialInMillis())),
                prompt.trials(),
                processes);
    }

    private boolean merge(List<ServicePart> parts, long crashNanos, long trialNanos, int trials, int processes) {
        Set<ServicePart> key = Set.copyOf(parts);
        Entry known = entries.get(key);
        if (known != null) {
            boolean newer = trials > known.trials();
            entries.put(
                    key,
                    new Entry(
                            later(known.crashNanos(), crashNanos),
                            newer ? trialNanos : known.trialNanos(),
                            Math.max(trials, known.trials()),
                            known.delayNanos()));
            return false;
        }
        boolean covered = entries.keySet().stream().anyMatch(key::containsAll);
        if (key.isEmpty() || covered || entries.size() >= MAX_ENTRIES) {
            return false;
        }
        entries.keySet().removeIf(other -> other.containsAll(key));
        long delayMillis = Math.min(MAX_TRIAL_DELAY_MILLIS, TRIAL_SPACING_MILLIS * Math.max(1, processes));
        entries.put(key, new Entry(crashNanos, trialNanos, trials, millis(random.nextInt((int) delayMillis))));
        return true;
    }

    /**
     * Returns for how long a request is refused, in milliseconds, or empty if it may be sent.
     *
     * @param prompt the shared parts of the request's prompt
     * @param nowNanos the monotonic time in nanoseconds
     */
    OptionalLong blockedMillis(Set<ServicePart> prompt, long nowNanos) {
        OptionalLong blocked = OptionalLong.empty();
        for (Map.Entry<Set<ServicePart>, Entry> entry : entries.entrySet()) {
            long dueNanos = entry.getValue().trialNanos() + entry.getValue().delayNanos();
            if (prompt.containsAll(entry.getKey()) && dueNanos - nowNanos > 0) {
                long remainingMillis = (dueNanos - nowNanos) / Timestamp.NANOS_PER_MILLI + 1;
                blocked = OptionalLong.of(Math.max(remainingMillis, blocked.orElse(0)));
            }
        }
        return blocked;
    }

    /**
     * Records that a request is sent; if its prompt is in quarantine, this is the trial, and the next one is due later.
     *
     * @param prompt the shared parts of the request's prompt
     * @param nowNanos the monotonic time in nanoseconds
     */
    void onSent(Set<ServicePart> prompt, long nowNanos) {
        for (Map.Entry<Set<ServicePart>, Entry> entry : entries.entrySet()) {
            if (prompt.containsAll(entry.getKey())) {
                Entry known = entry.getValue();
                int trials = known.trials() + 1;
                long interval = Math.min(MAX_TRIAL_MILLIS, FIRST_TRIAL_MILLIS << Math.min(trials, 6));
                entry.setValue(new Entry(known.crashNanos(), nowNanos + millis(interval), trials, known.delayNanos()));
            }
        }
    }

    /**
     * Removes the parts that are known to be sound, and entries that have not been used for long.
     *
     * @param sound parts that are known to be sound
     * @param nowNanos the monotonic time in nanoseconds
     * @return the parts of the entries that ended
     */
    List<List<ServicePart>> expire(SoundParts sound, long nowNanos) {
        List<List<ServicePart>> ended = new ArrayList<>();
        for (Map.Entry<Set<ServicePart>, Entry> entry : List.copyOf(entries.entrySet())) {
            Set<ServicePart> key = entry.getKey();
            Entry value = entry.getValue();
            List<ServicePart> remaining = key.stream()
                    .filter(part -> !sound.isSoundSince(part, value.crashNanos()))
                    .toList();
            boolean unused = nowNanos - value.trialNanos() > millis(MAX_UNUSED_MILLIS);
            if (remaining.size() == key.size() && !unused) {
                continue;
            }
            entries.remove(key);
            if (unused || remaining.isEmpty()) {
                ended.add(List.copyOf(key));
            } else {
                entries.putIfAbsent(Set.copyOf(remaining), value);
            }
        }
        return ended;
    }

    /** Returns the sets of parts of all entries. */
    Set<Set<ServicePart>> sets() {
        return Set.copyOf(entries.keySet());
    }

    /** Returns the parts of all entries. */
    Set<ServicePart> parts() {
        Set<ServicePart> parts = new HashSet<>();
        entries.keySet().forEach(parts::addAll);
        return parts;
    }

    /** Returns the number of entries. */
    public int size() {
        return entries.size();
    }

    /** Returns the entries for other processes. */
    List<QuarantinedPrompt> report(long nowNanos) {
        return entries.entrySet().stream()
                .map(entry -> new QuarantinedPrompt(
                        List.copyOf(entry.getKey()),
                        (nowNanos - entry.getValue().crashNanos()) / Timestamp.NANOS_PER_MILLI,
                        (entry.getValue().trialNanos() - nowNanos) / Timestamp.NANOS_PER_MILLI,
                        entry.getValue().trials()))
                .toList();
    }

    private static long later(long first, long second) {
        return first - second > 0 ? first : second;
    }

    private static long millis(long millis) {
        return millis * Timestamp.NANOS_PER_MILLI;
    }
}

package org.geraniumstand.peer.exchange;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.AppliedGeneration;
import org.geraniumstand.model.member.Member;

/** Tracks the highest configuration generation in force at each process; confined to one thread. */
final class AppliedGenerations {
    private static final int EXTRA_ENTRIES = 64;

    private final Map<ProcessId, Long> generations = new HashMap<>();
    private final Map<ProcessId, Long> unsent = new HashMap<>();

    void merge(AppliedGeneration applied) {
        long previous = generations.getOrDefault(applied.process(), Long.MIN_VALUE);
        if (applied.generation() > previous) {
            generations.put(applied.process(), applied.generation());
            unsent.put(applied.process(), applied.generation());
        }
    }

    /** Returns the entries that changed since the last call. */
    List<AppliedGeneration> takeUnsent() {
        List<AppliedGeneration> changed = toList(unsent);
        unsent.clear();
        return changed;
    }

    List<AppliedGeneration> all() {
        return toList(generations);
    }

    /**
     * Removes processes that are not live members once the table has grown well beyond the number of members.
     *
     * <p>They are not removed at once because an entry may arrive before the membership update about its process.
     */
    void prune(Collection<Member> members) {
        if (generations.size() <= 2 * members.size() + EXTRA_ENTRIES) {
            return;
        }
        Set<ProcessId> alive = members.stream().map(Member::id).collect(Collectors.toSet());
        generations.keySet().retainAll(alive);
    }

    private static List<AppliedGeneration> toList(Map<ProcessId, Long> entries) {
        List<AppliedGeneration> list = new ArrayList<>();
        entries.forEach((process, generation) -> list.add(new AppliedGeneration(process, generation)));
        return list;
    }
}

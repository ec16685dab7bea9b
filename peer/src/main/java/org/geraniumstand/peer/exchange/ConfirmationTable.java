package org.geraniumstand.peer.exchange;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.Confirmation;
import org.geraniumstand.model.member.Member;

/** Knows which process has which configuration in force, merged by maximum; belongs to one thread. */
final class ConfirmationTable {
    private static final int SLACK = 64;

    private final Map<ProcessId, Long> generations = new HashMap<>();
    private final Map<ProcessId, Long> fresh = new HashMap<>();

    void merge(Confirmation confirmation) {
        long known = generations.getOrDefault(confirmation.process(), Long.MIN_VALUE);
        if (confirmation.generation() > known) {
            generations.put(confirmation.process(), confirmation.generation());
            fresh.put(confirmation.process(), confirmation.generation());
        }
    }

    /** Returns what changed since the last call. */
    List<Confirmation> takeFresh() {
        List<Confirmation> changed = confirmations(fresh);
        fresh.clear();
        return changed;
    }

    List<Confirmation> all() {
        return confirmations(generations);
    }

    /** Forgets processes that are gone, once there are many; their names may also be ahead of the news about them. */
    void retain(Collection<Member> members) {
        if (generations.size() <= 2 * members.size() + SLACK) {
            return;
        }
        Set<ProcessId> alive = members.stream().map(Member::id).collect(Collectors.toSet());
        generations.keySet().retainAll(alive);
    }

    private static List<Confirmation> confirmations(Map<ProcessId, Long> map) {
        List<Confirmation> list = new ArrayList<>();
        map.forEach((process, generation) -> list.add(new Confirmation(process, generation)));
        return list;
    }
}

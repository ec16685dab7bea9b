package org.geraniumstand.decisions.relay;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.decisions.Hash;
import org.geraniumstand.decisions.membership.RendezvousHashing;
import org.geraniumstand.model.id.ProcessId;

/** Selects the processes that coordinate a task for all processes. */
@Decision(
        name = "hubs",
        summary = "Two processes, selected by rendezvous hashing, coordinate each task, so "
                + "that the work of the other processes does not grow with their number.")
public final class TaskCoordinators {
    /** Number of processes that coordinate a task; one of them may fail without interruption. */
    private static final int COORDINATORS = 2;

    private TaskCoordinators() {}

    /** Identifies a task that two processes perform for all processes. */
    public enum Task {
        /** Sums the quota usage that all processes report. */
        ADD_UP_USE,

        /** Reads changes from the store and forwards them to the peers. */
        READ_STORE,

        /** Acquires the leader key when it is vacant. */
        HOLD_DUTIES,

        /** Collects the request counts that all processes report. */
        COUNT_REQUESTS
    }

    /**
     * Selects the coordinators of a task; processes with the same view of the members select the same ones.
     *
     * @param task the task to coordinate
     * @param members all live processes
     * @return the coordinators, in order of precedence
     */
    public static List<ProcessId> select(Task task, Collection<ProcessId> members) {
        return RendezvousHashing.highest(
                members, id -> Hash.of(task + "/" + id.value()), Comparator.naturalOrder(), COORDINATORS);
    }
}

package org.geraniumstand.decisions.orders;

import java.util.ArrayList;
import java.util.List;
import org.geraniumstand.decisions.Decision;

/**
 * Writes the changes of one slot in groups: while one is under way, the next gathers.
 *
 * <p>Every group is a read and, if something changed, one compare-and-swap. When the answer to a write is lost, the
 * group is read and applied again; changes that took effect are recognized by their tokens. It belongs to one thread.
 */
@Decision(
        name = "slot-writer",
        summary = "Changes of a slot that arrive while a write is under way go out together in the next write.")
public final class SlotWriter {
    /** Failed calls of the store after which a change is given up. */
    public static final int MAX_FAILURES = 3;

    /** Milliseconds between a failed call and the next, times the calls in a row that failed. */
    static final long RETRY_MILLIS = 50;

    /** Lost races after which a change is given up. */
    public static final int MAX_CONFLICTS = 64;

    private final List<Pending> gathering = new ArrayList<>();
    private final List<Pending> writing = new ArrayList<>();
    private List<ClaimVerdict> verdicts = List.of();
    private Call call = Call.NONE;
    private int failuresInARow;

    private enum Call {
        NONE,
        READ,
        WRITE
    }

    private record Pending(long number, ClaimChange change, int failures, int conflicts) {
        private Pending failed() {
            return new Pending(number, change, failures + 1, conflicts);
        }

        private Pending conflicted() {
            return new Pending(number, change, failures, conflicts + 1);
        }

        private boolean spent() {
            return failures >= MAX_FAILURES || conflicts >= MAX_CONFLICTS;
        }
    }

    /** Creates a writer without work. */
    public SlotWriter() {}

    /** Returns whether no change waits and no call is under way. */
    public boolean idle() {
        return call == Call.NONE;
    }

    /**
     * Takes a change in.
     *
     * @param number names the change in the verdict
     * @param change the change
     */
    public List<WriterStep> submit(long number, ClaimChange change) {
        gathering.add(new Pending(number, change, 0, 0));
        return call == Call.NONE ? next(new ArrayList<>()) : List.of();
    }

    /**
     * Takes the slot as the store holds it.
     *
     * @param slot the slot
     * @param index its index, zero if it does not exist
     * @param epochMillis the wall clock now, in milliseconds since 1970
     */
    public List<WriterStep> onRead(ClaimSlot slot, long index, long epochMillis) {
        failuresInARow = 0;
        ClaimSlot current = slot;
        List<ClaimVerdict> found = new ArrayList<>();
        for (Pending pending : gathering) {
            ChangedSlot changed = applyOne(current, pending.change(), epochMillis);
            current = changed.slot();
            found.add(changed.verdict());
        }
        writing.addAll(gathering);
        gathering.clear();
        verdicts = List.copyOf(found);
        if (current.equals(slot)) {
            return tellAll();
        }
        call = Call.WRITE;
        return List.of(new WriterStep.Write(current, index));
    }

    /**
     * Takes the store's answer to a write.
     *
     * @param written whether the index still matched
     */
    public List<WriterStep> onWritten(boolean written) {
        return written ? tellAll() : again(true);
    }

    /** Takes note that a call brought no answer; a write may have taken effect. */
    public List<WriterStep> onFailure() {
        failuresInARow++;
        if (call == Call.READ) {
            writing.addAll(gathering);
            gathering.clear();
        }
        return again(false);
    }

    private static ChangedSlot applyOne(ClaimSlot slot, ClaimChange change, long epochMillis) {
        if (change.kind() != ClaimChange.Kind.OPEN) {
            return SettleClaim.apply(slot, change, epochMillis);
        }
        ChangedSlot opened = OpenClaim.apply(slot, change, epochMillis);
        if (opened.slot().equals(slot)) {
            return opened;
        }
        ClaimSlot smaller = DropOldClaims.apply(opened.slot(), epochMillis);
        return DropOldClaims.tooLarge(smaller)
                ? new ChangedSlot(slot, ClaimVerdict.of(ClaimVerdict.Kind.FULL))
                : new ChangedSlot(smaller, opened.verdict());
    }

    private List<WriterStep> tellAll() {
        List<WriterStep> steps = new ArrayList<>();
        for (int i = 0; i < writing.size(); i++) {
            steps.add(new WriterStep.Tell(writing.get(i).number(), verdicts.get(i)));
        }
        writing.clear();
        return next(steps);
    }

    private List<WriterStep> again(boolean conflict) {
        List<WriterStep> steps = new ArrayList<>();
        List<Pending> kept = new ArrayList<>();
        for (Pending pending : writing) {
            Pending tried = conflict ? pending.conflicted() : pending.failed();
            if (tried.spent()) {
                steps.add(new WriterStep.Tell(tried.number(), ClaimVerdict.of(ClaimVerdict.Kind.UNAVAILABLE)));
            } else {
                kept.add(tried);
            }
        }
        writing.clear();
        gathering.addAll(0, kept);
        return next(steps);
    }

    private List<WriterStep> next(List<WriterStep> steps) {
        call = gathering.isEmpty() ? Call.NONE : Call.READ;
        if (call == Call.READ) {
            steps.add(new WriterStep.Read(failuresInARow * RETRY_MILLIS));
        }
        return steps;
    }
}

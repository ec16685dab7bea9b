package org.geraniumstand.decisions.orders;

import java.util.ArrayList;
import java.util.List;
import org.geraniumstand.decisions.Decision;

/**
 * Writes the changes of one slot with group commit: changes that arrive while a group is being written form the next
 * group.
 *
 * <p>A group is one read and, if something changed, one compare-and-swap. If the response to a write is lost, the group
 * is read and applied again; changes that already took effect are recognized by their tokens. This class is not
 * thread-safe.
 */
@Decision(
        name = "slot-writer",
        summary = "Changes of a slot that arrive during a write are written together in the next write.")
public final class SlotWriter {
    /** Failed calls to the store after which a change fails. */
    public static final int MAX_FAILURES = 3;

    /** Delay before a retry, in milliseconds, multiplied by the number of consecutive failed calls. */
    static final long RETRY_MILLIS = 50;

    /** Compare-and-swap conflicts after which a change fails. */
    public static final int MAX_CONFLICTS = 64;

    private final List<Pending> queued = new ArrayList<>();
    private final List<Pending> inFlight = new ArrayList<>();
    private List<ClaimResult> results = List.of();
    private Call call = Call.NONE;
    private int consecutiveFailures;

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

        private boolean isExhausted() {
            return failures >= MAX_FAILURES || conflicts >= MAX_CONFLICTS;
        }
    }

    /** Creates an idle writer. */
    public SlotWriter() {}

    /** Returns whether no change is queued and no call is in flight. */
    public boolean isIdle() {
        return call == Call.NONE;
    }

    /**
     * Submits a change.
     *
     * @param number identifies the change in its result
     * @param change the change
     */
    public List<WriterStep> submit(long number, ClaimChange change) {
        queued.add(new Pending(number, change, 0, 0));
        return call == Call.NONE ? startNext(new ArrayList<>()) : List.of();
    }

    /**
     * Applies the queued changes to the slot that was read, and returns the write or, if nothing changed, the results.
     *
     * @param slot the slot as stored
     * @param index modify index of the slot, zero if it does not exist
     * @param epochMillis the current wall-clock time in milliseconds since 1970
     */
    public List<WriterStep> onRead(ClaimSlot slot, long index, long epochMillis) {
        consecutiveFailures = 0;
        ClaimSlot current = slot;
        List<ClaimResult> newResults = new ArrayList<>();
        for (Pending pending : queued) {
            ChangedSlot changed = applyOne(current, pending.change(), epochMillis);
            current = changed.slot();
            newResults.add(changed.result());
        }
        inFlight.addAll(queued);
        queued.clear();
        results = List.copyOf(newResults);
        if (current.equals(slot)) {
            return completeAll();
        }
        call = Call.WRITE;
        return List.of(new WriterStep.Write(current, index));
    }

    /**
     * Handles the response to a write: completes the group, or retries it after a conflict.
     *
     * @param written whether the index still matched
     */
    public List<WriterStep> onWritten(boolean written) {
        return written ? completeAll() : retry(true);
    }

    /** Handles a call that failed without a response; a write may still have taken effect. */
    public List<WriterStep> onFailure() {
        consecutiveFailures++;
        if (call == Call.READ) {
            inFlight.addAll(queued);
            queued.clear();
        }
        return retry(false);
    }

    private static ChangedSlot applyOne(ClaimSlot slot, ClaimChange change, long epochMillis) {
        if (change.kind() != ClaimChange.Kind.OPEN) {
            return SettleClaim.apply(slot, change, epochMillis);
        }
        ChangedSlot opened = OpenClaim.apply(slot, change, epochMillis);
        if (opened.slot().equals(slot)) {
            return opened;
        }
        ClaimSlot trimmed = DropOldClaims.apply(opened.slot(), epochMillis);
        return DropOldClaims.isTooLarge(trimmed)
                ? new ChangedSlot(slot, ClaimResult.of(ClaimResult.Kind.FULL))
                : new ChangedSlot(trimmed, opened.result());
    }

    private List<WriterStep> completeAll() {
        List<WriterStep> steps = new ArrayList<>();
        for (int i = 0; i < inFlight.size(); i++) {
            steps.add(new WriterStep.Complete(inFlight.get(i).number(), results.get(i)));
        }
        inFlight.clear();
        return startNext(steps);
    }

    private List<WriterStep> retry(boolean conflict) {
        List<WriterStep> steps = new ArrayList<>();
        List<Pending> remaining = new ArrayList<>();
        for (Pending pending : inFlight) {
            Pending retried = conflict ? pending.conflicted() : pending.failed();
            if (retried.isExhausted()) {
                steps.add(new WriterStep.Complete(retried.number(), ClaimResult.of(ClaimResult.Kind.UNAVAILABLE)));
            } else {
                remaining.add(retried);
            }
        }
        inFlight.clear();
        queued.addAll(0, remaining);
        return startNext(steps);
    }

    private List<WriterStep> startNext(List<WriterStep> steps) {
        call = queued.isEmpty() ? Call.NONE : Call.READ;
        if (call == Call.READ) {
            steps.add(new WriterStep.Read(consecutiveFailures * RETRY_MILLIS));
        }
        return steps;
    }
}

package org.geraniumstand.http.opaque;

import java.util.Optional;
import java.util.function.LongSupplier;
import org.geraniumstand.decisions.Decision;

/** Decides which events of a stream's runs continue what its caller has received; not thread-safe. */
@Decision(
        name = "event-order",
        summary =
                "Drops the events up to the caller's position, and ends a run that differs from them or, if it resumes,"
                        + " skips an event or does not number one.")
final class EventOrder {
    /** Maximum number of times that a run may go back without an event that is new. */
    private static final int MAX_RETURNS = 3;

    private static final long NONE = -1;
    private static final long FIRST = 1;

    private final RelayedEvents relayed;
    private final boolean resumable;
    private Optional<String> lastId;
    private long position;
    private Numbering numbering;
    private boolean resumed;
    private long furthest;
    private long previous;
    private int returns;
    private boolean positionKnown = true;

    /** Tells what to do with an event. */
    enum Verdict {
        /** Relay the event. */
        RELAY,

        /** Leave the event out, because the caller has it. */
        DROP,

        /** End the run before the event. */
        BREAK_OFF
    }

    /** Tells what is known of the steps between the ids of the stream. */
    private enum Numbering {
        UNKNOWN,
        CONSECUTIVE,
        SPARSE
    }

    /**
     * Creates the order of a stream.
     *
     * @param lastId the id of the last event that the caller already has, as it was sent
     * @param resumable whether servers resume the stream after that id; a stream has one run otherwise, which is not changed
     */
    EventOrder(Optional<String> lastId, boolean resumable) {
        this.relayed = new RelayedEvents(lastId.isEmpty());
        this.resumable = resumable;
        this.lastId = lastId;
        this.position = resumable ? lastId.map(EventOrder::parse).orElse(NONE) : NONE;
        this.numbering = position == NONE ? Numbering.UNKNOWN : Numbering.CONSECUTIVE;
        startRun();
    }

    /** Starts a run at another server, which is to resume after the last event that was relayed. */
    void startRun() {
        resumed = position != NONE;
        furthest = NONE;
        previous = NONE;
        returns = 0;
    }

    /** Returns the id after which the next run is to resume. */
    Optional<String> lastId() {
        return lastId;
    }

    /** Returns whether {@link #lastId} covers all events that were relayed; events without an id have followed it otherwise. */
    boolean positionKnown() {
        return positionKnown;
    }

    /** Returns whether the current run, if it ends now, has reached the position at which it was to resume. */
    boolean reachedPosition() {
        return furthest == NONE || furthest >= position;
    }

    /**
     * Decides about the next event of the current run.
     *
     * @param id the id of the event, if it has one
     * @param hasData whether the event has data; a comment has neither an id nor data
     * @param hash supplies the {@linkplain RelayedEvents#hash hash} of the event's bytes, where it is compared or kept
     */
    Verdict onEvent(Optional<String> id, boolean hasData, LongSupplier hash) {
        if (!resumable || (id.isEmpty() && !hasData)) {
            return Verdict.RELAY;
        }
        long number = id.map(EventOrder::parse).orElse(NONE);
        if (number == NONE) {
            positionKnown &= resumed;
            return resumed ? Verdict.BREAK_OFF : Verdict.RELAY;
        }
        if (number <= previous) {
            returns++;
        }
        previous = number;
        furthest = Math.max(furthest, number);
        if (number <= position) {
            // A run that repeats itself without end would last until the deadline.
            return returns > MAX_RETURNS || relayed.differs(number, hash.getAsLong())
                    ? Verdict.BREAK_OFF
                    : Verdict.DROP;
        }
        if (resumed && numbering == Numbering.CONSECUTIVE && number != position + 1) {
            return Verdict.BREAK_OFF;
        }
        numbering = numberingAfter(number);
        position = number;
        relayed.add(number, hash.getAsLong());
        positionKnown = true;
        returns = 0;
        lastId = id;
        return Verdict.RELAY;
    }

    /** Returns what an event that is relayed shows; ids only have to increase, so a step over one is no gap until they count. */
    private Numbering numberingAfter(long number) {
        if (position == NONE) {
            return number == FIRST ? Numbering.CONSECUTIVE : Numbering.UNKNOWN;
        }
        if (number > position + 1) {
            return Numbering.SPARSE;
        }
        return numbering == Numbering.UNKNOWN ? Numbering.CONSECUTIVE : numbering;
    }

    /** Returns the number that an id is, or {@link #NONE} if it is none or does not fit a {@code long}. */
    private static long parse(String id) {
        if (id.isEmpty() || !id.chars().allMatch(c -> c >= '0' && c <= '9')) {
            return NONE;
        }
        try {
            return Long.parseLong(id);
        } catch (NumberFormatException _e) {
            return NONE;
        }
    }
}

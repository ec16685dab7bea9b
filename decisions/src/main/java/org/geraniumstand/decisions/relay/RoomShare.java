package org.geraniumstand.decisions.relay;

import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.time.Timestamp;

/** Decides how much of the room at the engines of a service this process may use. Not thread-safe. */
@Decision(
        name = "room-share",
        summary = "Of the engines' free time each process uses its part, as all of them see the same room at once; "
                + "the part grows with the calls that it has there compared with others.")
final class RoomShare {
    /** Milliseconds over which free time is used up; several times what it takes to hear of what others sent. */
    private static final double SETTLE_MILLIS = 1_500;

    private double creditMillis;
    private long accruedNanos;
    private boolean begun;

    /**
     * Describes the engines of a service.
     *
     * @param engines number of the engines
     * @param freeMillis milliseconds of work that they could take and still begin to answer in time, together
     * @param share the part of it that this process may use, from 0 to 1
     */
    record Room(int engines, double freeMillis, double share) {}

    /** Returns the part that a process may use, from 0 to 1, given its own and all calls at the engines. */
    static double share(int processes, int ownCalls, int allCalls, boolean othersKnown) {
        double equal = 1.0 / Math.max(1, processes);
        if (!othersKnown) {
            return equal;
        }
        return allCalls == 0 ? 1 : Math.max(equal, (double) ownCalls / allCalls);
    }

    /** Adds the room that has become free since the last call. */
    void accrue(Room room, long nowNanos) {
        double mostMillis = room.share() * Math.max(0, room.freeMillis());
        if (!begun) {
            begun = true;
            creditMillis = mostMillis;
        } else {
            double passedMillis = (double) (nowNanos - accruedNanos) / Timestamp.NANOS_PER_MILLI;
            double rate = room.share() * (room.engines() + room.freeMillis() / SETTLE_MILLIS);
            creditMillis = Math.min(mostMillis, creditMillis + passedMillis * Math.max(0, rate));
        }
        accruedNanos = nowNanos;
    }

    /** Forgets what was sent, as there is no lack of room. */
    void refill() {
        begun = false;
    }

    /** Returns whether room was lacking when it was last looked at. */
    boolean isLimited() {
        return begun;
    }

    /** Returns whether this process may send a call; a call of any size may be sent while there is some room. */
    boolean isOpen() {
        return creditMillis > 0;
    }

    /** Records that a call was sent that takes some milliseconds of an engine. */
    void onSent(double millis) {
        creditMillis -= millis;
    }
}

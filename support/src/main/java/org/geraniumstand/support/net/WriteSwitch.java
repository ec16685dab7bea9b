package org.geraniumstand.support.net;

/** Tells whether what is written to a connection is sent or discarded; confined to one I/O thread. */
final class WriteSwitch {
    private boolean discarding;

    /** Returns whether writes are discarded. */
    boolean discarding() {
        return discarding;
    }

    /**
     * Runs a task whose writes are discarded.
     *
     * @param task the task
     */
    void discardWritesOf(Runnable task) {
        discarding = true;
        try {
            task.run();
        } finally {
            discarding = false;
        }
    }
}

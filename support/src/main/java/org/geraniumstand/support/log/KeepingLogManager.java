package org.geraniumstand.support.log;

import java.util.logging.LogManager;

/** Keeps logging enabled during graceful shutdown. */
public final class KeepingLogManager extends LogManager {
    /** Creates the log manager; called by {@code java.util.logging}. */
    public KeepingLogManager() {}

    @Override
    public void reset() {
        // The Java runtime calls this in a shutdown hook, concurrently with the hook that finishes requests and still
        // logs.
    }
}

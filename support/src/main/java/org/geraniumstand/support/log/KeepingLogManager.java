package org.geraniumstand.support.log;

import java.util.logging.LogManager;

/** A log manager that goes on writing while the process stops gracefully. */
public final class KeepingLogManager extends LogManager {
    /** Creates the manager; called by the platform. */
    public KeepingLogManager() {}

    @Override
    public void reset() {
        // The platform calls this in a shutdown hook, at the same time as the hook that finishes requests and logs it.
    }
}

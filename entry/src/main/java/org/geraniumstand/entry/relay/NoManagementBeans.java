package org.geraniumstand.entry.relay;

import javax.management.MBeanServerBuilder;
import javax.management.MBeanServerDelegate;

/**
 * Offers no server of management beans.
 *
 * <p>The I/O library registers its workers with one, which nobody reads and which takes a third of a start; without one it goes
 * on and registers nothing. Named in {@code deploy/system.toml}; a name that is no class does the same at a higher price.
 */
public final class NoManagementBeans extends MBeanServerBuilder {
    /** Creates the builder; called by the platform. */
    public NoManagementBeans() {}

    @Override
    public MBeanServerDelegate newMBeanServerDelegate() {
        return null;
    }
}
